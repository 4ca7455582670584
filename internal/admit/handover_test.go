package admit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// TestHandoverDoesNotRefuseWaitingRequests guards against refusing requests
// within the rate because their shard was handed over while they waited: the
// bucket of the new owner starts empty.
func TestHandoverDoesNotRefuseWaitingRequests(t *testing.T) {
	const ws = model.WorkspaceID("w")
	cfg := model.NewConfig(nil, nil)
	cfg.Workspaces = cfg.Workspaces.With(model.Workspace{ID: ws})
	l := NewLimiter("e")
	l.Step(0, Configured{Config: cfg})
	owned := func(host model.HostID) OwnersChanged {
		return OwnersChanged{Owners: []proto.Owner{{Shard: model.WorkspaceShard(ws), Host: host, Epoch: 1}}}
	}
	l.Step(0, owned("a"))
	const deadline = model.Instant(10 * time.Second)
	l.Step(0, Arrived{Request: "r", Workspace: ws, Deadline: deadline})
	l.Step(model.Instant(100*time.Millisecond), owned("b"))

	for now := model.Instant(100 * time.Millisecond); now < model.Instant(500*time.Millisecond); now += model.Instant(10 * time.Millisecond) {
		for _, f := range l.Step(now, Tick{}) {
			send, ok := f.(Send)
			require.True(t, ok, "at %s: %#v", time.Duration(now), f)
			ask := send.Msg.(proto.DrawAsk)
			empty := proto.DrawReply{Nonce: ask.Nonce, Workspace: ws, Epoch: 2, RetryAfter: 20 * time.Millisecond}
			for _, f := range l.Step(now, Received{From: "b", Msg: empty}) {
				require.IsType(t, Send{}, f, "at %s", time.Duration(now))
			}
		}
	}
}

// TestNewEpochOfAnOwnerDoesNotRefuseRequests guards against refusing requests
// within the rate after an owner lost its lease and gained the shard again. All
// buckets of the shard start empty with the new epoch, also those of workspaces
// without requests at that moment.
func TestNewEpochOfAnOwnerDoesNotRefuseRequests(t *testing.T) {
	const ws = model.WorkspaceID("w")
	l := NewLimiter("e")
	owned := func(epoch model.Epoch) OwnersChanged {
		return OwnersChanged{Owners: []proto.Owner{{Shard: model.WorkspaceShard(ws), Host: "a", Epoch: epoch}}}
	}
	at := func(ms int) model.Instant { return model.Instant(time.Duration(ms) * time.Millisecond) }
	answer := func(now model.Instant, effects []Effect) (limited bool) {
		for _, f := range effects {
			switch f := f.(type) {
			case Send:
				l.Step(now, Received{From: "a", Msg: proto.DrawReply{Nonce: f.Msg.(proto.DrawAsk).Nonce, Workspace: ws, Epoch: 2, RetryAfter: 20 * time.Millisecond}})
			case Limited:
				limited = true
			}
		}
		return limited
	}
	l.Step(0, owned(1))
	l.Step(at(5000), owned(2))
	answer(at(5050), l.Step(at(5050), Arrived{Request: "r", Workspace: ws, Deadline: at(60_000)}))
	limited := 0
	for ms := 5060; ms < 7000 && limited == 0; ms += 10 {
		if answer(at(ms), l.Step(at(ms), Tick{})) {
			limited = ms
		}
	}
	require.Zero(t, limited, "requests may wait for longer after a change of owner")
}
