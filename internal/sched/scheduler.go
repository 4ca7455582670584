package sched

import (
	"container/heap"
	"slices"
	"time"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// Scheduler holds the waiting queries and the slots in use of one service.
type Scheduler[T any] struct {
	set   settings
	Costs Costs
	// ranks holds the known ranks, the most urgent first.
	ranks []*rank[T]
	// waiting counts all waiting queries.
	waiting int
	round   uint64
	// nextIsOwed is set if Next last returned a query of a rank that is owed a slot
	// while a more urgent one waits, wasOwed if such a query got the last slot.
	nextIsOwed, wasOwed bool
	// overdue is reused by TakeOverdue.
	overdue []Overdue[T]
}

// rank is the use of a service by one rank.
type rank[T any] struct {
	key model.Rank
	// lanes holds the workspaces that wait, hold slots or did lately.
	lanes  []*lane[T]
	laneOf map[model.WorkspaceID]*lane[T]
	// waiting, held and backlog are the sums over the lanes.
	waiting, held int
	backlog       time.Duration
	// virtual is the greatest start of a query that got a slot. It never moves back
	// while the rank is in use.
	virtual time.Duration
	// passed counts the slots that more urgent ranks got since this rank began to wait
	// or last got one, which was at waitingSince.
	passed          int
	waitingSince    model.Instant
	askedAt         model.Instant
	served, refused uint64
	recent          recentShare
}

func (r *rank[T]) isIdle() bool { return r.waiting == 0 && r.held == 0 }

// New returns a Scheduler without queries.
func New[T any](opts ...Option) *Scheduler[T] {
	s := &Scheduler[T]{set: defaultSettings()}
	for _, o := range opts {
		o(&s.set)
	}
	return s
}

// Waiting returns the number of queries that wait.
func (s *Scheduler[T]) Waiting() int { return s.waiting }

// WaitingBefore returns the number of queries that wait and are at least as urgent as
// a rank.
func (s *Scheduler[T]) WaitingBefore(key model.Rank) int {
	n := 0
	for _, r := range s.ranks {
		if r.key.Compare(key) <= 0 {
			n += r.waiting
		}
	}
	return n
}

// Held returns the number of slots in use.
func (s *Scheduler[T]) Held() int {
	held := 0
	for _, r := range s.ranks {
		held += r.held
	}
	return held
}

// Decides reports whether queries of different ranks wait or hold slots, or did
// lately. Only then does the order of a Scheduler differ from that of its caller. A rank
// of which all queries are refused on arrival counts too, or else the decisions for
// the others would alternate between two policies.
func (s *Scheduler[T]) Decides(now model.Instant) bool {
	inUse := 0
	for _, r := range s.ranks {
		if !r.isIdle() || s.askedLately(now, r) {
			inUse++
		}
	}
	return inUse > 1
}

func (s *Scheduler[T]) askedLately(now model.Instant, r *rank[T]) bool {
	return r.askedAt != 0 && now.Sub(r.askedAt) <= s.set.askMemory
}

func compareRank[T any](r *rank[T], key model.Rank) int { return r.key.Compare(key) }

// rank returns the state of a rank, which is created if it has none.
func (s *Scheduler[T]) rank(key model.Rank) *rank[T] {
	i, ok := slices.BinarySearchFunc(s.ranks, key, compareRank[T])
	if ok {
		return s.ranks[i]
	}
	if len(s.ranks) >= s.set.rankLimit {
		s.ranks = slices.DeleteFunc(s.ranks, (*rank[T]).isIdle)
		i, _ = slices.BinarySearchFunc(s.ranks, key, compareRank[T])
	}
	r := &rank[T]{key: key, laneOf: map[model.WorkspaceID]*lane[T]{}}
	s.ranks = slices.Insert(s.ranks, i, r)
	return r
}

// lane returns the use of a rank by a workspace, which is created if it has none.
func (r *rank[T]) lane(id model.WorkspaceID) *lane[T] {
	l, ok := r.laneOf[id]
	if !ok {
		l = &lane[T]{workspace: id, rank: r}
		l.timely.byObjective = true
		r.laneOf[id] = l
		r.lanes = append(r.lanes, l)
	}
	return l
}

// Asked records that a request of the rank asks for a slot, before it is admitted.
func (s *Scheduler[T]) Asked(now model.Instant, key model.Rank) {
	r := s.rank(key)
	r.askedAt = now
	r.recent.add(now, 1, 0)
}

// UrgentShare returns the part of the recent queries that came from more urgent ranks
// than the given one. Ranks that have not asked lately do not count.
func (s *Scheduler[T]) UrgentShare(now model.Instant, key model.Rank) float64 {
	urgent, all := 0.0, 0.0
	for _, r := range s.ranks {
		if !s.askedLately(now, r) {
			continue
		}
		asked := r.recent.level(now)
		all += asked
		if r.key.Compare(key) < 0 {
			urgent += asked
		}
	}
	if all == 0 {
		return 0
	}
	return urgent / all
}

// Push adds a query that waits from now on.
func (s *Scheduler[T]) Push(now model.Instant, q *Query[T]) {
	r := s.rank(q.Rank)
	l := r.lane(q.Workspace)
	q.lane, q.cost, q.usual = l, s.Costs.SlotTime(q.Class), s.Costs.Usual(q.Class)
	if r.waiting == 0 {
		r.passed, r.waitingSince = 0, now
	}
	if q.meetsObjective(now) {
		l.timely.add(q)
	} else {
		l.rest.add(q)
	}
	l.usedAt = now
	l.backlog += q.cost
	r.backlog += q.cost
	r.waiting++
	s.waiting++
}

// Remove takes a waiting query out. The share of its workspace is unchanged.
func (s *Scheduler[T]) Remove(q *Query[T]) {
	l := q.lane
	if l == nil {
		return
	}
	heap.Remove(q.heap, q.index)
	l.backlog -= q.cost
	l.rank.backlog -= q.cost
	l.rank.waiting--
	s.waiting--
	q.lane, q.heap = nil, nil
}

// BeginRound begins a round in which free slots are given out. Lanes that were skipped
// in an earlier round are considered again.
func (s *Scheduler[T]) BeginRound() { s.round++ }

// Skip leaves the workspace of a query out of its rank for the rest of the round.
func (s *Scheduler[T]) Skip(q *Query[T]) { q.lane.skippedRound = s.round }

// Next returns the query that gets the next free slot, or nil: the first one of the
// most urgent rank, or of the rank that has waited longest among those that are owed a
// slot. No two slots in a row go to ranks that are owed them: when slots become free
// more rarely than once in maxRankWait, less urgent ranks would get all of them.
func (s *Scheduler[T]) Next(now model.Instant) *Query[T] {
	var best, owed *Query[T]
	for _, r := range s.ranks {
		if r.waiting == 0 || best != nil && (s.wasOwed || !s.isOwed(now, r)) {
			continue
		}
		if owed != nil && r.waitingSince >= owed.lane.rank.waitingSince {
			continue
		}
		q := s.firstOf(now, r)
		switch {
		case q == nil:
		case best == nil:
			best = q
		default:
			owed = q
		}
	}
	if s.nextIsOwed = owed != nil; s.nextIsOwed {
		return owed
	}
	return best
}

// isOwed reports whether a waiting rank gets the next slot even if others are more
// urgent. Slots by number are owed only to a rank that is not served better than a more
// urgent one: a tenth of the slots is most of the slot time if its requests are costly.
func (s *Scheduler[T]) isOwed(now model.Instant, r *rank[T]) bool {
	return now.Sub(r.waitingSince) >= s.set.maxRankWait || r.passed >= s.set.minServiceInterval-1 && s.isWorstServed(now, r)
}

// firstOf returns the query of a rank that is served first, or nil.
func (s *Scheduler[T]) firstOf(now model.Instant, r *rank[T]) *Query[T] {
	var best *Query[T]
	for _, l := range r.lanes {
		if l.waiting() == 0 || l.skippedRound == s.round && s.round != 0 {
			continue
		}
		q := l.first(now)
		if best == nil || l.tag() < best.lane.tag() || l.tag() == best.lane.tag() && q.Serial < best.Serial {
			best = q
		}
	}
	return best
}

// Hold is a slot in use. The zero value is a slot of unknown rank, which counts for none.
type Hold[T any] struct {
	lane    *lane[T]
	class   model.RequestClass
	charged time.Duration
	since   model.Instant
}

// Assign records that a query, which waits no longer or never did, gets a slot.
func (s *Scheduler[T]) Assign(now model.Instant, key model.Rank, class model.RequestClass, ws model.WorkspaceID) Hold[T] {
	r := s.rank(key)
	l := r.lane(ws)
	cost := s.Costs.SlotTime(class)
	r.virtual = l.tag()
	l.finish = r.virtual + cost
	l.held++
	l.usedAt = now
	r.held++
	r.served++
	r.passed, r.waitingSince = 0, now
	s.wasOwed, s.nextIsOwed = s.nextIsOwed, false
	for _, other := range s.ranks {
		if other.waiting > 0 && other.key.Compare(key) > 0 {
			other.passed++
		}
	}
	return Hold[T]{lane: l, class: class, charged: cost, since: now}
}

// Release ends the use of a slot and charges its workspace for the time in use.
func (s *Scheduler[T]) Release(now model.Instant, h Hold[T]) {
	l := h.lane
	if l == nil {
		return
	}
	l.finish += now.Sub(h.since) - h.charged
	l.held--
	l.usedAt = now
	l.rank.held--
}

// Measure records the time for which an attempt has held its slot, and whether it
// succeeded.
func (s *Scheduler[T]) Measure(now model.Instant, h Hold[T], ok bool) {
	if h.lane != nil {
		s.Costs.Add(now, h.class, now.Sub(h.since), ok)
	}
}

// Prune drops workspaces that have not used the service for some time, and the costs
// of classes that have not.
func (s *Scheduler[T]) Prune(now model.Instant) {
	s.Costs.Prune(now)
	for _, r := range s.ranks {
		r.lanes = slices.DeleteFunc(r.lanes, func(l *lane[T]) bool {
			isIdle := l.waiting() == 0 && l.held == 0 && now.Sub(l.usedAt) >= s.set.idleTime
			if isIdle {
				delete(r.laneOf, l.workspace)
			}
			return isIdle
		})
	}
}
