package ctrl

import (
	"time"

	"tarragongauge.example/tarragongauge/pkg/model"
)

const (
	// minResendTimeout is how long a message with entries or changes is assumed
	// to be in flight while it is not acknowledged. It doubles with each resend
	// up to maxResendTimeout. A loss is noticed earlier by the reply to a later
	// message.
	minResendTimeout = time.Second
	maxResendTimeout = 8 * time.Second
)

// inflight tracks what was sent to a host and is not acknowledged yet. On a
// slow link a large entry takes longer than the heartbeat interval; if each
// heartbeat sent it again, it would delay itself without end.
type inflight struct {
	// sentUpTo is the last log index or version that was sent. round is the round
	// of the last message, and the timeout counts from sentAt.
	sentUpTo uint64
	round    uint64
	sentAt   model.Instant
	timeout  time.Duration
}

// isPending reports whether what was sent beyond the acknowledged index or
// version may still arrive.
func (f *inflight) isPending(now model.Instant, acked uint64) bool {
	return f.sentUpTo > acked && now.Sub(f.sentAt) < f.timeout
}

// recordSend records that a message up to the index or version to was sent. A
// resend doubles the timeout.
func (f *inflight) recordSend(now model.Instant, acked, to, round uint64) {
	switch {
	case f.sentUpTo <= acked:
		f.timeout, f.sentAt = minResendTimeout, now
	case !f.isPending(now, acked):
		f.timeout, f.sentAt = min(2*f.timeout, maxResendTimeout), now
	}
	f.sentUpTo, f.round = max(f.sentUpTo, to), round
}

// isLost reports whether the reply to a message of this round, which does not
// acknowledge what was sent, shows that it was lost. It does unless the round
// is an earlier one, because messages and replies keep their order.
func (f *inflight) isLost(round uint64) bool { return round >= f.round }
