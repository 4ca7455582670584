package pool

import (
	"slices"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// Operators evacuate an availability zone: its targets get no more requests, while
// those that run there finish. The list of evacuated zones is part of the
// configuration. The owner assigns no target of these zones and counts them for no
// decision about the others. The picker uses none without an owner, and declines one
// that an owner with an older configuration assigns.

// inService reports whether the target is ready and its zone is not evacuated. An
// ejected target is in service too: it counts for the floor.
func (t *target) inService() bool { return t.ready() && !t.evacuated }

// applyEvacuations updates the targets after the list of evacuated zones has changed
// from before, and refuses the waiting queries that no other zone can serve.
func (o *Owner) applyEvacuations(now model.Instant, before []model.ZoneName) {
	if slices.Equal(before, o.cfg.Evacuated) {
		return
	}
	for _, zone := range before {
		if !o.cfg.IsEvacuated(zone) {
			o.returnedZones[zone] = now
		}
	}
	for _, s := range o.ordered {
		for _, t := range s.targets {
			o.updateEvacuated(now, t)
		}
		s.countEvacuated()
		if now < o.ownerships[s.shard].until {
			o.refuseEvacuated(now, s)
			o.dispatch(now, s)
		}
	}
	o.reportZones(before)
}

// updateEvacuated updates whether the zone of a target is evacuated. A target that
// returns begins a slow start without the evidence against it, which did not decay
// while it was not compared with the others.
func (o *Owner) updateEvacuated(now model.Instant, t *target) {
	evacuated := o.cfg.IsEvacuated(t.zone)
	if evacuated == t.evacuated {
		return
	}
	t.evacuated = evacuated
	t.keptByFloor, t.onProbation = false, false
	t.inSlowStart, t.isWarmedUp = !evacuated, false
	if !evacuated {
		t.slowStartFrom = now
		t.stats = stats{}
		t.evidenceSince = 0
	}
}

// setZone sets the zone that a target announces. A target that is new to this owner
// joins the slow start of its zone, if the zone has just returned.
func (o *Owner) setZone(now model.Instant, s *service, t *target, zone model.ZoneName) {
	if t.zone == zone {
		return
	}
	isNew := t.zone == ""
	t.zone = zone
	o.updateEvacuated(now, t)
	s.countEvacuated()
	returnedAt, ok := o.returnedZones[zone]
	if isNew && ok && !t.evacuated && !t.inSlowStart && now.Sub(returnedAt) < o.tune.SlowStart {
		t.inSlowStart, t.slowStartFrom = true, returnedAt
	}
}

// countEvacuated updates the number of targets whose zones are evacuated.
func (s *service) countEvacuated() {
	s.evacuatedCount = 0
	for _, t := range s.targets {
		if t.evacuated {
			s.evacuatedCount++
		}
	}
}

// refuseEvacuated refuses the waiting queries that only targets of evacuated zones
// could serve.
func (o *Owner) refuseEvacuated(now model.Instant, s *service) {
	if s.evacuatedCount == 0 || s.waitingCount == 0 {
		return
	}
	for _, w := range s.workspaces {
		for _, a := range w.queue.items[w.queue.head:] {
			if !a.isWithdrawn && s.isEvacuatedFor(a.exclude) {
				after := o.retryAfterByRank(now, s, a.query.Rank, a.query.Class, proto.SlotNoTarget)
				o.refuseWaitingAsk(now, s, a, proto.SlotNoTarget, after)
			}
		}
	}
}

// isEvacuatedFor reports whether evacuated targets could serve a query with these
// excluded targets, and no others could.
func (s *service) isEvacuatedFor(exclude []model.TargetID) bool {
	found := false
	for _, t := range s.targets {
		switch {
		case !t.ready() || slices.Contains(exclude, t.id):
		case !t.evacuated:
			return false
		default:
			found = true
		}
	}
	return found
}

// reportZones reports the zones whose evacuation began or ended, unless this host
// owns no service.
func (o *Owner) reportZones(before []model.ZoneName) {
	if len(o.ownerships) == 0 {
		return
	}
	for _, zone := range o.cfg.Evacuated {
		if !slices.Contains(before, zone) {
			o.emit(ZoneEvacuated(o.zoneUse(zone)))
		}
	}
	for _, zone := range before {
		if !o.cfg.IsEvacuated(zone) {
			o.emit(ZoneReturned(o.zoneUse(zone)))
		}
	}
}

// zoneUse is the use that the services of this owner make of a zone.
type zoneUse struct {
	Zone    model.ZoneName
	Version model.Version
	// Targets counts the targets in the zone, InFlight the slots in use there.
	Targets, InFlight int
}

func (o *Owner) zoneUse(zone model.ZoneName) zoneUse {
	use := zoneUse{Zone: zone, Version: o.cfg.Version}
	for _, s := range o.ordered {
		for _, t := range s.targets {
			if t.zone == zone && t.announced() {
				use.Targets++
				use.InFlight += len(t.busySlots)
			}
		}
	}
	return use
}

// isEvacuated reports whether this host knows that the zone of an assigned target is
// evacuated. It does not if the owner has a newer configuration, in which the zone
// has returned.
func (p *Picker) isEvacuated(s *pickerService, m proto.SlotReply) bool {
	return len(p.cfg.Evacuated) > 0 && m.ConfigVersion < p.cfg.Version && p.cfg.IsEvacuated(p.zoneOf(s, m.Target))
}

// zoneOf returns the zone of a target, or an empty name if this host does not know it.
func (p *Picker) zoneOf(s *pickerService, id model.TargetID) model.ZoneName {
	for _, a := range p.targetList.byService[s.name] {
		if a.Target == id {
			return a.Zone
		}
	}
	if i := slices.IndexFunc(s.view, func(v proto.TargetView) bool { return v.Target == id }); i >= 0 {
		return s.view[i].Zone
	}
	if i, ok := s.findAnnouncement(id); ok {
		return s.announcements[i].announcement.Zone
	}
	return ""
}

// declineEvacuated adds to the targets that a request declines all known ones in
// evacuated zones, since an owner with an older configuration may assign each of
// them in turn.
func (p *Picker) declineEvacuated(s *pickerService, declined []model.TargetID) []model.TargetID {
	decline := func(id model.TargetID, zone model.ZoneName) {
		if p.cfg.IsEvacuated(zone) && !slices.Contains(declined, id) {
			declined = append(declined, id)
		}
	}
	for _, a := range p.targetList.byService[s.name] {
		decline(a.Target, a.Zone)
	}
	for _, v := range s.view {
		decline(v.Target, v.Zone)
	}
	return declined
}

// withoutEvacuated returns the targets outside evacuated zones. If there are others
// only, it refuses the waiting requests.
func (p *Picker) withoutEvacuated(now model.Instant, s *pickerService, targets []proto.TargetView) []proto.TargetView {
	if len(p.cfg.Evacuated) == 0 || len(targets) == 0 {
		return targets
	}
	targets = slices.DeleteFunc(targets, func(v proto.TargetView) bool { return p.cfg.IsEvacuated(v.Zone) })
	if len(targets) > 0 {
		return targets
	}
	for _, r := range s.queue.items[s.queue.head:] {
		if !r.isRemoved {
			p.refuseWithRetryAfter(now, r, proto.SlotNoTarget, localRetryAfter)
		}
	}
	return targets
}
