package pool

import (
	"time"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// A host that decides without an owner knows only its own attempts. It sends each of
// hundreds of targets a request every few seconds, so that most failing targets would
// be found anew by a request that is lost. Targets at which the host has just
// succeeded are therefore preferred, and a target that fails again is left out for
// longer. Each host ends up with the few targets that its requests keep in use; since
// hosts begin with different ones, they spread over the targets.

const (
	// recentSuccess is the age up to which a success makes a target preferred. It lies
	// below the 2 s in which each healthy target must get a request, so that the set of
	// preferred targets keeps changing.
	recentSuccess = 1500 * time.Millisecond
	// maxMemoryDoublings bounds the growth of a cooldown: 1.8 s become 14.4 s.
	maxMemoryDoublings = 3
)

// attemptMemory holds what the last attempts of this host showed of its targets.
type attemptMemory struct {
	// failures holds the targets that have failed since their last success.
	failures map[model.TargetID]failureRecord
	// successes holds when attempts last succeeded, for recentSuccess at least.
	successes map[model.TargetID]model.Instant
	expiredAt model.Instant
}

// failureRecord is when a target last failed, and how often in a row at this host.
type failureRecord struct {
	at    model.Instant
	count int
}

// newAttemptMemory returns a memory without attempts.
func newAttemptMemory() attemptMemory {
	return attemptMemory{failures: map[model.TargetID]failureRecord{}, successes: map[model.TargetID]model.Instant{}}
}

// record takes over the end of an attempt of this host.
func (m *attemptMemory) record(now model.Instant, a model.Attempt) {
	switch {
	case a.End == model.AttemptOK:
		delete(m.failures, a.Target)
		m.successes[a.Target] = now
	case a.End.Failed():
		delete(m.successes, a.Target)
		m.recordFailure(now, a.Target, 1)
	}
	if now.Sub(m.expiredAt) >= recentSuccess {
		m.expire(now)
	}
}

// recordFailure records a failed attempt, which counts n towards the failures in a
// row: 0 for one of another host.
func (m *attemptMemory) recordFailure(now model.Instant, id model.TargetID, n int) {
	m.failures[id] = failureRecord{at: now, count: m.failures[id].count + n}
}

// expire drops the successes and failures that count no more.
func (m *attemptMemory) expire(now model.Instant) {
	m.expiredAt = now
	for id, at := range m.successes {
		if now.Sub(at) >= recentSuccess {
			delete(m.successes, id)
		}
	}
	for id, f := range m.failures {
		if now.Sub(f.at) >= failureMemory {
			delete(m.failures, id)
		}
	}
}

// cooldownLeft returns how long other targets are preferred to one that has failed.
// The first cooldown is given; it doubles with each further failure.
func (m *attemptMemory) cooldownLeft(now model.Instant, id model.TargetID, first time.Duration) time.Duration {
	f, ok := m.failures[id]
	if !ok {
		return 0
	}
	return max(0, first<<min(max(0, f.count-1), maxMemoryDoublings)-now.Sub(f.at))
}

// hasFailures reports whether attempts of this host have failed lately. Without
// failures, an even choice among all targets serves callers best.
func (m *attemptMemory) hasFailures() bool { return len(m.failures) > 0 }

// hasRecentSuccess reports whether an attempt of this host has just succeeded.
func (m *attemptMemory) hasRecentSuccess(now model.Instant, id model.TargetID) bool {
	at, ok := m.successes[id]
	return ok && now.Sub(at) < recentSuccess
}
