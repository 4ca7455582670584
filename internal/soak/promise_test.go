package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"tarragongauge.example/tarragongauge/internal/stub"
)

const (
	// silentWithin is the promise of the product for a withdrawn workspace.
	silentWithin = 5 * time.Second
	// rateWindow is a window over which the rate and burst are counted.
	rateWindow = 5 * time.Second
)

// withdrawal is a workspace whose withdrawal was accepted.
type withdrawal struct {
	workspace string
	accepted  time.Time
}

// findings are broken promises. It is safe for concurrent use.
type findings struct {
	mu   sync.Mutex
	list []string
}

func (f *findings) add(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.list = append(f.list, fmt.Sprintf(format, args...))
}

// evidence is what callers and targets saw.
type evidence struct {
	sent []sent
	// runs holds the entries of requests that ran, with the names of their targets.
	runs map[string][]stub.JournalEntry
	byID map[string]stub.JournalEntry
}

func gather(f *fleet, c *callers) evidence {
	e := evidence{sent: c.taken(), runs: map[string][]stub.JournalEntry{}, byID: map[string]stub.JournalEntry{}}
	for _, t := range f.targets {
		for _, entry := range t.Journal() {
			if entry.Ran {
				e.runs[entry.URI] = append(e.runs[entry.URI], entry)
				e.byID[entry.RequestID] = entry
			}
		}
	}
	return e
}

// check compares what callers were told with what targets ran.
func (e evidence) check(out *findings, withdrawn []withdrawal) {
	for uri, runs := range e.runs {
		if strings.HasPrefix(uri, "/order/") && len(runs) > 1 {
			out.add("order %s ran %d times", uri, len(runs))
		}
		for _, run := range runs {
			if strings.Contains(strings.Join(run.Header.Values("Authorization"), ""), "Bearer") {
				out.add("a target saw the key of %s", uri)
			}
		}
	}
	for _, s := range e.sent {
		e.checkAnswer(out, s)
	}
	e.checkSilence(out, withdrawn)
	e.checkRate(out)
}

func (e evidence) checkAnswer(out *findings, s sent) {
	run, ran := e.byID[s.id]
	switch {
	case s.outcome == "not_run" && ran:
		out.add("%s was told not_run with %d, and ran at %s", s.path, s.status, run.At)
	case s.status != http.StatusOK || !s.whole:
	case s.answeredBy == "":
		out.add("%s got 200 without an answer of a target", s.path)
	default:
		answered, ok := e.byID[s.answeredID]
		if !ok || answered.URI != s.path || !s.replayed && s.answeredID != s.id {
			out.add("%s got the answer to %q of request %s", s.path, answered.URI, s.answeredID)
		}
	}
}

func (e evidence) checkSilence(out *findings, withdrawn []withdrawal) {
	for _, runs := range e.runs {
		for _, run := range runs {
			for _, w := range withdrawn {
				if run.Workspace == w.workspace && run.At.After(w.accepted.Add(silentWithin)) {
					out.add("%s ran %s after its withdrawal was accepted", run.URI, run.At.Sub(w.accepted))
				}
			}
		}
	}
}

// checkRate counts the requests of the flooding workspace that were sent and arrived within one window.
func (e evidence) checkRate(out *findings) {
	type span struct{ sent, arrived time.Time }
	var spans []span
	for _, s := range e.sent {
		if run, ok := e.byID[s.id]; ok && s.workspace == "flood" {
			spans = append(spans, span{s.at, run.At})
		}
	}
	slices.SortFunc(spans, func(a, b span) int { return a.sent.Compare(b.sent) })
	const most = floodRate*int(rateWindow/time.Second) + floodBurst
	for i, first := range spans {
		end, n := first.sent.Add(rateWindow), 0
		for _, s := range spans[i:] {
			if !s.arrived.After(end) {
				n++
			}
		}
		if n > most {
			out.add("%d requests of the flooding workspace ran within %s, %d are allowed", n, rateWindow, most)
			return
		}
	}
}
