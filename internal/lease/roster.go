package lease

import (
	"cmp"
	"slices"
	"time"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// roster is a seat's list of live members.
type roster struct {
	index map[model.HostID]*entry
	// order is sorted by host.
	order []*entry
	// sum adds up the hashes of all members.
	sum uint64
	// cached is the list for replies, or nil after a change.
	cached []proto.Member
}

type entry struct {
	member proto.Member
	hash   uint64
	heard  model.Instant
}

func newRoster() roster { return roster{index: map[model.HostID]*entry{}} }

func compareEntry(e *entry, host model.HostID) int { return cmp.Compare(e.member.Host, host) }

// heard adds or refreshes a member. A delayed ask of an earlier run does not replace a later run.
func (r *roster) heard(now model.Instant, m proto.Member) {
	e, ok := r.index[m.Host]
	if !ok {
		e = &entry{}
		r.index[m.Host] = e
		i, _ := slices.BinarySearchFunc(r.order, m.Host, compareEntry)
		r.order = slices.Insert(r.order, i, e)
	}
	if ok && m.Incarnation < e.member.Incarnation {
		return
	}
	e.heard = now
	if ok && e.member == m {
		return
	}
	r.sum -= e.hash
	e.member, e.hash = m, hashMember(m)
	r.sum += e.hash
	r.cached = nil
}

func (r *roster) expire(now model.Instant, timeout time.Duration) {
	r.order = slices.DeleteFunc(r.order, func(e *entry) bool {
		if now.Sub(e.heard) <= timeout {
			return false
		}
		r.sum -= e.hash
		r.cached = nil
		delete(r.index, e.member.Host)
		return true
	})
}

func (r *roster) digest() uint64 { return digest(r.sum) }

func (r *roster) list() []proto.Member {
	if r.cached == nil {
		r.cached = make([]proto.Member, 0, len(r.order))
		for _, e := range r.order {
			r.cached = append(r.cached, e.member)
		}
	}
	return r.cached
}
