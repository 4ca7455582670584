package link

import (
	"context"
	"sync/atomic"

	"tarragongauge.example/tarragongauge/internal/proto"
)

// loopback is the queue of the messages that a host sends to itself.
type loopback struct {
	ch        chan proto.Message
	delivered atomic.Uint64
	dropped   atomic.Uint64
}

// newLoopback returns a queue of at most limit messages.
func newLoopback(limit int) *loopback {
	return &loopback{ch: make(chan proto.Message, limit)}
}

// put queues a message, or drops it and returns false if the queue is full.
func (l *loopback) put(m proto.Message) bool {
	select {
	case l.ch <- m:
		return true
	default:
		l.dropped.Add(1)
		return false
	}
}

// take waits for a message and removes it from the queue. It returns false once
// ctx is canceled.
func (l *loopback) take(ctx context.Context) (proto.Message, bool) {
	select {
	case m := <-l.ch:
		l.delivered.Add(1)
		return m, true
	case <-ctx.Done():
		return nil, false
	}
}

// stats returns the figures of the queue as those of a link that is always open.
func (l *loopback) stats() Stats {
	n := l.delivered.Load()
	return Stats{Linked: true, SentMessages: n, ReceivedMessages: n, Dropped: l.dropped.Load(), Queued: len(l.ch)}
}
