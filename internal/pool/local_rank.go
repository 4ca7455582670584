package pool

import (
	"iter"

	"tarragongauge.example/tarragongauge/internal/sched"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// schedule adds a request to the order in which this host serves its requests while
// the service has no owner.
func (p *Picker) schedule(now model.Instant, r *request) {
	r.query = sched.Query[*request]{
		Rank: r.rank, Class: r.class, Workspace: r.workspace, ArrivedAt: now, ObjectiveAt: r.objectiveAt,
		Deadline: r.deadline, Serial: r.nonce, Value: r,
	}
	if p.tune.MaxLocalWait != 0 {
		r.query.StartBy = now.Add(p.tune.MaxLocalWait)
	}
	r.service.sched.Asked(now, r.rank)
	r.service.sched.Push(now, &r.query)
}

// inOrder yields the waiting requests in the order in which they are served without
// the owner: by arrival, unless requests of different ranks wait or have targets. The
// loop may end the request that it got.
func (s *pickerService) inOrder(now model.Instant) iter.Seq[*request] {
	if s.sched.Decides(now) {
		return s.byRank(now)
	}
	return func(yield func(*request) bool) {
		for _, r := range s.queue.items[s.queue.head:] {
			if !r.isRemoved && !yield(r) {
				return
			}
		}
	}
}

// byRank yields the waiting requests in the order of the scheduler. After a request
// for which no target has room, others of its workspace and rank are left out.
func (s *pickerService) byRank(now model.Instant) iter.Seq[*request] {
	return func(yield func(*request) bool) {
		s.sched.BeginRound()
		for q := s.sched.Next(now); q != nil; q = s.sched.Next(now) {
			r := q.Value
			if !yield(r) {
				return
			}
			if !r.isRemoved {
				s.sched.Skip(q)
			}
		}
	}
}

// displaceOverdue refuses the waiting requests that can no longer be served in time
// with the given number of attempts in flight, since more urgent ones are served
// before them.
func (p *Picker) displaceOverdue(now model.Instant, s *pickerService, inFlight float64) {
	if !s.sched.Decides(now) {
		return
	}
	for _, d := range s.sched.TakeOverdue(now, inFlight) {
		q := d.Query
		p.refuseWithRetryAfter(now, q.Value, overdueStatus(d.Displaced), s.sched.RetryAfter(q.Rank, q.Class, inFlight))
	}
}
