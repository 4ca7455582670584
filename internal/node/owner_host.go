package node

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"tarragongauge.example/tarragongauge/internal/admit"
	"tarragongauge.example/tarragongauge/internal/known"
	"tarragongauge.example/tarragongauge/internal/lease"
	"tarragongauge.example/tarragongauge/internal/pool"
	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

const (
	// startTolerance is how much earlier than this process an entry host may have
	// started and still count as started together with it. It allows for
	// differences between clocks.
	startTolerance = 5 * time.Second
	// newProcessPeriod is the time after its start in which a process looks for
	// hosts that started together with it.
	newProcessPeriod = 15 * time.Second
)

// ownerHost drives the cores that own shards on a control host, in a fleet whose
// entry hosts own none. It also forwards the announcements that this host
// receives and keeps them, so that a new owner knows the targets at once.
type ownerHost struct {
	log        logr.Logger
	self       proto.Member
	send       func(model.HostID, proto.Message)
	cfg        atomic.Pointer[model.Config]
	entryHosts entryHostSet
	prober     *prober
	clock      clock
	// startedAt is the instant at which this process started.
	startedAt model.Instant
	// knownTargets holds the targets of all services.
	knownTargets *knownTargets
	// controls holds the live control hosts, sorted by host.
	controls atomic.Pointer[[]proto.Member]
	// memberZones holds the zones of the live hosts, in no particular order.
	memberZones atomic.Pointer[[]model.ZoneName]

	claimer     *runner[lease.Event, lease.Effect]
	bucketOwner *runner[admit.Event, admit.Effect]
	poolOwner   *runner[pool.Event, pool.Effect]
	// poolOwnerCore is read only within poolOwner.read.
	poolOwnerCore *pool.Owner
	// announcementPicker forwards announcements to the owners. No target is ever
	// requested from it.
	announcementPicker *runner[pool.Event, pool.Effect]
}

// newOwnerHost returns the owner cores of a control host and a function that
// stops their health probes.
func newOwnerHost(self proto.Member, timing lease.Timing, tuning pool.Tuning, targets *knownTargets, log logr.Logger, send func(model.HostID, proto.Message), admitOpts ...admit.Option) (*ownerHost, func()) {
	p := &ownerHost{log: log, self: self, send: send, clock: newClock(), knownTargets: targets}
	p.startedAt = p.clock.now()
	cfg := model.NewConfig(nil, nil)
	p.cfg.Store(&cfg)
	c := newClock()
	opts := []lease.Option{
		lease.WithTiming(timing), lease.WithIncarnation(self.Incarnation), lease.WithOwnerRole(self.Role), lease.WithWallMillis(wallMillis),
	}
	p.claimer = newRunner(c, lease.NewClaimer(self.Host, opts...).Step, p.applyClaimer)
	admitOpts = append(admitOpts, admit.WithMaxClockDrift(timing.MaxClockDrift), admit.WithIncarnation(self.Incarnation))
	p.bucketOwner = newRunner(c, admit.NewOwner(self.Host, admitOpts...).Step, p.applyAdmit)
	p.poolOwnerCore = pool.NewOwner(self.Host, pool.WithTuning(tuning))
	p.poolOwner = newRunner(c, p.poolOwnerCore.Step, p.applyPool)
	p.announcementPicker = newRunner(c, pool.NewPicker(self.Host, self.Zone, pool.WithIncarnation(self.Incarnation), pool.WithTuning(tuning)).Step, p.applyAnnouncementPicker)
	targets.reportStored = p.reportStored
	prober, stop := newProber(context.Background(), p.healthPath, func(ev pool.Probed) { p.poolOwner.post(ev) })
	p.prober = prober
	return p, stop
}

// applyFreshness applies an effect of the freshness client of the same host.
func (p *ownerHost) applyFreshness(f lease.Effect) {
	switch f := f.(type) {
	case lease.ConfigChanged:
		p.cfg.Store(&f.Config)
		p.updatePeers()
		p.claimer.post(f)
		p.bucketOwner.post(admit.Configured{Config: f.Config})
		p.poolOwner.post(pool.Configured{Config: f.Config})
		p.announcementPicker.post(pool.Configured{Config: f.Config})
	case lease.FreshnessExtended:
		p.claimer.post(f)
	case lease.QuorumsChanged:
		p.claimer.post(f)
	case lease.MembersChanged:
		p.claimer.post(f)
		p.updateMembers(f.Members)
	case lease.OwnersChanged:
		p.announcementPicker.post(pool.OwnersChanged{Owners: f.Owners})
	default:
	}
}

// updateMembers stores the live control hosts and passes the live entry hosts,
// and those that were lost, to the owner cores.
func (p *ownerHost) updateMembers(members []proto.Member) {
	controls := slices.DeleteFunc(slices.Clone(members), func(m proto.Member) bool { return m.Role != proto.RoleControl || m.Draining })
	p.controls.Store(&controls)
	p.storeMemberZones(members)
	p.updatePeers()
	lost := p.entryHosts.replace(members)
	p.poolOwner.post(pool.EntryHostsChanged{Hosts: p.entryHosts.hosts})
	p.knownTargets.setEntryHostCount(len(p.entryHosts.hosts))
	for _, id := range lost {
		p.log.Info("entry host lost", "host", id)
		p.poolOwner.post(pool.HostGone{Host: id})
	}
	p.bucketOwner.post(admit.EntryHostsChanged{Hosts: p.entryHosts.hosts, StartedTogether: p.startedTogether(members)})
	p.bucketOwner.post(admit.StandbysChanged{Standbys: workspaceStandbys(members, p.self)})
}

// updatePeers sets the hosts to which changes of known targets are sent: the other
// voters, and control hosts that are about to become voters.
func (p *ownerHost) updatePeers() {
	peers := slices.Clone(p.cfg.Load().Controls)
	if controls := p.controls.Load(); controls != nil {
		for _, m := range *controls {
			if !slices.Contains(peers, m.Host) {
				peers = append(peers, m.Host)
			}
		}
	}
	p.knownTargets.setPeers(slices.DeleteFunc(peers, func(h model.HostID) bool { return h == p.self.Host }))
}

// startedTogether returns the entry hosts that started together with this
// process, as after a power failure of all hosts. It returns nil once
// newProcessPeriod has passed.
func (p *ownerHost) startedTogether(members []proto.Member) []model.HostID {
	if p.clock.now().Sub(p.startedAt) > newProcessPeriod {
		return nil
	}
	var list []model.HostID
	earliest := p.self.Incarnation - model.Incarnation(startTolerance.Microseconds())
	for _, m := range members {
		if m.Role == proto.RoleEntry && m.Incarnation >= earliest {
			list = append(list, m.Host)
		}
	}
	return list
}

// controlHostInZone returns this host if it is in the zone, else the first live
// control host there, or this host if there is none.
func (p *ownerHost) controlHostInZone(zone model.ZoneName) model.HostID {
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

// receive passes a message to the core that handles it. It returns false if none
// does.
func (p *ownerHost) receive(from model.HostID, m proto.Message) bool {
	switch m := m.(type) {
	case proto.LeaseReply:
		p.claimer.post(lease.Received{From: from, Msg: m})
	case proto.DrawAsk, proto.StandbyNote, proto.StandbyAck:
		p.bucketOwner.post(admit.Received{From: from, Msg: m})
	case proto.TargetNews:
		p.handleNews(from, m)
	case proto.TargetsStored:
		p.knownTargets.recordStored(from, m.Runs)
	case proto.SlotAsk, proto.SlotDone, proto.SlotCancel, proto.ProbeResult, proto.ViewAsk, proto.RestoreReport, proto.QuarantineClear:
		p.poolOwner.post(pool.Received{From: from, Msg: m})
	case proto.SlotReply, proto.ViewReply, proto.RestoreAck:
		p.announcementPicker.post(pool.Received{From: from, Msg: m})
	default:
		return false
	}
	return true
}

func (p *ownerHost) tick() {
	p.claimer.post(lease.Tick{})
	p.bucketOwner.post(admit.Tick{})
	p.poolOwner.post(pool.Tick{})
	p.announcementPicker.post(pool.Tick{})
	p.sendNews(p.knownTargets.dueMessages(p.clock.now()))
}

// handleNews handles an announcement that another host passed on. If this host's
// disk holds it already, the sender has not heard of that.
func (p *ownerHost) handleNews(from model.HostID, m proto.TargetNews) {
	if m.Silent {
		messages := p.knownTargets.recordSilence(p.clock.now(), m.Announcement, from)
		p.log.Info("another control host hears a target no longer", "target", m.Announcement.Target, "from", from, "corrected", len(messages) > 0)
		p.sendNews(messages)
		return
	}
	if run := m.Announcement.Run(); p.knownTargets.isSaved(run) {
		p.send(from, proto.TargetsStored{Runs: []model.TargetRun{run}})
	}
	p.sendNews(p.knownTargets.recordAnnouncement(p.clock.now(), m.Announcement, from))
	p.poolOwner.post(pool.Received{From: from, Msg: m})
}

// reportStored tells the other control hosts which runs this host's disk holds.
func (p *ownerHost) reportStored(runs []model.TargetRun) {
	for _, host := range p.knownTargets.peers() {
		p.send(host, proto.TargetsStored{Runs: runs})
	}
}

// applyClaimer applies an effect of the claimer. Changes of ownership are
// passed to the bucket owner or the pool owner.
func (p *ownerHost) applyClaimer(f lease.Effect) {
	if f, ok := f.(lease.Send); ok {
		p.send(f.To, f.Msg)
		return
	}
	dispatchOwnership(f, p.log, p.bucketOwner, p.poolOwner)
	if f, ok := f.(lease.OwnershipGained); ok && !isWorkspaceShard(f.Shard) {
		p.passKnownTargets(f.Shard)
	}
}

// passKnownTargets announces the targets of a shard to the pool owner, which has
// just gained the shard. Their announcements went to the previous owner.
func (p *ownerHost) passKnownTargets(shard model.ShardID) {
	for _, a := range p.knownTargets.targets() {
		if model.ServiceShard(a.Service) == shard {
			age := p.knownTargets.age(p.clock.now(), a.Target)
			p.poolOwner.post(pool.Received{From: p.self.Host, Msg: proto.TargetNews{Announcement: a, Listed: true, Age: age}})
		}
	}
}

func (p *ownerHost) applyAdmit(f admit.Effect) {
	if f, ok := f.(admit.Send); ok {
		p.send(f.To, f.Msg)
	}
}

func (p *ownerHost) applyPool(f pool.Effect) {
	switch f := f.(type) {
	case pool.Send:
		p.send(f.To, f.Msg)
	case pool.Probe:
		p.prober.start(f)
	default:
		logTarget(p.log, f)
	}
}

// applyAnnouncementPicker sends the announcements of the picker and drops its
// other effects. Probes are left to the owners, and no assignments have to be
// reported to new owners, because this picker assigns no targets.
func (p *ownerHost) applyAnnouncementPicker(f pool.Effect) {
	send, ok := f.(pool.Send)
	if !ok {
		return
	}
	if news, ok := send.Msg.(proto.TargetNews); ok {
		p.send(send.To, news)
	}
}

// announce handles an announcement that this host received from a target.
func (p *ownerHost) announce(a model.Announcement) {
	a = withUsedColdTime(*p.cfg.Load(), a)
	p.announcementPicker.post(pool.TargetAnnounced{Announcement: a})
	p.sendNews(p.knownTargets.recordAnnouncement(p.clock.now(), a, ""))
}

// sendNews sends announcements to other control hosts. If a target leaves,
// whichever of them owns the service, now or later, assigns no new requests to it,
// and neither does an entry host that asks one of them.
func (p *ownerHost) sendNews(messages []known.Message) {
	for _, m := range messages {
		// Without its age, an owner that does not know the target would take it as
		// just started and, if its service has a warm-up rate, as cold.
		age := p.knownTargets.age(p.clock.now(), m.Announcement.Target)
		for _, host := range m.To {
			p.send(host, proto.TargetNews{Announcement: m.Announcement, Listed: true, Age: age, Silent: m.Silent})
		}
	}
}

// isStoredByMajority waits until a run of a target is on the disks of a majority of
// the control hosts, and of at least minCopies. It returns false if that does not
// happen before the deadline, or once a later run is known.
func (p *ownerHost) isStoredByMajority(run model.TargetRun, minCopies int, deadline time.Time) bool {
	controls := p.cfg.Load().Controls
	need := max(model.Majority(len(controls)), minCopies)
	return p.knownTargets.waitForCopies(run, p.self.Host, controls, need, deadline)
}

// healthPath returns the path of a service's health probes in the current
// configuration.
func (p *ownerHost) healthPath(name model.ServiceName) string {
	return healthPathOf(*p.cfg.Load(), name)
}

// logTarget logs a decision of a pool owner about a target.
func logTarget(log logr.Logger, f pool.Effect) {
	switch f := f.(type) {
	case pool.Ejected:
		log.Info("target ejected", "service", f.Service, "target", f.Target, "cause", f.Cause.String(), "reason", f.Reason, "after", f.DetectionTime.String(), "for", f.Duration.String())
	case pool.Reinstated:
		log.Info("target returned", "service", f.Service, "target", f.Target)
	case pool.ZoneEvacuated:
		log.Info("zone evacuated", "zone", f.Zone, "version", f.Version, "targets", f.Targets, "in_flight", f.InFlight)
	case pool.ZoneReturned:
		log.Info("zone returned", "zone", f.Zone, "version", f.Version, "targets", f.Targets, "in_flight", f.InFlight)
	case pool.TargetCold:
		log.Info("target is cold", "service", f.Service, "target", f.Target, "remaining", f.Remaining.String(), "rate", f.Rate, "assumed", f.Assumed)
	case pool.TargetWarm:
		log.Info("target is warm", "service", f.Service, "target", f.Target)
	case pool.Quarantined:
		log.Info("requests quarantined: they crashed targets twice", "service", f.Service, "workspace", f.Workspace, "fingerprint", f.Fingerprint, "for", f.Duration.String())
	case pool.RetriesRefused:
		log.Info("retry budget used up", "service", f.Service, "within", f.Interval.String(), "requests", f.Requests, "retries", f.Retries, "refused", f.Refused)
	case pool.TargetsIdle:
		log.Info("targets without requests", "service", f.Service, "within", f.Interval.String(), "assigned", f.Assigned, "unused", f.Unused, "refused", f.Refused, "failed", f.Failed, "in_service", f.InService, "targets", idleTargets(f.Targets))
	case pool.QueryRefused:
		log.Info("query refused", "service", f.Service, "request_id", f.Request, "host", f.Host, "reason", f.Reason.String(), "waiting", f.Waiting, "ruled_out", f.RuledOut.String(), "cut_off", f.CutOff, "host_slots", f.HostSlots)
	case pool.DecidedWithoutOwner:
		log.Info("chose targets without the owner of the service", "service", f.Service, "for", f.Duration.String(), "requests", f.Requests, "retries", f.Retries)
	default:
	}
}

// idleTargets describes targets without requests for a log line.
func idleTargets(list []pool.IdleTarget) []string {
	out := make([]string, len(list))
	for i, t := range list {
		out[i] = t.String()
	}
	return out
}

// dispatchOwnership passes a change of ownership to the bucket owner or the pool
// owner, depending on the shard.
func dispatchOwnership(f lease.Effect, log logr.Logger, bucketOwner *runner[admit.Event, admit.Effect], poolOwner *runner[pool.Event, pool.Effect]) {
	switch f := f.(type) {
	case lease.OwnershipGained:
		log.Info("gained a shard", "shard", f.Shard, "epoch", f.Epoch, "previous", f.PreviousEpoch)
		if isWorkspaceShard(f.Shard) {
			bucketOwner.post(admit.OwnershipGained(f))
		} else {
			poolOwner.post(pool.OwnershipGained{Shard: f.Shard, Epoch: f.Epoch, Until: f.Until})
		}
	case lease.OwnershipRenewed:
		if isWorkspaceShard(f.Shard) {
			bucketOwner.post(admit.OwnershipRenewed(f))
		} else {
			poolOwner.post(pool.OwnershipRenewed(f))
		}
	case lease.OwnershipLost:
		log.Info("lost a shard", "shard", f.Shard, "epoch", f.Epoch)
		if isWorkspaceShard(f.Shard) {
			bucketOwner.post(admit.OwnershipLost{Shard: f.Shard})
		} else {
			poolOwner.post(pool.OwnershipLost{Shard: f.Shard})
		}
	default:
	}
}
