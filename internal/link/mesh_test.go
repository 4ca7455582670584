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

// patience bounds waiting for an event that must happen; no verdict depends on how long it takes.
const patience = 15 * time.Second

var _ Sender = (*Mesh)(nil)

type testHost struct {
	*Mesh
	member proto.Member
	faults *Faults

	mu   sync.Mutex
	seen map[model.HostID][]proto.Message
}

func quickTiming() Timing {
	t := DefaultTiming()
	t.HandshakeTimeout, t.PingInterval, t.PingTimeout = time.Second, 30*time.Millisecond, 500*time.Millisecond
	t.MinBackoff, t.MaxBackoff = 5*time.Millisecond, 50*time.Millisecond
	return t
}

func startHost(t *testing.T, name model.HostID, inc model.Incarnation, opts ...Option) *testHost {
	t.Helper()
	h := &testHost{faults: NewFaults(), seen: map[model.HostID][]proto.Message{}}
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

func (h *testHost) handle(from model.HostID, m proto.Message) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.seen[from] = append(h.seen[from], m)
}

func (h *testHost) saw(from model.HostID, m proto.Message) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range h.seen[from] {
		if s == m {
			return true
		}
	}
	return false
}

// deliver sends numbered messages until one arrives, since any may be lost.
func deliver(t *testing.T, from, to *testHost, nonce uint64) {
	t.Helper()
	require.Eventually(t, func() bool {
		from.Send(to.member.Host, proto.BurnAsk{Nonce: nonce})
		return to.saw(from.member.Host, proto.BurnAsk{Nonce: nonce})
	}, patience, 5*time.Millisecond, "%s to %s", from.member.Host, to.member.Host)
}

func (h *testHost) linkTo(o *testHost) Stats { return h.Stats()[o.member.Host] }

// Guards against messages that are lost silently on a healthy link, against a
// socket for messages to the host itself, and against figures that miss messages.
func TestDeliversBothWaysAndToItself(t *testing.T) {
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
			return a.saw("a", proto.StatusAsk{Nonce: 7}) && b.linkTo(a).ReceivedMessages == n && a.linkTo(b).SentMessages == n
		}, patience, time.Millisecond)
		want := []proto.Message{a.hello()}
		for i := range uint64(n) {
			want = append(want, proto.BurnAsk{Nonce: i})
		}
		b.mu.Lock()
		require.Equal(t, want, b.seen["a"], "messages of one link keep their order")
		b.mu.Unlock()
		require.True(t, b.Send("a", proto.BurnAsk{Nonce: 1}), "b answers on the same link")
		require.Eventually(t, func() bool { return a.saw("b", proto.BurnAsk{Nonce: 1}) }, patience, time.Millisecond)
		require.Equal(t, uint64(1), a.linkTo(b).Links)
		require.Equal(t, a.linkTo(b).SentBytes, b.linkTo(a).ReceivedBytes)
		require.Zero(t, a.linkTo(b).Dropped)
		require.Equal(t, uint64(1), a.Stats()["a"].ReceivedMessages)
	})
}

// Guards against two links between a pair of hosts, and against each side keeping a different one.
func TestSimultaneousOpensEndInOneLink(t *testing.T) {
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
				x, y := a.linkTo(b), b.linkTo(a)
				return x.Linked && x.Link == y.Link
			}, patience, time.Millisecond)
			deliver(t, a, b, 2)
			deliver(t, b, a, 3)
			settle(t, a, b)
			require.Equal(t, a.linkTo(b).Link, b.linkTo(a).Link)
		})
	}
}

// Guards against a link that looks healthy to one side while nothing gets
// through in one direction, and against a pair of hosts that stays apart afterwards.
func TestOneWayPartitionIsNoticedByBothSides(t *testing.T) {
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
			require.Eventually(t, func() bool { return !a.linkTo(b).Linked && !b.linkTo(a).Linked }, patience, 5*time.Millisecond)
			a.Send("b", proto.BurnAsk{Nonce: 2})
			b.Send("a", proto.BurnAsk{Nonce: 2})
			tt.fault(a, b, false)
			deliver(t, a, b, 3)
			deliver(t, b, a, 3)
		})
	}
}

// Guards against messages for a restarted host going into the link of its earlier run.
func TestRestartedHostReplacesItsLink(t *testing.T) {
	a, old := startHost(t, "a", 1), startHost(t, "b", 1)
	a.UpdateMembers([]proto.Member{old.member})
	deliver(t, a, old, 1)
	first := a.linkTo(old).Link
	b := startHost(t, "b", 2)
	b.UpdateMembers([]proto.Member{a.member})
	deliver(t, b, a, 2)
	require.NotEqual(t, first, a.linkTo(b).Link)
	deliver(t, a, b, 3)
	require.False(t, old.saw("a", proto.BurnAsk{Nonce: 3}))
	a.UpdateMembers([]proto.Member{old.member})
	require.Equal(t, b.member.Addr, a.peer("b").addr, "an earlier run must not move the host back")
}

// Guards against a host of another fleet, version or secret, or another host at a reused address, joining.
func TestHandshakeRefusals(t *testing.T) {
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
			err = m.dial(context.Background(), m.ensure(tt.peer), b.member.Addr)
			require.True(t, tt.check(err), "got %v", err)
			require.False(t, b.Stats()["a"].Linked)
		})
	}
	_, _, err := New(proto.Member{Host: "a"}, []byte("short"), nil, nil)
	require.True(t, IsErrSecret(err))
}

// Guards against anyone who connects obtaining a digest under the secret, or
// making the host read a long frame, before proving the secret.
func TestStrangerGetsNoProof(t *testing.T) {
	b := startHost(t, "b", 1)
	greet, err := cbor.Marshal(greeting{Host: "a", Fleet: "tatws", Protocol: ProtocolVersion, Nonce: make([]byte, nonceBytes)})
	require.NoError(t, err)
	guess, err := cbor.Marshal(proof{Digest: make([]byte, 32)})
	require.NoError(t, err)
	tests := []struct {
		name   string
		second []byte
	}{
		{"guessed digest", guess},
		{"long frame", make([]byte, maxGreeting+1)},
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
			require.NoError(t, ws.Write(ctx, websocket.MessageBinary, tt.second))
			_, _, err = ws.Read(ctx)
			require.Error(t, err)
			require.False(t, b.Stats()["a"].Linked)
		})
	}
}

// Guards against a queue that grows without bound while a host is away, and
// against asks that reach it long after they were sent.
func TestQueueBounds(t *testing.T) {
	start := time.Now()
	q := queue{limit: 3}
	for i := range 5 {
		require.Equal(t, i < 3, q.put([]byte{byte(i)}, start.Add(time.Duration(i)*time.Second)))
	}
	require.Equal(t, 2, q.expire(start.Add(4*time.Second), 2*time.Second))
	frame, n := q.take()
	require.Equal(t, []byte{2}, frame)
	require.Equal(t, 1, n)
	require.Zero(t, q.bytes)

	q = queue{limit: 1000}
	big := make([]byte, maxQueueBytes/2)
	require.True(t, q.put(big, start))
	require.True(t, q.put(make([]byte, 10), start))
	require.False(t, q.put(big, start), "the queue is bounded in bytes too")
	frame, n = q.take()
	require.Len(t, frame, len(big), "a long message has a frame of its own")
	require.Equal(t, 1, n)

	a := startHost(t, "a", 1, WithQueueLimit(2))
	a.UpdateMembers([]proto.Member{{Host: "gone", Addr: "127.0.0.1:1"}})
	require.True(t, a.Send("gone", proto.BurnAsk{}))
	require.True(t, a.Send("gone", proto.BurnAsk{}))
	require.False(t, a.Send("gone", proto.BurnAsk{}))
	require.Equal(t, uint64(1), a.Stats()["gone"].Dropped)
}

// BenchmarkRoundTrip measures a question and its answer between two hosts on loopback.
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

// Guards against one message that the receiver does not understand ending the
// link, and against a frame that cannot be split passing for an empty one.
func TestFaultyMessageDoesNotEndTheLink(t *testing.T) {
	a, b := startHost(t, "a", 1), startHost(t, "b", 1)
	a.UpdateMembers([]proto.Member{b.member})
	deliver(t, a, b, 1)
	require.True(t, a.Send("b", proto.SlotReply{Status: 99}))
	deliver(t, a, b, 2)
	require.Equal(t, uint64(1), b.linkTo(a).Dropped)
	require.Equal(t, uint64(1), a.linkTo(b).Links)
	a.peer("b").put([]byte{0xff}, time.Now(), time.Minute)
	deliver(t, a, b, 3)
	require.Equal(t, uint64(2), a.linkTo(b).Links)
}

// Guards against a stopped host that goes on taking links and messages.
func TestStoppedHostTakesNoLinks(t *testing.T) {
	a, b := startHost(t, "a", 1), startHost(t, "b", 1)
	a.UpdateMembers([]proto.Member{b.member})
	deliver(t, a, b, 1)
	b.tree.Stop()
	require.Eventually(t, func() bool { return !a.linkTo(b).Linked }, patience, time.Millisecond)
	require.Error(t, a.dial(context.Background(), a.peer("b"), b.member.Addr))
	require.False(t, b.Stats()["a"].Linked)
	require.True(t, a.Send("b", proto.BurnAsk{Nonce: 2}), "the message waits for the host to come back")
}

// Guards against a table of traffic that misses messages or takes one zone for
// another: operators pay for bytes between zones.
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
	require.Eventually(t, func() bool { return a.linkTo(b).SentMessages == 3 }, patience, time.Millisecond)
	got := a.Traffic()
	require.Equal(t, uint64(3), got.Types["BurnAsk"].Messages)
	require.Equal(t, uint64(3), got.Types["BurnAsk"].OtherZoneMessages)
	require.Equal(t, a.linkTo(b).SentBytes, got.OtherZoneWireBytes)
	require.Equal(t, got.WireBytes, got.OtherZoneWireBytes)
}
