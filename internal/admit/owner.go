package admit

import (
	"maps"
	"slices"
	"time"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

const (
	// minRemainingLease is the time before the end of a lease at which the owner
	// stops granting: tokens expire with the lease, so later ones would be void
	// when they arrive.
	minRemainingLease = 5 * time.Millisecond
	// bucketIdleTimeout is how long a bucket must be unused before it is dropped.
	// Only full buckets are dropped: a new one would be full as well.
	bucketIdleTimeout = 10 * time.Second
	// sweepInterval is the interval between searches for what is idle or has expired.
	sweepInterval = time.Second
)

// Owner is the Core that holds the token buckets of the workspace shards that
// this host owns. It also holds reserves as the standby of other owners.
type Owner struct {
	settings
	configured  bool
	cfg         model.Config
	shards      [model.WorkspaceShards]ownedShard
	nextSweepAt model.Instant
	// standbys holds the standby of each shard, whether this host owns it or not.
	standbys [model.WorkspaceShards]model.HostID
	// heldReserves holds the reserves that the owners of shards sent to this host, their standby.
	heldReserves [model.WorkspaceShards]standbyReserves
	// entryHosts tells which entry hosts may use their local shares.
	entryHosts entryHosts
	// lastNonce is the nonce of the newest StandbyNote of this run.
	lastNonce uint64
	// effects collects the effects of the current Step.
	effects []Effect
}

// ownedShard holds the buckets of a shard, and its zero value stands for a
// shard that this host does not own.
type ownedShard struct {
	owned      bool
	epoch      model.Epoch
	leaseUntil model.Instant
	// fillFrom is when buckets start to fill. Until then, hosts may use tokens
	// that an earlier owner granted before it released the shard.
	fillFrom model.Instant
	buckets  map[model.WorkspaceID]*bucket
	// bucketList holds the same buckets in the order of their creation, so that
	// loops over them are deterministic.
	bucketList []*bucket
	standby    standbyState
	discovery  ownerDiscovery
}

// NewOwner returns an Owner without shards. It grants no tokens before its
// first Configured event.
func NewOwner(_ model.HostID, opts ...Option) *Owner {
	return &Owner{settings: newSettings(opts)}
}

// Step processes one event. The returned slice is valid until the next Step.
func (o *Owner) Step(now model.Instant, ev Event) []Effect {
	o.effects = o.effects[:0]
	switch ev := ev.(type) {
	case Tick:
		o.sweep(now)
		o.sendDueNotes(now)
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
		o.setEntryHosts(now, ev)
	case StandbysChanged:
		o.standbys = ev.Standbys
		for i := range o.shards {
			o.shards[i].replaceStandby(o.standbys[i], o.lastNonce)
		}
	}
	return o.effects
}

func (o *Owner) receive(now model.Instant, ev Received) {
	switch m := ev.Msg.(type) {
	case proto.DrawAsk:
		o.answerDraw(now, ev.From, m)
	case proto.StandbyNote:
		o.storeReserves(now, ev.From, m)
	case proto.StandbyAck:
		o.handleStandbyAck(now, ev.From, m)
	}
}

func (o *Owner) send(to model.HostID, m proto.Message) {
	o.effects = append(o.effects, Send{To: to, Msg: m})
}

// gain starts a shard with empty buckets, apart from the reserves that this
// host holds for it as the standby of the previous owner.
func (o *Owner) gain(now model.Instant, ev OwnershipGained) {
	if ev.Shard >= model.WorkspaceShards {
		return
	}
	o.shards[ev.Shard] = ownedShard{
		owned:      true,
		epoch:      ev.Epoch,
		leaseUntil: ev.Until,
		fillFrom:   now.Add(o.localAtLeast(maxTokenValidity)),
		buckets:    map[model.WorkspaceID]*bucket{},
		standby:    standbyState{host: o.standbys[ev.Shard]},
		discovery:  ownerDiscovery{endsAt: now.Add(o.localAtLeast(ownerDiscoveryTime)), awareHosts: map[model.HostID]struct{}{}},
	}
	o.applyReserve(now, ev)
}

// renew moves the end of the lease of a shard that is owned in the same epoch.
func (o *Owner) renew(ev OwnershipRenewed) {
	if ev.Shard >= model.WorkspaceShards {
		return
	}
	if sh := &o.shards[ev.Shard]; sh.owned && sh.epoch == ev.Epoch {
		sh.leaseUntil = ev.Until
	}
}

// configure applies the limits of a new configuration to all buckets. A reserve
// under other limits is void, so its standby is due a new note at once.
func (o *Owner) configure(now model.Instant, cfg model.Config) {
	o.configured = true
	o.cfg = cfg
	for i := range o.shards {
		for _, b := range o.shards[i].bucketList {
			o.refill(now, &o.shards[i], b)
			b.setLimits(now, o.cfg.LimitsFor(b.workspace), o.settings)
			if b.reserve.nonce > 0 && b.reserve.limits != b.limits {
				b.reserve.resend, o.shards[i].standby.nextNoteAt = true, now
			}
		}
	}
}

// answerDraw grants up to the tokens that a DrawAsk wants. An ask that was
// answered before gets the same grant without drawing again.
func (o *Owner) answerDraw(now model.Instant, from model.HostID, m proto.DrawAsk) {
	reply := proto.DrawReply{Nonce: m.Nonce, Workspace: m.Workspace}
	sh := &o.shards[model.WorkspaceShard(m.Workspace)]
	if !o.configured || !sh.owned || sh.leaseUntil.Sub(now) < minRemainingLease {
		reply.NotOwner = true
		o.send(from, reply)
		return
	}
	o.recordAwareHost(now, sh, from)
	reply.Epoch = sh.epoch
	if ws, _ := o.cfg.Workspaces.Get(m.Workspace); ws.Withdrawn {
		o.send(from, reply)
		return
	}
	b := o.bucket(now, sh, m.Workspace)
	reserved := sh.reservedTokens(now, b)
	history := b.historyOf(now, from)
	d, repeated := history.find(m.Nonce)
	if !repeated {
		o.refill(now, sh, b)
		valid := min(tokenValidity(b.limits), o.localAtMost(sh.leaseUntil.Sub(now)))
		d = answeredDraw{nonce: m.Nonce, granted: b.take(m.Tokens, reserved), validFor: valid}
		history.add(d)
	}
	reply.GrantedTokens, reply.ValidFor = d.granted, d.validFor
	if d.granted < m.Tokens {
		reply.RetryAfter = b.timeToNextToken(now, o.fillRate(now, sh, b))
	}
	o.send(from, reply)
	o.lowerReserve(now, sh, b, reserved, m.Tokens-d.granted)
	// The tokens become free as soon as the standby acknowledges the smaller
	// reserve, so the host may ask again at once.
	if d.granted < m.Tokens && b.tokens >= 1 && b.reserve.isPending && now.Sub(b.reserve.sentAt) < lowerAckWait {
		reply.RetryAfter = 0
		o.effects[0] = Send{To: from, Msg: reply}
	}
}

// bucket returns the bucket of a workspace. A new bucket starts empty at
// fillFrom, so that the next refill adds all tokens since then.
func (o *Owner) bucket(now model.Instant, sh *ownedShard, ws model.WorkspaceID) *bucket {
	b, ok := sh.buckets[ws]
	if !ok {
		b = &bucket{workspace: ws, limits: o.cfg.LimitsFor(ws), filledUntil: sh.fillFrom, recentDraws: map[model.HostID]*drawHistory{}}
		sh.buckets[ws] = b
		sh.bucketList = append(sh.bucketList, b)
	}
	b.lastUsedAt = now
	return b
}

// historyOf returns the latest draws of a host.
func (b *bucket) historyOf(now model.Instant, host model.HostID) *drawHistory {
	h, ok := b.recentDraws[host]
	if !ok {
		h = &drawHistory{}
		b.recentDraws[host] = h
	}
	h.lastUsedAt = now
	return h
}

// dropIdleHistories forgets the draws of hosts that drew nothing for bucketIdleTimeout.
func (b *bucket) dropIdleHistories(now model.Instant) {
	maps.DeleteFunc(b.recentDraws, func(_ model.HostID, h *drawHistory) bool { return now.Sub(h.lastUsedAt) >= bucketIdleTimeout })
}

// sweep drops, once per sweepInterval, expired reserves, idle draw histories,
// and buckets that are idle, full and without a reserve at a standby.
func (o *Owner) sweep(now model.Instant) {
	if now < o.nextSweepAt {
		return
	}
	o.nextSweepAt = now.Add(sweepInterval)
	for i := range o.heldReserves {
		o.heldReserves[i].dropExpired(now)
	}
	for i := range o.shards {
		sh := &o.shards[i]
		sh.bucketList = slices.DeleteFunc(sh.bucketList, func(b *bucket) bool {
			b.dropIdleHistories(now)
			if now.Sub(b.lastUsedAt) < bucketIdleTimeout || sh.reservedTokens(now, b) > 0 {
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
