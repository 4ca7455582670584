package pool

import (
	"math"
	"time"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// A target is bounded by a rate if it names one, or while it is cold.

// rateBound returns the rate at which the owner may assign the target, or false
// without a bound.
func (t *target) rateBound() (float64, bool) {
	perSecond, bounded := math.Inf(1), false
	if t.rate.limited {
		perSecond, bounded = t.rate.bucket.PerSecond(), true
	}
	if t.cold.IsBounded() {
		perSecond, bounded = min(perSecond, t.cold.PerSecond()), true
	}
	return perSecond, bounded
}

// rateAllows reports whether the rates that bound the target allow a request now.
func (t *target) rateAllows(now model.Instant) bool { return t.rate.allows(now) && t.cold.Allows(now) }

// takeRate counts a request that is assigned to the target.
func (t *target) takeRate(now model.Instant) {
	t.rate.take(now)
	t.cold.Take(now)
}

// rateWait returns the time until the rates that bound the target allow a request.
func (t *target) rateWait(now model.Instant) time.Duration {
	wait := time.Duration(0)
	if t.rate.limited {
		wait = t.rate.bucket.Wait(now, 1)
	}
	if t.cold.IsBounded() {
		wait = max(wait, t.cold.Wait(now))
	}
	return wait
}

// rateBoundWait returns the time until a target takes a query that comes after a number
// of others, if all targets that it may be sent to are bounded by a rate, and 0
// otherwise.
func (s *service) rateBoundWait(now model.Instant, before int, exclude []model.TargetID) time.Duration {
	least, ok := s.leastWait(exclude, func(t *target) (time.Duration, bool) {
		_, bounded := t.rateBound()
		return t.rateWait(now), bounded
	})
	if !ok {
		return 0
	}
	return least + time.Duration(float64(before)/s.rateBoundSum()*float64(time.Second))
}

// rateBoundSum returns the sum of the rates of the usable targets that are bounded.
func (s *service) rateBoundSum() float64 {
	sum := 0.0
	for _, t := range s.targets {
		if perSecond, ok := t.rateBound(); ok && t.usable() {
			sum += perSecond
		}
	}
	return max(sum, minNamedRate)
}
