package trial

import (
	"fmt"
	"slices"
	"time"

	"tarragongauge.example/tarragongauge/internal/pool"
	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// Result holds the measurements of one run.
type Result struct {
	// MeasuredFrom is the time from which requests count in the success and latency
	// of workspaces.
	MeasuredFrom model.Instant
	Requests     int
	// Attempts counts requests that reached a target.
	Attempts int
	Crashes  int
	// LocalAssignments counts assignments by an entry host without the owner.
	LocalAssignments int
	// Refusals counts refused requests by reason.
	Refusals map[proto.SlotStatus]int
	// RefusedWithoutAttempt counts requests refused without any attempt, by
	// workspace. Requests of the crash pattern and at entry hosts that cannot reach
	// targets do not count.
	RefusedWithoutAttempt [workspaces]int
	Quarantines           int
	// DetectionTimes holds the time from the fault to the ejection of each faulty
	// target. If each host ejects by itself, it is the time until half the hosts did.
	DetectionTimes map[model.TargetID]time.Duration
	// FaultyTargets is the number of targets with a fault that should be detected.
	FaultyTargets int
	// FalseEjections counts ejections of targets without a fault.
	FalseEjections int
	// EjectionReasons lists time, target and reason of all ejections, and
	// FalseEjectionReasons the same of ejections of targets without a fault.
	EjectionReasons      []string
	FalseEjectionReasons []string
	// Violations lists the first violated invariants, at most 10.
	Violations []string

	Recovery Recovery

	byWorkspace [workspaces]workspaceOutcomes
	// hostEjections counts, for each target, the ejections by single hosts.
	hostEjections map[*target]int
}

// workspaceOutcomes holds the results of a workspace's requests since
// Result.MeasuredFrom.
type workspaceOutcomes struct {
	ok, failed int
	// latencies are those of the successful requests.
	latencies []time.Duration
}

func newResult() Result {
	return Result{Refusals: map[proto.SlotStatus]int{}, DetectionTimes: map[model.TargetID]time.Duration{}, hostEjections: map[*target]int{}}
}

func (r *Result) addViolation(format string, args ...any) {
	if len(r.Violations) < 10 {
		r.Violations = append(r.Violations, fmt.Sprintf(format, args...))
	}
}

// recordRequest counts a finished request in its workspace. Requests before
// MeasuredFrom, of the crash pattern and at entry hosts that cannot reach targets
// do not count.
func (r *Result) recordRequest(now model.Instant, q *request, ok bool) {
	if q.arrivedAt < r.MeasuredFrom || q.resend != nil || q.host.refusesConnections || q.host.hangs {
		return
	}
	s := &r.byWorkspace[q.workspace]
	if ok {
		s.ok++
		s.latencies = append(s.latencies, now.Sub(q.arrivedAt))
		return
	}
	s.failed++
}

// handleEjected records an ejection by the owner.
func (w *World) handleEjected(e pool.Ejected) {
	for _, s := range w.services {
		for _, t := range s.targets {
			if t.id == e.Target {
				w.recordEjection(t, e.Reason)
			}
		}
	}
}

// recordEjection records an ejection as the detection of a fault, or as false if
// the target has no fault.
func (w *World) recordEjection(t *target, reason string) {
	r := &w.Result
	line := fmt.Sprintf("%s %s: %s", time.Duration(w.now), t.id, reason)
	r.EjectionReasons = append(r.EjectionReasons, line)
	if !t.faulty {
		r.FalseEjections++
		r.FalseEjectionReasons = append(r.FalseEjectionReasons, line)
		return
	}
	if _, ok := r.DetectionTimes[t.id]; !ok {
		r.DetectionTimes[t.id] = w.now.Sub(t.faultAt)
	}
}

// recordStale counts a faulty target as detected if it receives no more requests
// because its announcements have stopped.
func (w *World) recordStale(id model.TargetID) {
	for _, s := range w.services {
		for _, t := range s.targets {
			if _, ok := w.Result.DetectionTimes[id]; t.id == id && t.faulty && !ok {
				w.Result.DetectionTimes[id] = w.now.Sub(t.faultAt)
			}
		}
	}
}

// recordHostEjection counts the ejection of a target by a single host. A faulty
// target counts as detected when the number of its ejections reaches half the
// number of hosts.
func (w *World) recordHostEjection(t *target) {
	w.Result.hostEjections[t]++
	if !t.faulty {
		w.Result.FalseEjections++
		return
	}
	if w.Result.hostEjections[t] == len(w.hosts)/2 {
		w.recordEjection(t, "half the hosts")
	}
}

// SuccessShare returns the share of successful requests of all workspaces except
// the excluded one. No workspace is excluded if exclude is -1.
func (r *Result) SuccessShare(exclude int) float64 {
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

// WorstWorkspace returns the lowest success share and the highest p99 latency of
// any workspace except the excluded one; they may belong to different workspaces.
func (r *Result) WorstWorkspace(exclude int) (float64, time.Duration) {
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
