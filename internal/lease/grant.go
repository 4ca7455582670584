package lease

import (
	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// grants is a seat's table of leases. A shard is granted to one host at a time.
type grants struct {
	shards [model.Shards]grant
	// hashSum adds up the hashes of the live grants.
	hashSum uint64
	// cachedList holds the live grants for replies, or nil after a change.
	cachedList []proto.Owner
}

// grant is the newest grant of one shard.
type grant struct {
	host  model.HostID
	epoch model.Epoch
	until model.Instant
	// live is set from the grant until its release or expiry.
	live bool
	hash uint64
	// previous is the epoch granted before epoch, or 0 if the seat does not know it.
	previous model.Epoch
	// released is set when the host gave up this epoch, which it never uses again.
	released bool
}

func newGrants() grants { return grants{} }

// claim grants or renews a shard and returns false with a denial otherwise. A new
// grant needs an epoch greater than any granted before, unless the same host
// claims an epoch again that it did not release.
func (g *grants) claim(now model.Instant, from model.HostID, c proto.Claim, until model.Instant) (proto.Denial, bool) {
	cur := &g.shards[c.Shard]
	renewal := cur.host == from && cur.epoch == c.Epoch && !cur.released
	free := !cur.live || now >= cur.until || cur.host == from
	if !renewal && (!free || c.Epoch <= cur.epoch) {
		return proto.Denial{Shard: c.Shard, Epoch: cur.epoch, Holder: cur.host}, false
	}
	if renewal && cur.live {
		cur.until = max(cur.until, until)
		return proto.Denial{}, true
	}
	g.hashSum -= cur.hash
	previous := cur.epoch
	if renewal {
		previous = cur.previous
	}
	*cur = grant{host: from, epoch: c.Epoch, until: until, live: true, previous: previous}
	cur.hash = hashOwner(proto.Owner{Shard: c.Shard, Host: from, Epoch: c.Epoch})
	g.hashSum += cur.hash
	g.cachedList = nil
	return proto.Denial{}, true
}

// release ends the grant of a host that gives up a shard, unless the host has claimed
// the shard with a later epoch.
func (g *grants) release(from model.HostID, c proto.Claim) {
	if c.Shard >= model.Shards {
		return
	}
	cur := &g.shards[c.Shard]
	if cur.host == from && cur.epoch <= c.Epoch {
		g.clear(cur)
		cur.released = true
	}
}

// clear ends a live grant. Its host and epoch stay known.
func (g *grants) clear(cur *grant) {
	if !cur.live {
		return
	}
	g.hashSum -= cur.hash
	cur.live, cur.hash = false, 0
	g.cachedList = nil
}

func (g *grants) expire(now model.Instant) {
	for i := range g.shards {
		if cur := &g.shards[i]; cur.live && now >= cur.until {
			g.clear(cur)
		}
	}
}

func (g *grants) digest() uint64 { return digest(g.hashSum) }

// list returns the live grants ordered by shard.
func (g *grants) list() []proto.Owner {
	if g.cachedList != nil {
		return g.cachedList
	}
	g.cachedList = []proto.Owner{}
	for i, cur := range g.shards {
		if cur.live {
			g.cachedList = append(g.cachedList, proto.Owner{Shard: model.ShardID(i), Host: cur.host, Epoch: cur.epoch})
		}
	}
	return g.cachedList
}
