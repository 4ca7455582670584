package known

import (
	"slices"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// keptSteps is how many changes of the list are remembered; beyond them the
// whole list is told.
const keptSteps = 1024

// steps are the latest changes of a list, oldest first.
type steps struct {
	list []step
}

// step is a change of one target.
type step struct {
	// before is the digest of the list before the change.
	before uint64
	target model.TargetID
}

func (s *steps) add(before uint64, target model.TargetID) {
	if len(s.list) == 2*keptSteps {
		s.list = append(s.list[:0], s.list[keptSteps:]...)
	}
	s.list = append(s.list, step{before: before, target: target})
}

// since returns the targets that changed since the list had a digest, sorted.
func (s *steps) since(digest uint64) ([]model.TargetID, bool) {
	if digest == 0 {
		return nil, false
	}
	for i := len(s.list) - 1; i >= 0; i-- {
		if s.list[i].before != digest {
			continue
		}
		var ids []model.TargetID
		for _, st := range s.list[i:] {
			ids = append(ids, st.target)
		}
		slices.Sort(ids)
		return slices.Compact(ids), true
	}
	return nil, false
}
