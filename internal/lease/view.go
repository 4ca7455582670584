package lease

import (
	"cmp"
	"slices"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// emptyDigest identifies an empty list; a digest of 0 means that no list is held.
const emptyDigest = 1

func hashMember(m proto.Member) uint64 {
	h := mix(hashString(string(m.Host)) ^ uint64(m.Role))
	h = mix(h ^ hashString(string(m.Zone)))
	h = mix(h ^ hashString(m.Addr))
	h = mix(h ^ uint64(m.Incarnation))
	if m.Draining {
		h = mix(h)
	}
	return h
}

// MembersDigest identifies a list of members in any order, as FreshAsk and FreshReply carry it.
func MembersDigest(members []proto.Member) uint64 { return digest(sumMembers(members)) }

func hashOwner(o proto.Owner) uint64 {
	return mix(mix(hashString(string(o.Host))^uint64(o.Shard)) ^ uint64(o.Epoch))
}

// digest finishes a sum of hashes, which does not depend on the order of a list.
func digest(sum uint64) uint64 {
	if sum == 0 {
		return emptyDigest
	}
	return sum
}

// lists are the members and owners as one seat reported them.
type lists struct {
	// nonce is that of the newest reply the lists were taken from.
	nonce         uint64
	members       []proto.Member
	membersDigest uint64
	membersSum    uint64
	owners        []proto.Owner
	ownersDigest  uint64
}

// take stores the lists of a reply and reports whether one changed. A reply
// without a list whose digest differs answers an ask with an older digest and
// is ignored.
func (l *lists) take(m proto.FreshReply) bool {
	if l.nonce != 0 && int64(m.Nonce-l.nonce) < 0 {
		return false
	}
	l.nonce = m.Nonce
	changed := false
	if m.MembersDigest != l.membersDigest {
		changed = l.takeMembers(m)
	}
	if m.OwnersDigest != l.ownersDigest && (len(m.Owners) > 0 || m.OwnersDigest == emptyDigest) {
		l.owners, l.ownersDigest = m.Owners, m.OwnersDigest
		changed = true
	}
	return changed
}

// takeMembers takes a whole list or a change of the list held. The digest
// tells whether the result is the list of the seat.
func (l *lists) takeMembers(m proto.FreshReply) bool {
	members, sum := m.Members, sumMembers(m.Members)
	if m.MembersBaseDigest != 0 {
		if m.MembersBaseDigest != l.membersDigest {
			return false
		}
		members, sum = l.changed(m.Members, m.RemovedMembers)
	}
	if digest(sum) != m.MembersDigest {
		return false
	}
	l.members, l.membersDigest, l.membersSum = members, m.MembersDigest, sum
	return true
}

// changed returns the list after a change, ordered by host, and the sum of its hashes.
func (l *lists) changed(put []proto.Member, gone []model.HostID) ([]proto.Member, uint64) {
	next, sum := slices.Clone(l.members), l.membersSum
	find := func(h model.HostID) (int, bool) {
		return slices.BinarySearchFunc(next, h, func(m proto.Member, h model.HostID) int { return cmp.Compare(m.Host, h) })
	}
	for _, h := range gone {
		if i, ok := find(h); ok {
			sum -= hashMember(next[i])
			next = slices.Delete(next, i, i+1)
		}
	}
	for _, m := range put {
		i, ok := find(m.Host)
		if !ok {
			next = slices.Insert(next, i, m)
		} else {
			sum -= hashMember(next[i])
			next[i] = m
		}
		sum += hashMember(m)
	}
	return next, sum
}

func sumMembers(members []proto.Member) uint64 {
	var sum uint64
	for _, m := range members {
		sum += hashMember(m)
	}
	return sum
}

// mergeMembers returns the members that more than half of the lists name,
// ordered by host. A host that reaches only a minority of the seats cannot gain
// a shard, and must not keep others from claiming it. Entry hosts that own no
// shards ask one seat only, so one list that names them is enough.
func mergeMembers(all []*lists, owners proto.Role) []proto.Member {
	if len(all) == 0 {
		return nil
	}
	if !slices.ContainsFunc(all, func(l *lists) bool { return l.membersDigest != all[0].membersDigest }) {
		return all[0].members
	}
	merged := make([]proto.Member, 0, len(all[0].members)+1)
	at := make([]int, len(all))
	for {
		m, n := nextMember(all, at)
		if n == 0 {
			return merged
		}
		if 2*n > len(all) || m.Role == proto.RoleEntry && owners != proto.RoleEntry {
			merged = append(merged, m)
		}
	}
}

// nextMember returns the member with the least host at the positions in the
// lists, moves past it and says how many lists name it.
func nextMember(all []*lists, at []int) (proto.Member, int) {
	var least proto.Member
	n := 0
	for k, l := range all {
		if at[k] == len(l.members) {
			continue
		}
		switch m := l.members[at[k]]; {
		case n == 0 || m.Host < least.Host:
			least, n = m, 1
		case m.Host == least.Host:
			least = newerMember(least, m)
			n++
		}
	}
	for k, l := range all {
		if n > 0 && at[k] < len(l.members) && l.members[at[k]].Host == least.Host {
			at[k]++
		}
	}
	return least, n
}

func newerMember(a, b proto.Member) proto.Member {
	if b.Incarnation > a.Incarnation || (b.Incarnation == a.Incarnation && b.Draining) {
		return b
	}
	return a
}

// mergeOwners returns, for each shard, the owner that more than half of the lists name.
func mergeOwners(all []*lists) []proto.Owner {
	if len(all) == 0 {
		return nil
	}
	if !slices.ContainsFunc(all, func(l *lists) bool { return l.ownersDigest != all[0].ownersDigest }) {
		return all[0].owners
	}
	// A majority vote for each shard: the first pass keeps the only owner that may
	// have one, the second counts its votes.
	var kept [model.Shards]proto.Owner
	var lead, votes [model.Shards]int
	eachOwner(all, func(o proto.Owner) {
		switch s := o.Shard; {
		case lead[s] == 0:
			kept[s], lead[s] = o, 1
		case kept[s] == o:
			lead[s]++
		default:
			lead[s]--
		}
	})
	eachOwner(all, func(o proto.Owner) {
		if kept[o.Shard] == o {
			votes[o.Shard]++
		}
	})
	var merged []proto.Owner
	for s, n := range votes {
		if 2*n > len(all) {
			merged = append(merged, kept[s])
		}
	}
	return merged
}

func eachOwner(all []*lists, do func(proto.Owner)) {
	for _, l := range all {
		for _, o := range l.owners {
			if o.Shard < model.Shards {
				do(o)
			}
		}
	}
}

// majorityInstant returns the latest instant that a majority of the hosts
// reaches, or false if fewer than a majority have one.
func majorityInstant(hosts []model.HostID, at func(model.HostID) (model.Instant, bool)) (model.Instant, bool) {
	var buf [8]model.Instant // at most 7 seats, without an allocation
	all := buf[:0]
	for _, h := range hosts {
		if i, ok := at(h); ok {
			all = append(all, i)
		}
	}
	need := model.Majority(len(hosts))
	if len(hosts) == 0 || len(all) < need {
		return 0, false
	}
	slices.Sort(all)
	return all[len(all)-need], true
}
