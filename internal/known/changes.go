package known

import (
	"slices"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// minKeptChanges is how many of the latest changes are kept at least. Hosts whose
// list is older receive the whole list.
const minKeptChanges = 1024

// changeLog holds the latest changes of a list, oldest first.
type changeLog struct {
	changes []change
}

// change records that one target was added, replaced or removed.
type change struct {
	// digestBefore is the digest of the list before the change.
	digestBefore uint64
	target       model.TargetID
}

// add appends a change and drops the oldest ones in batches of minKeptChanges.
func (s *changeLog) add(digestBefore uint64, target model.TargetID) {
	if len(s.changes) == 2*minKeptChanges {
		s.changes = append(s.changes[:0], s.changes[minKeptChanges:]...)
	}
	s.changes = append(s.changes, change{digestBefore: digestBefore, target: target})
}

// changedSince returns the targets, sorted, that changed since the list had the
// digest. It returns false if that change is no longer kept, and for digest 0,
// which is that of an empty list, so that the whole list is sent.
func (s *changeLog) changedSince(digest uint64) ([]model.TargetID, bool) {
	if digest == 0 {
		return nil, false
	}
	for i := len(s.changes) - 1; i >= 0; i-- {
		if s.changes[i].digestBefore != digest {
			continue
		}
		var ids []model.TargetID
		for _, c := range s.changes[i:] {
			ids = append(ids, c.target)
		}
		slices.Sort(ids)
		return slices.Compact(ids), true
	}
	return nil, false
}
