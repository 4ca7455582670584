package link

import (
	"context"
	"fmt"
	"io"
	"log"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/internal/super"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// eventTimeout bounds the wait for an event that must happen. It is long, since no
// test depends on how soon the event happens.
const eventTimeout = 15 * time.Second

var _ Sender = (*Mesh)(nil)

// testHost is a mesh that is served on loopback and records all messages that it
// receives.
type testHost struct {
	*Mesh
	member proto.Member
	faults *Faults

	mu       sync.Mutex
	received map[model.HostID][]proto.Message
}

// quickTiming returns time limits that detect lost links within a test.
func quickTiming() Timing {
	t := DefaultTiming()
	t.HandshakeTimeout, t.PingInterval, t.PingTimeout = time.Second, 30*time.Millisecond, 500*time.Millisecond
	t.MinBackoff, t.MaxBackoff = 5*time.Millisecond, 50*time.Millisecond
	return t
}

// startHost starts a host, which is stopped at the end of the test.
func startHost(t *testing.T, name model.HostID, inc model.Incarnation, opts ...Option) *testHost {
	t.Helper()
	h := &testHost{faults: NewFaults(), received: map[model.HostID][]proto.Message{}}
	server := httptest.NewUnstartedServer(nil)
	h.member = proto.Member{Host: name, Role: proto.RoleEntry, Addr: server.Listener.Addr().String(), Incarnation: inc}
	tree, stop := super.New(string(name))
	opts = append([]Option{WithFleet("tatws"), WithTiming(quickTiming()), WithFaults(h.faults)}, opts...)
	mesh, closeMesh, err := New(h.member, []byte("0123456789abcdef"), tree, h.handle, opts...)
	require.NoError(t, err)
	h.Mesh = mesh
	server.Config.Handler = mesh.Handler()
	server.Listener = mesh.Listener(server.Listener)
	server.Config.ErrorLog = log.New(io.Discard, "", 0) // refused handshakes are in the log of the mesh
	server.Start()
	t.Cleanup(func() {
		closeMesh()
		stop()
		server.Close()
	})
	return h
}

// handle is the Handler of the mesh.
func (h *testHost) handle(from model.HostID, m proto.Message) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.received[from] = append(h.received[from], m)
}

// hasReceived reports whether the host received the message m from another host.
func (h *testHost) hasReceived(from model.HostID, m proto.Message) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range h.received[from] {
		if s == m {
			return true
		}
	}
	return false
}

// deliver sends a message with a nonce again and again until one arrives, since
// any of them may be lost.
func deliver(t *testing.T, from, to *testHost, nonce uint64) {
	t.Helper()
	require.Eventually(t, func() bool {
		from.Send(to.member.Host, proto.BurnAsk{Nonce: nonce})
		return to.hasReceived(from.member.Host, proto.BurnAsk{Nonce: nonce})
	}, eventTimeout, 5*time.Millisecond, "%s to %s", from.member.Host, to.member.Host)
}

// statsFor returns the figures of the host's links to o.
func (h *testHost) statsFor(o *testHost) Stats { return h.Stats()[o.member.Host] }

// Guards against messages that are lost or reordered on a healthy link, against
// messages to the host itself that do not arrive, and against figures that miss
// messages.
func TestMessagesReachPeerAndSelf(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	t.Run("hosts", func(t *testing.T) {
		a, b := startHost(t, "a", 1), startHost(t, "b", 1)
		require.False(t, a.Send("b", proto.BurnAsk{}), "b is not known yet")
		a.UpdateMembers([]proto.Member{b.member, a.member})
		const n = 1000
		for i := range uint64(n) {
			require.True(t, a.Send("b", proto.BurnAsk{Nonce: i}))
		}
		require.True(t, a.Send("a", proto.StatusAsk{Nonce: 7}))
		require.Eventually(t, func() bool {
			return a.hasReceived("a", proto.StatusAsk{Nonce: 7}) && b.statsFor(a).ReceivedMessages == n && a.statsFor(b).SentMessages == n
		}, eventTimeout, time.Millisecond)
		want := []proto.Message{a.hello()}
		for i := range uint64(n) {
			want = append(want, proto.BurnAsk{Nonce: i})
		}
		b.mu.Lock()
		require.Equal(t, want, b.received["a"], "messages of one link keep their order")
		b.mu.Unlock()
		require.True(t, b.Send("a", proto.BurnAsk{Nonce: 1}), "b answers on the same link")
		require.Eventually(t, func() bool { return a.hasReceived("b", proto.BurnAsk{Nonce: 1}) }, eventTimeout, time.Millisecond)
		require.Equal(t, uint64(1), a.statsFor(b).Links)
		require.Equal(t, a.statsFor(b).SentBytes, b.statsFor(a).ReceivedBytes)
		require.Zero(t, a.statsFor(b).Dropped)
		require.Equal(t, uint64(1), a.Stats()["a"].ReceivedMessages)
	})
}

// Guards against two links between a pair of hosts that open a link to each other
// at the same time, and against two sides that keep different links.
func TestSimultaneousDialsLeaveOneLink(t *testing.T) {
	for round := range 20 {
		t.Run(fmt.Sprint(round), func(t *testing.T) {
			a, b := startHost(t, "a", 1), startHost(t, "b", 1)
			a.UpdateMembers([]proto.Member{b.member})
			b.UpdateMembers([]proto.Member{a.member})
			tree, stop := super.New("senders")
			defer stop()
			for _, h := range []*testHost{a, b} {
				tree.Go(string(h.member.Host), func(context.Context) error {
					h.Send("a", proto.StatusAsk{Nonce: 1})
					h.Send("b", proto.StatusAsk{Nonce: 1})
					return nil
				})
			}
			require.NoError(t, tree.Wait())
			require.Eventually(t, func() bool {
				x, y := a.statsFor(b), b.statsFor(a)
				return x.Linked && x.Link == y.Link
			}, eventTimeout, time.Millisecond)
			deliver(t, a, b, 2)
			deliver(t, b, a, 3)
			waitForSingleLink(t, a, b)
			require.Equal(t, a.statsFor(b).Link, b.statsFor(a).Link)
		})
	}
}

// Guards against a link that stays in use on one side while no bytes arrive in one
// direction, and against hosts that do not link again afterwards.
func TestOneWayPartitionIsDetectedByBothSides(t *testing.T) {
	tests := []struct {
		name  string
		fault func(a, b *testHost, drop bool)
	}{
		{"from the dialer", func(a, _ *testHost, drop bool) { a.faults.DropTo("b", drop) }},
		{"from the acceptor", func(_, b *testHost, drop bool) { b.faults.DropTo("a", drop) }},
		{"at the receiver", func(_, b *testHost, drop bool) { b.faults.DropFrom("a", drop) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			a, b := startHost(t, "a", 1), startHost(t, "b", 1)
			a.UpdateMembers([]proto.Member{b.member})
			deliver(t, a, b, 1)
			tt.fault(a, b, true)
			require.Eventually(t, func() bool { return !a.statsFor(b).Linked && !b.statsFor(a).Linked }, eventTimeout, 5*time.Millisecond)
			a.Send("b", proto.BurnAsk{Nonce: 2})
			b.Send("a", proto.BurnAsk{Nonce: 2})
			tt.fault(a, b, false)
			deliver(t, a, b, 3)
			deliver(t, b, a, 3)
		})
	}
}

// Guards against messages for a restarted host that are sent on the link to its
// earlier incarnation.
func TestRestartedHostReplacesItsLink(t *testing.T) {
	a, old := startHost(t, "a", 1), startHost(t, "b", 1)
	a.UpdateMembers([]proto.Member{old.member})
	deliver(t, a, old, 1)
	first := a.statsFor(old).Link
	b := startHost(t, "b", 2)
	b.UpdateMembers([]proto.Member{a.member})
	deliver(t, b, a, 2)
	require.NotEqual(t, first, a.statsFor(b).Link)
	deliver(t, a, b, 3)
	require.False(t, old.hasReceived("a", proto.BurnAsk{Nonce: 3}))
	a.UpdateMembers([]proto.Member{old.member})
	require.Equal(t, b.member.Addr, a.peer("b").addr, "an earlier run must not move the host back")
}

// Guards against links to a host with another secret, to one of another fleet and
// to another host at a reused address.
func TestHandshakeRefusesMismatchedPeer(t *testing.T) {
	b := startHost(t, "b", 1)
	tests := []struct {
		name   string
		secret string
		peer   model.HostID
		opts   []Option
		check  func(error) bool
	}{
		{"other secret", "another secret of the fleet", "b", nil, IsErrClosed},
		{"other fleet", "0123456789abcdef", "b", []Option{WithFleet("felt")}, IsErrPeerMismatch},
		{"other host at the address", "0123456789abcdef", "c", nil, IsErrPeerMismatch},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tree, stop := super.New("x")
			defer stop()
			opts := append([]Option{WithFleet("tatws"), WithTiming(quickTiming())}, tt.opts...)
			m, closeMesh, err := New(proto.Member{Host: "a", Role: proto.RoleEntry}, []byte(tt.secret), tree, func(model.HostID, proto.Message) {}, opts...)
			require.NoError(t, err)
			defer closeMesh()
			err = m.dial(context.Background(), m.ensurePeer(tt.peer), b.member.Addr)
			require.True(t, tt.check(err), "got %v", err)
			require.False(t, b.Stats()["a"].Linked)
		})
	}
	_, _, err := New(proto.Member{Host: "a"}, []byte("short"), nil, nil)
	require.True(t, IsErrSecret(err))
}

// Guards against a peer that obtains a digest made with the secret, or makes the
// host read a long frame, before that peer has proved that it has the secret.
func TestUnauthenticatedPeerGetsNoProof(t *testing.T) {
	b := startHost(t, "b", 1)
	greet, err := cbor.Marshal(greeting{Host: "a", Fleet: "tatws", Protocol: ProtocolVersion, Nonce: make([]byte, nonceBytes)})
	require.NoError(t, err)
	guess, err := cbor.Marshal(proof{Digest: make([]byte, 32)})
	require.NoError(t, err)
	tests := []struct {
		name        string
		secondFrame []byte
	}{
		{"guessed digest", guess},
		{"long frame", make([]byte, maxHandshakeFrame+1)},
		{"malformed frame", []byte{0xff}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			ctx := context.Background()
			ws, _, err := websocket.Dial(ctx, "ws://"+b.member.Addr+Path, nil)
			require.NoError(t, err)
			defer func() { _ = ws.CloseNow() }()
			require.NoError(t, ws.Write(ctx, websocket.MessageBinary, greet))
			_, data, err := ws.Read(ctx)
			require.NoError(t, err)
			require.False(t, strings.Contains(string(data), "0123456789abcdef"))
			require.NoError(t, ws.Write(ctx, websocket.MessageBinary, tt.secondFrame))
			_, _, err = ws.Read(ctx)
			require.Error(t, err)
			require.False(t, b.Stats()["a"].Linked)
		})
	}
}

// Guards against a queue that grows without bound while a host is unreachable, and
// against requests that reach the host long after they were sent.
func TestQueueIsBounded(t *testing.T) {
	start := time.Now()
	q := queue{limit: 3}
	for i := range 5 {
		require.Equal(t, i < 3, q.put([]byte{byte(i)}, start.Add(time.Duration(i)*time.Second)))
	}
	require.Equal(t, 2, q.expire(start.Add(4*time.Second), 2*time.Second))
	frame, n := q.takeBatch()
	require.Equal(t, []byte{2}, frame)
	require.Equal(t, 1, n)
	require.Zero(t, q.bytes)

	q = queue{limit: 1000}
	big := make([]byte, maxQueueBytes/2)
	require.True(t, q.put(big, start))
	require.True(t, q.put(make([]byte, 10), start))
	require.False(t, q.put(big, start), "the queue is bounded in bytes too")
	frame, n = q.takeBatch()
	require.Len(t, frame, len(big), "a long message has a frame of its own")
	require.Equal(t, 1, n)

	a := startHost(t, "a", 1, WithQueueLimit(2))
	a.UpdateMembers([]proto.Member{{Host: "gone", Addr: "127.0.0.1:1"}})
	require.True(t, a.Send("gone", proto.BurnAsk{}))
	require.True(t, a.Send("gone", proto.BurnAsk{}))
	require.False(t, a.Send("gone", proto.BurnAsk{}))
	require.Equal(t, uint64(1), a.Stats()["gone"].Dropped)
}

// BenchmarkRoundTrip measures a request and its answer between two hosts on the
// loopback interface.
func BenchmarkRoundTrip(b *testing.B) {
	tree, stop := super.New("bench")
	defer stop()
	answers := make(chan struct{}, 1)
	var far *Mesh
	server := httptest.NewUnstartedServer(nil)
	defer server.Close()
	secret := []byte("0123456789abcdef")
	far, _, err := New(proto.Member{Host: "b", Role: proto.RoleEntry}, secret, tree, func(from model.HostID, m proto.Message) { far.Send(from, m) })
	require.NoError(b, err)
	server.Config.Handler = far.Handler()
	server.Start()
	near, _, err := New(proto.Member{Host: "a", Role: proto.RoleEntry}, secret, tree, func(_ model.HostID, m proto.Message) {
		if _, ok := m.(proto.BurnAsk); ok {
			answers <- struct{}{}
		}
	})
	require.NoError(b, err)
	near.UpdateMembers([]proto.Member{{Host: "b", Addr: server.Listener.Addr().String()}})
	near.Send("b", proto.BurnAsk{})
	<-answers
	for b.Loop() {
		near.Send("b", proto.BurnAsk{})
		<-answers
	}
}

// Guards against a link that closes because of one message that the receiver
// cannot decode, and against a frame that cannot be split into messages and is
// ignored.
func TestUndecodableMessageDoesNotCloseLink(t *testing.T) {
	a, b := startHost(t, "a", 1), startHost(t, "b", 1)
	a.UpdateMembers([]proto.Member{b.member})
	deliver(t, a, b, 1)
	require.True(t, a.Send("b", proto.SlotReply{Status: 99}))
	deliver(t, a, b, 2)
	require.Equal(t, uint64(1), b.statsFor(a).Dropped)
	require.Equal(t, uint64(1), a.statsFor(b).Links)
	a.peer("b").put([]byte{0xff}, time.Now(), time.Minute)
	deliver(t, a, b, 3)
	require.Equal(t, uint64(2), a.statsFor(b).Links)
}

// Guards against a stopped host that still accepts links and messages.
func TestStoppedHostRefusesLinks(t *testing.T) {
	a, b := startHost(t, "a", 1), startHost(t, "b", 1)
	a.UpdateMembers([]proto.Member{b.member})
	deliver(t, a, b, 1)
	b.tree.Stop()
	require.Eventually(t, func() bool { return !a.statsFor(b).Linked }, eventTimeout, time.Millisecond)
	require.Error(t, a.dial(context.Background(), a.peer("b"), b.member.Addr))
	require.False(t, b.Stats()["a"].Linked)
	require.True(t, a.Send("b", proto.BurnAsk{Nonce: 2}), "the message waits for the host to come back")
}

// Guards against traffic figures that miss messages or assign them to the wrong
// zone: operators pay for the bytes between zones.
func TestTrafficIsCountedByTypeAndZone(t *testing.T) {
	a, b := startHost(t, "a", 1), startHost(t, "b", 1)
	near, far := a.member, b.member
	near.Zone, far.Zone = "a", "b"
	a.self.Zone = "a"
	a.traffic.zone = "a"
	a.UpdateMembers([]proto.Member{far})
	for i := range uint64(3) {
		require.True(t, a.Send("b", proto.BurnAsk{Nonce: i}))
	}
	require.Eventually(t, func() bool { return a.statsFor(b).SentMessages == 3 }, eventTimeout, time.Millisecond)
	got := a.Traffic()
	require.Equal(t, uint64(3), got.Types["BurnAsk"].Messages)
	require.Equal(t, uint64(3), got.Types["BurnAsk"].OtherZoneMessages)
	require.Equal(t, a.statsFor(b).SentBytes, got.OtherZoneWireBytes)
	require.Equal(t, got.WireBytes, got.OtherZoneWireBytes)
}
