package lease

import (
	"cmp"
	"slices"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// emptyDigest is the digest of an empty list. A digest of 0 means that no list is held.
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

// MembersDigest identifies a list of members in any order, as FreshAsk and FreshReply
// carry it.
func MembersDigest(members []proto.Member) uint64 { return digest(sumMembers(members)) }

func hashOwner(o proto.Owner) uint64 {
	return mix(mix(hashString(string(o.Host))^uint64(o.Shard)) ^ uint64(o.Epoch))
}

// digest returns the digest of a list from the sum of the hashes of its items, which
// does not depend on their order.
func digest(sum uint64) uint64 {
	if sum == 0 {
		return emptyDigest
	}
	return sum
}

// reportedLists holds the members and owners that one host reported.
type reportedLists struct {
	// nonce is the nonce of the newest reply that was taken.
	nonce         uint64
	members       []proto.Member
	membersDigest uint64
	membersSum    uint64
	owners        []proto.Owner
	ownersDigest  uint64
}

// take stores the lists of a reply and reports whether one changed. If a digest
// differs but the reply lacks the list, the reply answers an older ask and that list
// stays.
func (l *reportedLists) take(m proto.FreshReply) bool {
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

// takeMembers stores a whole list or applies a change to the list held, and reports
// whether it did. A result that does not match the digest of the reply is dropped.
func (l *reportedLists) takeMembers(m proto.FreshReply) bool {
	members, sum := m.Members, sumMembers(m.Members)
	if m.MembersBaseDigest != 0 {
		if m.MembersBaseDigest != l.membersDigest {
			return false
		}
		members, sum = l.applyChange(m.Members, m.RemovedMembers)
	}
	if digest(sum) != m.MembersDigest {
		return false
	}
	l.members, l.membersDigest, l.membersSum = members, m.MembersDigest, sum
	return true
}

// applyChange returns the members after a change, sorted by host, and the sum of their
// hashes.
func (l *reportedLists) applyChange(put []proto.Member, gone []model.HostID) ([]proto.Member, uint64) {
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

// sumMembers returns the sum of the hashes of members.
func sumMembers(members []proto.Member) uint64 {
	var sum uint64
	for _, m := range members {
		sum += hashMember(m)
	}
	return sum
}

// mergeMembers returns the members that more than half of the lists contain, sorted by
// host. A host that reaches only a minority of the seats cannot own a shard, and must
// not prevent others from claiming it. If entry hosts own no shards, they ask one seat
// only, so one list that contains them is enough.
func mergeMembers(all []*reportedLists, owners proto.Role) []proto.Member {
	if len(all) == 0 {
		return nil
	}
	if !slices.ContainsFunc(all, func(l *reportedLists) bool { return l.membersDigest != all[0].membersDigest }) {
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

// nextMember merges one step: of the members at the current position in each list, it
// returns the one with the lowest host name and the number of lists that contain it,
// and advances their positions at. The number is 0 at the end of all lists.
func nextMember(all []*reportedLists, at []int) (proto.Member, int) {
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

// newerMember returns the member with the later incarnation, or the draining one of two
// with the same incarnation.
func newerMember(a, b proto.Member) proto.Member {
	if b.Incarnation > a.Incarnation || (b.Incarnation == a.Incarnation && b.Draining) {
		return b
	}
	return a
}

// mergeOwners returns the owner of each shard that more than half of the lists contain.
func mergeOwners(all []*reportedLists) []proto.Owner {
	if len(all) == 0 {
		return nil
	}
	if !slices.ContainsFunc(all, func(l *reportedLists) bool { return l.ownersDigest != all[0].ownersDigest }) {
		return all[0].owners
	}
	// This is the Boyer-Moore majority vote for each shard: the first pass keeps the
	// only owner that may have a majority, the second counts its votes.
	var kept [model.Shards]proto.Owner
	var lead, votes [model.Shards]int
	forEachOwner(all, func(o proto.Owner) {
		switch s := o.Shard; {
		case lead[s] == 0:
			kept[s], lead[s] = o, 1
		case kept[s] == o:
			lead[s]++
		default:
			lead[s]--
		}
	})
	forEachOwner(all, func(o proto.Owner) {
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

// forEachOwner calls do for each valid owner in the lists.
func forEachOwner(all []*reportedLists, do func(proto.Owner)) {
	for _, l := range all {
		for _, o := range l.owners {
			if o.Shard < model.Shards {
				do(o)
			}
		}
	}
}

// majorityInstant returns the latest instant that a majority of the hosts has reached,
// or false if fewer than a majority have an instant.
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
