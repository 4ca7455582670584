package lease

import (
	"slices"
	"time"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// maxAsksWithoutMajority is for how many ask intervals a claim may hold grants
// without a majority before the claimer releases them. Two claimers with a part
// of the seats each would otherwise renew their grants forever.
const maxAsksWithoutMajority = 3

// Claimer acquires and renews leases on the shards whose candidate this host is.
//
// The lease on an owned shard ends no later than the grants of a majority of the
// seats and the freshness of this host. The second bound makes a change of the
// seats safe: a host that has not learned of it loses its freshness before the
// new seats alone decide, see FreshnessClient.recordAcceptance.
type Claimer struct {
	settings
	self      model.HostID
	rounds    rounds
	nextAsk   model.Instant
	seatLists [][]model.HostID
	// seatListsChangedAt is when seatLists last changed.
	seatListsChangedAt model.Instant
	// seats are the seats of all seatLists.
	seats []model.HostID
	// lastAnsweredAskAt holds, by seat, when the newest answered ask was sent.
	lastAnsweredAskAt map[model.HostID]model.Instant
	freshUntil        model.Instant
	draining          bool
	shards            [model.Shards]claim
	releases          []pendingRelease
}

// claim is this host's pending claim or lease on one shard, if it has any.
type claim struct {
	// isCandidate is set while this host should own the shard.
	isCandidate bool
	isOwned     bool
	// epoch is the epoch of the pending claim or of the lease, or 0.
	epoch model.Epoch
	// maxSeenEpoch is the greatest epoch that a seat or this host used for the shard.
	maxSeenEpoch model.Epoch
	until        model.Instant
	// grantedAskAt holds, by seat, when the newest granted ask for this epoch was sent.
	grantedAskAt map[model.HostID]model.Instant
	// previousEpochs holds the epoch that each seat granted before this one,
	// according to its latest grant, or 0 if the seat does not know it.
	previousEpochs map[model.HostID]model.Epoch
	// claimedAt is when epoch was first claimed.
	claimedAt model.Instant
	// backoffUntil ends the backoff after a claim without a majority.
	backoffUntil model.Instant
}

// pendingRelease is a release that is repeated until the grant has expired at any
// seat that missed the release.
type pendingRelease struct {
	claim       proto.Claim
	repeatUntil model.Instant
}

// NewClaimer returns a claimer that owns no shard.
func NewClaimer(self model.HostID, opts ...Option) *Claimer {
	s := newSettings(opts)
	return &Claimer{
		settings:          s,
		self:              self,
		rounds:            newRounds("claimer", self, s.incarnation),
		lastAnsweredAskAt: map[model.HostID]model.Instant{},
	}
}

// Step handles one event and returns the resulting effects.
func (c *Claimer) Step(now model.Instant, ev Event) []Effect {
	out := c.expireLeases(now)
	switch ev := ev.(type) {
	case Tick:
		out = append(out, c.tick(now)...)
	case FreshnessExtended:
		c.freshUntil = ev.Until
		out = append(out, c.updateLeases(now)...)
	case MembersChanged:
		out = append(out, c.assignShards(now, ev.Members)...)
	case QuorumsChanged:
		c.setSeatLists(now, ev.Lists)
		out = append(out, c.updateLeases(now)...)
	case Handover:
		c.draining = true
		out = append(out, c.assignShards(now, nil)...)
	case Received:
		if m, ok := ev.Msg.(proto.LeaseReply); ok {
			out = append(out, c.handleReply(now, ev.From, m)...)
		}
	}
	return out
}

// expireLeases gives up the shards whose lease has ended.
func (c *Claimer) expireLeases(now model.Instant) []Effect {
	var out []Effect
	for i := range c.shards {
		sh := &c.shards[i]
		if sh.isOwned && now >= sh.until {
			out = append(out, c.loseShard(now, model.ShardID(i)))
		}
	}
	return out
}

// loseShard ends the ownership of a shard. Its epoch is not used again.
func (c *Claimer) loseShard(now model.Instant, id model.ShardID) Effect {
	sh := &c.shards[id]
	lost := OwnershipLost{Shard: id, Epoch: sh.epoch}
	c.releaseClaim(now, id)
	return lost
}

// releaseClaim ends a lease or a pending claim and releases its grants.
func (c *Claimer) releaseClaim(now model.Instant, id model.ShardID) {
	sh := &c.shards[id]
	c.releases = append(c.releases, pendingRelease{
		claim:       proto.Claim{Shard: id, Epoch: sh.epoch},
		repeatUntil: now.Add(c.timing.localAtLeast(c.timing.LeaseDuration)),
	})
	sh.maxSeenEpoch = max(sh.maxSeenEpoch, sh.epoch)
	sh.isOwned, sh.epoch, sh.grantedAskAt, sh.previousEpochs = false, 0, nil, nil
}

// assignShards claims the shards whose candidate this host is among the members
// and gives up the others.
func (c *Claimer) assignShards(now model.Instant, members []proto.Member) []Effect {
	first := CandidateOwnersByRole(members, c.ownerRole)
	var out []Effect
	changed := false
	for i := range c.shards {
		id, sh := model.ShardID(i), &c.shards[i]
		wanted := first[i] == c.self && !c.draining
		changed = changed || wanted != sh.isCandidate
		sh.isCandidate = wanted
		if wanted || sh.epoch == 0 {
			continue
		}
		if sh.isOwned {
			out = append(out, c.loseShard(now, id))
			continue
		}
		c.releaseClaim(now, id)
	}
	if !changed {
		return out
	}
	return append(out, c.ask(now)...)
}

// setSeatLists sets the lists of which an owner needs a majority each, and the seats
// to ask.
func (c *Claimer) setSeatLists(now model.Instant, lists [][]model.HostID) {
	c.seatLists, c.seatListsChangedAt = lists, now
	c.seats = nil
	for _, list := range lists {
		c.seats = addHosts(c.seats, list)
	}
}

func (c *Claimer) tick(now model.Instant) []Effect {
	if now < c.nextAsk {
		return nil
	}
	return c.ask(now)
}

// ask sends the claims and pending releases to all seats.
func (c *Claimer) ask(now model.Instant) []Effect {
	c.nextAsk = now.Add(c.timing.AskInterval)
	c.releases = slices.DeleteFunc(c.releases, func(r pendingRelease) bool { return now >= r.repeatUntil })
	claims := c.claims(now)
	msg := proto.LeaseAsk{Nonce: c.rounds.next(now), Claims: claims}
	for _, r := range c.releases {
		msg.Released = append(msg.Released, r.claim)
	}
	out := make([]Effect, 0, len(c.seats))
	for _, seat := range c.seats {
		out = append(out, Send{To: seat, Msg: msg})
	}
	return out
}

// claims returns the shards to claim or renew. A host without answers from a
// majority claims nothing, since the seats would reserve shards that it cannot
// own. It goes on sending asks without claims to notice when seats answer again.
func (c *Claimer) claims(now model.Instant) []proto.Claim {
	hasContact := c.hasMajorityContact(now)
	var claims []proto.Claim
	for i := range c.shards {
		id, sh := model.ShardID(i), &c.shards[i]
		if !sh.isOwned && sh.epoch != 0 && (!hasContact || c.isStuck(now, sh)) {
			c.releaseClaim(now, id)
			sh.backoffUntil = now.Add(c.backoff(id, sh.maxSeenEpoch))
		}
		if !sh.isCandidate || !hasContact || now < sh.backoffUntil {
			continue
		}
		if sh.epoch == 0 {
			sh.epoch = max(sh.maxSeenEpoch+1, model.Epoch(max(c.wallMillis(), 1)))
			sh.startEpoch(now)
		}
		claims = append(claims, proto.Claim{Shard: id, Epoch: sh.epoch})
	}
	return claims
}

// isStuck reports whether a claim has held grants without a majority for longer
// than maxAsksWithoutMajority intervals.
func (c *Claimer) isStuck(now model.Instant, sh *claim) bool {
	return len(sh.grantedAskAt) > 0 && now.Sub(sh.claimedAt) > maxAsksWithoutMajority*c.timing.AskInterval
}

// backoff returns the pause before a claim is retried. It differs between hosts,
// shards and attempts, so that competing hosts do not retry at the same time.
func (c *Claimer) backoff(id model.ShardID, seen model.Epoch) time.Duration {
	h := mix(hashString(string(c.self)) ^ mix(uint64(id)^uint64(seen)<<8))
	return c.timing.AskInterval * time.Duration(h%4)
}

// hasMajorityContact reports whether a majority of each list of seats answered an ask
// sent within the last LeaseDuration.
func (c *Claimer) hasMajorityContact(now model.Instant) bool {
	for _, list := range c.seatLists {
		at, ok := majorityInstant(list, func(h model.HostID) (model.Instant, bool) {
			i, ok := c.lastAnsweredAskAt[h]
			return i, ok
		})
		if !ok || now.Sub(at) > c.timing.LeaseDuration {
			return false
		}
	}
	return len(c.seatLists) > 0
}

// handleReply counts the grants and denials of a seat.
func (c *Claimer) handleReply(now model.Instant, from model.HostID, m proto.LeaseReply) []Effect {
	sent, ok := c.rounds.sentAt(m.Nonce)
	if !ok || !slices.Contains(c.seats, from) {
		return nil
	}
	c.lastAnsweredAskAt[from] = max(c.lastAnsweredAskAt[from], sent)
	var out []Effect
	for _, g := range m.Granted {
		if g.Shard >= model.Shards || c.shards[g.Shard].epoch != g.Epoch {
			continue
		}
		sh := &c.shards[g.Shard]
		if sent >= sh.grantedAskAt[from] {
			sh.grantedAskAt[from] = sent
			sh.previousEpochs[from] = epochOf(m.PreviousGrants, g.Shard)
		}
		out = append(out, c.updateLease(now, g.Shard)...)
	}
	for _, d := range m.Denied {
		c.handleDenial(now, d)
	}
	return out
}

// handleDenial raises the epoch of a pending claim above the one that a seat
// reports. An owned shard keeps its epoch, since a majority still grants it.
func (c *Claimer) handleDenial(now model.Instant, d proto.Denial) {
	if d.Shard >= model.Shards {
		return
	}
	sh := &c.shards[d.Shard]
	sh.maxSeenEpoch = max(sh.maxSeenEpoch, d.Epoch)
	if sh.isOwned || sh.epoch == 0 || sh.epoch > sh.maxSeenEpoch {
		return
	}
	sh.epoch = sh.maxSeenEpoch + 1
	sh.startEpoch(now)
}

// startEpoch resets the grants of a claim whose epoch changed.
func (sh *claim) startEpoch(now model.Instant) {
	sh.claimedAt = now
	sh.grantedAskAt = map[model.HostID]model.Instant{}
	sh.previousEpochs = map[model.HostID]model.Epoch{}
}

// updateLeases applies updateLease to all shards with a claim or lease.
func (c *Claimer) updateLeases(now model.Instant) []Effect {
	var out []Effect
	for i := range c.shards {
		if c.shards[i].epoch != 0 {
			out = append(out, c.updateLease(now, model.ShardID(i))...)
		}
	}
	return out
}

// updateLease gains or renews a shard when a majority of each list granted it.
func (c *Claimer) updateLease(now model.Instant, id model.ShardID) []Effect {
	sh := &c.shards[id]
	until, ok := c.leaseEnd(sh)
	if !ok || until <= now || until <= sh.until && sh.isOwned {
		return nil
	}
	sh.until = until
	if sh.isOwned {
		return []Effect{OwnershipRenewed{Shard: id, Epoch: sh.epoch, Until: until}}
	}
	sh.isOwned = true
	return []Effect{OwnershipGained{Shard: id, Epoch: sh.epoch, Until: until, PreviousEpoch: c.previousEpoch(now, sh)}}
}

// previousEpoch returns the greatest epoch that the seats granted before this
// claim, or 0 if no majority of seats knows it. Every earlier owner had a
// majority of each list, so any majority of seats that have not lost their
// state includes one that knows its epoch.
func (c *Claimer) previousEpoch(now model.Instant, sh *claim) model.Epoch {
	// A majority of the present lists need not intersect the majority of an owner
	// under earlier lists. Such an owner and those before it ended before the
	// lists changed, so their reserves have expired ReserveValidity after the change.
	if now.Sub(c.seatListsChangedAt) < c.timing.localAtLeast(model.ReserveValidity) {
		return 0
	}
	var greatest model.Epoch
	for _, list := range c.seatLists {
		known := 0
		for _, seat := range list {
			sent, granted := sh.grantedAskAt[seat]
			if !granted || sh.previousEpochs[seat] == 0 || now >= sent.Add(c.timing.localAtMost(c.timing.LeaseDuration)) {
				continue
			}
			known++
			greatest = max(greatest, sh.previousEpochs[seat])
		}
		if known < model.Majority(len(list)) {
			return 0
		}
	}
	return greatest
}

// epochOf returns the epoch of a shard's claim, or 0 if there is none.
func epochOf(claims []proto.Claim, id model.ShardID) model.Epoch {
	for _, c := range claims {
		if c.Shard == id {
			return c.Epoch
		}
	}
	return 0
}

// leaseEnd returns the end of the lease that the grants of a majority of each list
// give, or false without such a majority. The end is not later than this host's
// freshness.
func (c *Claimer) leaseEnd(sh *claim) (model.Instant, bool) {
	until := c.freshUntil
	for _, list := range c.seatLists {
		sent, ok := majorityInstant(list, func(h model.HostID) (model.Instant, bool) {
			i, ok := sh.grantedAskAt[h]
			return i, ok
		})
		if !ok {
			return 0, false
		}
		until = min(until, sent.Add(c.timing.localAtMost(c.timing.LeaseDuration)))
	}
	return until, len(c.seatLists) > 0
}

// Owns reports whether this host owns a shard at the instant now.
func (c *Claimer) Owns(now model.Instant, id model.ShardID) bool {
	return c.shards[id].isOwned && now < c.shards[id].until
}
