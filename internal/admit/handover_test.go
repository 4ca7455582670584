package admit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// Guards against refusing requests within the rate because the shard was
// handed over while they waited: the bucket of the new owner starts empty.
func TestHandoverDoesNotRefuseWaitingRequests(t *testing.T) {
	const ws = model.WorkspaceID("w")
	cfg := model.NewConfig(nil, nil)
	cfg.Workspaces = cfg.Workspaces.With(model.Workspace{ID: ws})
	w := NewWallet("e")
	w.Step(0, Configured{Config: cfg})
	owned := func(host model.HostID) OwnersChanged {
		return OwnersChanged{Owners: []proto.Owner{{Shard: model.WorkspaceShard(ws), Host: host, Epoch: 1}}}
	}
	w.Step(0, owned("a"))
	const deadline = model.Instant(10 * time.Second)
	w.Step(0, Arrived{Request: "r", Workspace: ws, Deadline: deadline})
	w.Step(model.Instant(100*time.Millisecond), owned("b"))

	for now := model.Instant(100 * time.Millisecond); now < model.Instant(500*time.Millisecond); now += model.Instant(10 * time.Millisecond) {
		for _, f := range w.Step(now, Tick{}) {
			send, ok := f.(Send)
			require.True(t, ok, "at %s: %#v", time.Duration(now), f)
			ask := send.Msg.(proto.DrawAsk)
			empty := proto.DrawReply{Nonce: ask.Nonce, Workspace: ws, Epoch: 2, RetryAfter: 20 * time.Millisecond}
			for _, f := range w.Step(now, Received{From: "b", Msg: empty}) {
				require.IsType(t, Send{}, f, "at %s", time.Duration(now))
			}
		}
	}
}
