package node

import (
	"context"
	"sync"
	"time"
)

// reopenInterval is the interval between attempts to use a failed disk again. A
// full disk accepts writes again once it has space.
const reopenInterval = time.Second

// diskQueue carries out the disk operations of a core in the background, in order
// and in batches, and reports each operation that is done. The core never waits
// for the disk.
type diskQueue[T any] struct {
	process func(batch []T) error
	done    func(T)
	onError func(error)
	// reopen opens the files again after an error. It must take the items that
	// were queued meanwhile, whether it succeeds or not. If it is nil, nothing is
	// processed after an error.
	reopen func() error
	wake   chan struct{}

	mu sync.Mutex
	// queue is guarded by mu.
	queue []T
}

func newDiskQueue[T any](process func([]T) error, done func(T), onError func(error)) *diskQueue[T] {
	return &diskQueue[T]{process: process, done: done, onError: onError, wake: make(chan struct{}, 1)}
}

func (q *diskQueue[T]) add(item T) {
	q.mu.Lock()
	q.queue = append(q.queue, item)
	q.mu.Unlock()
	q.notify()
}

// replace drops the operations that wait and adds one that includes them. Only
// the latter is reported as done.
func (q *diskQueue[T]) replace(item T) {
	q.mu.Lock()
	q.queue = []T{item}
	q.mu.Unlock()
	q.notify()
}

func (q *diskQueue[T]) notify() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// run processes batches until ctx ends. After an error nothing is processed until
// the files have been opened again, because the state of the disk is unknown.
func (q *diskQueue[T]) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-q.wake:
		}
		batch := q.take()
		if len(batch) == 0 {
			continue
		}
		if err := q.process(batch); err != nil {
			q.onError(err)
			if q.reopen == nil || !q.recover(ctx) {
				return nil
			}
			continue
		}
		for _, item := range batch {
			q.done(item)
		}
	}
}

// recover calls reopen until it succeeds or ctx ends, and reports whether it
// succeeded.
func (q *diskQueue[T]) recover(ctx context.Context) bool {
	tick := time.NewTicker(reopenInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return false
		case <-tick.C:
		}
		if err := q.reopen(); err == nil {
			return true
		}
	}
}

func (q *diskQueue[T]) take() []T {
	q.mu.Lock()
	defer q.mu.Unlock()
	batch := q.queue
	q.queue = nil
	return batch
}
