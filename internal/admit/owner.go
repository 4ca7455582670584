package admit

import (
	"maps"
	"slices"
	"time"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

const (
	// minLease is the rest of a lease below which tokens would expire before they arrive.
	minLease = 5 * time.Millisecond
	// idleAfter is when an unused bucket is dropped, if it is full: a new one would be full as well.
	idleAfter = 10 * time.Second
	// sweepEvery is the interval between searches for idle buckets.
	sweepEvery = time.Second
)

// Owner holds the token buckets of the workspace shards that this host owns.
//
// The slice that Step returns is valid until the next Step.
type Owner struct {
	settings
	configured bool
	cfg        model.Config
	shards     [model.WorkspaceShards]ownedShard
	sweepAt    model.Instant
	out        [1]Effect
}

type ownedShard struct {
	owned bool
	epoch model.Epoch
	until model.Instant
	// fillFrom is when buckets start to fill: tokens that an earlier owner
	// granted before it released the shard are used until then.
	fillFrom model.Instant
	buckets  map[model.WorkspaceID]*bucket
	order    []*bucket
}

// NewOwner returns an owner of nothing. It serves once it is configured.
func NewOwner(_ model.HostID, opts ...Option) *Owner {
	return &Owner{settings: newSettings(opts)}
}

// Step takes one event.
func (o *Owner) Step(now model.Instant, ev Event) []Effect {
	switch ev := ev.(type) {
	case Tick:
		o.sweep(now)
	case Configured:
		o.configure(now, ev.Config)
	case Gained:
		o.gain(now, ev)
	case Renewed:
		o.renew(ev)
	case Lost:
		if ev.Shard < model.WorkspaceShards {
			o.shards[ev.Shard] = ownedShard{}
		}
	case Received:
		if m, ok := ev.Msg.(proto.DrawAsk); ok {
			o.out[0] = Send{To: ev.From, Msg: o.draw(now, ev.From, m)}
			return o.out[:]
		}
	}
	return nil
}

func (o *Owner) gain(now model.Instant, ev Gained) {
	if ev.Shard >= model.WorkspaceShards {
		return
	}
	o.shards[ev.Shard] = ownedShard{
		owned:    true,
		epoch:    ev.Epoch,
		until:    ev.Until,
		fillFrom: now.Add(o.atLeast(maxValid)),
		buckets:  map[model.WorkspaceID]*bucket{},
	}
}

func (o *Owner) renew(ev Renewed) {
	if ev.Shard >= model.WorkspaceShards {
		return
	}
	if sh := &o.shards[ev.Shard]; sh.owned && sh.epoch == ev.Epoch {
		sh.until = ev.Until
	}
}

func (o *Owner) configure(now model.Instant, cfg model.Config) {
	o.configured = true
	o.cfg = cfg
	for i := range o.shards {
		for _, b := range o.shards[i].order {
			b.setLimits(now, o.cfg.LimitsFor(b.workspace), o.settings)
		}
	}
}

func (o *Owner) draw(now model.Instant, from model.HostID, m proto.DrawAsk) proto.DrawReply {
	reply := proto.DrawReply{Nonce: m.Nonce, Workspace: m.Workspace}
	sh := &o.shards[model.WorkspaceShard(m.Workspace)]
	if !o.configured || !sh.owned || sh.until.Sub(now) < minLease {
		reply.NotOwner = true
		return reply
	}
	reply.Epoch = sh.epoch
	if ws, _ := o.cfg.Workspaces.Get(m.Workspace); ws.Withdrawn {
		return reply
	}
	b := o.bucket(now, sh, m.Workspace)
	r := b.of(now, from)
	d, repeated := r.find(m.Nonce)
	if !repeated {
		b.refill(now, o.drift)
		valid := min(validFor(b.limits), o.atMost(sh.until.Sub(now)))
		d = drawn{nonce: m.Nonce, granted: b.take(max(0, m.Tokens)), validFor: valid}
		r.add(d)
	}
	reply.Granted, reply.ValidFor = d.granted, d.validFor
	if d.granted < m.Tokens {
		reply.RetryAfter = b.wait(now, o.drift)
	}
	return reply
}

// bucket returns the bucket of a workspace. A new one holds what would have
// been added since the shard was gained.
func (o *Owner) bucket(now model.Instant, sh *ownedShard, ws model.WorkspaceID) *bucket {
	b, ok := sh.buckets[ws]
	if !ok {
		b = &bucket{workspace: ws, limits: o.cfg.LimitsFor(ws), at: sh.fillFrom, recent: map[model.HostID]*recent{}}
		sh.buckets[ws] = b
		sh.order = append(sh.order, b)
	}
	b.used = now
	return b
}

func (b *bucket) of(now model.Instant, host model.HostID) *recent {
	r, ok := b.recent[host]
	if !ok {
		r = &recent{}
		b.recent[host] = r
	}
	r.used = now
	return r
}

// forget drops the draws of hosts that no longer draw.
func (b *bucket) forget(now model.Instant) {
	maps.DeleteFunc(b.recent, func(_ model.HostID, r *recent) bool { return now.Sub(r.used) >= idleAfter })
}

// sweep drops full buckets that were not used for some time.
func (o *Owner) sweep(now model.Instant) {
	if now < o.sweepAt {
		return
	}
	o.sweepAt = now.Add(sweepEvery)
	for i := range o.shards {
		sh := &o.shards[i]
		sh.order = slices.DeleteFunc(sh.order, func(b *bucket) bool {
			b.forget(now)
			if now.Sub(b.used) < idleAfter {
				return false
			}
			b.refill(now, o.drift)
			if b.tokens < b.capacity() {
				return false
			}
			delete(sh.buckets, b.workspace)
			return true
		})
	}
}
