package pool

import (
	"maps"
	"slices"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/internal/warm"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// hostRate is the rate that a target named to this host. Without an owner the host
// sends a request only in its turn.
type hostRate struct {
	incarnation model.Incarnation
	perSecond   float64
	namedAt     model.Instant
	turn        warm.Turn
}

// recordNamedRate takes over what the answer to an attempt of this host says of the
// rate of its target.
func (s *pickerService) recordNamedRate(now model.Instant, a model.Attempt) {
	r, known := s.namedRates[a.Target]
	switch {
	case a.Notice.Limited:
		s.setNamedRate(now, proto.NamedRate{Target: a.Target, Incarnation: a.Incarnation, Rate: a.Notice.Rate})
	case known && a.End.HasAnswer() && now.Sub(r.namedAt) >= namedRateGrace:
		delete(s.namedRates, a.Target)
	}
}

// setNamedRate keeps the rate that a target named to this host or to another one.
func (s *pickerService) setNamedRate(now model.Instant, n proto.NamedRate) {
	r, known := s.namedRates[n.Target]
	if !known {
		r = &hostRate{}
		if s.namedRates == nil {
			s.namedRates = map[model.TargetID]*hostRate{}
		}
		s.namedRates[n.Target] = r
	}
	if r.perSecond != n.Rate {
		r.turn = warm.Turn{}
	}
	r.incarnation, r.perSecond, r.namedAt = n.Incarnation, n.Rate, now
}

// replaceNamedRates takes over the rates that the owner lists. A rate that a target
// has just named to this host stays.
func (s *pickerService) replaceNamedRates(now model.Instant, m *proto.SlotReply) {
	if !m.ListsRates {
		return
	}
	for _, n := range m.NamedRates {
		s.setNamedRate(now, n)
	}
	maps.DeleteFunc(s.namedRates, func(_ model.TargetID, r *hostRate) bool { return now.Sub(r.namedAt) >= namedRateGrace })
}

// allowsByRate reports whether this host may send a target a request without the
// owner, as far as the rate that the target names and its warm-up rate are concerned.
func (p *Picker) allowsByRate(now model.Instant, s *pickerService, v proto.TargetView) bool {
	if !p.allowsCold(now, s, v) {
		return false
	}
	r, ok := s.namedRates[v.Target]
	if !ok || r.incarnation != v.Incarnation {
		return true
	}
	interval, ok := warm.TurnInterval(p.entryHostCount, r.perSecond)
	return ok && r.turn.IsDue(now, s.ownerAnsweredAt, interval, p.rng.Float64)
}

// noneAllowedByRate reports whether the rates of all targets that are not excluded
// keep this host from sending them a request now.
func (p *Picker) noneAllowedByRate(now model.Instant, s *pickerService, usable []proto.TargetView, exclude []model.TargetID) bool {
	return !slices.ContainsFunc(usable, func(v proto.TargetView) bool {
		return !slices.Contains(exclude, v.Target) && p.allowsByRate(now, s, v)
	})
}

// takeTurn uses this host's turns at a target.
func (p *Picker) takeTurn(now model.Instant, s *pickerService, v proto.TargetView) {
	p.takeColdTurn(now, s, v)
	if r, ok := s.namedRates[v.Target]; ok {
		if interval, ok := warm.TurnInterval(p.entryHostCount, r.perSecond); ok {
			r.turn.Take(now, interval)
		}
	}
}

// heldRates returns the rates that targets named to this host, for a new owner.
func (s *pickerService) heldRates() []proto.NamedRate {
	var list []proto.NamedRate
	for _, id := range slices.Sorted(maps.Keys(s.namedRates)) {
		r := s.namedRates[id]
		list = append(list, proto.NamedRate{Target: id, Incarnation: r.incarnation, Rate: r.perSecond})
	}
	return list
}
