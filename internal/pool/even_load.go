package pool

import (
	"time"

	"tarragongauge.example/tarragongauge/internal/pace"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// With Tuning.Pace the owner keeps the load of the targets even although reports
// arrive some milliseconds after an attempt has ended (package pace). Without it,
// the counts are kept for operators and decide nothing.

const (
	// spacingMemory is the time constant of the rate that decides on the spacing.
	spacingMemory = time.Second
	// variationMemory is the time constant of the assignments whose variation
	// operators see: about 30 for a target that gets six requests a second.
	variationMemory = 5 * time.Second
)

// targetPace is what the owner counts for one target.
type targetPace struct {
	// ended holds the weights of the requests that failed, or were shed, before the
	// usual time of a request had passed.
	ended pace.Counter
	// assigned counts the assignments.
	assigned pace.Counter
}

// servicePace is what the owner counts for one service.
type servicePace struct {
	// assigned counts the assignments.
	assigned pace.Counter
	// fullArrivals counts the assignments that a target shed.
	fullArrivals uint64
}

// countAssignment counts an assignment of a target.
func (s *service) countAssignment(now model.Instant, t *target) {
	s.pace.assigned.Add(now, 1, spacingMemory)
	t.pace.assigned.Add(now, 1, variationMemory)
}

// countEnd counts the end of an assignment of this owner. Successful requests are not
// counted on: in virtual time this made the load less even where requests differ.
func (s *service) countEnd(now, began model.Instant, t *target, end model.AttemptEnd) {
	if end == model.AttemptShed {
		s.pace.fullArrivals++
	}
	if end != model.AttemptCanceled && end != model.AttemptOK {
		t.pace.ended.Add(now, pace.EndedWeight(now.Sub(began), s.latency.Mean()), s.latency.Mean())
	}
}

// load returns the load of a target as a share of its slots.
func (o *Owner) load(now model.Instant, s *service, t *target) float64 {
	if !o.tune.Pace {
		return float64(len(t.busySlots)) / float64(t.slots)
	}
	return pace.Load(len(t.busySlots), t.slots, t.pace.ended.Level(now, s.latency.Mean()))
}

// spaced returns the target for a query whose best target by load is best. If that
// one has just been assigned, another one of the same kind of zone and of about the
// same score is preferred.
func (o *Owner) spaced(now model.Instant, s *service, r pickCriteria, best *target, bestScore float64) *target {
	if !o.tune.Pace || best == nil || best.lastAssignedAt == 0 {
		return best
	}
	usable := 0
	for _, t := range s.targets {
		if t.usable() {
			usable++
		}
	}
	spacing := pace.Spacing(usable, s.pace.assigned.PerSecond(now, spacingMemory), s.latency.Mean())
	isSpaced := func(t *target) bool { return t.lastAssignedAt == 0 || now.Sub(t.lastAssignedAt) >= spacing }
	if isSpaced(best) {
		return best
	}
	inZone := best.zone == r.zone
	// Penalties differ by more than MaxExtraLoad, so that a target within it has the same ones.
	other, _ := o.bestTarget(now, s, r, func(t *target, score float64) bool {
		return isSpaced(t) && (t.zone == r.zone) == inZone && score <= bestScore+pace.MaxExtraLoad
	})
	if other == nil {
		return best
	}
	return other
}

// loadVariation returns the coefficient of variation of the recent assignments per
// slot over the usable targets.
func (s *service) loadVariation(now model.Instant) float64 {
	list := s.scratch[:0]
	for _, t := range s.targets {
		if t.usable() {
			list = append(list, t.pace.assigned.Level(now, variationMemory)/float64(max(1, t.slots)))
		}
	}
	s.scratch = list
	return pace.Variation(list)
}
