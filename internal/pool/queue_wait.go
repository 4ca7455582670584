package pool

import (
	"time"

	"tarragongauge.example/tarragongauge/internal/proto"
)

// A query waits in the queue only if it is likely to be served in time. Under a
// load that exceeds the capacity for seconds, a queue that is bounded by deadlines
// alone fills up until every request is served late; requests that are refused at
// once leave the others within their objectives.

// expectedWait estimates the time until the next query of a workspace gets a slot.
// A query waits for no more than the queries before it in its workspace, at the
// workspace's fair share of the slots, and for no more than all waiting queries, at
// all slots. Targets that queries avoid are not counted.
func (s *service) expectedWait(w *workspace) time.Duration {
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
	share := max(1, float64(slots)/float64(active))
	turns := min(float64(w.waitingCount+1)/share, float64(s.waitingCount+1)/max(1, float64(slots)))
	return time.Duration(turns * float64(s.latency.mean))
}

// servingSlots returns the slots of the targets that queries do not avoid, or of all
// usable ones if no target works.
func (s *service) servingSlots() int {
	serving, usable := 0, 0
	for _, t := range s.targets {
		if !t.usable() {
			continue
		}
		usable += t.slots
		if t.cooldownFrom == 0 || !s.trialOutcomes.mostlyFail(t.failedAttempts) {
			serving += t.slots
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
	return min(wait, max(m.Objective-objectiveMargin*s.latency.mean, s.latency.mean))
}

// latencyMeanWindow is the number of responses over which latencies are averaged.
const latencyMeanWindow = 64

// latencyMean is the moving average of the latency of successful attempts. Unlike
// the median it tells how long a slot is in use if requests differ widely.
type latencyMean struct {
	mean  time.Duration
	count int
}

// add adds the latency of a successful attempt.
func (m *latencyMean) add(latency time.Duration) {
	m.count = min(m.count+1, latencyMeanWindow)
	m.mean += (latency - m.mean) / time.Duration(m.count)
}
