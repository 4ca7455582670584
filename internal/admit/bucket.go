package admit

import (
	"time"

	"tarragongauge.example/tarragongauge/pkg/model"
)

const (
	// maxTokenWait bounds the wait that is told while few hosts are heard.
	maxTokenWait = 10 * time.Second
	// minRate keeps the wait finite while no host is heard, in tokens per second.
	minRate = 1e-3
)

// maxValid bounds how long after its draw a token may be used.
const maxValid = 200 * time.Millisecond

// rounding is taken off the capacity, so that sums of floating-point refills stay below the bound.
const rounding = 1e-6

// validFor returns the time E that tokens may be used after they were drawn.
func validFor(l model.Limits) time.Duration {
	e := (l.Burst - 1) / (2 * l.Rate)
	return min(maxValid, time.Duration(e*float64(time.Second)))
}

// bucket holds the tokens of one workspace.
//
// Uses in a window of length T come from draws in a window of length T + E.
// With a capacity of burst - rate × E these are at most rate × T + burst.
type bucket struct {
	workspace model.WorkspaceID
	limits    model.Limits
	tokens    float64
	// at is the instant up to which tokens were added. It lies in the future
	// while refilling is suspended.
	at   model.Instant
	used model.Instant
	// recent keeps the latest draws of each host, so that a repeated ask gets the first answer.
	recent map[model.HostID]*recent
	// escrow is what notes hold at standbys. The bucket does not fall below the greatest of them.
	escrow []escrow
	note   noteState
}

func (b *bucket) capacity() float64 {
	return b.limits.Burst - b.limits.Rate*validFor(b.limits).Seconds() - rounding
}

func (b *bucket) refill(now model.Instant, perSecond float64) {
	if now <= b.at {
		return
	}
	b.tokens = min(b.capacity(), b.tokens+perSecond*now.Sub(b.at).Seconds())
	b.at = now
}

// take grants up to n tokens and leaves keep tokens in the bucket.
func (b *bucket) take(n, keep int) int {
	granted := max(0, min(n, int(b.tokens-float64(keep))))
	b.tokens -= float64(granted)
	return granted
}

// wait returns how long it takes until the next token, at most maxTokenWait.
func (b *bucket) wait(now model.Instant, perSecond float64) time.Duration {
	missing := max(0, 1-b.tokens)
	d := min(maxTokenWait, time.Duration(missing/max(perSecond, minRate)*float64(time.Second)))
	return d + max(0, b.at.Sub(now)) + time.Microsecond
}

// setLimits changes the limits of a bucket that was refilled up to now. Tokens
// drawn under the old limits may still be used for maxValid, so nothing is added
// during that time.
func (b *bucket) setLimits(now model.Instant, l model.Limits, s settings) {
	if l == b.limits {
		return
	}
	b.limits = l
	b.tokens = max(0, min(b.tokens, b.capacity()))
	b.at = max(b.at, now.Add(s.atLeast(maxValid)))
}

// recentDraws is how many draws of a host are remembered; a wallet has at most that many under way.
const recentDraws = maxDraws

// recent are the latest draws of one host.
type recent struct {
	draws [recentDraws]drawn
	next  int
	used  model.Instant
}

type drawn struct {
	nonce    uint64
	granted  int
	validFor time.Duration
}

func (r *recent) find(nonce uint64) (drawn, bool) {
	for _, d := range r.draws {
		if d.nonce == nonce && d.validFor > 0 {
			return d, true
		}
	}
	return drawn{}, false
}

func (r *recent) add(d drawn) {
	r.draws[r.next%recentDraws] = d
	r.next++
}
