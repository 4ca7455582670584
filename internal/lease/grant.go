package lease

import (
	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// grants is a seat's table of leases. A shard is granted to one host at a time.
type grants struct {
	shards [model.Shards]grant
	sum    uint64
	cached []proto.Owner
}

type grant struct {
	host  model.HostID
	epoch model.Epoch
	until model.Instant
	// live is set from the grant until its release or expiry.
	live bool
	hash uint64
	// previous is the epoch granted before this one, or 0 if the seat does not know it.
	previous model.Epoch
	// released is set when the holder gave up this epoch for good.
	released bool
}

func newGrants() grants { return grants{} }

// claim grants or renews a shard. A new grant needs an epoch greater than any granted before.
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
	g.sum -= cur.hash
	previous := cur.epoch
	if renewal {
		previous = cur.previous
	}
	*cur = grant{host: from, epoch: c.Epoch, until: until, live: true, previous: previous}
	cur.hash = hashOwner(proto.Owner{Shard: c.Shard, Host: from, Epoch: c.Epoch})
	g.sum += cur.hash
	g.cached = nil
	return proto.Denial{}, true
}

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

func (g *grants) clear(cur *grant) {
	if !cur.live {
		return
	}
	g.sum -= cur.hash
	cur.live, cur.hash = false, 0
	g.cached = nil
}

func (g *grants) expire(now model.Instant) {
	for i := range g.shards {
		if cur := &g.shards[i]; cur.live && now >= cur.until {
			g.clear(cur)
		}
	}
}

func (g *grants) digest() uint64 { return digest(g.sum) }

func (g *grants) list() []proto.Owner {
	if g.cached != nil {
		return g.cached
	}
	g.cached = []proto.Owner{}
	for i, cur := range g.shards {
		if cur.live {
			g.cached = append(g.cached, proto.Owner{Shard: model.ShardID(i), Host: cur.host, Epoch: cur.epoch})
		}
	}
	return g.cached
}
