package admit

import (
	"time"

	"tarragongauge.example/tarragongauge/pkg/model"
)

const (
	// maxPendingDraws is how many draws of a workspace a host may have in flight.
	maxPendingDraws = 4
	// demandWindow is the interval over which the arrivals of requests are counted.
	demandWindow = 100 * time.Millisecond
	// demandWeight is the weight of the newest window in the moving average of the demand.
	demandWeight = 0.3
	// prefetchFraction is the fraction of a token's validity for whose expected
	// requests tokens are drawn ahead. If one request is expected in that time, a
	// token drawn ahead expires unused with a probability of e^-8.
	prefetchFraction = 1.0 / 8
	// maxExpectingRequests bounds the waiting requests of a workspace at a host
	// for which TokenExpected is sent.
	maxExpectingRequests = 16
	// maxWaitingRequests bounds the waiting requests of a workspace at a host.
	maxWaitingRequests = 4096
)

// tokenPool holds the tokens of one workspace at an entry host, the draws that
// bring more, and the requests that wait for them.
type tokenPool struct {
	workspace model.WorkspaceID
	shard     model.ShardID
	batches   []tokenBatch
	// waiting holds the waiting requests in the order of their arrival.
	waiting      []waitingRequest
	pendingDraws []pendingDraw
	// lastValidity is the validity of tokens in the owner's last answer, or 0.
	lastValidity time.Duration
	// nextDrawAt is the earliest instant for the next draw, set after the owner
	// had too few tokens or did not own the shard.
	nextDrawAt model.Instant
	// everAnswered is set once an owner has answered a draw, and lastAnswerAt is
	// when the last answer arrived.
	everAnswered bool
	lastAnswerAt model.Instant
	// retryAfter is the RetryAfter of the owner's last answer, or 0.
	retryAfter time.Duration
	// scarceUntil is the end of the scarcityPeriod, during which no request gets
	// the effect TokenExpected.
	scarceUntil model.Instant
	// inOutage is set once a request waited for tokenWaitTimeout without an answer
	// of the owner, and reset when no request waits or at outageEndsAt. Meanwhile
	// requests may wait for ownerWaitTimeout.
	inOutage bool
	// outageEndsAt is outageGracePeriod after the first answer in an outage, or 0 before.
	outageEndsAt model.Instant
	// isActive is set while the pool is in Limiter.activePools.
	isActive bool
	// unansweredSince is when the first draw since the owner's last answer was sent, or 0.
	unansweredSince model.Instant
	// lastDrawAt is when the last draw was first sent, or 0.
	lastDrawAt model.Instant
	// shareAsks holds the latest asks for tokens of other hosts' local shares
	// without an answer, and nextPeer the index of the peer to ask next.
	shareAsks []shareAsk
	nextPeer  int
	share     share
	// sharePhase, from 0 to 1, shifts the shareSchedule of this host and workspace
	// against those of others.
	sharePhase float64
	demand     demand
	lastUsedAt model.Instant
}

// tokenBatch is a number of tokens that expire together.
type tokenBatch struct {
	tokens     int
	validUntil model.Instant
}

// waitingRequest is a request that waits for a token.
type waitingRequest struct {
	request   model.RequestID
	arrivedAt model.Instant
	deadline  model.Instant
	// tokenExpected is set from the effect TokenExpected until TokenDelayed.
	tokenExpected bool
}

// pendingDraw is a DrawAsk without an answer.
type pendingDraw struct {
	nonce  uint64
	tokens int
	// sentAt is when the ask was sent first. The validity of its tokens counts
	// from then, however often the ask is repeated.
	sentAt     model.Instant
	lastSentAt model.Instant
}

// demand estimates the rate at which requests of a workspace arrive at this
// host, as an exponential moving average over windows of demandWindow.
type demand struct {
	windowStart model.Instant
	windowCount int
	perSecond   float64
}

// addArrival counts a request and updates the average for the windows that
// have ended since the last one.
func (d *demand) addArrival(now model.Instant) {
	for n := 0; now.Sub(d.windowStart) >= demandWindow; n++ {
		if n == 30 { // The average has decayed to less than a 40,000th.
			d.windowStart, d.perSecond = now, 0
			break
		}
		rate := float64(d.windowCount) / demandWindow.Seconds()
		d.perSecond += demandWeight * (rate - d.perSecond)
		d.windowStart, d.windowCount = d.windowStart.Add(demandWindow), 0
	}
	d.windowCount++
}

// takeToken removes the token that expires first, and all expired ones. It
// reports whether there was a valid token.
func (p *tokenPool) takeToken(now model.Instant) bool {
	best := -1
	for i := 0; i < len(p.batches); {
		if p.batches[i].tokens == 0 || now >= p.batches[i].validUntil {
			p.batches[i] = p.batches[len(p.batches)-1]
			p.batches = p.batches[:len(p.batches)-1]
			continue
		}
		if best < 0 || p.batches[i].validUntil < p.batches[best].validUntil {
			best = i
		}
		i++
	}
	if best < 0 {
		return false
	}
	p.batches[best].tokens--
	return true
}

// heldTokens returns the number of valid tokens in the pool.
func (p *tokenPool) heldTokens(now model.Instant) int {
	n := 0
	for _, b := range p.batches {
		if now < b.validUntil {
			n += b.tokens
		}
	}
	return n
}

// pendingTokens returns how many tokens the draws in flight ask for.
func (p *tokenPool) pendingTokens() int {
	n := 0
	for _, d := range p.pendingDraws {
		n += d.tokens
	}
	return n
}

// tokensToDraw returns how many tokens to draw now: those that the waiting
// requests lack, and those for the demand of the near future once less than
// about half of them are left.
func (p *tokenPool) tokensToDraw(now model.Instant) int {
	ahead := int(p.demand.perSecond * p.lastValidity.Seconds() * prefetchFraction)
	supply := p.heldTokens(now) + p.pendingTokens()
	if missing := len(p.waiting) - supply; missing > 0 {
		return missing + ahead
	}
	if left := supply - len(p.waiting); left <= ahead/2 {
		return ahead - left
	}
	return 0
}
