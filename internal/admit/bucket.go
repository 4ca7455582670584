package admit

import (
	"time"

	"tarragongauge.example/tarragongauge/pkg/model"
)

const (
	// maxTokenWait bounds the Retry-After of a draw. An owner grants only a small
	// fraction of the rate while few entry hosts are present.
	maxTokenWait = 10 * time.Second
	// minRate is in tokens per second. It keeps the Retry-After finite while no
	// entry host is present and the owner grants nothing.
	minRate = 1e-3
)

// maxTokenValidity bounds how long a token may be used, counted from when its draw was sent.
const maxTokenValidity = 200 * time.Millisecond

// roundingMargin is subtracted from the capacity, in tokens, so that the sum of
// floating-point refills stays below rate × T + burst.
const roundingMargin = 1e-6

// tokenValidity returns how long tokens may be used after they were drawn,
// which is the time E in the comment of bucket.
func tokenValidity(l model.Limits) time.Duration {
	e := (l.Burst - 1) / (2 * l.Rate)
	return min(maxTokenValidity, time.Duration(e*float64(time.Second)))
}

// bucket is the token bucket of one workspace at the owner of its shard.
//
// Let E be the time that a token may be used after its draw. The tokens used in
// a window of length T were drawn in a window of length T + E. With a capacity
// of burst - rate × E at most rate × T + burst tokens are drawn in that window.
type bucket struct {
	workspace model.WorkspaceID
	limits    model.Limits
	tokens    float64
	// filledUntil is the instant up to which tokens were added. An instant in the
	// future suspends refilling until then.
	filledUntil model.Instant
	lastUsedAt  model.Instant
	// recentDraws holds the latest draws of each host, so that a repeated DrawAsk
	// gets the answer to the first one and draws no further tokens.
	recentDraws map[model.HostID]*drawHistory
	// outstanding holds the reserves that standbys may hold. The owner grants no
	// token that would leave less than the greatest of them in the bucket.
	outstanding []outstandingReserve
	// reserve is the newest reserve for the present standby.
	reserve reserveState
}

// capacity returns the greatest number of tokens in the bucket.
func (b *bucket) capacity() float64 {
	return b.limits.Burst - b.limits.Rate*tokenValidity(b.limits).Seconds() - roundingMargin
}

// refill adds the tokens since filledUntil at a rate of perSecond, up to the capacity.
func (b *bucket) refill(now model.Instant, perSecond float64) {
	if now <= b.filledUntil {
		return
	}
	b.tokens = min(b.capacity(), b.tokens+perSecond*now.Sub(b.filledUntil).Seconds())
	b.filledUntil = now
}

// take removes up to n tokens, leaves at least reserved tokens in the bucket,
// and returns the number removed.
func (b *bucket) take(n, reserved int) int {
	granted := max(0, min(n, int(b.tokens-float64(reserved))))
	b.tokens -= float64(granted)
	return granted
}

// timeToNextToken returns how long it takes until the bucket holds one token
// when refilled at perSecond: at most maxTokenWait after the time for which
// refilling is suspended.
func (b *bucket) timeToNextToken(now model.Instant, perSecond float64) time.Duration {
	missing := max(0, 1-b.tokens)
	d := min(maxTokenWait, time.Duration(missing/max(perSecond, minRate)*float64(time.Second)))
	return d + max(0, b.filledUntil.Sub(now)) + time.Microsecond
}

// setLimits changes the limits of a bucket that was refilled up to now. Tokens
// drawn under the old limits may still be used for maxTokenValidity, so nothing
// is added during that time.
func (b *bucket) setLimits(now model.Instant, l model.Limits, s settings) {
	if l == b.limits {
		return
	}
	b.limits = l
	b.tokens = max(0, min(b.tokens, b.capacity()))
	b.filledUntil = max(b.filledUntil, now.Add(s.localAtLeast(maxTokenValidity)))
}

// maxRecentDraws is how many draws of a workspace are remembered for each host.
// A Limiter has at most that many in flight.
const maxRecentDraws = maxPendingDraws

// drawHistory holds the latest draws of one host from one bucket.
type drawHistory struct {
	// draws is a ring buffer; the entry at added % maxRecentDraws is the oldest.
	draws [maxRecentDraws]answeredDraw
	// added counts all draws that were added so far.
	added      int
	lastUsedAt model.Instant
}

// answeredDraw is the answer that a DrawAsk got.
type answeredDraw struct {
	nonce    uint64
	granted  int
	validFor time.Duration
}

// find returns the draw with a nonce, and whether it is remembered.
func (h *drawHistory) find(nonce uint64) (answeredDraw, bool) {
	for _, d := range h.draws {
		if d.nonce == nonce && d.validFor > 0 {
			return d, true
		}
	}
	return answeredDraw{}, false
}

// add remembers a draw in place of the oldest one.
func (h *drawHistory) add(d answeredDraw) {
	h.draws[h.added%maxRecentDraws] = d
	h.added++
}
