package pool

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tarragongauge.example/tarragongauge/internal/proto"
)

// Guards against the whole list of targets in each query that only asks whether
// the owner still responds: hosts send one each 62 ms for which a request waits
// for a slot, and in a fleet of 442 hosts these lists were two fifths of what
// the owners sent to other zones.
func TestQueriesForTheOwnersLifeCarryNoList(t *testing.T) {
	d := newDesk(t, "e0")
	d.p.tune.ViewInterval = 15 * time.Second
	d.want("r0")
	require.Equal(t, []proto.ViewAsk{{Service: testService}}, sent[proto.ViewAsk](d.wait(20*time.Millisecond)))
	d.view(1, viewOf("t0", false))
	d.wait(time.Second)
	d.want("r1")
	asks := sent[proto.ViewAsk](d.wait(200 * time.Millisecond))
	require.NotEmpty(t, asks, "the owner's life is asked for")
	for _, ask := range asks {
		require.Equal(t, proto.ViewAsk{Service: testService, Digest: 2, PingOnly: true}, ask)
	}
	d.step(Received{From: "e0", Msg: proto.ViewReply{Service: testService, Epoch: 1, Digest: 2}})
	require.Zero(t, d.p.services[testService].unanswered, "it responds")
	d.now = d.now.Add(15 * time.Second)
	require.Contains(t, sent[proto.ViewAsk](d.wait(40*time.Millisecond)), proto.ViewAsk{Service: testService, Digest: 2})

	b := newBed(t, 3)
	brief := sent[proto.ViewReply](b.from("e1", proto.ViewAsk{Service: testService, Digest: 77, PingOnly: true}))
	require.Equal(t, []proto.ViewReply{{Service: testService, Epoch: 1, Digest: 77}}, brief)
	whole := sent[proto.ViewReply](b.from("e1", proto.ViewAsk{Service: testService, Digest: 77}))
	require.Len(t, whole[0].Targets, 3)
}
