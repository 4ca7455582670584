package codec

import (
	"testing"

	"github.com/stretchr/testify/require"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// Guards against two different lists of targets with the same digest. With FNV,
// the sum of the hashes stayed the same when two targets swapped their states,
// and hosts went on to use a target that had left instead of one that was ready.
func TestTargetsDigestDistinguishesLists(t *testing.T) {
	target := func(id model.TargetID, state model.TargetState) model.Announcement {
		return model.Announcement{Service: "s", Target: id, Addr: "10.0.0.1:80", Zone: "z", Slots: 3, Incarnation: 1, State: state}
	}
	ids := []model.TargetID{"i-1", "i-2", "i-3", "i-4", "i-5", "i-6"}
	seen := map[uint64]bool{}
	for mask := range 1 << len(ids) {
		var list []model.Announcement
		for i, id := range ids {
			state := model.TargetReady
			if mask&(1<<i) != 0 {
				state = model.TargetLeaving
			}
			list = append(list, target(id, state))
		}
		digest := TargetsDigest(list)
		require.False(t, seen[digest], "mask %b", mask)
		seen[digest] = true
	}
}
