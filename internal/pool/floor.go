package pool

import (
	"time"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// The floor: the part of a service's capacity that is never ejected. It holds
// over all targets, and over those that have been ready for some time as well.
// Targets that were replaced lately would otherwise count for the floor while
// most of those that carry the load are out.
//
// It answers the load of a service whose targets are replaced one after the
// other while some of them fail.

const (
	// floorSlack absorbs rounding in the comparison with the floor.
	floorSlack = 1e-9
	// settledAfter is how long a target has to be ready to count as settled.
	settledAfter = 6 * time.Second
	// foundWithin is how long after the owner first heard of a service the targets
	// that it hears of were ready before; it does not know since when.
	foundWithin = 2 * time.Second
)

// slotSum adds up the slots of targets that can take work, and of those that are not ejected.
type slotSum struct{ announced, healthy int }

func (c *slotSum) add(t *target) {
	c.announced += t.slots
	if !t.ejected {
		c.healthy += t.slots
	}
}

// holds reports whether the floor holds with so many healthy slots less.
func (c slotSum) holds(floor float64, less int) bool {
	return float64(c.healthy-less) >= floor*float64(c.announced)-floorSlack
}

// capacity returns the slots of all targets that could take work and of those
// that are not ejected.
func (s *service) capacity() (announced, healthy int) {
	var all slotSum
	for _, t := range s.targets {
		if t.ready() {
			all.add(t)
		}
	}
	return all.announced, all.healthy
}

// settled reports whether a target has been ready for some time.
func (s *service) settled(now model.Instant, t *target) bool {
	return now.Sub(t.since) >= settledAfter || t.since.Sub(s.begun) < foundWithin
}

// sums returns the slots of all ready targets and of the settled ones.
func (s *service) sums(now model.Instant) (all, settled slotSum) {
	for _, t := range s.targets {
		if !t.ready() {
			continue
		}
		all.add(t)
		if s.settled(now, t) {
			settled.add(t)
		}
	}
	return all, settled
}

// mayEject reports whether the floor allows to eject a target in service.
func (s *service) mayEject(now model.Instant, t *target) bool {
	all, settled := s.sums(now)
	if s.settled(now, t) && !settled.holds(s.floor, t.slots) {
		return false
	}
	return all.holds(s.floor, t.slots)
}

// keepFloor returns the least severe ejected targets early when the floor is
// not met any more, because other targets left, came back or settled.
func (o *Owner) keepFloor(now model.Instant, s *service) {
	for {
		all, settled := s.sums(now)
		met, settledMet := all.holds(s.floor, 0), settled.holds(s.floor, 0)
		if met && settledMet {
			return
		}
		var mildest *target
		for _, t := range s.targets {
			counts := !met || s.settled(now, t)
			if t.ejected && t.ready() && counts && (mildest == nil || t.severity < mildest.severity) {
				mildest = t
			}
		}
		if mildest == nil {
			return
		}
		o.restore(s, mildest)
		mildest.denied = true
	}
}

// spare returns how many settled targets may go without requests, beside the
// ejected ones, before the part of those in use falls below the floor.
func (s *service) spare(now model.Instant) int {
	settled, ejected := 0, 0
	for _, t := range s.targets {
		if !t.ready() || !s.settled(now, t) {
			continue
		}
		settled++
		if t.ejected {
			ejected++
		}
	}
	return max(0, int((1-s.floor)*float64(settled)+floorSlack)-ejected)
}
