package node

import (
	"slices"
	"sync"
	"time"

	"tarragongauge.example/tarragongauge/pkg/model"
)

const (
	// maxFailed bounds the targets that one message names.
	maxFailed = 64
	// failedFor is how long a relay passes on that a target failed: as long as
	// an entry host doubts it, less the time until the next ask.
	failedFor = 1400 * time.Millisecond
)

// failedTargets are targets at which attempts failed. Entry hosts tell their
// relay, and the relay tells its other entry hosts, so that without an owner
// not each of them has to find out by a request of its own. It is safe for
// concurrent use.
type failedTargets struct {
	mu sync.Mutex
	// at is when a target last failed, guarded by mu.
	at map[model.TargetID]model.Instant
}

func newFailedTargets() *failedTargets {
	return &failedTargets{at: map[model.TargetID]model.Instant{}}
}

// note adds targets that failed just now.
func (f *failedTargets) note(now model.Instant, targets ...model.TargetID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, id := range targets {
		if len(f.at) < maxFailed || f.at[id] != 0 {
			f.at[id] = now
		}
	}
}

// take returns the targets and forgets them.
func (f *failedTargets) take() []model.TargetID {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := f.names()
	clear(f.at)
	return list
}

// recent returns the targets that failed within failedFor.
func (f *failedTargets) recent(now model.Instant) []model.TargetID {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, at := range f.at {
		if now.Sub(at) > failedFor {
			delete(f.at, id)
		}
	}
	return f.names()
}

// names returns the targets in order. The caller holds mu.
func (f *failedTargets) names() []model.TargetID {
	list := make([]model.TargetID, 0, len(f.at))
	for id := range f.at {
		list = append(list, id)
	}
	slices.Sort(list)
	return list
}
