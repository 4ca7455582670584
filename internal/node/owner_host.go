package node

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"tarragongauge.example/tarragongauge/internal/admit"
	"tarragongauge.example/tarragongauge/internal/lease"
	"tarragongauge.example/tarragongauge/internal/pool"
	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

const (
	// togetherWithin is how much earlier than this process a host may have started
	// that counts as started with it; clocks differ a little.
	togetherWithin = 5 * time.Second
	// togetherFor is how long a process counts as new.
	togetherFor = 15 * time.Second
)

// ownerPart drives the cores that own shards on a control host, in a fleet
// whose entry hosts own none. It also passes on the announcements that the host
// takes, and holds them, so that a new owner learns of the targets at once.
type ownerPart struct {
	log    logr.Logger
	self   proto.Member
	send   func(model.HostID, proto.Message)
	cfg    atomic.Pointer[model.Config]
	hosts  hostSet
	prober *prober
	clock  clock
	// startedAt is when this process started.
	startedAt model.Instant
	// known holds all targets.
	known *knownTargets
	// controls are the live control hosts, sorted by host.
	controls atomic.Pointer[[]proto.Member]

	claimer *runner[lease.Event, lease.Effect]
	buckets *runner[admit.Event, admit.Effect]
	targets *runner[pool.Event, pool.Effect]
	// news is a picker of which nothing is asked: it forwards announcements.
	news *runner[pool.Event, pool.Effect]
}

// newOwnerPart returns the owner side of a control host and its clean-up function.
func newOwnerPart(self proto.Member, timing lease.Timing, tune pool.Tuning, known *knownTargets, log logr.Logger, send func(model.HostID, proto.Message), limits ...admit.Option) (*ownerPart, func()) {
	p := &ownerPart{log: log, self: self, send: send, clock: newClock(), known: known}
	p.startedAt = p.clock.now()
	cfg := model.NewConfig(nil, nil)
	p.cfg.Store(&cfg)
	c := newClock()
	opts := []lease.Option{
		lease.WithTiming(timing), lease.WithIncarnation(self.Incarnation), lease.WithOwnerRole(self.Role), lease.WithWallMillis(wallMillis),
	}
	p.claimer = newRunner(c, lease.NewClaimer(self.Host, opts...).Step, p.applyClaimer)
	limits = append(limits, admit.WithMaxClockDrift(timing.MaxClockDrift), admit.WithIncarnation(self.Incarnation))
	p.buckets = newRunner(c, admit.NewOwner(self.Host, limits...).Step, p.applyAdmit)
	p.targets = newRunner(c, pool.NewOwner(self.Host, pool.WithTuning(tune)).Step, p.applyPool)
	p.news = newRunner(c, pool.NewPicker(self.Host, self.Zone, pool.WithIncarnation(self.Incarnation), pool.WithTuning(tune)).Step, p.applyNews)
	prober, stop := newProber(context.Background(), p.healthPath, func(ev pool.Probed) { p.targets.post(ev) })
	p.prober = prober
	return p, stop
}

// follow takes the effects of the freshness client of the same host.
func (p *ownerPart) follow(f lease.Effect) {
	switch f := f.(type) {
	case lease.ConfigChanged:
		p.cfg.Store(&f.Config)
		p.claimer.post(f)
		p.buckets.post(admit.Configured{Config: f.Config})
		p.targets.post(pool.Configured{Config: f.Config})
		p.news.post(pool.Configured{Config: f.Config})
	case lease.FreshnessExtended:
		p.claimer.post(f)
	case lease.QuorumsChanged:
		p.claimer.post(f)
	case lease.MembersChanged:
		p.claimer.post(f)
		p.joinMembers(f.Members)
	case lease.OwnersChanged:
		p.news.post(pool.OwnersChanged{Owners: f.Owners})
	default:
	}
}

func (p *ownerPart) joinMembers(members []proto.Member) {
	controls := slices.DeleteFunc(slices.Clone(members), func(m proto.Member) bool { return m.Role != proto.RoleControl || m.Draining })
	p.controls.Store(&controls)
	gone := p.hosts.replace(members)
	p.targets.post(pool.EntryHostsChanged{Hosts: p.hosts.hosts})
	p.known.setHosts(len(p.hosts.hosts))
	for _, id := range gone {
		p.log.Info("entry host lost", "host", id)
		p.targets.post(pool.HostGone{Host: id})
	}
	p.buckets.post(admit.EntryHostsChanged{Hosts: p.hosts.hosts, StartedTogether: p.startedTogether(members)})
	p.buckets.post(admit.StandbysChanged{Standbys: workspaceStandbys(members, p.self)})
}

// startedTogether returns the entry hosts that started with this process, as
// after a loss of power of all hosts, while it is new.
func (p *ownerPart) startedTogether(members []proto.Member) []model.HostID {
	if p.clock.now().Sub(p.startedAt) > togetherFor {
		return nil
	}
	var list []model.HostID
	since := p.self.Incarnation - model.Incarnation(togetherWithin.Microseconds())
	for _, m := range members {
		if m.Role == proto.RoleEntry && m.Incarnation >= since {
			list = append(list, m.Host)
		}
	}
	return list
}

// nearControl returns this host if it lies in the zone, else the first live control host there.
func (p *ownerPart) nearControl(zone model.ZoneName) model.HostID {
	controls := p.controls.Load()
	if zone == p.self.Zone || controls == nil {
		return p.self.Host
	}
	i := slices.IndexFunc(*controls, func(m proto.Member) bool { return m.Zone == zone })
	if i < 0 {
		return p.self.Host
	}
	return (*controls)[i].Host
}

// receive hands a message to the core that takes it and reports whether one did.
func (p *ownerPart) receive(from model.HostID, m proto.Message) bool {
	switch m := m.(type) {
	case proto.LeaseReply:
		p.claimer.post(lease.Received{From: from, Msg: m})
	case proto.DrawAsk, proto.StandbyNote, proto.StandbyAck:
		p.buckets.post(admit.Received{From: from, Msg: m})
	case proto.TargetNews:
		p.known.hear(p.clock.now(), m.Announcement, false)
		p.targets.post(pool.Received{From: from, Msg: m})
	case proto.SlotAsk, proto.SlotDone, proto.SlotCancel, proto.ProbeResult, proto.ViewAsk, proto.RestoreReport, proto.QuarantineClear:
		p.targets.post(pool.Received{From: from, Msg: m})
	case proto.SlotReply, proto.ViewReply, proto.RestoreAck:
		p.news.post(pool.Received{From: from, Msg: m})
	default:
		return false
	}
	return true
}

func (p *ownerPart) tick() {
	p.claimer.post(lease.Tick{})
	p.buckets.post(admit.Tick{})
	p.targets.post(pool.Tick{})
	p.news.post(pool.Tick{})
	for _, a := range p.known.due(p.clock.now()) {
		p.tellControls(a)
	}
}

func (p *ownerPart) applyClaimer(f lease.Effect) {
	if f, ok := f.(lease.Send); ok {
		p.send(f.To, f.Msg)
		return
	}
	handOver(f, p.log, p.buckets, p.targets)
	if f, ok := f.(lease.OwnershipGained); ok && !isWorkspaceShard(f.Shard) {
		p.introduce(f.Shard)
	}
}

// introduce tells the owner core of the targets of a shard that it has just
// gained: their announcements went to the earlier owner.
func (p *ownerPart) introduce(shard model.ShardID) {
	for _, a := range p.known.targets() {
		if model.ServiceShard(a.Service) == shard {
			p.targets.post(pool.Received{From: p.self.Host, Msg: proto.TargetNews{Announcement: a}})
		}
	}
}

func (p *ownerPart) applyAdmit(f admit.Effect) {
	if f, ok := f.(admit.Send); ok {
		p.send(f.To, f.Msg)
	}
}

func (p *ownerPart) applyPool(f pool.Effect) {
	switch f := f.(type) {
	case pool.Send:
		p.send(f.To, f.Msg)
	case pool.Probe:
		p.prober.start(f)
	default:
		logTarget(p.log, f)
	}
}

// applyNews sends announcements on. Probes are left to the owners, and there is
// nothing to report to new ones, since the picker gives no targets.
func (p *ownerPart) applyNews(f pool.Effect) {
	send, ok := f.(pool.Send)
	if !ok {
		return
	}
	if news, ok := send.Msg.(proto.TargetNews); ok {
		p.send(send.To, news)
	}
}

// announce takes an announcement.
func (p *ownerPart) announce(a model.Announcement) {
	p.news.post(pool.TargetAnnounced{Announcement: a})
	for _, changed := range p.known.hear(p.clock.now(), a, true) {
		p.tellControls(changed)
	}
}

// tellControls tells the other control hosts of a change. Whichever of them
// owns the service, now or later, gives a target that leaves no new work, and
// neither does an entry host that asks one of them.
func (p *ownerPart) tellControls(a model.Announcement) {
	for _, host := range p.cfg.Load().Controls {
		if host != p.self.Host {
			p.send(host, proto.TargetNews{Announcement: a})
		}
	}
}

func (p *ownerPart) healthPath(name model.ServiceName) string {
	return healthPathOf(*p.cfg.Load(), name)
}

// logTarget logs what an owner decides about a target.
func logTarget(log logr.Logger, f pool.Effect) {
	switch f := f.(type) {
	case pool.Ejected:
		log.Info("target ejected", "service", f.Service, "target", f.Target, "cause", f.Cause.String(), "reason", f.Reason, "after", f.DetectionTime.String(), "for", f.Duration.String())
	case pool.Reinstated:
		log.Info("target returned", "service", f.Service, "target", f.Target)
	case pool.Quarantined:
		log.Info("requests quarantined: they crashed targets twice", "service", f.Service, "workspace", f.Workspace, "fingerprint", f.Fingerprint, "for", f.Duration.String())
	default:
	}
}

// handOver hands the ownership that a claimer gained or lost to the cores whose shards are concerned.
func handOver(f lease.Effect, log logr.Logger, buckets *runner[admit.Event, admit.Effect], targets *runner[pool.Event, pool.Effect]) {
	switch f := f.(type) {
	case lease.OwnershipGained:
		log.Info("gained a shard", "shard", f.Shard, "epoch", f.Epoch, "previous", f.PreviousEpoch)
		if isWorkspaceShard(f.Shard) {
			buckets.post(admit.OwnershipGained(f))
		} else {
			targets.post(pool.OwnershipGained{Shard: f.Shard, Epoch: f.Epoch, Until: f.Until})
		}
	case lease.OwnershipRenewed:
		if isWorkspaceShard(f.Shard) {
			buckets.post(admit.OwnershipRenewed(f))
		} else {
			targets.post(pool.OwnershipRenewed(f))
		}
	case lease.OwnershipLost:
		log.Info("lost a shard", "shard", f.Shard, "epoch", f.Epoch)
		if isWorkspaceShard(f.Shard) {
			buckets.post(admit.OwnershipLost{Shard: f.Shard})
		} else {
			targets.post(pool.OwnershipLost{Shard: f.Shard})
		}
	default:
	}
}
