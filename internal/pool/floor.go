package pool

import (
	"time"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// The floor is the part of a service's capacity that is never ejected. It holds
// over all ready targets and also over the settled ones, which have been ready for
// some time. Otherwise targets that were just replaced would count for the floor
// while most of the targets that carry the load are out, as in a service whose
// targets are replaced one after the other while some of them fail.
//
// A target that fails without being ejected counts for neither side. The users'
// floor is a share of the targets without a fault, and an ejected target may have
// recovered: of 15 targets with 2 failing and 4 ejected, 9 of 13 may be in use.
//
// A target of an evacuated zone counts for neither side either.

const (
	// floorSlack absorbs rounding in the comparison with the floor.
	floorSlack = 1e-9
	// settledAfter is how long a target has to be ready to count as settled.
	settledAfter = 6 * time.Second
	// initialTargetsWithin is the time after the owner first received a
	// message about a service within which newly announced targets count as
	// settled: they may have been ready for long.
	initialTargetsWithin = 2 * time.Second
)

// slotSum counts the slots of targets in service, and of those that are not ejected.
type slotSum struct{ announced, healthy int }

// add adds the slots of a target in service.
func (c *slotSum) add(slots int, isOut bool) {
	c.announced += slots
	if !isOut {
		c.healthy += slots
	}
}

// holds reports whether the floor holds.
func (c slotSum) holds(floor float64) bool {
	return float64(c.healthy) >= floor*float64(c.announced)-floorSlack
}

// capacity returns the slots of all targets in service and of those that are not ejected.
func (s *service) capacity() (announced, healthy int) {
	var all slotSum
	for _, t := range s.targets {
		if t.inService() {
			all.add(t.slots, t.ejected)
		}
	}
	return all.announced, all.healthy
}

// isSettled reports whether a target has been ready for some time.
func (s *service) isSettled(now model.Instant, t *target) bool {
	return now.Sub(t.startedAt) >= settledAfter || t.startedAt.Sub(s.firstSeenAt) < initialTargetsWithin
}

// slotSums returns the slots of all targets in service that count for the floor and of
// the settled ones among them, as if the given target, which may be nil, were ejected.
func (s *service) slotSums(now model.Instant, ejected *target) (all, settled slotSum) {
	for _, t := range s.targets {
		isOut := t.ejected || t == ejected
		if !t.inService() || !isOut && t.failedAttempts > 1 {
			continue
		}
		all.add(t.slots, isOut)
		if s.isSettled(now, t) {
			settled.add(t.slots, isOut)
		}
	}
	return all, settled
}

// mayEject reports whether the floor allows the ejection of a target that is in service.
func (s *service) mayEject(now model.Instant, t *target) bool {
	all, settled := s.slotSums(now, t)
	if s.isSettled(now, t) && !settled.holds(s.floor) {
		return false
	}
	return all.holds(s.floor)
}

// enforceFloor reinstates the least severe ejected targets early when the floor no
// longer holds, because other targets left, returned or settled.
func (o *Owner) enforceFloor(now model.Instant, s *service) {
	for {
		all, settled := s.slotSums(now, nil)
		met, settledMet := all.holds(s.floor), settled.holds(s.floor)
		if met && settledMet {
			return
		}
		var leastSevere *target
		for _, t := range s.targets {
			counts := !met || s.isSettled(now, t)
			if t.ejected && t.inService() && counts && (leastSevere == nil || t.severity < leastSevere.severity) {
				leastSevere = t
			}
		}
		if leastSevere == nil {
			return
		}
		o.reinstate(s, leastSevere)
		leastSevere.keptByFloor = true
		// The target was not given the time to fail again.
		leastSevere.ejections = max(0, leastSevere.ejections-1)
	}
}

// spareTargets returns how many settled targets may go without requests, in
// addition to the ejected ones, before the share of those in use falls below the
// floor.
func (s *service) spareTargets(now model.Instant) int {
	settled, ejected := 0, 0
	for _, t := range s.targets {
		if !t.inService() || !s.isSettled(now, t) {
			continue
		}
		settled++
		if t.ejected {
			ejected++
		}
	}
	return max(0, int((1-s.floor)*float64(settled)+floorSlack)-ejected)
}
