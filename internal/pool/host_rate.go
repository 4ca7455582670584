package pool

import (
	"maps"
	"slices"
	"time"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// maxTurnAge is how long a host may use its turn at a target. Unused turns expire, so
// that the hosts do not use many of them at once.
const maxTurnAge = time.Second

// maxTurnInterval bounds the time between two turns, for rates close to 0.
const maxTurnInterval = 24 * time.Hour

// hostRate is the rate that a target named to this host. Without an owner the host
// sends a request only in its turn; the turns of all hosts follow each other at
// random and make up the rate together.
type hostRate struct {
	incarnation model.Incarnation
	perSecond   float64
	namedAt     model.Instant
	// turnAt is the next turn. It was drawn at drawnAt.
	turnAt  model.Instant
	drawnAt model.Instant
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
		r.drawnAt = 0
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
// owner, as far as the target's rate is concerned.
func (p *Picker) allowsByRate(now model.Instant, s *pickerService, v proto.TargetView) bool {
	r, ok := s.namedRates[v.Target]
	if !ok || r.incarnation != v.Incarnation {
		return true
	}
	interval, ok := p.turnInterval(r)
	if !ok {
		return false
	}
	if r.drawnAt == 0 || r.drawnAt < s.ownerAnsweredAt {
		r.drawnAt, r.turnAt = now, now.Add(time.Duration(p.rng.Float64()*float64(interval)))
	}
	if late := now.Sub(r.turnAt); late > min(interval, maxTurnAge) {
		r.turnAt = r.turnAt.Add(late - late%interval + interval)
	}
	return now >= r.turnAt
}

// noneAllowedByRate reports whether the rates of all targets that are not excluded
// keep this host from sending them a request now.
func (p *Picker) noneAllowedByRate(now model.Instant, s *pickerService, usable []proto.TargetView, exclude []model.TargetID) bool {
	return !slices.ContainsFunc(usable, func(v proto.TargetView) bool {
		return !slices.Contains(exclude, v.Target) && p.allowsByRate(now, s, v)
	})
}

// turnInterval returns the time between the turns of this host at a target, or false
// if it has none.
func (p *Picker) turnInterval(r *hostRate) (time.Duration, bool) {
	if p.entryHostCount == 0 || r.perSecond <= 0 {
		return 0, false
	}
	interval := float64(p.entryHostCount) / (hostRateShare * r.perSecond) * float64(time.Second)
	return time.Duration(min(max(interval, 1), float64(maxTurnInterval))), true
}

// takeTurn uses this host's turn at a target.
func (p *Picker) takeTurn(now model.Instant, s *pickerService, id model.TargetID) {
	if r, ok := s.namedRates[id]; ok {
		if interval, ok := p.turnInterval(r); ok {
			r.turnAt = max(r.turnAt, now).Add(interval)
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
