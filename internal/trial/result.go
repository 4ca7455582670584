package trial

import (
	"fmt"
	"slices"
	"time"

	"tarragongauge.example/tarragongauge/internal/pool"
	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// Result holds the figures of one run.
type Result struct {
	// From excludes earlier requests from the figures of callers.
	From     model.Instant
	Requests int
	// Attempts counts requests that reached a target.
	Attempts int
	Crashes  int
	// Local counts assignments without the owner.
	Local   int
	Refused map[proto.SlotStatus]int
	// RefusedFirst counts requests refused without any attempt, by workspace;
	// requests of the crash pattern and of entry hosts that are cut off are left out.
	RefusedFirst [workspaces]int
	Quarantined  int
	// Detected holds the time from the fault to the ejection of each faulty
	// target; with ejection by each host, of half the hosts.
	Detected map[model.TargetID]time.Duration
	// Faulty counts the targets with a fault that should be detected.
	Faulty int
	// False counts ejections of targets without a fault.
	False int
	// Reasons lists all ejections, FalseReasons the false ones.
	Reasons      []string
	FalseReasons []string
	Violations   []string

	Recovery Recovery

	byWorkspace [workspaces]served
	hostVotes   map[*target]int
}

// served counts a workspace's requests since Result.From.
type served struct {
	ok, failed int
	latencies  []time.Duration
}

func newResult() Result {
	return Result{Refused: map[proto.SlotStatus]int{}, Detected: map[model.TargetID]time.Duration{}, hostVotes: map[*target]int{}}
}

func (r *Result) violate(format string, args ...any) {
	if len(r.Violations) < 10 {
		r.Violations = append(r.Violations, fmt.Sprintf(format, args...))
	}
}

func (r *Result) record(now model.Instant, q *request, ok bool) {
	if q.arrived < r.From || q.resend != nil || q.host.refused || q.host.hangs {
		return
	}
	s := &r.byWorkspace[q.workspace]
	if ok {
		s.ok++
		s.latencies = append(s.latencies, now.Sub(q.arrived))
		return
	}
	s.failed++
}

func (w *World) ejected(e pool.Ejected) {
	for _, s := range w.services {
		for _, t := range s.targets {
			if t.id == e.Target {
				w.noteEjection(t, e.Reason)
			}
		}
	}
}

func (w *World) noteEjection(t *target, reason string) {
	r := &w.Result
	line := fmt.Sprintf("%s %s: %s", time.Duration(w.now), t.id, reason)
	r.Reasons = append(r.Reasons, line)
	if !t.faulty {
		r.False++
		r.FalseReasons = append(r.FalseReasons, line)
		return
	}
	if _, ok := r.Detected[t.id]; !ok {
		r.Detected[t.id] = w.now.Sub(t.faultAt)
	}
}

// stale counts a faulty target as detected when it gets no more work because it
// stopped announcing itself.
func (w *World) stale(id model.TargetID) {
	for _, s := range w.services {
		for _, t := range s.targets {
			if _, ok := w.Result.Detected[id]; t.id == id && t.faulty && !ok {
				w.Result.Detected[id] = w.now.Sub(t.faultAt)
			}
		}
	}
}

// hostEjected counts a target as detected once half the hosts ejected it.
func (w *World) hostEjected(t *target) {
	w.Result.hostVotes[t]++
	if !t.faulty {
		w.Result.False++
		return
	}
	if w.Result.hostVotes[t] == len(w.hosts)/2 {
		w.noteEjection(t, "half the hosts")
	}
}

// Success returns the share of successful requests over all workspaces but the excluded one.
func (r *Result) Success(exclude int) float64 {
	ok, all := 0, 0
	for i, s := range r.byWorkspace {
		if i != exclude {
			ok += s.ok
			all += s.ok + s.failed
		}
	}
	return float64(ok) / float64(max(1, all))
}

// P99 returns the 99th percentile of the latency of successful requests.
func (r *Result) P99() time.Duration {
	var all []time.Duration
	for _, s := range r.byWorkspace {
		all = append(all, s.latencies...)
	}
	return percentile99(all)
}

// Worst returns the success and p99 of the worst-served workspace but the excluded one.
func (r *Result) Worst(exclude int) (float64, time.Duration) {
	success, p99 := 1.0, time.Duration(0)
	for i, s := range r.byWorkspace {
		if i == exclude || s.ok+s.failed == 0 {
			continue
		}
		success = min(success, float64(s.ok)/float64(s.ok+s.failed))
		p99 = max(p99, percentile99(s.latencies))
	}
	return success, p99
}

func percentile99(x []time.Duration) time.Duration {
	if len(x) == 0 {
		return 0
	}
	x = slices.Clone(x)
	slices.Sort(x)
	return x[min(len(x)-1, int(0.99*float64(len(x))))]
}
