package sched

import (
	"math"
	"slices"
	"time"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// Load is what the caller knows of a service when a query arrives.
type Load struct {
	// Slots is the number of slots that serve queries.
	Slots float64
	// MinWait is a wait that does not depend on other queries.
	MinWait time.Duration
	// WorkspaceWaiting counts the waiting queries of the query's workspace, and
	// WorkspaceLimit is their maximum.
	WorkspaceWaiting, WorkspaceLimit int
}

// Decision is the result of Admit. It is a sealed interface.
type Decision interface{ isDecision() }

type (
	// Admitted lets a query wait.
	Admitted struct{}
	// Displacing lets a query wait in place of a less urgent one, which is refused.
	Displacing[T any] struct{ Displaced *Query[T] }
	// QueueFull refuses a query since as many as allowed wait.
	QueueFull struct{}
	// TooLate refuses a query whose turn would come too late.
	TooLate struct{}
)

func (Admitted) isDecision()      {}
func (Displacing[T]) isDecision() {}
func (QueueFull) isDecision()     {}
func (TooLate) isDecision()       {}

// Admit decides whether a query may wait. The caller pushes an admitted query, and
// removes and refuses a displaced one.
func (s *Scheduler[T]) Admit(now model.Instant, q *Query[T], load Load) Decision {
	limit := s.maxWait(now, q)
	var displaced *Query[T]
	if wait := s.wait(now, q, load, true); max(wait, load.MinWait) > limit {
		if load.MinWait > limit || s.wait(now, q, load, false) > limit {
			return TooLate{}
		}
		if displaced = s.leastUrgent(q.Rank, nil); displaced == nil {
			return TooLate{}
		}
	}
	if load.WorkspaceWaiting >= load.WorkspaceLimit && (displaced == nil || displaced.Workspace != q.Workspace) {
		if displaced = s.leastUrgent(q.Rank, &q.Workspace); displaced == nil {
			return QueueFull{}
		}
	}
	if s.waiting >= s.set.queueLimit && displaced == nil {
		if displaced = s.leastUrgent(q.Rank, nil); displaced == nil {
			return QueueFull{}
		}
	}
	if displaced != nil {
		return Displacing[T]{Displaced: displaced}
	}
	return Admitted{}
}

// maxWait returns the longest expected wait with which a query is admitted. A request
// whose objective cannot be met any more may wait for one other request.
func (s *Scheduler[T]) maxWait(now model.Instant, q *Query[T]) time.Duration {
	usual := s.Costs.Usual(q.Class)
	wait := q.Deadline.Sub(now) - usual
	if q.ObjectiveAt == 0 {
		return wait
	}
	margin := time.Duration(s.set.objectiveMargin * float64(usual))
	return min(wait, max(q.ObjectiveAt.Sub(now)-margin, usual))
}

// wait estimates the time until a query that arrives now gets a slot: that in which
// the queries of more urgent ranks and those of its own workspace get theirs, or that
// in which its rank gets its minimum service. If withLower is set, the slots that less
// urgent ranks get at least are left out.
func (s *Scheduler[T]) wait(now model.Instant, q *Query[T], load Load, withLower bool) time.Duration {
	if s.waiting == 0 {
		return 0
	}
	ahead, slots := s.before(q.Rank, load.Slots, withLower)
	own, backlog, ofRank := slots, time.Duration(0), time.Duration(0)
	inUse, isWorstServed := false, true
	for _, r := range s.ranks {
		if r.key == q.Rank {
			own, backlog = r.ownSlots(q.Workspace, slots)
			ofRank, inUse, isWorstServed = r.backlog, r.waiting > 0, s.isWorstServed(now, r)
		}
	}
	if ahead == 0 && !inUse {
		// Slots become free for this query first.
		return 0
	}
	cost := s.Costs.SlotTime(q.Class)
	wait := divide(ahead, load.Slots) + divide(backlog+cost, own)
	if ahead > 0 && isWorstServed {
		wait = min(wait, s.minServiceWait(ofRank+cost, load.Slots))
	}
	return wait
}

// minServiceWait returns the time in which the minimum service of a rank processes its
// backlog.
func (s *Scheduler[T]) minServiceWait(backlog time.Duration, slots float64) time.Duration {
	return divide(backlog, slots/float64(s.set.minServiceInterval))
}

// isWorstServed reports whether no more urgent rank has a lower share of recent queries
// that were not refused.
func (s *Scheduler[T]) isWorstServed(now model.Instant, r *rank[T]) bool {
	share := r.recent.share(now)
	return !slices.ContainsFunc(s.ranks, func(other *rank[T]) bool {
		return other.key.Compare(r.key) < 0 && other.recent.share(now) < share
	})
}

// before returns the backlog of more urgent ranks and the slots that they leave to a
// rank, at least the minimum service.
func (s *Scheduler[T]) before(key model.Rank, total float64, withLower bool) (time.Duration, float64) {
	ahead, slots := time.Duration(0), total
	least := total / float64(s.set.minServiceInterval)
	for _, r := range s.ranks {
		switch c := r.key.Compare(key); {
		case c < 0:
			ahead += r.backlog
			slots -= float64(r.held)
		case c > 0 && withLower && r.waiting > 0:
			slots -= min(least, float64(r.held))
		}
	}
	return ahead, max(slots, least, 1)
}

// ownSlots returns the slots of a rank that a workspace may use, and the workspace's
// backlog. These are its fair share, and what others leave of theirs: as many as it holds, or
// more.
func (r *rank[T]) ownSlots(ws model.WorkspaceID, slots float64) (float64, time.Duration) {
	active, backlog, held := 1, time.Duration(0), 0
	for _, l := range r.lanes {
		switch {
		case l.workspace == ws:
			backlog, held = l.backlog, l.held
		case l.held > 0 || l.waiting() > 0:
			active++
		}
	}
	share := slots / float64(active)
	left := slots
	for _, l := range r.lanes {
		if l.workspace == ws {
			continue
		}
		use := float64(l.held)
		if l.waiting() > 0 {
			use = max(use, share)
		}
		left -= min(use, share)
	}
	return max(left, share, float64(held)), backlog
}

func divide(work time.Duration, slots float64) time.Duration {
	return time.Duration(float64(work) / max(slots, 1))
}

// leastUrgent returns the query that gives way to one of the given rank, or nil: the
// last one of the workspace with the greatest backlog in the least urgent rank. If ws
// is set, only queries of that workspace give way.
func (s *Scheduler[T]) leastUrgent(key model.Rank, ws *model.WorkspaceID) *Query[T] {
	for i := len(s.ranks) - 1; i >= 0 && s.ranks[i].key.Compare(key) > 0; i-- {
		var most *lane[T]
		for _, l := range s.ranks[i].lanes {
			if l.waiting() > 0 && (ws == nil || l.workspace == *ws) && (most == nil || l.backlog > most.backlog) {
				most = l
			}
		}
		if most != nil {
			return most.last()
		}
	}
	return nil
}

// Overdue is a query that was taken out of the queue since it can no longer be served
// in time. Displaced is set if more urgent queries are the cause.
type Overdue[T any] struct {
	Query     *Query[T]
	Displaced bool
}

// TakeOverdue takes out the waiting queries that can no longer be served in time. It may
// leave a few to the next call. The returned slice is valid until then.
func (s *Scheduler[T]) TakeOverdue(now model.Instant, slots float64) []Overdue[T] {
	clear(s.overdue)
	s.overdue = s.overdue[:0]
	for _, r := range s.ranks {
		for _, l := range r.lanes {
			for i := len(l.rest.items) - 1; i >= 0; i-- {
				if q := l.rest.items[i]; now > s.latestStart(now, q) {
					s.takeOverdue(q, false)
				}
			}
			s.takeDisplaced(now, l, slots)
		}
	}
	return s.overdue
}

// takeDisplaced takes out the last queries of a lane while their turns would come too
// late since more urgent ranks are served first.
func (s *Scheduler[T]) takeDisplaced(now model.Instant, l *lane[T], slots float64) {
	if l.waiting() == 0 {
		return
	}
	ahead, left := s.before(l.rank.key, slots, false)
	if ahead == 0 && left == slots {
		// No more urgent query waits or holds a slot.
		return
	}
	own, _ := l.rank.ownSlots(l.workspace, left)
	isWorstServed := s.isWorstServed(now, l.rank)
	isLate := func(q *Query[T]) bool {
		wait := divide(ahead, slots) + divide(l.backlog, own)
		if isWorstServed {
			wait = min(wait, s.minServiceWait(l.rank.backlog, slots))
		}
		return now.Add(wait) > s.latestStart(now, q)
	}
	if !isLate(l.last()) {
		return
	}
	for _, q := range l.lastFirst() {
		if !isLate(q) {
			return
		}
		s.takeOverdue(q, true)
	}
}

func (s *Scheduler[T]) takeOverdue(q *Query[T], displaced bool) {
	s.Remove(q)
	s.overdue = append(s.overdue, Overdue[T]{Query: q, Displaced: displaced})
}

// latestStart returns the latest instant at which a query gets its slot. One that has
// missed its objective while it waited is kept for maxRankWait more.
func (s *Scheduler[T]) latestStart(now model.Instant, q *Query[T]) model.Instant {
	latest := q.Deadline.Add(-q.usual)
	if q.StartBy != 0 {
		latest = min(latest, q.StartBy)
	}
	switch {
	case q.ObjectiveAt == 0:
		return latest
	case q.meetsObjective(now):
		return min(latest, q.ObjectiveAt.Add(-q.usual))
	default:
		return min(latest, max(q.ObjectiveAt.Add(-q.usual), q.ArrivedAt).Add(s.set.maxRankWait))
	}
}

// RetryAfter returns the time after which a refused request may be tried again: that
// in which the queries of more urgent ranks and then those of its own get their slots.
// The time is random by a fourth, so that refused callers do not return at the same
// moment.
func (s *Scheduler[T]) RetryAfter(key model.Rank, class model.RequestClass, slots float64) time.Duration {
	wait := time.Duration(0)
	for _, r := range s.ranks {
		if r.key.Compare(key) <= 0 {
			_, left := s.before(r.key, slots, true)
			wait += divide(r.backlog, left)
		}
	}
	return s.Jitter(max(wait, s.Costs.Usual(class)))
}

// Jitter changes a duration at random by up to a fourth.
func (s *Scheduler[T]) Jitter(d time.Duration) time.Duration {
	if s.set.rng == nil {
		return d
	}
	return time.Duration(math.Round(float64(d) * (1 + s.set.jitter*(2*s.set.rng.Float64()-1))))
}

// RankStatus describes one rank.
type RankStatus struct {
	Rank            model.Rank
	Waiting         int
	LongestWait     time.Duration
	Served, Refused uint64
}

// CountRefusal counts a refused query of a rank.
func (s *Scheduler[T]) CountRefusal(now model.Instant, key model.Rank) {
	r := s.rank(key)
	r.refused++
	r.recent.add(now, 0, 1)
}

// Status returns the known ranks, the most urgent first.
func (s *Scheduler[T]) Status(now model.Instant) []RankStatus {
	var list []RankStatus
	for _, r := range s.ranks {
		st := RankStatus{Rank: r.key, Waiting: r.waiting, Served: r.served, Refused: r.refused}
		for _, l := range r.lanes {
			for _, h := range []*queryHeap[T]{&l.timely, &l.rest} {
				for _, q := range h.items {
					st.LongestWait = max(st.LongestWait, now.Sub(q.ArrivedAt))
				}
			}
		}
		list = append(list, st)
	}
	return list
}
