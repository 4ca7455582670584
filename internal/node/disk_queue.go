package node

import (
	"context"
	"sync"
	"time"
)

// reopenEvery is the interval at which a disk that failed is tried again. A full
// disk takes writes again once there is room.
const reopenEvery = time.Second

// persister writes what a core wants durable, in order, many at a time, and
// tells the core when it is synced. The core is never blocked by the disk.
type persister[T any] struct {
	write  func(batch []T) error
	synced func(T)
	failed func(error)
	// reopen opens the files again after an error. It takes what was queued
	// meanwhile, whether it succeeds or not. Without it nothing is written after an
	// error.
	reopen func() error
	wake   chan struct{}

	mu sync.Mutex
	// queue is guarded by mu.
	queue []T
}

func newPersister[T any](write func([]T) error, synced func(T), failed func(error)) *persister[T] {
	return &persister[T]{write: write, synced: synced, failed: failed, wake: make(chan struct{}, 1)}
}

func (p *persister[T]) add(item T) {
	p.mu.Lock()
	p.queue = append(p.queue, item)
	p.mu.Unlock()
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// run writes batches until ctx ends. After an error nothing is written until the
// files were opened again, because the state of the disk is unknown.
func (p *persister[T]) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-p.wake:
		}
		batch := p.take()
		if len(batch) == 0 {
			continue
		}
		if err := p.write(batch); err != nil {
			p.failed(err)
			if p.reopen == nil || !p.recover(ctx) {
				return nil
			}
			continue
		}
		for _, item := range batch {
			p.synced(item)
		}
	}
}

// recover tries to open the files again until it succeeds or ctx ends.
func (p *persister[T]) recover(ctx context.Context) bool {
	tick := time.NewTicker(reopenEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return false
		case <-tick.C:
		}
		if err := p.reopen(); err == nil {
			return true
		}
	}
}

func (p *persister[T]) take() []T {
	p.mu.Lock()
	defer p.mu.Unlock()
	batch := p.queue
	p.queue = nil
	return batch
}
