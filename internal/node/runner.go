package node

import (
	"sync"
	"time"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// replacePollInterval is the interval at which replace checks whether all effects
// have been applied.
const replacePollInterval = time.Millisecond

// runner drives one decision core. Events may be posted from any goroutine, also
// while an effect of the same core is being applied. Effects are applied one at a
// time, in the order in which the core returned them.
type runner[E, F any] struct {
	clock clock
	step  func(model.Instant, E) []F
	apply func(F)

	mu sync.Mutex
	// queue holds the effects that have not been applied yet. It is guarded by
	// mu.
	queue []F
	// busy is set while a goroutine applies effects. It is guarded by mu.
	busy bool
}

func newRunner[E, F any](c clock, step func(model.Instant, E) []F, apply func(F)) *runner[E, F] {
	return &runner[E, F]{clock: c, step: step, apply: apply}
}

// post steps the core and applies its effects. If another goroutine, or a caller
// of this one, is already applying effects, the new ones are left to it.
func (r *runner[E, F]) post(ev E) {
	r.mu.Lock()
	r.queue = append(r.queue, r.step(r.clock.now(), ev)...)
	if r.busy {
		r.mu.Unlock()
		return
	}
	r.busy = true
	for len(r.queue) > 0 {
		batch := r.queue
		r.queue = nil
		r.mu.Unlock()
		for _, f := range batch {
			r.apply(f)
		}
		r.mu.Lock()
	}
	r.busy = false
	r.mu.Unlock()
}

// read runs fn while no event is being stepped.
func (r *runner[E, F]) read(fn func(now model.Instant)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fn(r.clock.now())
}

// replace makes another core handle all further events. It waits until the
// effects of the current core have been applied, then calls swap.
func (r *runner[E, F]) replace(step func(model.Instant, E) []F, swap func()) {
	for {
		r.mu.Lock()
		if !r.busy && len(r.queue) == 0 {
			r.step = step
			swap()
			r.mu.Unlock()
			return
		}
		r.mu.Unlock()
		time.Sleep(replacePollInterval)
	}
}
