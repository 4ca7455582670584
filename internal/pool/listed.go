package pool

import (
	"slices"
	"time"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// listed is the list of all targets as control tells it. It is used while a
// service has no owner, and to pass over targets that leave.
type listed struct {
	byService map[model.ServiceName][]model.Announcement
	leaving   map[model.TargetID]model.Incarnation
	// at is when the list was last confirmed, or 0.
	at model.Instant
}

// take replaces the list, or confirms it if there is none.
func (l *listed) take(now model.Instant, targets []model.Announcement) {
	l.at = now
	if targets == nil {
		return
	}
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

// leaves reports whether this run of a target gets no new work.
func (l *listed) leaves(id model.TargetID, inc model.Incarnation) bool {
	last, ok := l.leaving[id]
	return ok && inc <= last
}

func (l *listed) recent(now model.Instant, within time.Duration) bool {
	return l.at != 0 && l.byService != nil && now.Sub(l.at) <= within
}

// listedTargets returns the targets of the list that the last owner had not ejected.
func (p *Picker) listedTargets(s *access) []proto.TargetView {
	var list []proto.TargetView
	for _, a := range p.listed.byService[s.name] {
		ejected := slices.ContainsFunc(s.view, func(v proto.TargetView) bool {
			return v.Target == a.Target && v.Incarnation >= a.Incarnation && v.Ejected
		})
		if !ejected {
			list = append(list, proto.TargetView{Target: a.Target, Addr: a.Addr, Zone: a.Zone, Slots: a.Slots, Incarnation: a.Incarnation})
		}
	}
	return list
}

// doubts holds when attempts of this host last failed, by target, until a later success.
type doubts map[model.TargetID]model.Instant

func (d doubts) note(now model.Instant, a model.Attempt) {
	switch {
	case a.End == model.AttemptOK:
		delete(d, a.Target)
	case a.End.Failed():
		d[a.Target] = now
	}
}

// doubt notes targets at which attempts of other hosts failed lately.
func (p *Picker) doubt(now model.Instant, targets []model.TargetID) {
	for _, s := range p.ordered {
		for _, id := range targets {
			s.doubts[id] = now
		}
	}
}

// preferred returns the targets that this host does not doubt, of them those of
// its own zone. A class without a target is passed over.
func (p *Picker) preferred(now model.Instant, s *access, free []proto.TargetView) []proto.TargetView {
	if p.tune.Cooldown > 0 {
		free = orAll(free, func(v proto.TargetView) bool {
			at, ok := s.doubts[v.Target]
			return !ok || now.Sub(at) >= p.tune.Cooldown
		})
	}
	if p.tune.ZonePenalty >= 1 {
		free = orAll(free, func(v proto.TargetView) bool { return v.Zone == p.zone })
	}
	return free
}

// orAll returns the targets that fit, or all if none does.
func orAll(all []proto.TargetView, fits func(proto.TargetView) bool) []proto.TargetView {
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
