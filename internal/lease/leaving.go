package lease

import (
	"slices"
	"strings"

	"tarragongauge.example/tarragongauge/internal/proto"
)

// LeavingDigest identifies a list of targets that leave; that of an empty list is 0.
func LeavingDigest(list []proto.LeavingTarget) uint64 {
	var sum uint64
	for _, l := range list {
		sum += mix(hashString(string(l.Target)) ^ mix(uint64(l.Incarnation)))
	}
	return sum
}

// CompareLeaving orders lists of targets that leave by name.
func CompareLeaving(a, b proto.LeavingTarget) int {
	return strings.Compare(string(a.Target), string(b.Target))
}

// takeLeaving takes the list of targets that leave from the reply of a relay.
// Owners know it as well, but a host without an owner would go on using them.
func (f *Fresh) takeLeaving(m proto.FreshReply) []Effect {
	if m.LeavingDigest == f.leavingDigest || LeavingDigest(m.Leaving) != m.LeavingDigest {
		return nil
	}
	f.leavingDigest = m.LeavingDigest
	return []Effect{LeavingChanged{Targets: slices.Clone(m.Leaving)}}
}
