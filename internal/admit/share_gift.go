package admit

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// While most entry hosts are cut off from the owners, each of them has a token of a
// small workspace only every few seconds. It would refuse requests within the rate
// while the tokens of other hosts expire unused. A host therefore asks some others
// for tokens. A host gives a token away before it sends it, so that each token is
// used once at most and all shares together keep their bound.

const (
	// maxSharePeers bounds the hosts that a host asks, each of which costs a link.
	maxSharePeers = 8
	// peersPerTick is how many hosts are asked for a workspace in each tick.
	peersPerTick = 2
	// shareAskTimeout is how long a gift for an ask is accepted.
	shareAskTimeout = 200 * time.Millisecond
	// giftSilenceTimeout is how long an owner must have left the draws of a host
	// without an answer before the host gives tokens away. It is longer than
	// ownerSilenceTimeout, since the host itself has no request to serve.
	giftSilenceTimeout = 250 * time.Millisecond
	// ownerProbeInterval is the time since the last draw after which a host that is
	// asked for tokens finds out whether an owner answers, by a draw of none, and
	// silenceProbeInterval the same while draws are without an answer.
	ownerProbeInterval   = 500 * time.Millisecond
	silenceProbeInterval = drawTimeout
	// silenceMemory is the time since the last draw after which the earlier silence
	// of an owner shows nothing any more.
	silenceMemory = 2 * time.Second
	// minGiftValidity is the least validity with which a token is given away.
	minGiftValidity = 20 * time.Millisecond
)

// shareAsk is an ask for a token of another host.
type shareAsk struct {
	nonce  uint64
	sentAt model.Instant
}

// setPeers selects the peers by a hash that differs between hosts, so that the
// hosts do not all ask the same ones.
func (l *Limiter) setPeers(peers []model.HostID) {
	rank := func(host model.HostID) uint64 {
		h := fnv.New64a()
		_, _ = h.Write([]byte(host))
		x := (h.Sum64() ^ l.seed) * 0x9e3779b97f4a7c15
		return x ^ x>>32
	}
	l.peers = slices.SortedFunc(slices.Values(peers), func(a, b model.HostID) int { return cmp.Compare(rank(a), rank(b)) })
	l.peers = slices.Clip(l.peers[:min(len(l.peers), maxSharePeers)])
}

// askPeers asks the next peers for a token on behalf of the requests that wait for
// the local share.
func (l *Limiter) askPeers(now model.Instant, p *tokenPool) {
	p.shareAsks = slices.DeleteFunc(p.shareAsks, func(a shareAsk) bool { return now.Sub(a.sentAt) >= shareAskTimeout })
	if len(p.waiting) == 0 {
		return
	}
	for range min(peersPerTick, len(l.peers)) {
		l.lastNonce++
		p.shareAsks = append(p.shareAsks, shareAsk{nonce: l.lastNonce, sentAt: now})
		l.effects = append(l.effects, Send{To: l.peers[p.nextPeer%len(l.peers)], Msg: proto.ShareAsk{Nonce: l.lastNonce, Workspace: p.workspace}})
		p.nextPeer++
	}
}

// handleShareAsk gives the asker a token of the local share if this host has no use
// for it and no owner answers.
func (l *Limiter) handleShareAsk(now model.Instant, from model.HostID, m proto.ShareAsk) {
	if ws, ok := l.cfg.Workspaces.Get(m.Workspace); !ok || ws.Withdrawn {
		return
	}
	p := l.pool(now, m.Workspace)
	l.probeOwner(now, p)
	// Tokens that were due before the silence was known are void: the owner may
	// have granted the rate of that time to others.
	after := max(l.noOwnerSince(p), l.startedAt).Add(giftSilenceTimeout)
	if !l.usesShare(now, p) || now < after || len(p.waiting) > 0 {
		return
	}
	schedule := l.shareScheduleOf(p)
	token := p.share.nextUsable(now, after, schedule)
	validFor := schedule.dueAt(token).Add(schedule.validity).Sub(now)
	if validFor < minGiftValidity || !p.share.take(now, after, schedule) {
		return
	}
	l.effects = append(l.effects, Send{To: from, Msg: proto.ShareGift{Nonce: m.Nonce, Workspace: m.Workspace, ValidFor: l.localAtMost(validFor)}})
}

// probeOwner sends a draw of no tokens if it is not known whether an owner answers.
// Tokens that it drew would expire unused.
func (l *Limiter) probeOwner(now model.Instant, p *tokenPool) {
	owner, sinceDraw := l.owners[p.shard], now.Sub(p.lastDrawAt)
	interval := ownerProbeInterval
	if p.unansweredSince != 0 {
		interval = silenceProbeInterval
	}
	if owner == "" || p.lastDrawAt != 0 && sinceDraw < interval {
		return
	}
	if p.lastDrawAt == 0 || sinceDraw >= silenceMemory {
		p.unansweredSince = 0
	}
	l.draw(now, p, owner, 0)
}

// handleShareGift admits the first waiting request with a token of another host. A
// token that no request waits for is dropped, and so is one that arrives twice.
func (l *Limiter) handleShareGift(now model.Instant, m proto.ShareGift) {
	p, ok := l.pools[m.Workspace]
	if !ok {
		return
	}
	i := slices.IndexFunc(p.shareAsks, func(a shareAsk) bool { return a.nonce == m.Nonce })
	if i < 0 {
		return
	}
	valid := now < p.shareAsks[i].sentAt.Add(l.localAtMost(m.ValidFor))
	p.shareAsks = slices.Delete(p.shareAsks, i, i+1)
	if !valid || len(p.waiting) == 0 {
		return
	}
	l.effects = append(l.effects, Admitted{Request: p.waiting[0].request})
	delete(l.poolOfRequest, p.waiting[0].request)
	p.waiting = slices.Delete(p.waiting, 0, 1)
}
