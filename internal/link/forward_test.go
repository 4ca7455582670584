package link

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// Guards against hosts that are cut off from the owners although another host
// reaches both, and against an answer that does not find its way back.
func TestMessagesArePassedOnBothWays(t *testing.T) {
	a, b, c := startHost(t, "a", 1, WithForwarding()), startHost(t, "b", 1, WithForwarding()), startHost(t, "c", 1, WithForwarding())
	a.UpdateMembers([]proto.Member{b.member})
	b.UpdateMembers([]proto.Member{a.member, c.member})
	require.False(t, a.Send("c", proto.BurnAsk{Nonce: 1}), "a does not know where c is")
	require.Eventually(t, func() bool {
		a.SendVia("b", "c", proto.BurnAsk{Nonce: 2})
		return c.saw("a", proto.BurnAsk{Nonce: 2})
	}, patience, 5*time.Millisecond)
	require.Eventually(t, func() bool {
		a.SendVia("b", "c", proto.BurnAsk{Nonce: 2})
		return c.Send("a", proto.BurnReply{Nonce: 2}) && len(a.from("c")) > 0
	}, patience, 5*time.Millisecond, "the answer takes the way of the question")

	c.UpdateMembers([]proto.Member{a.member})
	a.UpdateMembers([]proto.Member{c.member})
	require.Eventually(t, func() bool {
		a.SendDirect("c", proto.BurnAsk{Nonce: 3})
		return c.saw("a", proto.BurnAsk{Nonce: 3})
	}, patience, 5*time.Millisecond)
	_, ok := c.ways.to("a", time.Now())
	require.False(t, ok, "a is answered directly once it was heard so")
}

func (h *testHost) from(host model.HostID) []proto.Message {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.seen[host]
}

// Guards against a host that speaks in the name of another one in a fleet that
// does not pass messages on.
func TestPassedOnMessagesNeedTheOption(t *testing.T) {
	a, b, c := startHost(t, "a", 1), startHost(t, "b", 1, WithForwarding()), startHost(t, "c", 1)
	a.UpdateMembers([]proto.Member{b.member})
	b.UpdateMembers([]proto.Member{a.member, c.member})
	deliver(t, b, c, 1)
	for range 20 {
		a.SendVia("b", "c", proto.BurnAsk{Nonce: 2})
		time.Sleep(10 * time.Millisecond)
	}
	require.Empty(t, c.from("a"))
}

// Guards against a message that travels on between hosts: it is passed on by
// one host only.
func TestMessagesArePassedOnOnce(t *testing.T) {
	l := &link{mesh: &Mesh{opts: options{forward: true}, self: proto.Member{Host: "b"}}, peer: &peer{host: "x"}}
	require.Error(t, l.accept(proto.Envelope{From: "a", To: "c"}, nil))
}
