package lease

import (
	"slices"
	"time"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// patience is how many asks a claim may stay without a majority before the
// claimer gives up the seats it got. Two claimers with a part of the seats
// each would otherwise renew them for ever.
const patience = 3

// Claimer asks the seats for the shards whose first candidate this host is.
//
// An owned shard's Until is never later than the ends of the majority's grants
// and of this host's own freshness. The second bound is what makes a change of
// the seats safe, see Fresh.evidence.
type Claimer struct {
	settings
	self    model.HostID
	rounds  rounds
	nextAsk model.Instant
	lists   [][]model.HostID
	// listedAt is when the lists last changed.
	listedAt   model.Instant
	seats      []model.HostID
	heard      map[model.HostID]model.Instant
	freshUntil model.Instant
	draining   bool
	shards     [model.Shards]claim
	releases   []release
}

// claim is the state of one shard.
type claim struct {
	wanted bool
	owned  bool
	// epoch is that of the claim under way or of the lease, or 0.
	epoch model.Epoch
	// seen is the greatest epoch that a seat named.
	seen  model.Epoch
	until model.Instant
	// grants holds when the newest granted ask was sent, by seat, for this epoch.
	grants map[model.HostID]model.Instant
	// previous holds the epoch that each seat granted before this one, as its latest grant told.
	previous map[model.HostID]model.Epoch
	// since is when this epoch was first claimed.
	since model.Instant
	// pausedUntil is set after giving up a claim without a majority.
	pausedUntil model.Instant
}

// release is repeated until every seat that missed it has let the grant expire.
type release struct {
	claim proto.Claim
	until model.Instant
}

// NewClaimer returns a candidate that owns nothing.
func NewClaimer(self model.HostID, opts ...Option) *Claimer {
	s := newSettings(opts)
	return &Claimer{
		settings: s,
		self:     self,
		rounds:   newRounds("claimer", self, s.incarnation),
		heard:    map[model.HostID]model.Instant{},
	}
}

// Step takes one event.
func (c *Claimer) Step(now model.Instant, ev Event) []Effect {
	out := c.expire(now)
	switch ev := ev.(type) {
	case Tick:
		out = append(out, c.tick(now)...)
	case FreshnessExtended:
		c.freshUntil = ev.Until
		out = append(out, c.count(now)...)
	case MembersChanged:
		out = append(out, c.place(now, ev.Members)...)
	case QuorumsChanged:
		c.setLists(now, ev.Lists)
		out = append(out, c.count(now)...)
	case Handover:
		c.draining = true
		out = append(out, c.place(now, nil)...)
	case Received:
		if m, ok := ev.Msg.(proto.LeaseReply); ok {
			out = append(out, c.reply(now, ev.From, m)...)
		}
	}
	return out
}

func (c *Claimer) expire(now model.Instant) []Effect {
	var out []Effect
	for i := range c.shards {
		sh := &c.shards[i]
		if sh.owned && now >= sh.until {
			out = append(out, c.lose(now, model.ShardID(i)))
		}
	}
	return out
}

// lose ends ownership or a claim; its epoch is not used again.
func (c *Claimer) lose(now model.Instant, id model.ShardID) Effect {
	sh := &c.shards[id]
	lost := OwnershipLost{Shard: id, Epoch: sh.epoch}
	c.drop(now, id)
	return lost
}

func (c *Claimer) drop(now model.Instant, id model.ShardID) {
	sh := &c.shards[id]
	c.releases = append(c.releases, release{
		claim: proto.Claim{Shard: id, Epoch: sh.epoch},
		until: now.Add(c.timing.atLeast(c.timing.LeaseDuration)),
	})
	sh.seen = max(sh.seen, sh.epoch)
	sh.owned, sh.epoch, sh.grants, sh.previous = false, 0, nil, nil
}

// place claims the shards whose first candidate this host is and gives up the others.
func (c *Claimer) place(now model.Instant, members []proto.Member) []Effect {
	first := CandidateOwnersByRole(members, c.owners)
	var out []Effect
	changed := false
	for i := range c.shards {
		id, sh := model.ShardID(i), &c.shards[i]
		wanted := first[i] == c.self && !c.draining
		changed = changed || wanted != sh.wanted
		sh.wanted = wanted
		if wanted || sh.epoch == 0 {
			continue
		}
		if sh.owned {
			out = append(out, c.lose(now, id))
			continue
		}
		c.drop(now, id)
	}
	if !changed {
		return out
	}
	return append(out, c.ask(now)...)
}

func (c *Claimer) setLists(now model.Instant, lists [][]model.HostID) {
	c.lists, c.listedAt = lists, now
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

func (c *Claimer) ask(now model.Instant) []Effect {
	c.nextAsk = now.Add(c.timing.AskInterval)
	c.releases = slices.DeleteFunc(c.releases, func(r release) bool { return now >= r.until })
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

// claims returns the shards to claim or renew. A host that does not hear a
// majority asks for nothing, since the seats would keep shards for it that it
// cannot own; its empty ask finds out when it hears again.
func (c *Claimer) claims(now model.Instant) []proto.Claim {
	hears := c.hears(now)
	var claims []proto.Claim
	for i := range c.shards {
		id, sh := model.ShardID(i), &c.shards[i]
		if !sh.owned && sh.epoch != 0 && (!hears || c.stuck(now, sh)) {
			c.drop(now, id)
			sh.pausedUntil = now.Add(c.pause(id, sh.seen))
		}
		if !sh.wanted || !hears || now < sh.pausedUntil {
			continue
		}
		if sh.epoch == 0 {
			sh.epoch = max(sh.seen+1, model.Epoch(max(c.wallMillis(), 1)))
			sh.begin(now)
		}
		claims = append(claims, proto.Claim{Shard: id, Epoch: sh.epoch})
	}
	return claims
}

// stuck reports whether a claim got a part of the seats but no majority for too long.
func (c *Claimer) stuck(now model.Instant, sh *claim) bool {
	return len(sh.grants) > 0 && now.Sub(sh.since) > patience*c.timing.AskInterval
}

// pause differs between hosts, shards and attempts, so that rivals do not retry together.
func (c *Claimer) pause(id model.ShardID, seen model.Epoch) time.Duration {
	h := mix(hashString(string(c.self)) ^ mix(uint64(id)^uint64(seen)<<8))
	return c.timing.AskInterval * time.Duration(h%4)
}

func (c *Claimer) hears(now model.Instant) bool {
	for _, list := range c.lists {
		at, ok := majorityInstant(list, func(h model.HostID) (model.Instant, bool) {
			i, ok := c.heard[h]
			return i, ok
		})
		if !ok || now.Sub(at) > c.timing.LeaseDuration {
			return false
		}
	}
	return len(c.lists) > 0
}

func (c *Claimer) reply(now model.Instant, from model.HostID, m proto.LeaseReply) []Effect {
	sent, ok := c.rounds.sentAt(m.Nonce)
	if !ok || !slices.Contains(c.seats, from) {
		return nil
	}
	c.heard[from] = max(c.heard[from], sent)
	var out []Effect
	for _, g := range m.Granted {
		if g.Shard >= model.Shards || c.shards[g.Shard].epoch != g.Epoch {
			continue
		}
		sh := &c.shards[g.Shard]
		if sent >= sh.grants[from] {
			sh.grants[from] = sent
			sh.previous[from] = epochOf(m.PreviousGrants, g.Shard)
		}
		out = append(out, c.countShard(now, g.Shard)...)
	}
	for _, d := range m.Denied {
		c.denied(now, d)
	}
	return out
}

// denied raises the epoch of a claim above the one that a seat has seen. A
// lease that is owned keeps its epoch: a majority still holds it.
func (c *Claimer) denied(now model.Instant, d proto.Denial) {
	if d.Shard >= model.Shards {
		return
	}
	sh := &c.shards[d.Shard]
	sh.seen = max(sh.seen, d.Epoch)
	if sh.owned || sh.epoch == 0 || sh.epoch > sh.seen {
		return
	}
	sh.epoch = sh.seen + 1
	sh.begin(now)
}

// begin starts a claim with a new epoch, without grants.
func (sh *claim) begin(now model.Instant) {
	sh.since = now
	sh.grants = map[model.HostID]model.Instant{}
	sh.previous = map[model.HostID]model.Epoch{}
}

func (c *Claimer) count(now model.Instant) []Effect {
	var out []Effect
	for i := range c.shards {
		if c.shards[i].epoch != 0 {
			out = append(out, c.countShard(now, model.ShardID(i))...)
		}
	}
	return out
}

// countShard gains or renews a shard when a majority of each list granted it.
func (c *Claimer) countShard(now model.Instant, id model.ShardID) []Effect {
	sh := &c.shards[id]
	until, ok := c.leaseEnd(sh)
	if !ok || until <= now || until <= sh.until && sh.owned {
		return nil
	}
	sh.until = until
	if sh.owned {
		return []Effect{OwnershipRenewed{Shard: id, Epoch: sh.epoch, Until: until}}
	}
	sh.owned = true
	return []Effect{OwnershipGained{Shard: id, Epoch: sh.epoch, Until: until, PreviousEpoch: c.previousEpoch(now, sh)}}
}

// previousEpoch returns the greatest epoch that the seats granted before this
// claim. Every earlier owner had a majority of each list, so it is among the
// answers of any majority whose seats have not forgotten. Without such a
// majority it returns 0.
func (c *Claimer) previousEpoch(now model.Instant, sh *claim) model.Epoch {
	// A majority of the present lists need not meet that of an owner by earlier
	// ones. Such an owner ended before the change, and those before it earlier.
	if now.Sub(c.listedAt) < c.timing.atLeast(model.ReserveValid) {
		return 0
	}
	var greatest model.Epoch
	for _, list := range c.lists {
		known := 0
		for _, seat := range list {
			sent, granted := sh.grants[seat]
			if !granted || sh.previous[seat] == 0 || now >= sent.Add(c.timing.atMost(c.timing.LeaseDuration)) {
				continue
			}
			known++
			greatest = max(greatest, sh.previous[seat])
		}
		if known < model.Majority(len(list)) {
			return 0
		}
	}
	return greatest
}

func epochOf(claims []proto.Claim, id model.ShardID) model.Epoch {
	for _, c := range claims {
		if c.Shard == id {
			return c.Epoch
		}
	}
	return 0
}

func (c *Claimer) leaseEnd(sh *claim) (model.Instant, bool) {
	until := c.freshUntil
	for _, list := range c.lists {
		sent, ok := majorityInstant(list, func(h model.HostID) (model.Instant, bool) {
			i, ok := sh.grants[h]
			return i, ok
		})
		if !ok {
			return 0, false
		}
		until = min(until, sent.Add(c.timing.atMost(c.timing.LeaseDuration)))
	}
	return until, len(c.lists) > 0
}

// Owns reports whether this host owns a shard now.
func (c *Claimer) Owns(now model.Instant, id model.ShardID) bool {
	return c.shards[id].owned && now < c.shards[id].until
}
