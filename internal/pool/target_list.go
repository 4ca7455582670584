package pool

import (
	"slices"
	"time"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// targetList is the list of all targets that control sends. The picker uses it
// while a service has no owner, and to decline targets that leave.
type targetList struct {
	byService map[model.ServiceName][]model.Announcement
	// leaving holds the last incarnation of each target that is draining or leaving.
	leaving map[model.TargetID]model.Incarnation
	// cold holds the targets that are listed as cold.
	cold map[model.TargetID]coldListing
	// confirmedAt is when the list was last replaced or confirmed, or 0.
	confirmedAt model.Instant
}

// replace replaces the list, or confirms the last one if targets is nil.
func (l *targetList) replace(now model.Instant, targets []model.Announcement) {
	l.confirmedAt = now
	if targets == nil {
		return
	}
	l.replaceCold(now, targets)
	l.byService = map[model.ServiceName][]model.Announcement{}
	l.leaving = map[model.TargetID]model.Incarnation{}
	for _, a := range targets {
		if a.State == model.TargetReady {
			l.byService[a.Service] = append(l.byService[a.Service], a)
		} else {
			l.leaving[a.Target] = a.Incarnation
		}
	}
}

// isLeaving reports whether this incarnation of a target gets no new work.
func (l *targetList) isLeaving(id model.TargetID, inc model.Incarnation) bool {
	last, ok := l.leaving[id]
	return ok && inc <= last
}

// isRecent reports whether there is a list that was confirmed within the given time.
func (l *targetList) isRecent(now model.Instant, within time.Duration) bool {
	return l.confirmedAt != 0 && l.byService != nil && now.Sub(l.confirmedAt) <= within
}

// listedTargets returns the listed targets of a service that are not in an ejection of its last owner.
func (p *Picker) listedTargets(now model.Instant, s *pickerService) []proto.TargetView {
	var list []proto.TargetView
	for _, a := range p.targetList.byService[s.name] {
		ejected := slices.ContainsFunc(s.view, func(v proto.TargetView) bool {
			return v.Target == a.Target && v.Incarnation >= a.Incarnation && s.isEjected(now, v)
		})
		if !ejected {
			list = append(list, proto.TargetView{Target: a.Target, Addr: a.Addr, Zone: a.Zone, Slots: a.Slots, Incarnation: a.Incarnation})
		}
	}
	return list
}

// recordRemoteFailures records targets at which attempts of other hosts have just failed.
func (p *Picker) recordRemoteFailures(now model.Instant, targets []model.TargetID) {
	for _, s := range p.ordered {
		for _, id := range targets {
			s.attemptMemory.recordFailure(now, id, 0)
		}
	}
}

// preferredTargets returns the targets that are not in a cooldown, of these the ones
// in the host's own zone and, with Tuning.Pace, of these the ones that have just
// succeeded. A criterion that no target meets is ignored.
func (p *Picker) preferredTargets(now model.Instant, s *pickerService, free []proto.TargetView) []proto.TargetView {
	if p.tune.Cooldown > 0 {
		free = filterOrAll(free, func(v proto.TargetView) bool {
			return s.attemptMemory.cooldownLeft(now, v.Target, p.tune.Cooldown) == 0
		})
	}
	if p.tune.ZonePenalty >= 1 {
		free = filterOrAll(free, func(v proto.TargetView) bool { return v.Zone == p.zone })
	}
	if p.tune.Pace && s.attemptMemory.hasFailures() {
		free = filterOrAll(free, func(v proto.TargetView) bool { return s.attemptMemory.hasRecentSuccess(now, v.Target) })
	}
	return free
}

// filterOrAll returns the targets that fit, or all if none fits.
func filterOrAll(all []proto.TargetView, fits func(proto.TargetView) bool) []proto.TargetView {
	some := make([]proto.TargetView, 0, len(all))
	for _, v := range all {
		if fits(v) {
			some = append(some, v)
		}
	}
	if len(some) == 0 {
		return all
	}
	return some
}
