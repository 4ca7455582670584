package pool

import (
	"math/rand/v2"
	"slices"
	"strings"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// tenure is the right to decide for one shard.
type tenure struct {
	epoch  model.Epoch
	until  model.Instant
	gained model.Instant
	// restore is never nil.
	restore *restore
}

// Owner decides for the services of the shards that this host owns. Sends to
// its own host are delivered locally by the runtime.
type Owner struct {
	self model.HostID
	tune Tuning
	rng  *rand.Rand
	cfg  model.Config
	// tenures holds the owned shards. A tenure past its end is kept for a
	// renewal, but nothing is decided under it.
	tenures  map[model.ShardID]tenure
	services map[model.ServiceName]*service
	// ordered lists services by name, so that ticks are deterministic.
	ordered []*service
	// hostIndex numbers entry hosts in the order in which they were first seen.
	hostIndex map[model.HostID]int32
	hostNames []model.HostID
	// live holds the live entry hosts in order, once liveKnown is set.
	live      []model.HostID
	liveKnown bool
	// restores holds those of all tenures, in the order in which they began.
	restores []*restore
	serial   uint64
	out      []Effect
}

// NewOwner returns an owner core that owns no shard.
func NewOwner(self model.HostID, opts ...Option) *Owner {
	s := newSettings(self, opts)
	return &Owner{
		self:      self,
		tune:      s.tune,
		rng:       s.rng,
		cfg:       model.NewConfig(nil, nil),
		tenures:   map[model.ShardID]tenure{},
		services:  map[model.ServiceName]*service{},
		hostIndex: map[model.HostID]int32{},
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
		o.gain(now, ev)
	case OwnershipRenewed:
		o.renew(ev)
	case OwnershipLost:
		o.lose(ev.Shard)
	case EntryHostsChanged:
		o.setHosts(now, ev.Hosts)
	case HostGone:
		o.hostGone(now, ev.Host)
	case Probed:
		o.probed(now, proto.ProbeResult(ev))
	}
	return o.out
}

func (o *Owner) receive(now model.Instant, from model.HostID, msg proto.Message) {
	switch m := msg.(type) {
	case proto.SlotAsk:
		o.ask(now, from, m)
	case proto.SlotDone:
		o.done(now, from, m)
	case proto.SlotCancel:
		o.cancel(now, from, m)
	case proto.TargetNews:
		o.announce(now, m.Announcement)
	case proto.ProbeResult:
		o.probed(now, m)
	case proto.ViewAsk:
		o.view(now, from, m)
	case proto.RestoreReport:
		o.report(now, from, &m)
	case proto.QuarantineClear:
		o.clearQuarantine(now, m)
	}
}

func (o *Owner) emit(e Effect) { o.out = append(o.out, e) }

func (o *Owner) send(to model.HostID, m proto.Message) { o.emit(Send{To: to, Msg: m}) }

func (o *Owner) gain(now model.Instant, ev OwnershipGained) {
	old, ok := o.tenures[ev.Shard]
	if ok && ev.Epoch < old.epoch {
		return
	}
	if ok && ev.Epoch > old.epoch {
		// Another host may have decided in between.
		o.lose(ev.Shard)
	}
	if ok && ev.Epoch == old.epoch {
		o.renew(OwnershipRenewed(ev))
		return
	}
	r := &restore{shard: ev.Shard, until: now.Add(o.tune.RestoreTimeout)}
	o.tenures[ev.Shard] = tenure{epoch: ev.Epoch, until: ev.Until, gained: now, restore: r}
	o.restores = append(o.restores, r)
	o.finishRestore(now, r)
}

func (o *Owner) renew(ev OwnershipRenewed) {
	t, ok := o.tenures[ev.Shard]
	if !ok || t.epoch != ev.Epoch {
		return
	}
	t.until = max(t.until, ev.Until)
	o.tenures[ev.Shard] = t
}

// lose drops the state of a shard and sends those who wait to the next owner.
func (o *Owner) lose(shard model.ShardID) {
	delete(o.tenures, shard)
	o.restores = slices.DeleteFunc(o.restores, func(r *restore) bool { return r.shard == shard })
	kept := o.ordered[:0]
	for _, s := range o.ordered {
		if s.shard != shard {
			kept = append(kept, s)
			continue
		}
		o.dismiss(s)
		delete(o.services, s.name)
	}
	clear(o.ordered[len(kept):])
	o.ordered = kept
}

func (o *Owner) dismiss(s *service) {
	for _, w := range s.workspaces {
		for w.queue.len() > 0 {
			a := w.queue.pop()
			if !a.gone {
				o.refuse(s, a.host, a.nonce, proto.SlotNotOwner, 0)
			}
		}
	}
}

// service returns the state of a service whose shard this host owns now, or nil.
func (o *Owner) service(now model.Instant, name model.ServiceName) *service {
	if s, ok := o.services[name]; ok {
		if now < o.tenures[s.shard].until {
			return s
		}
		return nil
	}
	shard := model.ServiceShard(name)
	t, ok := o.tenures[shard]
	if !ok || now >= t.until {
		return nil
	}
	s := newService(now, name, shard, t)
	s.configure(o.cfg, o.tune.Retries)
	s.retryTokens = first(o.tune.Retries.Burst)
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
	o.cfg = cfg
	for _, s := range o.ordered {
		s.configure(cfg, o.tune.Retries)
		o.keepFloor(now, s)
	}
}

func (o *Owner) tick(now model.Instant) {
	for _, r := range o.restores {
		o.finishRestore(now, r)
	}
	for _, s := range o.ordered {
		if now >= o.tenures[s.shard].until {
			continue
		}
		o.refillRetries(now, s)
		o.ageTargets(now, s)
		o.expireSlots(now, s)
		o.expireBroken(now, s)
		o.expireEnded(now, s)
		o.expireQuarantine(now, s)
		s.rest(now)
		o.evaluate(now, s)
		o.returnTargets(now, s)
		o.expireWaiting(now, s)
		o.dispatch(now, s)
	}
}

func (o *Owner) host(id model.HostID) int32 {
	i, ok := o.hostIndex[id]
	if !ok {
		i = int32(len(o.hostNames))
		o.hostIndex[id] = i
		o.hostNames = append(o.hostNames, id)
	}
	return i
}

// hostGone frees everything that an entry host held or waited for.
func (o *Owner) hostGone(now model.Instant, id model.HostID) {
	host, ok := o.hostIndex[id]
	if !ok {
		return
	}
	for _, s := range o.ordered {
		for _, w := range s.workspaces {
			for _, a := range w.queue.items[w.queue.head:] {
				if a.host == host && !a.gone {
					s.withdraw(a)
				}
			}
		}
		for _, t := range s.targets {
			for i := len(t.busy) - 1; i >= 0; i-- {
				if t.busy[i].host == host {
					s.free(t.busy[i])
				}
			}
			t.forgetHost(host)
		}
		*s.trust(host) = hostTrust{}
		if now < o.tenures[s.shard].until {
			o.dispatch(now, s)
		}
	}
}
