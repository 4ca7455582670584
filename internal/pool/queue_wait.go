package pool

import (
	"math"
	"slices"
	"time"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// A query waits in the queue only if it is likely to be served in time. Under a
// load that exceeds the capacity for seconds, a queue that is bounded by deadlines
// alone fills up until every request is served late; requests that are refused at
// once leave the others within their objectives.

// expectedWait estimates the time until the next query of a workspace gets a slot:
// the time in which the queries before it get theirs, at the workspace's fair share
// of the slots or at its recent rate of assignments, which is higher while others
// use less than their shares. Targets that queries avoid are not counted.
func (s *service) expectedWait(now model.Instant, w *workspace) time.Duration {
	if s.waitingCount == 0 {
		return 0
	}
	slots := s.servingSlots()
	active := 1
	for _, other := range s.workspaces {
		if other != w && (other.inUse > 0 || other.waitingCount > 0) {
			active++
		}
	}
	if s.latency.Mean() == 0 {
		return 0
	}
	share := max(1, slots/float64(active))
	rate := max(share/s.latency.Mean().Seconds(), w.assignments.PerSecond(now, assignmentRateMemory))
	return time.Duration(float64(w.waitingCount+1) / rate * float64(time.Second))
}

// leastWait returns the least wait of the usable targets that a query may be sent to.
// It returns false if there are none, or if the query need not wait at one of them.
func (s *service) leastWait(exclude []model.TargetID, waitAt func(*target) (time.Duration, bool)) (time.Duration, bool) {
	least, found := time.Duration(math.MaxInt64), false
	for _, t := range s.targets {
		if !t.usable() || slices.Contains(exclude, t.id) {
			continue
		}
		wait, ok := waitAt(t)
		if !ok {
			return 0, false
		}
		least, found = min(least, wait), true
	}
	if !found {
		return 0, false
	}
	return least, true
}

// assignmentRateMemory is the time constant of a workspace's rate of assignments.
const assignmentRateMemory = time.Second

// servingSlots returns the slots of the targets that queries do not avoid, or of all
// usable ones if no target works. A target that is bounded by a rate has as many as
// that rate keeps busy.
func (s *service) servingSlots() float64 {
	serving, usable := 0.0, 0.0
	for _, t := range s.targets {
		if !t.usable() {
			continue
		}
		slots := float64(t.slots)
		if perSecond, ok := t.rateBound(); ok {
			slots = min(slots, perSecond*s.latency.Mean().Seconds())
		}
		usable += slots
		if t.cooldownFrom == 0 || !s.trialOutcomes.mostlyFail(t.failedAttempts) {
			serving += slots
		}
	}
	if serving == 0 {
		return usable
	}
	return serving
}

// objectiveMargin is the time, in mean latencies, that a queued request keeps for
// its attempt. Some attempts take longer than the mean, and so do some waits.
const objectiveMargin = 2

// maxWait returns the longest expected wait with which a query is queued. A request
// whose objective cannot be met any more may wait for one other request.
func (s *service) maxWait(m *proto.SlotAsk) time.Duration {
	wait := m.Remaining - s.base.medianLatency()
	if m.Objective == 0 {
		return wait
	}
	return min(wait, max(m.Objective-objectiveMargin*s.latency.Mean(), s.latency.Mean()))
}
