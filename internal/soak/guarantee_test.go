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
	// withdrawalTimeout is the guaranteed maximum time between the acceptance of a
	// withdrawal and the last request of the workspace that runs.
	withdrawalTimeout = 5 * time.Second
	// rateWindow is the length of the windows in which the requests are compared with
	// the rate and burst.
	rateWindow = 5 * time.Second
)

// withdrawal is a workspace whose withdrawal was accepted, and the time of that.
type withdrawal struct {
	workspace  string
	acceptedAt time.Time
}

// violations collects descriptions of broken guarantees. It is safe for concurrent use.
type violations struct {
	mu   sync.Mutex
	list []string
}

// add appends a formatted description of a violation.
func (v *violations) add(format string, args ...any) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.list = append(v.list, fmt.Sprintf(format, args...))
}

// evidence holds the attempts of the callers and the journal entries of the targets.
type evidence struct {
	attempts []attempt
	// runs holds the journal entries of requests that ran, by URI. runByRequestID holds
	// them by request ID.
	runs           map[string][]stub.JournalEntry
	runByRequestID map[string]stub.JournalEntry
}

// collectEvidence reads the attempts of the callers and the journals of all targets.
func collectEvidence(f *fleet, c *callers) evidence {
	e := evidence{attempts: c.attemptsSoFar(), runs: map[string][]stub.JournalEntry{}, runByRequestID: map[string]stub.JournalEntry{}}
	for _, t := range f.targets {
		for _, entry := range t.Journal() {
			if entry.Ran {
				e.runs[entry.URI] = append(e.runs[entry.URI], entry)
				e.runByRequestID[entry.RequestID] = entry
			}
		}
	}
	return e
}

// check compares the answers to callers with the requests that targets ran, and adds
// each broken guarantee to out.
func (e evidence) check(out *violations, withdrawn []withdrawal) {
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
	for _, s := range e.attempts {
		e.checkAnswer(out, s)
	}
	e.checkWithdrawals(out, withdrawn)
	e.checkRate(out)
}

// checkAnswer checks that a request with the outcome not_run did not run, and that a
// complete answer with status 200 comes from a target that ran this request.
func (e evidence) checkAnswer(out *violations, s attempt) {
	run, ran := e.runByRequestID[s.requestID]
	switch {
	case s.outcome == "not_run" && ran:
		out.add("%s was told not_run with %d, and ran at %s", s.path, s.status, run.At)
	case s.status != http.StatusOK || !s.isBodyComplete:
	case s.answeredBy == "":
		out.add("%s got 200 without an answer of a target", s.path)
	default:
		answered, ok := e.runByRequestID[s.answeredRequestID]
		if !ok || answered.URI != s.path || !s.isReplayed && s.answeredRequestID != s.requestID {
			out.add("%s got the answer to %q of request %s", s.path, answered.URI, s.answeredRequestID)
		}
	}
}

// checkWithdrawals checks that no request of a withdrawn workspace ran later than
// withdrawalTimeout after the withdrawal was accepted.
func (e evidence) checkWithdrawals(out *violations, withdrawn []withdrawal) {
	for _, runs := range e.runs {
		for _, run := range runs {
			for _, w := range withdrawn {
				if run.Workspace == w.workspace && run.At.After(w.acceptedAt.Add(withdrawalTimeout)) {
					out.add("%s ran %s after its withdrawal was accepted", run.URI, run.At.Sub(w.acceptedAt))
				}
			}
		}
	}
}

// checkRate checks that the requests of the flooding workspace that were sent and
// arrived within one window do not exceed its rate and burst.
func (e evidence) checkRate(out *violations) {
	type span struct{ sentAt, arrivedAt time.Time }
	var spans []span
	for _, s := range e.attempts {
		if run, ok := e.runByRequestID[s.requestID]; ok && s.workspace == "flood" {
			spans = append(spans, span{s.sentAt, run.At})
		}
	}
	slices.SortFunc(spans, func(a, b span) int { return a.sentAt.Compare(b.sentAt) })
	const maxRequests = floodRate*int(rateWindow/time.Second) + floodBurst
	for i, first := range spans {
		end, n := first.sentAt.Add(rateWindow), 0
		for _, s := range spans[i:] {
			if !s.arrivedAt.After(end) {
				n++
			}
		}
		if n > maxRequests {
			out.add("%d requests of the flooding workspace ran within %s, %d are allowed", n, rateWindow, maxRequests)
			return
		}
	}
}
