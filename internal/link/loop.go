package link

import (
	"context"
	"sync/atomic"

	"tarragongauge.example/tarragongauge/internal/proto"
)

// loop carries the messages of a host to itself.
type loop struct {
	ch        chan proto.Message
	delivered atomic.Uint64
	dropped   atomic.Uint64
}

func newLoop(limit int) *loop {
	return &loop{ch: make(chan proto.Message, limit)}
}

func (l *loop) put(m proto.Message) bool {
	select {
	case l.ch <- m:
		return true
	default:
		l.dropped.Add(1)
		return false
	}
}

func (l *loop) take(ctx context.Context) (proto.Message, bool) {
	select {
	case m := <-l.ch:
		l.delivered.Add(1)
		return m, true
	case <-ctx.Done():
		return nil, false
	}
}

func (l *loop) stats() Stats {
	n := l.delivered.Load()
	return Stats{Linked: true, SentMessages: n, ReceivedMessages: n, Dropped: l.dropped.Load(), Queued: len(l.ch)}
}
