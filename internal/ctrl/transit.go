package ctrl

import (
	"time"

	"tarragongauge.example/tarragongauge/pkg/model"
)

const (
	// resendFirst is how long entries or changes that were sent and not
	// acknowledged are taken to be on their way; it doubles up to resendMost while
	// nothing arrives. What was lost is noticed earlier, by the reply to a later message.
	resendFirst = time.Second
	resendMost  = 8 * time.Second
)

// transit is what was sent to a host and not acknowledged yet. A large entry
// takes longer than an interval of heartbeats on a slow link; sent again each
// time it would delay itself without end.
type transit struct {
	// to is the last index or version sent, round that of the message, at its time.
	to    uint64
	round uint64
	at    model.Instant
	wait  time.Duration
}

// underway reports whether what was sent beyond an acknowledged index may still arrive.
func (t *transit) underway(now model.Instant, acked uint64) bool {
	return t.to > acked && now.Sub(t.at) < t.wait
}

// sent notes a message. A repetition doubles the wait.
func (t *transit) sent(now model.Instant, acked, to, round uint64) {
	switch {
	case t.to <= acked:
		t.wait, t.at = resendFirst, now
	case !t.underway(now, acked):
		t.wait, t.at = min(2*t.wait, resendMost), now
	}
	t.to, t.round = max(t.to, to), round
}

// lost reports whether a reply to a message of a round, which does not
// acknowledge what was sent, shows that it was lost: replies and messages keep their order.
func (t *transit) lost(round uint64) bool { return round >= t.round }
