package pool

import (
	"cmp"
	"slices"
	"time"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/internal/warm"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// A cold target takes twice the time for a request and crashes well above the warm-up
// rate of its service. Hosts pass on no cold times of services
// without such a rate. The owner assigns it requests only if no warm target has room,
// within its share of that rate, and does not judge it by latency. Package warm holds
// the state of one target.

// coldPenalty is added to the load score of a cold target. It lies above the penalties
// of warm targets that failed recently or are in a slow start, and below that of a
// failing target.
const coldPenalty = 15.0

// coldSlowdown is how many times as long a cold target takes for a request.
const coldSlowdown = 2

// configureWarmup applies the warm-up rate of a configuration at once.
func (s *service) configureWarmup(now model.Instant, cfg model.Config) {
	svc, _ := cfg.Services.Get(s.name)
	s.warmupRate, s.coldStart = svc.WarmupRate, svc.ColdStart
	for _, t := range s.targets {
		t.cold.SetRate(now, s.warmupRate)
	}
}

// changeCold changes what is known of whether a target is cold. After a cold time the
// target begins a slow start, unless it was only assumed to be cold. If it was kept to
// a warm-up rate, the slow start does not limit its slots: the target is known to be
// warm, and a service whose targets were all cold would need 5 s more for half of its
// slots.
func (o *Owner) changeCold(now model.Instant, s *service, t *target, change func(*warm.Target)) {
	before := t.cold
	change(&t.cold)
	switch {
	case t.cold.IsCold() && !before.IsCold():
		s.version++
		o.emit(TargetCold{Service: s.name, Target: t.id, Remaining: t.cold.Remaining(now), Rate: s.warmupRate, Assumed: t.cold.IsAssumed()})
	case !t.cold.IsCold() && before.IsCold():
		s.version++
		if !t.ejected && !before.IsAssumed() {
			t.inSlowStart, t.isWarmedUp, t.slowStartFrom = true, before.IsBounded() && !t.onProbation, now
		}
		o.emit(TargetWarm{Service: s.name, Target: t.id})
	}
}

// recordColdNews takes over what an announcement says of whether the target is cold.
func (o *Owner) recordColdNews(now model.Instant, s *service, t *target, m *proto.TargetNews) {
	if m.Announcement.State != model.TargetReady {
		return
	}
	o.changeCold(now, s, t, func(c *warm.Target) {
		if m.Listed {
			c.List(now, warm.Listing{Cold: m.Announcement.ColdRemaining > 0, Age: m.Age, ColdStart: s.coldStart})
		} else {
			c.Report(now, m.Announcement.ColdRemaining, warm.SourceHeartbeat)
		}
	})
}

// recordColdAnswer takes over what an answer to a request or a health check says of
// whether the target is cold.
func (o *Owner) recordColdAnswer(now model.Instant, s *service, t *target, inc model.Incarnation, reports bool, remaining time.Duration) {
	if reports && inc == t.incarnation && s.warmupRate > 0 {
		o.changeCold(now, s, t, func(c *warm.Target) { c.Report(now, remaining, warm.SourceAnswer) })
	}
}

// endColdTimes ends the cold times that have passed.
func (o *Owner) endColdTimes(now model.Instant, s *service) {
	for _, t := range s.targets {
		if t.cold.IsCold() {
			o.changeCold(now, s, t, func(c *warm.Target) { c.Tick(now) })
		}
	}
}

// isColdDue reports whether a cold target gets a request although warm ones have room:
// it has had none for minIdleTime, while so many requests fail that each target without
// a fault must get one within 2 s.
func (s *service) isColdDue(now model.Instant, t *target) bool {
	return s.recentOutcomes.tooManyUnserved() && now.Sub(t.idleSince()) >= minIdleTime
}

// hasBoundedTarget reports whether a usable target takes requests at its warm-up rate.
func (s *service) hasBoundedTarget() bool {
	return slices.ContainsFunc(s.targets, func(t *target) bool { return t.usable() && t.cold.IsBounded() })
}

// coldWait estimates the time until a query that comes after a number of others gets a
// target, while some targets are cold: what the warm slots and the warm-up rates
// serve together. The share of a workspace, which expectedWait uses, does not tell
// that all of them wait for the same few slots.
func (s *service) coldWait(before int) time.Duration {
	if before == 0 || s.latency.Mean() == 0 || !s.hasBoundedTarget() {
		return 0
	}
	perSecond := s.servingSlots() / s.latency.Mean().Seconds()
	return time.Duration(float64(before+1) / max(perSecond, minNamedRate) * float64(time.Second))
}

// warmIn returns the time until half of the usable slots are warm, which is when
// callers that were refused may try again. It is 0 if they are.
func (s *service) warmIn(now model.Instant) time.Duration {
	type coldSlots struct {
		remaining time.Duration
		slots     int
	}
	var list []coldSlots
	all, warmSlots := 0, 0
	for _, t := range s.targets {
		switch {
		case !t.usable():
			continue
		case t.cold.IsBounded():
			list = append(list, coldSlots{t.cold.Remaining(now), t.slots})
		default:
			warmSlots += t.slots
		}
		all += t.slots
	}
	slices.SortFunc(list, func(a, b coldSlots) int { return cmp.Compare(a.remaining, b.remaining) })
	for _, c := range list {
		if 2*warmSlots >= all {
			break
		}
		warmSlots += c.slots
		if 2*warmSlots >= all {
			return c.remaining
		}
	}
	return 0
}

// addSuccess counts a successful response. Of a cold target it is no evidence of
// errors, but its latency is none either: the usual one is counted instead.
func (o *Owner) addSuccess(s *service, t *target, began model.Instant, latency time.Duration) {
	if !t.cold.RanCold(began) {
		s.latency.Add(latency)
		s.addLatency(&t.stats, latency, o.tune.EvidenceCap)
		return
	}
	if !s.base.isKnown {
		return
	}
	x := s.base.level + t.stats.offset
	t.stats.batch.ok++
	t.stats.batch.sumLog += x
	t.stats.batch.sumLogSq += x * x
}

// warmLatency returns the latency that an attempt would have had at a warm target.
func (t *target) warmLatency(began model.Instant, latency time.Duration) time.Duration {
	if t.cold.RanCold(began) {
		return latency / coldSlowdown
	}
	return latency
}
