package admit

import (
	"hash/fnv"
	"slices"
	"time"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

const (
	// tokenWaitTimeout is how long a request waits for a token of an owner that answers.
	tokenWaitTimeout = 250 * time.Millisecond
	// ownerWaitTimeout is how long a request waits while no owner answers.
	ownerWaitTimeout = 3 * time.Second
	// resendInterval is the interval at which a draw without an answer is repeated.
	resendInterval = 20 * time.Millisecond
	// drawTimeout is how long a draw may stay without an answer before a new one
	// replaces it. The tokens of a new draw are valid for longer.
	drawTimeout = 60 * time.Millisecond
	// minPollInterval and maxPollInterval bound the interval between draws from an empty bucket.
	minPollInterval = 10 * time.Millisecond
	maxPollInterval = 100 * time.Millisecond
	// settlePeriod is how long after a change of owner no request is refused for
	// the rate or for its time without an owner. The requests that waited during
	// the change use up the new owner's bucket, so later requests within the rate
	// find it empty and need the period as well. 3 s still refused some of them
	// (a median of 0.05 % in the worst workspace), 5 s refused none.
	settlePeriod = 5 * time.Second
	// settleWaitTimeout is how long a request waits within settlePeriod if hosts
	// have local shares. The bucket of a new owner starts empty, and two seconds
	// of requests within the rate may have waited for it.
	settleWaitTimeout = time.Second
	// scarcityPeriod is how long after a draw got too few tokens or a request was
	// refused no target is asked for ahead of the token.
	scarcityPeriod = time.Second
	// outageGracePeriod bounds how long, after the owner answers again, requests
	// may still wait for ownerWaitTimeout.
	outageGracePeriod = 30 * time.Second
	// poolIdleTimeout is how long a token pool must be unused before it is dropped.
	poolIdleTimeout = 60 * time.Second
)

// Limiter is the Core that draws tokens from the owners of workspace shards and
// admits the requests of one entry host, per workspace in the order of their
// arrival.
type Limiter struct {
	settings
	// seed differs between hosts and runs.
	seed uint64
	// startedAt is when the first event arrived, or 0 before. The owners may have
	// started at the same time, so isSettling counts from it as from a change of owner.
	startedAt model.Instant
	// owners holds the present owner of each shard, or "" if there is none.
	owners [model.WorkspaceShards]model.HostID
	// lastOwners holds the latest owner of each shard and its epoch, also after it
	// lost the shard.
	lastOwners [model.WorkspaceShards]proto.Owner
	// ownerlessSince holds when each shard last lost its owner, or 0 if it never did.
	ownerlessSince [model.WorkspaceShards]model.Instant
	// settledAt holds the end of the settlePeriod after the last change of each
	// shard's owner or epoch, or 0 if there was none.
	settledAt [model.WorkspaceShards]model.Instant
	pools     map[model.WorkspaceID]*tokenPool
	// poolList holds all pools in the order of their creation.
	poolList []*tokenPool
	// activePools holds the pools with waiting requests or pending draws.
	activePools []*tokenPool
	// poolOfRequest holds the pool in which each waiting request waits.
	poolOfRequest map[model.RequestID]*tokenPool
	// lastNonce is the nonce of the newest draw.
	lastNonce   uint64
	nextSweepAt model.Instant
	cfg         model.Config
	entryHosts  hostCount
	// peers holds the hosts that are asked for tokens of their local shares.
	peers []model.HostID
	// effects collects the effects of the current Step.
	effects []Effect
}

// NewLimiter returns a Limiter of the host self without tokens.
func NewLimiter(self model.HostID, opts ...Option) *Limiter {
	s := newSettings(opts)
	return &Limiter{
		settings:      s,
		seed:          firstNonce(self, s.incarnation),
		pools:         map[model.WorkspaceID]*tokenPool{},
		poolOfRequest: map[model.RequestID]*tokenPool{},
		lastNonce:     firstNonce(self, s.incarnation),
	}
}

// firstNonce returns a start for the nonces of draws that differs between hosts
// and runs. Otherwise a late reply to an earlier run could match a draw of this
// run, and its tokens would be used after they have expired.
func firstNonce(self model.HostID, run model.Incarnation) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(self))
	x := h.Sum64() ^ uint64(run)*0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

// sharePhaseOf returns a number from 0 to 1 that is evenly distributed over
// host seeds and workspaces.
func sharePhaseOf(seed uint64, ws model.WorkspaceID) float64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(ws))
	return float64((h.Sum64()^seed)*0x9e3779b97f4a7c15>>11) / (1 << 53)
}

// Step processes one event. The returned slice is valid until the next Step.
func (l *Limiter) Step(now model.Instant, ev Event) []Effect {
	l.effects = l.effects[:0]
	if l.startedAt == 0 {
		l.startedAt = now
	}
	switch ev := ev.(type) {
	case Arrived:
		l.arrive(now, ev)
	case Received:
		l.receive(now, ev)
	case PeersListed:
		l.setPeers(ev.Peers)
	case RequestAbandoned:
		l.abandon(ev.Request)
	case OwnersChanged:
		l.setOwners(now, ev.Owners)
	case Configured:
		l.cfg = ev.Config
	case EntryHostCountChanged:
		l.entryHosts.update(now, ev.Count)
	case Tick:
		l.tick(now)
	}
	return l.effects
}

func (l *Limiter) receive(now model.Instant, ev Received) {
	switch m := ev.Msg.(type) {
	case proto.DrawReply:
		l.handleReply(now, m)
	case proto.ShareAsk:
		l.handleShareAsk(now, ev.From, m)
	case proto.ShareGift:
		l.handleShareGift(now, m)
	}
}

// pool returns the token pool of a workspace and marks it as used.
func (l *Limiter) pool(now model.Instant, ws model.WorkspaceID) *tokenPool {
	p, ok := l.pools[ws]
	if !ok {
		p = &tokenPool{workspace: ws, shard: model.WorkspaceShard(ws), sharePhase: sharePhaseOf(l.seed, ws)}
		l.pools[ws] = p
		l.poolList = append(l.poolList, p)
	}
	p.lastUsedAt = now
	return p
}

// arrive admits a request if the pool has a token. Otherwise the request waits,
// or is refused if too many wait.
func (l *Limiter) arrive(now model.Instant, ev Arrived) {
	p := l.pool(now, ev.Workspace)
	p.demand.addArrival(now)
	if len(p.waiting) == 0 && p.takeToken(now) {
		l.effects = append(l.effects, Admitted{Request: ev.Request})
		l.sendDraw(now, p)
		return
	}
	if len(p.waiting) >= maxWaitingRequests {
		// Whether the owner answers shows in the requests that wait.
		l.refuse(p, ev.Request, p.waiting[0].arrivedAt)
		return
	}
	tokenExpected := l.owners[p.shard] != "" && now >= p.scarceUntil && len(p.pendingDraws) < maxPendingDraws && len(p.waiting) < maxExpectingRequests
	p.waiting = append(p.waiting, waitingRequest{request: ev.Request, arrivedAt: now, deadline: ev.Deadline, tokenExpected: tokenExpected})
	l.poolOfRequest[ev.Request] = p
	l.activate(p)
	l.sendDraw(now, p)
	if l.usesShare(now, p) {
		l.admitFromShare(now, p)
		return
	}
	if tokenExpected {
		l.effects = append(l.effects, TokenExpected{Request: ev.Request})
	}
}

// markScarce revokes every TokenExpected of a workspace and suppresses new ones
// for scarcityPeriod. A workspace above its rate would otherwise keep targets
// from others while its requests wait to be refused.
func (l *Limiter) markScarce(now model.Instant, p *tokenPool) {
	p.scarceUntil = now.Add(scarcityPeriod)
	for i := range p.waiting {
		if p.waiting[i].tokenExpected {
			p.waiting[i].tokenExpected = false
			l.effects = append(l.effects, TokenDelayed{Request: p.waiting[i].request})
		}
	}
}

// activate adds a pool to activePools if it is not there.
func (l *Limiter) activate(p *tokenPool) {
	if !p.isActive {
		p.isActive = true
		l.activePools = append(l.activePools, p)
	}
}

// sendDraw starts a draw if the pool needs tokens, there is an owner, and no
// limit on draws forbids it.
func (l *Limiter) sendDraw(now model.Instant, p *tokenPool) {
	owner := l.owners[p.shard]
	if owner == "" || now < p.nextDrawAt || len(p.pendingDraws) >= maxPendingDraws {
		return
	}
	if n := p.tokensToDraw(now); n > 0 {
		l.draw(now, p, owner, n)
	}
}

// draw starts a draw of n tokens.
func (l *Limiter) draw(now model.Instant, p *tokenPool, owner model.HostID, n int) {
	l.lastNonce++
	d := pendingDraw{nonce: l.lastNonce, tokens: n, sentAt: now, lastSentAt: now}
	p.pendingDraws = append(p.pendingDraws, d)
	p.lastDrawAt = now
	if p.unansweredSince == 0 {
		p.unansweredSince = now
	}
	l.activate(p)
	l.sendAsk(owner, p, d)
}

// sendAsk sends the DrawAsk of a draw, for the first time or again.
func (l *Limiter) sendAsk(owner model.HostID, p *tokenPool, d pendingDraw) {
	l.effects = append(l.effects, Send{To: owner, Msg: proto.DrawAsk{Nonce: d.nonce, Workspace: p.workspace, Tokens: d.tokens}})
}

// handleReply adds the granted tokens to the pool and admits waiting requests.
// A second reply to the same draw is ignored, since its tokens were counted.
func (l *Limiter) handleReply(now model.Instant, m proto.DrawReply) {
	p, ok := l.pools[m.Workspace]
	if !ok {
		return
	}
	i := slices.IndexFunc(p.pendingDraws, func(d pendingDraw) bool { return d.nonce == m.Nonce })
	if i < 0 {
		return
	}
	d := p.pendingDraws[i]
	p.pendingDraws = slices.Delete(p.pendingDraws, i, i+1)
	if m.NotOwner {
		l.markScarce(now, p)
		p.nextDrawAt = now.Add(resendInterval)
		return
	}
	p.recordAnswer(now, m)
	until := d.sentAt.Add(l.localAtMost(m.ValidFor))
	granted := min(m.GrantedTokens, d.tokens)
	if granted > 0 && until > now {
		p.batches = append(p.batches, tokenBatch{tokens: granted, validUntil: until})
	}
	short := granted < d.tokens && m.RetryAfter > 0
	if short {
		p.nextDrawAt = now.Add(min(max(m.RetryAfter, minPollInterval), maxPollInterval))
	}
	l.admitWaiting(now, p)
	if short {
		l.markScarce(now, p)
	}
	l.sendDraw(now, p)
}

// recordAnswer records that the owner answered a draw.
func (p *tokenPool) recordAnswer(now model.Instant, m proto.DrawReply) {
	if p.inOutage && p.outageEndsAt == 0 {
		p.outageEndsAt = now.Add(outageGracePeriod)
	}
	p.everAnswered, p.lastAnswerAt = true, now
	p.unansweredSince = 0
	p.retryAfter = m.RetryAfter
	if m.ValidFor > 0 {
		p.lastValidity = m.ValidFor
	}
}

// admitWaiting admits waiting requests as far as the pool has tokens.
func (l *Limiter) admitWaiting(now model.Instant, p *tokenPool) {
	n := 0
	for n < len(p.waiting) && p.takeToken(now) {
		l.effects = append(l.effects, Admitted{Request: p.waiting[n].request})
		delete(l.poolOfRequest, p.waiting[n].request)
		n++
	}
	p.waiting = slices.Delete(p.waiting, 0, n)
}

// abandon removes a request if it still waits.
func (l *Limiter) abandon(id model.RequestID) {
	p, ok := l.poolOfRequest[id]
	if !ok {
		return
	}
	delete(l.poolOfRequest, id)
	p.waiting = slices.DeleteFunc(p.waiting, func(r waitingRequest) bool { return r.request == id })
}

// setOwners replaces the table of owners and redirects the draws of active
// pools whose shard has another owner than before.
func (l *Limiter) setOwners(now model.Instant, owners []proto.Owner) {
	before := l.owners
	l.owners = [model.WorkspaceShards]model.HostID{}
	for _, o := range owners {
		if o.Shard >= model.WorkspaceShards {
			continue
		}
		l.owners[o.Shard] = o.Host
		if last := l.lastOwners[o.Shard]; last != o {
			l.lastOwners[o.Shard] = o
			if last.Host != "" {
				l.settledAt[o.Shard] = now.Add(settlePeriod)
			}
		}
	}
	for shard, owner := range l.owners {
		if owner == "" && before[shard] != "" {
			l.ownerlessSince[shard] = now
		}
	}
	for _, p := range l.activePools {
		if l.owners[p.shard] == before[p.shard] {
			continue
		}
		// The pending draws went to the earlier owner, so the new one is asked at once.
		l.markScarce(now, p)
		p.pendingDraws = p.pendingDraws[:0]
		p.nextDrawAt = now
		l.sendDraw(now, p)
	}
}

// tick repeats and starts draws, and admits or refuses waiting requests.
func (l *Limiter) tick(now model.Instant) {
	for _, p := range l.activePools {
		l.resendDraws(now, p)
		if len(p.waiting) > 0 && p.waiting[0].tokenExpected && now.Sub(p.waiting[0].arrivedAt) >= resendInterval {
			l.markScarce(now, p)
		}
		if l.usesShare(now, p) {
			l.admitFromShare(now, p)
			l.askPeers(now, p)
		}
		l.refuseExpired(now, p)
		l.sendDraw(now, p)
	}
	l.activePools = slices.DeleteFunc(l.activePools, func(p *tokenPool) bool {
		p.isActive = len(p.waiting) > 0 || len(p.pendingDraws) > 0
		return !p.isActive
	})
	l.sweep(now)
}

// resendDraws repeats pending draws with the same nonce, so that the owner does
// not grant tokens twice. It drops draws older than drawTimeout, whose tokens
// would be valid for too short a time.
func (l *Limiter) resendDraws(now model.Instant, p *tokenPool) {
	p.pendingDraws = slices.DeleteFunc(p.pendingDraws, func(d pendingDraw) bool { return now.Sub(d.sentAt) >= drawTimeout })
	owner := l.owners[p.shard]
	for i := range p.pendingDraws {
		d := &p.pendingDraws[i]
		if owner != "" && now.Sub(d.lastSentAt) >= resendInterval {
			d.lastSentAt = now
			l.sendAsk(owner, p, *d)
		}
	}
}

// refuseExpired refuses the requests whose wait has timed out.
func (l *Limiter) refuseExpired(now model.Instant, p *tokenPool) {
	p.updateOutage(now)
	usesShare := l.usesShare(now, p)
	p.waiting = slices.DeleteFunc(p.waiting, func(r waitingRequest) bool {
		if usesShare {
			if !l.waitedTooLongForShare(now, p, r) {
				return false
			}
			delete(l.poolOfRequest, r.request)
			l.refuseWithoutShare(now, p, r.request)
			return true
		}
		if !l.waitedTooLong(now, p, r) {
			return false
		}
		delete(l.poolOfRequest, r.request)
		l.refuse(p, r.request, r.arrivedAt)
		p.scarceUntil = now.Add(scarcityPeriod)
		return true
	})
}

// updateOutage updates inOutage. The outage keeps requests that waited because
// of a lost owner, and those behind them, from being refused for the rate as
// soon as a new owner answers.
func (p *tokenPool) updateOutage(now model.Instant) {
	if len(p.waiting) == 0 || (p.outageEndsAt != 0 && now >= p.outageEndsAt) {
		p.inOutage, p.outageEndsAt = false, 0
	}
	if len(p.waiting) > 0 && now.Sub(p.waiting[0].arrivedAt) >= tokenWaitTimeout && !p.answeredSince(p.waiting[0].arrivedAt) {
		p.inOutage = true
	}
}

// answeredSince reports whether the owner answered a draw at or after an instant.
func (p *tokenPool) answeredSince(arrived model.Instant) bool {
	return p.everAnswered && p.lastAnswerAt >= arrived
}

// waitedTooLong reports whether a request that waits for tokens of the owner is
// to be refused. With local shares no request waits for an owner that does not
// answer, so only an owner whose buckets may have started empty is worth a
// longer wait.
func (l *Limiter) waitedTooLong(now model.Instant, p *tokenPool, r waitingRequest) bool {
	if !l.sharesEnabled {
		return p.waitedTooLong(now, l.settledAt[p.shard], r)
	}
	wait := tokenWaitTimeout
	if l.isSettling(now, p) {
		wait = settleWaitTimeout
	}
	return now >= r.deadline || now.Sub(r.arrivedAt) >= wait
}

// isSettling reports whether the owner of a pool's shard may be new, so that
// its buckets started empty not long ago.
func (l *Limiter) isSettling(now model.Instant, p *tokenPool) bool {
	return now < l.settledAt[p.shard] || now.Sub(l.startedAt) < settlePeriod
}

// waitedTooLong reports whether a request is to be refused if hosts have no
// local shares. settled is the end of the settlePeriod of the pool's shard.
func (p *tokenPool) waitedTooLong(now, settled model.Instant, r waitingRequest) bool {
	waited := now.Sub(r.arrivedAt)
	if now >= r.deadline || waited >= ownerWaitTimeout && now >= settled {
		return true
	}
	return waited >= tokenWaitTimeout && !p.inOutage && now >= settled && p.answeredSince(r.arrivedAt)
}

// refuse refuses a request. Without an answer since an instant the reason is a
// missing owner, otherwise it is the rate.
func (l *Limiter) refuse(p *tokenPool, id model.RequestID, since model.Instant) {
	refusal := Limited{Request: id, RetryAfter: max(p.retryAfter, tokenWaitTimeout)}
	if !p.answeredSince(since) {
		refusal.NoOwner, refusal.RetryAfter = true, time.Second
	}
	l.effects = append(l.effects, refusal)
}

// sweep drops idle pools, once per sweepInterval.
func (l *Limiter) sweep(now model.Instant) {
	if now < l.nextSweepAt {
		return
	}
	l.nextSweepAt = now.Add(sweepInterval)
	l.poolList = slices.DeleteFunc(l.poolList, func(p *tokenPool) bool {
		if p.isActive || now.Sub(p.lastUsedAt) < poolIdleTimeout {
			return false
		}
		delete(l.pools, p.workspace)
		return true
	})
}
