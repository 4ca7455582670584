package lease

import (
	"slices"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// Place returns the first candidate for each shard by rendezvous hashing, or
// an empty name where there is none. When a member joins or leaves, only the
// shards of that member move.
func Place(members []proto.Member) [model.Shards]model.HostID {
	return PlaceAmong(members, proto.RoleEntry)
}

// PlaceAmong is Place among the members of a role.
func PlaceAmong(members []proto.Member, role proto.Role) [model.Shards]model.HostID {
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

// PlaceNext returns the candidate for each shard if self were gone: the host
// that takes over the shards that self owns.
func PlaceNext(members []proto.Member, self model.HostID, role proto.Role) [model.Shards]model.HostID {
	others := slices.DeleteFunc(slices.Clone(members), func(m proto.Member) bool { return m.Host == self })
	return PlaceAmong(others, role)
}
