package node

import (
	"context"
	"sync"
)

// persister writes what a core wants durable, in order, many at a time, and
// tells the core when it is synced. The core is never blocked by the disk.
type persister[T any] struct {
	write  func(batch []T) error
	synced func(T)
	failed func(error)
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

// run writes batches until ctx ends. After the first error nothing is written
// any more, because the state of the disk is unknown.
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
			return nil
		}
		for _, item := range batch {
			p.synced(item)
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
