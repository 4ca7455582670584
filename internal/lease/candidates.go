package lease

import (
	"slices"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// CandidateOwners returns the entry host that should own each shard by rendezvous
// hashing, or an empty name where there is none. When a member joins or leaves,
// only the shards of that member move.
func CandidateOwners(members []proto.Member) [model.Shards]model.HostID {
	return CandidateOwnersByRole(members, proto.RoleEntry)
}

// CandidateOwnersByRole returns the member with the given role that should own each
// shard, as CandidateOwners does for entry hosts. Draining members are no candidates.
func CandidateOwnersByRole(members []proto.Member, role proto.Role) [model.Shards]model.HostID {
	var first [model.Shards]model.HostID
	var best [model.Shards]uint64
	for _, m := range members {
		if m.Role != role || m.Draining {
			continue
		}
		host := hashString(string(m.Host))
		for s := range first {
			score := mix(host ^ mix(uint64(s)))
			if first[s] == "" || score > best[s] || (score == best[s] && m.Host < first[s]) {
				first[s], best[s] = m.Host, score
			}
		}
	}
	return first
}

// SuccessorOwners returns the candidate for each shard among the members other than
// self: the hosts that take over the shards of self.
func SuccessorOwners(members []proto.Member, self model.HostID, role proto.Role) [model.Shards]model.HostID {
	others := slices.DeleteFunc(slices.Clone(members), func(m proto.Member) bool { return m.Host == self })
	return CandidateOwnersByRole(others, role)
}
