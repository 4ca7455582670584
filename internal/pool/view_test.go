package pool

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tarragongauge.example/tarragongauge/internal/proto"
)

// TestLivenessQueriesCarryNoTargetList guards against the whole list of targets in
// the reply to each query that only asks whether the owner still responds. A host
// sends such a query every 62 ms while a request waits for a slot; in a fleet of
// 442 hosts these lists were two fifths of what the owners sent to other zones.
func TestLivenessQueriesCarryNoTargetList(t *testing.T) {
	p := newPickerHarness(t, "e0")
	p.picker.tune.ViewInterval = 15 * time.Second
	p.request("r0")
	require.Equal(t, []proto.ViewAsk{{Service: testService}}, sentMessages[proto.ViewAsk](p.wait(20*time.Millisecond)))
	p.receiveView(1, viewOf("t0", false))
	p.wait(time.Second)
	p.request("r1")
	asks := sentMessages[proto.ViewAsk](p.wait(200 * time.Millisecond))
	require.NotEmpty(t, asks, "the picker asks whether the owner responds")
	for _, ask := range asks {
		require.Equal(t, proto.ViewAsk{Service: testService, Digest: 2, PingOnly: true}, ask)
	}
	p.step(Received{From: "e0", Msg: proto.ViewReply{Service: testService, Epoch: 1, Digest: 2}})
	require.Zero(t, p.picker.services[testService].unansweredSince, "the owner responds")
	p.now = p.now.Add(15 * time.Second)
	require.Contains(t, sentMessages[proto.ViewAsk](p.wait(40*time.Millisecond)), proto.ViewAsk{Service: testService, Digest: 2})

	o := newOwnerHarness(t, 3)
	brief := sentMessages[proto.ViewReply](o.receive("e1", proto.ViewAsk{Service: testService, Digest: 77, PingOnly: true}))
	require.Equal(t, []proto.ViewReply{{Service: testService, Epoch: 1, Digest: 77}}, brief)
	whole := sentMessages[proto.ViewReply](o.receive("e1", proto.ViewAsk{Service: testService, Digest: 77}))
	require.Len(t, whole[0].Targets, 3)
}
