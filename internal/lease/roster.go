package lease

import (
	"cmp"
	"slices"
	"time"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// maxRosterChanges is the number of changes that a seat keeps at least. A host whose
// list is older gets the whole list.
const maxRosterChanges = 256

// roster is a seat's list of live members with its latest changes.
type roster struct {
	index map[model.HostID]*rosterEntry
	// entries holds the members sorted by host.
	entries []*rosterEntry
	// hashSum adds up the hashes of all members.
	hashSum uint64
	// cachedList holds the members for replies, or nil after a change.
	cachedList []proto.Member
	// changes holds the latest changes of the list, oldest first.
	changes []rosterChange
}

// rosterChange records that one member was added, changed or removed.
type rosterChange struct {
	// digestBefore is the digest of the list before the change.
	digestBefore uint64
	host         model.HostID
}

// rosterEntry is a member with its hash and the time of its last request.
type rosterEntry struct {
	member  proto.Member
	hash    uint64
	heardAt model.Instant
}

func newRoster() roster { return roster{index: map[model.HostID]*rosterEntry{}} }

func compareEntryHost(e *rosterEntry, host model.HostID) int { return cmp.Compare(e.member.Host, host) }

// refresh adds a member or updates it and its last request. A delayed ask of an earlier
// incarnation is ignored.
func (r *roster) refresh(now model.Instant, m proto.Member) {
	e, ok := r.index[m.Host]
	if !ok {
		e = &rosterEntry{}
		r.index[m.Host] = e
		i, _ := slices.BinarySearchFunc(r.entries, m.Host, compareEntryHost)
		r.entries = slices.Insert(r.entries, i, e)
	}
	if ok && m.Incarnation < e.member.Incarnation {
		return
	}
	e.heardAt = now
	if ok && e.member == m {
		return
	}
	r.recordChange(m.Host)
	r.hashSum -= e.hash
	e.member, e.hash = m, hashMember(m)
	r.hashSum += e.hash
}

// recordChange records that the member of a host is about to change.
func (r *roster) recordChange(host model.HostID) {
	r.cachedList = nil
	if len(r.changes) == 2*maxRosterChanges {
		r.changes = append(r.changes[:0], r.changes[maxRosterChanges:]...)
	}
	r.changes = append(r.changes, rosterChange{digestBefore: r.digest(), host: host})
}

// expire removes the members without a request within the timeout.
func (r *roster) expire(now model.Instant, timeout time.Duration) {
	r.entries = slices.DeleteFunc(r.entries, func(e *rosterEntry) bool {
		if now.Sub(e.heardAt) <= timeout {
			return false
		}
		r.recordChange(e.member.Host)
		r.hashSum -= e.hash
		delete(r.index, e.member.Host)
		return true
	})
}

func (r *roster) digest() uint64 { return digest(r.hashSum) }

// list returns the members sorted by host.
func (r *roster) list() []proto.Member {
	if r.cachedList == nil {
		r.cachedList = make([]proto.Member, 0, len(r.entries))
		for _, e := range r.entries {
			r.cachedList = append(r.cachedList, e.member)
		}
	}
	return r.cachedList
}

// addMembers adds to a reply what brings a list with the digest have up to date: the
// changed and removed members, or the whole list.
func (r *roster) addMembers(reply *proto.FreshReply, have uint64) {
	reply.MembersDigest = r.digest()
	if have == reply.MembersDigest {
		return
	}
	hosts, ok := r.changedSince(have)
	if !ok || 2*len(hosts) > len(r.entries) {
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

// changedSince returns the hosts that changed since the list had the digest have, or
// false if those changes are not kept.
func (r *roster) changedSince(have uint64) ([]model.HostID, bool) {
	if have == 0 {
		return nil, false
	}
	for i := len(r.changes) - 1; i >= 0; i-- {
		if r.changes[i].digestBefore != have {
			continue
		}
		var hosts []model.HostID
		for _, s := range r.changes[i:] {
			hosts = addHosts(hosts, []model.HostID{s.host})
		}
		return hosts, true
	}
	return nil, false
}
