package pool

import (
	"math/rand/v2"
	"slices"
	"strings"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/internal/sched"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// ownership is the right to decide for one shard, up to an instant.
type ownership struct {
	epoch    model.Epoch
	until    model.Instant
	gainedAt model.Instant
	// restore is never nil.
	restore *shardRestore
}

// Owner is the state machine that decides for the services of the shards that this
// host owns. The runtime delivers sends to its own host locally.
type Owner struct {
	self model.HostID
	tune Tuning
	rng  *rand.Rand
	cfg  model.Config
	// ownerships holds the owned shards. One that has expired is kept for a
	// renewal, but nothing is decided under it.
	ownerships map[model.ShardID]ownership
	services   map[model.ServiceName]*service
	// ordered lists the services by name, so that ticks are deterministic.
	ordered []*service
	// hostIndex numbers the entry hosts in the order in which they were first seen.
	// hostNames holds their names by number.
	hostIndex map[model.HostID]int32
	hostNames []model.HostID
	// liveHosts holds the live entry hosts, sorted, once liveHostsKnown is set.
	liveHosts      []model.HostID
	liveHostsKnown bool
	// restores holds the restores of all owned shards, in the order in which they began.
	restores []*shardRestore
	// returnedZones holds when the evacuation of each zone last ended.
	returnedZones map[model.ZoneName]model.Instant
	// serial numbers assignments and waiting queries.
	serial uint64
	// out holds the effects of the current step.
	out []Effect
}

// NewOwner returns an Owner that owns no shard.
func NewOwner(self model.HostID, opts ...Option) *Owner {
	s := newSettings(self, opts)
	return &Owner{
		self:          self,
		tune:          s.tune,
		rng:           s.rng,
		cfg:           model.NewConfig(nil, nil),
		ownerships:    map[model.ShardID]ownership{},
		services:      map[model.ServiceName]*service{},
		hostIndex:     map[model.HostID]int32{},
		returnedZones: map[model.ZoneName]model.Instant{},
	}
}

// Step applies one event. The returned slice is valid until the next call.
func (o *Owner) Step(now model.Instant, ev Event) []Effect {
	clear(o.out)
	o.out = o.out[:0]
	switch ev := ev.(type) {
	case Received:
		o.receive(now, ev.From, ev.Msg)
	case Tick:
		o.tick(now)
	case Configured:
		o.configure(now, ev.Config)
	case OwnershipGained:
		o.gainOwnership(now, ev)
	case OwnershipRenewed:
		o.renewOwnership(ev)
	case OwnershipLost:
		o.loseOwnership(ev.Shard)
	case EntryHostsChanged:
		o.setHosts(now, ev.Hosts)
	case HostGone:
		o.hostGone(now, ev.Host)
	case Probed:
		o.handleProbeResult(now, proto.ProbeResult(ev))
	}
	return o.out
}

func (o *Owner) receive(now model.Instant, from model.HostID, msg proto.Message) {
	switch m := msg.(type) {
	case proto.SlotAsk:
		o.handleAsk(now, from, m)
	case proto.SlotDone:
		o.handleDone(now, from, m)
	case proto.SlotCancel:
		o.handleCancel(now, from, m)
	case proto.TargetNews:
		o.handleAnnouncement(now, m)
	case proto.ProbeResult:
		o.handleProbeResult(now, m)
	case proto.ViewAsk:
		o.handleViewAsk(now, from, m)
	case proto.RestoreReport:
		o.handleReport(now, from, &m)
	case proto.QuarantineClear:
		o.clearQuarantine(now, m)
	}
}

func (o *Owner) emit(e Effect) { o.out = append(o.out, e) }

func (o *Owner) send(to model.HostID, m proto.Message) { o.emit(Send{To: to, Msg: m}) }

// gainOwnership begins a new ownership with a restore, or renews one of the same epoch.
func (o *Owner) gainOwnership(now model.Instant, ev OwnershipGained) {
	old, ok := o.ownerships[ev.Shard]
	if ok && ev.Epoch < old.epoch {
		return
	}
	if ok && ev.Epoch > old.epoch {
		// Another host may have decided for the shard in between.
		o.loseOwnership(ev.Shard)
	}
	if ok && ev.Epoch == old.epoch {
		o.renewOwnership(OwnershipRenewed(ev))
		return
	}
	r := &shardRestore{shard: ev.Shard, deadline: now.Add(o.tune.RestoreTimeout)}
	o.ownerships[ev.Shard] = ownership{epoch: ev.Epoch, until: ev.Until, gainedAt: now, restore: r}
	o.restores = append(o.restores, r)
	o.finishRestore(now, r)
}

// renewOwnership extends an ownership of the same epoch. Its end never moves back.
func (o *Owner) renewOwnership(ev OwnershipRenewed) {
	own, ok := o.ownerships[ev.Shard]
	if !ok || own.epoch != ev.Epoch {
		return
	}
	own.until = max(own.until, ev.Until)
	o.ownerships[ev.Shard] = own
}

// loseOwnership drops the state of a shard and sends the waiting queries to the next owner.
func (o *Owner) loseOwnership(shard model.ShardID) {
	delete(o.ownerships, shard)
	o.restores = slices.DeleteFunc(o.restores, func(r *shardRestore) bool { return r.shard == shard })
	kept := o.ordered[:0]
	for _, s := range o.ordered {
		if s.shard != shard {
			kept = append(kept, s)
			continue
		}
		o.refuseWaiting(s)
		delete(o.services, s.name)
	}
	clear(o.ordered[len(kept):])
	o.ordered = kept
}

// refuseWaiting refuses all waiting queries of a service, since this host no longer owns it.
func (o *Owner) refuseWaiting(s *service) {
	for _, w := range s.workspaces {
		for w.queue.len() > 0 {
			a := w.queue.pop()
			if !a.isWithdrawn {
				o.refuse(s, a.host, a.nonce, proto.SlotNotOwner, 0)
			}
		}
	}
}

// service returns the state of a service whose shard this host owns now, or nil.
func (o *Owner) service(now model.Instant, name model.ServiceName) *service {
	if s, ok := o.services[name]; ok {
		if now < o.ownerships[s.shard].until {
			return s
		}
		return nil
	}
	shard := model.ServiceShard(name)
	own, ok := o.ownerships[shard]
	if !ok || now >= own.until {
		return nil
	}
	s := newService(now, name, shard, own)
	s.sched = sched.New[*ask](sched.WithRandom(o.rng))
	s.configure(o.cfg, o.tune.Retries)
	s.configureWarmup(now, o.cfg)
	o.services[name] = s
	at, _ := slices.BinarySearchFunc(o.ordered, s, compareServices)
	o.ordered = slices.Insert(o.ordered, at, s)
	return s
}

func compareServices(a, b *service) int { return strings.Compare(string(a.name), string(b.name)) }

func (o *Owner) configure(now model.Instant, cfg model.Config) {
	if cfg.Version < o.cfg.Version {
		return
	}
	before := o.cfg.Evacuated
	o.cfg = cfg
	for _, s := range o.ordered {
		s.configure(cfg, o.tune.Retries)
		s.configureWarmup(now, cfg)
	}
	o.applyEvacuations(now, before)
	for _, s := range o.ordered {
		o.enforceFloor(now, s)
	}
}

func (o *Owner) tick(now model.Instant) {
	for _, r := range o.restores {
		o.finishRestore(now, r)
	}
	for _, s := range o.ordered {
		if now >= o.ownerships[s.shard].until {
			continue
		}
		o.refillRetries(now, s)
		o.reportRetries(now, s)
		o.reportIdleTargets(now, s)
		o.endColdTimes(now, s)
		o.expireTargets(now, s)
		o.expireSlots(now, s)
		o.expireBrokenAttempts(now, s)
		o.expireEndedSlots(now, s)
		o.expireQuarantine(now, s)
		s.extendCooldowns(now)
		o.evaluate(now, s)
		o.reinstateTargets(now, s)
		o.refuseEvacuated(now, s)
		o.expireWaiting(now, s)
		o.dispatch(now, s)
	}
}

// hostNumber returns the number of an entry host, which stays the same while the process runs.
func (o *Owner) hostNumber(id model.HostID) int32 {
	i, ok := o.hostIndex[id]
	if !ok {
		i = int32(len(o.hostNames))
		o.hostIndex[id] = i
		o.hostNames = append(o.hostNames, id)
	}
	return i
}

// hostGone frees the slots of an entry host that left and withdraws its waiting queries.
func (o *Owner) hostGone(now model.Instant, id model.HostID) {
	host, ok := o.hostIndex[id]
	if !ok {
		return
	}
	for _, s := range o.ordered {
		for _, w := range s.workspaces {
			for _, a := range w.queue.items[w.queue.head:] {
				if a.host == host && !a.isWithdrawn {
					s.withdraw(a)
				}
			}
		}
		for _, t := range s.targets {
			for i := len(t.busySlots) - 1; i >= 0; i-- {
				if t.busySlots[i].host == host {
					s.freeSlot(now, t.busySlots[i])
				}
			}
			t.forgetHost(host)
		}
		*s.connectivity(host) = hostConnectivity{}
		if now < o.ownerships[s.shard].until {
			o.dispatch(now, s)
		}
	}
}
