package sched

import (
	"container/heap"
	"slices"
	"time"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// Query is a request that waits for a slot. The caller keeps it until it is removed.
type Query[T any] struct {
	Rank      model.Rank
	Class     model.RequestClass
	Workspace model.WorkspaceID
	ArrivedAt model.Instant
	// ObjectiveAt is the instant of the latency objective, or 0 without one.
	ObjectiveAt model.Instant
	Deadline    model.Instant
	// StartBy is the latest instant at which the query may get its slot, whatever its
	// deadline, or 0 without one.
	StartBy model.Instant
	// Serial orders the queries by arrival.
	Serial uint64
	// Value is what the caller knows the query by.
	Value T

	// lane is nil unless the query waits.
	lane *lane[T]
	// cost and usual are the times of the class when the query began to wait.
	cost, usual time.Duration
	// heap is the heap of the lane that holds the query at index.
	heap  *queryHeap[T]
	index int
}

// meetsObjective reports whether the query has an objective that an attempt which
// begins now usually meets.
func (q *Query[T]) meetsObjective(now model.Instant) bool {
	return q.ObjectiveAt != 0 && now.Add(q.usual) <= q.ObjectiveAt
}

// lane is the use of one rank by one workspace.
type lane[T any] struct {
	workspace model.WorkspaceID
	rank      *rank[T]
	// timely holds the queries whose objectives may still be met by objective, rest
	// the others by arrival.
	timely, rest queryHeap[T]
	// held counts the slots in use.
	held int
	// backlog is the sum of the costs of the waiting queries.
	backlog time.Duration
	// finish is the virtual time at which the slot time given so far is used up.
	finish time.Duration
	// skippedRound is the last round in which the first query could not be served.
	skippedRound uint64
	usedAt       model.Instant
}

func (l *lane[T]) waiting() int { return len(l.timely.items) + len(l.rest.items) }

// tag is the virtual time at which the lane's next query starts.
func (l *lane[T]) tag() time.Duration { return max(l.finish, l.rank.virtual) }

// first returns the query that is served next, or nil. Queries whose objectives can no
// longer be met come after the others.
func (l *lane[T]) first(now model.Instant) *Query[T] {
	for len(l.timely.items) > 0 {
		q := l.timely.items[0]
		if q.meetsObjective(now) {
			return q
		}
		heap.Pop(&l.timely)
		l.rest.add(q)
	}
	if len(l.rest.items) > 0 {
		return l.rest.items[0]
	}
	return nil
}

// last returns the query that is served last, or nil.
func (l *lane[T]) last() *Query[T] {
	h := &l.rest
	if len(h.items) == 0 {
		h = &l.timely
	}
	var last *Query[T]
	for _, q := range h.items {
		if last == nil || h.before(last, q) {
			last = q
		}
	}
	return last
}

// lastFirst returns the waiting queries, the one that is served last first.
func (l *lane[T]) lastFirst() []*Query[T] {
	list := make([]*Query[T], 0, l.waiting())
	for _, h := range []*queryHeap[T]{&l.rest, &l.timely} {
		start := len(list)
		list = append(list, h.items...)
		slices.SortFunc(list[start:], func(a, b *Query[T]) int {
			switch {
			case h.before(a, b):
				return 1
			case h.before(b, a):
				return -1
			}
			return 0
		})
	}
	return list
}

// queryHeap is a heap of queries for container/heap.
type queryHeap[T any] struct {
	items       []*Query[T]
	byObjective bool
}

func (h *queryHeap[T]) before(a, b *Query[T]) bool {
	if h.byObjective && a.ObjectiveAt != b.ObjectiveAt {
		return a.ObjectiveAt < b.ObjectiveAt
	}
	return a.Serial < b.Serial
}

func (h *queryHeap[T]) add(q *Query[T]) {
	q.heap = h
	heap.Push(h, q)
}

func (h *queryHeap[T]) Len() int           { return len(h.items) }
func (h *queryHeap[T]) Less(i, j int) bool { return h.before(h.items[i], h.items[j]) }

func (h *queryHeap[T]) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.items[i].index, h.items[j].index = i, j
}

// Push implements heap.Interface.
func (h *queryHeap[T]) Push(x any) {
	q, _ := x.(*Query[T])
	q.index = len(h.items)
	h.items = append(h.items, q)
}

// Pop implements heap.Interface.
func (h *queryHeap[T]) Pop() any {
	n := len(h.items) - 1
	q := h.items[n]
	h.items[n] = nil
	h.items = h.items[:n]
	return q
}
