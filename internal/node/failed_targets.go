package node

import (
	"slices"
	"sync"
	"time"

	"tarragongauge.example/tarragongauge/pkg/model"
)

const (
	// maxFailedTargets bounds the targets reported in one message.
	maxFailedTargets = 64
	// failureRetention is how long a relay reports a failed target: the cooldown
	// of the target at an entry host, less the time until the next ask.
	failureRetention = 1400 * time.Millisecond
)

// failedTargets holds targets at which attempts failed. Entry hosts report them
// to their relay, and the relay reports them to its other entry hosts. While a
// service has no owner, an entry host then learns of a failure without a failed
// request of its own. failedTargets is safe for concurrent use.
type failedTargets struct {
	mu sync.Mutex
	// failedAt holds the time of each target's last failure. It is guarded by mu.
	failedAt map[model.TargetID]model.Instant
}

func newFailedTargets() *failedTargets {
	return &failedTargets{failedAt: map[model.TargetID]model.Instant{}}
}

// record adds targets that failed at now.
func (f *failedTargets) record(now model.Instant, targets ...model.TargetID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, id := range targets {
		if len(f.failedAt) < maxFailedTargets || f.failedAt[id] != 0 {
			f.failedAt[id] = now
		}
	}
}

// take returns the targets in order and removes them.
func (f *failedTargets) take() []model.TargetID {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := f.sorted()
	clear(f.failedAt)
	return list
}

// recent returns the targets that failed within failureRetention, in order.
func (f *failedTargets) recent(now model.Instant) []model.TargetID {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, at := range f.failedAt {
		if now.Sub(at) > failureRetention {
			delete(f.failedAt, id)
		}
	}
	return f.sorted()
}

// sorted returns the targets in order. The caller holds mu.
func (f *failedTargets) sorted() []model.TargetID {
	list := make([]model.TargetID, 0, len(f.failedAt))
	for id := range f.failedAt {
		list = append(list, id)
	}
	slices.Sort(list)
	return list
}
