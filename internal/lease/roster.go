package lease

import (
	"cmp"
	"slices"
	"time"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// keptSteps is how many changes of the list a seat remembers; beyond them it sends the whole list.
const keptSteps = 256

// roster is a seat's list of live members.
type roster struct {
	index map[model.HostID]*entry
	// order is sorted by host.
	order []*entry
	// sum adds up the hashes of all members.
	sum uint64
	// cached is the list for replies, or nil after a change.
	cached []proto.Member
	// steps are the latest changes of the list, oldest first.
	steps []step
}

// step is a change of one member.
type step struct {
	// before is the digest of the list before the change.
	before uint64
	host   model.HostID
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
	r.note(m.Host)
	r.sum -= e.hash
	e.member, e.hash = m, hashMember(m)
	r.sum += e.hash
}

func (r *roster) note(host model.HostID) {
	r.cached = nil
	if len(r.steps) == 2*keptSteps {
		r.steps = append(r.steps[:0], r.steps[keptSteps:]...)
	}
	r.steps = append(r.steps, step{before: r.digest(), host: host})
}

func (r *roster) expire(now model.Instant, timeout time.Duration) {
	r.order = slices.DeleteFunc(r.order, func(e *entry) bool {
		if now.Sub(e.heard) <= timeout {
			return false
		}
		r.note(e.member.Host)
		r.sum -= e.hash
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

// tell puts into a reply what brings an asker's list with a digest up to date.
func (r *roster) tell(reply *proto.FreshReply, have uint64) {
	reply.MembersDigest = r.digest()
	if have == reply.MembersDigest {
		return
	}
	hosts, ok := r.changedSince(have)
	if !ok || 2*len(hosts) > len(r.order) {
		reply.Members = r.list()
		return
	}
	reply.MembersBaseDigest = have
	for _, h := range hosts {
		if e, ok := r.index[h]; ok {
			reply.Members = append(reply.Members, e.member)
		} else {
			reply.RemovedMembers = append(reply.RemovedMembers, h)
		}
	}
}

// changedSince returns the hosts that changed since the list had a digest.
func (r *roster) changedSince(have uint64) ([]model.HostID, bool) {
	if have == 0 {
		return nil, false
	}
	for i := len(r.steps) - 1; i >= 0; i-- {
		if r.steps[i].before != have {
			continue
		}
		var hosts []model.HostID
		for _, s := range r.steps[i:] {
			hosts = addHosts(hosts, []model.HostID{s.host})
		}
		return hosts, true
	}
	return nil, false
}
