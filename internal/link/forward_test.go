package link

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// Guards against hosts that cannot reach the owners although another host has
// links to both, and against an answer that does not go back via that host.
func TestForwardingWorksInBothDirections(t *testing.T) {
	a, b, c := startHost(t, "a", 1, WithForwarding()), startHost(t, "b", 1, WithForwarding()), startHost(t, "c", 1, WithForwarding())
	a.UpdateMembers([]proto.Member{b.member})
	b.UpdateMembers([]proto.Member{a.member, c.member})
	require.False(t, a.Send("c", proto.BurnAsk{Nonce: 1}), "a does not know where c is")
	require.Eventually(t, func() bool {
		a.SendVia("b", "c", proto.BurnAsk{Nonce: 2})
		return c.hasReceived("a", proto.BurnAsk{Nonce: 2})
	}, eventTimeout, 5*time.Millisecond)
	require.Eventually(t, func() bool {
		a.SendVia("b", "c", proto.BurnAsk{Nonce: 2})
		return c.Send("a", proto.BurnReply{Nonce: 2}) && len(a.receivedFrom("c")) > 0
	}, eventTimeout, 5*time.Millisecond, "the answer takes the way of the question")
	// Links keep the order of messages, so none of those before is on its way after this one.
	require.True(t, a.SendVia("b", "c", proto.BurnAsk{Nonce: 4}))
	require.Eventually(t, func() bool { return c.hasReceived("a", proto.BurnAsk{Nonce: 4}) }, eventTimeout, time.Millisecond)

	c.UpdateMembers([]proto.Member{a.member})
	a.UpdateMembers([]proto.Member{c.member})
	require.Eventually(t, func() bool {
		a.SendDirect("c", proto.BurnAsk{Nonce: 3})
		return c.hasReceived("a", proto.BurnAsk{Nonce: 3})
	}, eventTimeout, 5*time.Millisecond)
	_, ok := c.routes.lookup("a", time.Now())
	require.False(t, ok, "a is answered directly once it has sent a message directly")
}

// receivedFrom returns all messages that the host received from another host.
func (h *testHost) receivedFrom(host model.HostID) []proto.Message {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.received[host]
}

// Guards against a host that sends messages in the name of another host in a fleet
// that does not use forwarding.
func TestForwardedMessageIsRefusedWithoutOption(t *testing.T) {
	a, b, c := startHost(t, "a", 1), startHost(t, "b", 1, WithForwarding()), startHost(t, "c", 1)
	a.UpdateMembers([]proto.Member{b.member})
	b.UpdateMembers([]proto.Member{a.member, c.member})
	deliver(t, b, c, 1)
	for range 20 {
		a.SendVia("b", "c", proto.BurnAsk{Nonce: 2})
		time.Sleep(10 * time.Millisecond)
	}
	require.Empty(t, c.receivedFrom("a"))
}

// Guards against a message that circulates between hosts: it must be forwarded
// once at most.
func TestForwardedMessageIsNotForwardedAgain(t *testing.T) {
	l := &link{mesh: &Mesh{opts: options{forward: true}, self: proto.Member{Host: "b"}}, peer: &peer{host: "x"}}
	require.Error(t, l.dispatch(proto.Envelope{From: "a", To: "c"}, nil))
}
