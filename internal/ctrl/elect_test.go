package ctrl

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tarragongauge.example/tarragongauge/internal/codec"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// TestHostsThatStartTogetherElectALeader guards against hosts that start in the
// same millisecond, draw the same election timeouts from the same seed and so
// split every vote. With two of five disks lost, no leader was elected for 15 s.
func TestHostsThatStartTogetherElectALeader(t *testing.T) {
	ids := []model.HostID{"c0", "c1", "c2", "c3", "c4"}
	data, err := codec.EncodeControlState(codec.ControlState{Config: model.NewConfig(ids, ids)})
	require.NoError(t, err)
	for seed := range uint64(20) {
		now := model.Instant(time.Hour)
		nodes := map[model.HostID]*Node{}
		for _, id := range ids[:3] {
			nodes[id], err = New(id, RecoveredState{Term: 3, Snapshot: &Snapshot{Data: data, Index: 0}}, WithSeed(seed+1))
			require.NoError(t, err)
		}
		type message struct {
			at       model.Instant
			from, to model.HostID
			ev       Event
		}
		var queue []message
		step := func(id model.HostID, ev Event) {
			for _, e := range nodes[id].Step(now, ev) {
				switch e := e.(type) {
				case Send:
					queue = append(queue, message{at: now.Add(2 * time.Millisecond), from: id, to: e.To, ev: Received{From: id, Msg: e.Msg}})
				case Persist:
					queue = append(queue, message{at: now.Add(time.Millisecond), from: id, to: id, ev: Persisted{Seq: e.Seq}})
				}
			}
		}
		leads := func() bool {
			for _, n := range nodes {
				if n.role == RoleLeader {
					return true
				}
			}
			return false
		}
		for end := now.Add(5 * time.Second); now < end && !leads(); now = now.Add(time.Millisecond) {
			due := queue
			queue = nil
			for _, m := range due {
				if m.at > now {
					queue = append(queue, m)
				} else if nodes[m.to] != nil {
					step(m.to, m.ev)
				}
			}
			for _, id := range ids[:3] {
				if now%model.Instant(20*time.Millisecond) == 0 {
					step(id, Tick{})
				}
			}
		}
		require.True(t, leads(), "seed %d", seed)
	}
}
