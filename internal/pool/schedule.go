package pool

import (
	"time"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/internal/sched"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// The scheduler decides while queries of different ranks wait or hold slots. While all
// have the same rank, the workspace with the fewest slots in use goes first, then
// arrival decides, and queries are admitted by expectedWait.

// newQuery returns what the scheduler needs to know of a query.
func newQuery(now model.Instant, m *proto.SlotAsk, a *ask) sched.Query[*ask] {
	q := sched.Query[*ask]{
		Rank: m.Rank, Class: m.Class, Workspace: m.Workspace, ArrivedAt: now, Deadline: now.Add(m.Remaining), Value: a,
	}
	if m.Objective != 0 {
		q.ObjectiveAt = max(1, now.Add(m.Objective))
	}
	if a != nil {
		q.Serial = a.serial
	}
	return q
}

// admitToQueue reports whether a query may wait. It refuses the query otherwise.
func (o *Owner) admitToQueue(now model.Instant, s *service, w *workspace, key askKey, m *proto.SlotAsk) bool {
	if s.sched.Decides(now) {
		return o.admitByRank(now, s, w, key, m)
	}
	if w.waitingCount >= s.queueLimit {
		o.refuseAsk(now, s, key, m, proto.SlotQueueFull, max(s.expectedWait(now, w), s.warmIn(now)))
		return false
	}
	wait := max(s.expectedWait(now, w), s.rateBoundWait(now, s.waitingCount, m.Exclude), s.coldWait(s.waitingCount), s.pauseWait(now, key.host, m.Exclude))
	if wait > s.maxWait(m) {
		o.refuseAsk(now, s, key, m, proto.SlotTooLate, max(wait, s.warmIn(now)))
		return false
	}
	return true
}

// admitByRank is admitToQueue while queries of different ranks wait or hold slots. A
// less urgent query may have to give way.
func (o *Owner) admitByRank(now model.Instant, s *service, w *workspace, key askKey, m *proto.SlotAsk) bool {
	q := newQuery(now, m, nil)
	before := s.sched.WaitingBefore(m.Rank)
	load := sched.Load{
		Slots:            s.servingSlots(),
		MinWait:          max(s.rateBoundWait(now, before, m.Exclude), s.coldWait(before), s.pauseWait(now, key.host, m.Exclude)),
		WorkspaceWaiting: w.waitingCount, WorkspaceLimit: s.queueLimit,
	}
	switch d := s.sched.Admit(now, &q, load).(type) {
	case sched.QueueFull:
		o.refuseAsk(now, s, key, m, proto.SlotQueueFull, s.sched.RetryAfter(m.Rank, m.Class, load.Slots))
		return false
	case sched.TooLate:
		o.refuseAsk(now, s, key, m, proto.SlotTooLate, max(s.sched.RetryAfter(m.Rank, m.Class, load.Slots), load.MinWait, s.warmIn(now)))
		return false
	case sched.Displacing[*ask]:
		o.refuseLateAsk(now, s, d.Displaced.Value, proto.SlotDisplaced)
	case sched.Admitted:
	}
	return true
}

// refuseAsk refuses a query that does not wait.
func (o *Owner) refuseAsk(now model.Instant, s *service, key askKey, m *proto.SlotAsk, status proto.SlotStatus, after time.Duration) {
	if status != proto.SlotQuarantined {
		s.sched.CountRefusal(now, m.Rank)
		o.reportRefusal(now, s, m.Request, criteriaOf(m, key.host), status)
	}
	o.refuse(s, key.host, key.nonce, status, after)
}

// refuseLateAsk refuses a waiting query that is not served in time.
func (o *Owner) refuseLateAsk(now model.Instant, s *service, a *ask, status proto.SlotStatus) {
	after := time.Duration(0)
	if s.sched.Decides(now) {
		after = s.sched.RetryAfter(a.query.Rank, a.query.Class, s.servingSlots())
	}
	o.refuseWaitingAsk(now, s, a, status, after)
}

// refuseWaitingAsk withdraws a waiting query and refuses it. The queue of its workspace
// drops it later.
func (o *Owner) refuseWaitingAsk(now model.Instant, s *service, a *ask, status proto.SlotStatus, after time.Duration) {
	s.withdraw(a)
	s.sched.CountRefusal(now, a.query.Rank)
	o.reportRefusal(now, s, a.request, a.criteria(), status)
	o.refuse(s, a.host, a.nonce, status, after)
}

// displaceOverdue refuses the waiting queries that can no longer be served in time,
// since more urgent ones are served before them.
func (o *Owner) displaceOverdue(now model.Instant, s *service) {
	if s.waitingCount == 0 || !s.sched.Decides(now) {
		return
	}
	for _, d := range s.sched.TakeOverdue(now, s.servingSlots()) {
		o.refuseLateAsk(now, s, d.Query.Value, overdueStatus(d.Displaced))
	}
}

// overdueStatus returns the status with which a query is refused that can no longer be
// served in time.
func overdueStatus(displaced bool) proto.SlotStatus {
	if displaced {
		return proto.SlotDisplaced
	}
	return proto.SlotTooLate
}

// beginRound begins a round in which free slots are assigned.
func (s *service) beginRound() {
	s.dispatchRound++
	s.sched.BeginRound()
}

// nextAsk returns the query that is served next, or nil.
func (s *service) nextAsk(now model.Instant) *ask {
	if s.sched.Decides(now) {
		if q := s.sched.Next(now); q != nil {
			return q.Value
		}
		return nil
	}
	if w := s.nextWorkspace(); w != nil {
		return w.queue.peek()
	}
	return nil
}

// skipAsk leaves the workspace of a query that no target takes out of this round.
func (s *service) skipAsk(a *ask) {
	a.workspace.skippedRound = s.dispatchRound
	s.sched.Skip(&a.query)
}

// recycleDequeued keeps the storage of a served query, once the queue of its workspace
// has dropped it.
func (s *service) recycleDequeued(a *ask) {
	if q := &a.workspace.queue; q.peek() == a {
		s.recycleAsk(q.pop())
	}
}

// retryAfterByRank returns the time after which a request may be tried again that was
// refused for another cause than the queue.
func (o *Owner) retryAfterByRank(now model.Instant, s *service, rank model.Rank, class model.RequestClass, status proto.SlotStatus) time.Duration {
	after := o.retryAfter(s, status)
	if !s.sched.Decides(now) {
		return after
	}
	switch status {
	case proto.SlotQuarantined:
		return after
	case proto.SlotTooLate:
		return s.sched.RetryAfter(rank, class, s.servingSlots())
	default:
		return s.sched.Jitter(after)
	}
}

// usualTime returns the usual time of a request: that of its class while the scheduler
// decides, the median of the service otherwise.
func (s *service) usualTime(now model.Instant, class model.RequestClass) time.Duration {
	if s.sched.Decides(now) {
		if usual := s.sched.Costs.Usual(class); usual != 0 {
			return usual
		}
	}
	return s.base.medianLatency()
}

// reservedRetries returns the part of the retry budget that a rank may not use: up to
// half of it is kept for more urgent ranks that have asked lately, and no more than
// twice their share of the queries, since a few urgent requests need few retries.
func (s *service) reservedRetries(now model.Instant, rank model.Rank, burst float64) float64 {
	return burst * min(0.5, 2*s.sched.UrgentShare(now, rank))
}
