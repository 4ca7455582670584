package lease

import (
	"cmp"
	"maps"
	"slices"

	"tarragongauge.example/tarragongauge/internal/codec"
	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// targetList is the list of targets that relays report: the whole list at first, then
// the differences from the list that this host holds.
type targetList struct {
	byID map[model.TargetID]model.Announcement
	// digest is codec.TargetsDigest of the list, or 0 to request the whole list.
	digest uint64
}

// update takes the list of a reply and reports whether it did. Differences from a list
// that this host no longer holds are ignored. If the result does not match the digest
// of the reply, the list stays, and after differences the whole list is requested.
func (l *targetList) update(m proto.FreshReply) bool {
	next := map[model.TargetID]model.Announcement{}
	if m.TargetsBaseDigest != 0 {
		if m.TargetsBaseDigest != l.digest {
			return false
		}
		next = maps.Clone(l.byID)
		for _, id := range m.RemovedTargets {
			delete(next, id)
		}
	}
	for _, a := range m.Targets {
		next[a.Target] = a
	}
	var sum uint64
	for _, a := range next {
		sum += codec.TargetDigest(a)
	}
	if sum != m.TargetsDigest {
		if m.TargetsBaseDigest != 0 {
			l.digest = 0
		}
		return false
	}
	l.byID, l.digest = next, sum
	return true
}

// all returns the targets sorted by name.
func (l *targetList) all() []model.Announcement {
	return slices.SortedFunc(maps.Values(l.byID), func(a, b model.Announcement) int { return cmp.Compare(a.Target, b.Target) })
}
