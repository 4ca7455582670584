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
	standbys   [model.WorkspaceShards]model.HostID
	// reserves are held for the owners of shards whose next candidate this host is.
	reserves [model.WorkspaceShards]reserve
	// hosts tells which entry hosts may use their own shares.
	hosts attendance
	// nonce numbers the notes of this run.
	nonce uint64
	out   []Effect
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
	standby  standby
	learning learning
}

// NewOwner returns an owner of nothing. It serves once it is configured.
func NewOwner(_ model.HostID, opts ...Option) *Owner {
	return &Owner{settings: newSettings(opts)}
}

// Step takes one event.
func (o *Owner) Step(now model.Instant, ev Event) []Effect {
	o.out = o.out[:0]
	switch ev := ev.(type) {
	case Tick:
		o.sweep(now)
		o.noteAll(now)
	case Configured:
		o.configure(now, ev.Config)
	case OwnershipGained:
		o.gain(now, ev)
	case OwnershipRenewed:
		o.renew(ev)
	case OwnershipLost:
		if ev.Shard < model.WorkspaceShards {
			o.shards[ev.Shard] = ownedShard{}
		}
	case Received:
		o.receive(now, ev)
	case EntryHostsChanged:
		o.attend(now, ev)
	case StandbysChanged:
		o.standbys = ev.Standbys
		for i := range o.shards {
			o.shards[i].follow(o.standbys[i], o.nonce)
		}
	}
	return o.out
}

func (o *Owner) receive(now model.Instant, ev Received) {
	switch m := ev.Msg.(type) {
	case proto.DrawAsk:
		o.draw(now, ev.From, m)
	case proto.StandbyNote:
		o.hold(now, ev.From, m)
	case proto.StandbyAck:
		o.acknowledged(now, ev.From, m)
	}
}

func (o *Owner) reply(to model.HostID, m proto.Message) {
	o.out = append(o.out, Send{To: to, Msg: m})
}

func (o *Owner) gain(now model.Instant, ev OwnershipGained) {
	if ev.Shard >= model.WorkspaceShards {
		return
	}
	o.shards[ev.Shard] = ownedShard{
		owned:    true,
		epoch:    ev.Epoch,
		until:    ev.Until,
		fillFrom: now.Add(o.atLeast(maxValid)),
		buckets:  map[model.WorkspaceID]*bucket{},
		standby:  standby{host: o.standbys[ev.Shard]},
		learning: learning{until: now.Add(o.atLeast(learnTime)), heard: map[model.HostID]struct{}{}},
	}
	o.useReserve(now, ev)
}

func (o *Owner) renew(ev OwnershipRenewed) {
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
			o.refill(now, &o.shards[i], b)
			b.setLimits(now, o.cfg.LimitsFor(b.workspace), o.settings)
			if b.note.nonce > 0 && b.note.limits != b.limits {
				b.note.due, o.shards[i].standby.noteAt = true, now
			}
		}
	}
}

func (o *Owner) draw(now model.Instant, from model.HostID, m proto.DrawAsk) {
	reply := proto.DrawReply{Nonce: m.Nonce, Workspace: m.Workspace}
	sh := &o.shards[model.WorkspaceShard(m.Workspace)]
	if !o.configured || !sh.owned || sh.until.Sub(now) < minLease {
		reply.NotOwner = true
		o.reply(from, reply)
		return
	}
	o.hear(now, sh, from)
	reply.Epoch = sh.epoch
	if ws, _ := o.cfg.Workspaces.Get(m.Workspace); ws.Withdrawn {
		o.reply(from, reply)
		return
	}
	b := o.bucket(now, sh, m.Workspace)
	keep := sh.kept(now, b)
	r := b.of(now, from)
	d, repeated := r.find(m.Nonce)
	if !repeated {
		o.refill(now, sh, b)
		valid := min(validFor(b.limits), o.atMost(sh.until.Sub(now)))
		d = drawn{nonce: m.Nonce, granted: b.take(m.Tokens, keep), validFor: valid}
		r.add(d)
	}
	reply.GrantedTokens, reply.ValidFor = d.granted, d.validFor
	if d.granted < m.Tokens {
		reply.RetryAfter = b.wait(now, o.fillRate(now, sh, b))
	}
	o.reply(from, reply)
	o.lower(now, sh, b, keep, m.Tokens-d.granted)
	if d.granted < m.Tokens && b.tokens >= 1 && b.note.pending && now.Sub(b.note.sentAt) < lowerWithin {
		reply.RetryAfter = 0
		o.out[0] = Send{To: from, Msg: reply}
	}
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
	for i := range o.reserves {
		o.reserves[i].sweep(now)
	}
	for i := range o.shards {
		sh := &o.shards[i]
		sh.order = slices.DeleteFunc(sh.order, func(b *bucket) bool {
			b.forget(now)
			if now.Sub(b.used) < idleAfter || sh.kept(now, b) > 0 {
				return false
			}
			o.refill(now, sh, b)
			if b.tokens < b.capacity() {
				return false
			}
			delete(sh.buckets, b.workspace)
			return true
		})
	}
}
