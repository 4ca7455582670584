package warm

import (
	"time"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// burstTime is the time for which requests are saved up for a target, one request at
// least. It is short because the requests that were saved up arrive at once.
const burstTime = 100 * time.Millisecond

// Bucket is the token bucket of one target at the owner of its service. The zero
// value has the rate 0 and allows nothing.
type Bucket struct {
	perSecond  float64
	tokens     float64
	refilledAt model.Instant
}

// NewBucket returns a bucket without tokens. A new owner begins with it, since the
// one before it may have spent all of them just now.
func NewBucket(now model.Instant, perSecond float64) Bucket {
	return Bucket{perSecond: perSecond, refilledAt: now}
}

// WithRate returns the bucket with another rate from now on.
func (b Bucket) WithRate(now model.Instant, perSecond float64) Bucket {
	return Bucket{perSecond: perSecond, tokens: b.Level(now), refilledAt: now}
}

// PerSecond returns the rate of the bucket.
func (b *Bucket) PerSecond() float64 { return b.perSecond }

// Level returns the number of requests saved up.
func (b *Bucket) Level(now model.Instant) float64 {
	burst := max(1, b.perSecond*burstTime.Seconds())
	return min(burst, b.tokens+b.perSecond*now.Sub(b.refilledAt).Seconds())
}

// Allows reports whether the target takes a request now.
func (b *Bucket) Allows(now model.Instant) bool { return b.Level(now) >= 1 }

// Take counts a request that is sent to the target.
func (b *Bucket) Take(now model.Instant) { b.tokens, b.refilledAt = b.Level(now)-1, now }

// Wait returns the time until the target takes the n-th request from now. The rate
// must be greater than 0.
func (b *Bucket) Wait(now model.Instant, n int) time.Duration {
	missing := max(0, float64(n)-b.Level(now))
	return time.Duration(missing / b.perSecond * float64(time.Second))
}
