package admit

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// TestTooManyWaitingRequestsAreRefusedForTheRate guards against a caller that is told
// of a missing owner although the owner answers and the workspace is over its rate.
func TestTooManyWaitingRequestsAreRefusedForTheRate(t *testing.T) {
	for _, answers := range []bool{true, false} {
		l := NewLimiter("e")
		l.Step(0, OwnersChanged{Owners: []proto.Owner{{Shard: model.WorkspaceShard("w"), Host: "o"}}})
		deadline := model.Instant(5 * time.Second)
		ask := l.Step(0, Arrived{Request: "first", Workspace: "w", Deadline: deadline})[0].(Send).Msg.(proto.DrawAsk)
		for i := 1; i < maxWaitingRequests; i++ {
			l.Step(0, Arrived{Request: model.RequestID(fmt.Sprint(i)), Workspace: "w", Deadline: deadline})
		}
		now := model.Instant(time.Millisecond)
		if answers {
			l.Step(now, Received{From: "o", Msg: proto.DrawReply{Nonce: ask.Nonce, Workspace: "w", RetryAfter: 100 * time.Millisecond}})
		}
		out := l.Step(now.Add(time.Millisecond), Arrived{Request: "last", Workspace: "w", Deadline: deadline})
		require.Len(t, out, 1)
		refused := out[0].(Limited)
		require.Equal(t, model.RequestID("last"), refused.Request)
		require.Equal(t, !answers, refused.NoOwner)
	}
}
