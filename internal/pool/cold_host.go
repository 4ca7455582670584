package pool

import (
	"time"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/internal/warm"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// A host without an owner sends a cold target a request only in its turn, and only if
// no warm target is free.

// coldState is the state of the cold targets of one service at a host.
type coldState struct {
	// coldTargets holds the targets that told this host that they are cold, or whose
	// turns it drew.
	coldTargets map[model.TargetID]*hostCold
	// warmupRate and coldStart are those of model.Service.
	warmupRate float64
	coldStart  time.Duration
}

// hostCold is what this host knows of whether a target is cold, from the target's
// heartbeats and answers, and its turn there. until is 0 if they said nothing. usedAt
// is when the state was last used; it is dropped some time later.
type hostCold struct {
	incarnation model.Incarnation
	until       model.Instant
	usedAt      model.Instant
	turn        warm.Turn
}

// coldListing is a target that the list of control says is cold, since it said so.
type coldListing struct {
	incarnation model.Incarnation
	since       model.Instant
}

// replaceCold takes over which targets a new list says are cold.
func (l *targetList) replaceCold(now model.Instant, targets []model.Announcement) {
	next := map[model.TargetID]coldListing{}
	for _, a := range targets {
		if a.ColdRemaining <= 0 {
			continue
		}
		c := coldListing{incarnation: a.Incarnation, since: now}
		if old, ok := l.cold[a.Target]; ok && old.incarnation == a.Incarnation {
			c = old
		}
		next[a.Target] = c
	}
	l.cold = next
}

// configureWarmup applies the warm-up rates of the configuration in force.
func (p *Picker) configureWarmup(services ...*pickerService) {
	for _, s := range services {
		svc, _ := p.cfg.Services.Get(s.name)
		s.warmupRate, s.coldStart = svc.WarmupRate, svc.ColdStart
	}
}

// recordCold keeps for how much longer a target says that it is cold.
func (s *pickerService) recordCold(now model.Instant, id model.TargetID, inc model.Incarnation, remaining time.Duration) {
	c, ok := s.coldTargets[id]
	if !ok && remaining <= 0 || ok && inc < c.incarnation {
		return
	}
	c = s.coldTarget(now, id, inc)
	c.until = now.Add(min(remaining, warm.MaxRemaining))
}

// coldTarget returns what is known of a target, which is nothing for a new incarnation.
func (s *pickerService) coldTarget(now model.Instant, id model.TargetID, inc model.Incarnation) *hostCold {
	c, ok := s.coldTargets[id]
	if !ok || c.incarnation != inc {
		if s.coldTargets == nil {
			s.coldTargets = map[model.TargetID]*hostCold{}
		}
		c = &hostCold{incarnation: inc}
		s.coldTargets[id] = c
	}
	c.usedAt = now
	return c
}

// coldLeft returns how much longer a target is cold, as far as this host knows: by
// the target itself, by the owner's view or by the list. The list holds no time, so a
// target is cold for ColdStart after the list said so.
func (p *Picker) coldLeft(now model.Instant, s *pickerService, v proto.TargetView) time.Duration {
	until := now
	if c, ok := s.coldTargets[v.Target]; ok && c.incarnation == v.Incarnation {
		until = max(until, c.until)
	}
	if v.ColdRemaining > 0 {
		until = max(until, s.viewReceivedAt.Add(v.ColdRemaining))
	}
	if l, ok := p.targetList.cold[v.Target]; ok && l.incarnation == v.Incarnation {
		until = max(until, l.since.Add(s.coldStart))
	}
	return until.Sub(now)
}

// allowsCold reports whether this host may send a target a request without the owner,
// as far as the target's warm-up rate is concerned.
func (p *Picker) allowsCold(now model.Instant, s *pickerService, v proto.TargetView) bool {
	if s.warmupRate <= 0 || p.coldLeft(now, s, v) == 0 {
		return true
	}
	interval, ok := warm.TurnInterval(p.entryHostCount, s.warmupRate)
	return ok && s.coldTarget(now, v.Target, v.Incarnation).turn.IsDue(now, s.ownerAnsweredAt, interval, p.rng.Float64)
}

// takeColdTurn uses this host's turn at a target, if the target is cold.
func (p *Picker) takeColdTurn(now model.Instant, s *pickerService, v proto.TargetView) {
	if s.warmupRate <= 0 || p.coldLeft(now, s, v) == 0 {
		return
	}
	if interval, ok := warm.TurnInterval(p.entryHostCount, s.warmupRate); ok {
		s.coldTarget(now, v.Target, v.Incarnation).turn.Take(now, interval)
	}
}

// warmTargets returns the warm targets, or all if none is warm.
func (p *Picker) warmTargets(now model.Instant, s *pickerService, free []proto.TargetView) []proto.TargetView {
	if s.warmupRate <= 0 {
		return free
	}
	return filterOrAll(free, func(v proto.TargetView) bool { return p.coldLeft(now, s, v) == 0 })
}

// leastColdLeft returns the time until the first of the targets is warm. It is 0 if
// one of them is.
func (p *Picker) leastColdLeft(now model.Instant, s *pickerService, usable []proto.TargetView) time.Duration {
	if s.warmupRate <= 0 || len(usable) == 0 {
		return 0
	}
	least := p.coldLeft(now, s, usable[0])
	for _, v := range usable[1:] {
		least = min(least, p.coldLeft(now, s, v))
	}
	return least
}
