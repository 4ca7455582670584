package part

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// testPartSize is the length in bytes of the parts in these tests.
const testPartSize = 100

// testNetwork carries messages between one receiver and several senders in
// virtual time. It loses messages with the probability loss, and delays them by
// less than delay. Hosts in down do not answer.
type testNetwork struct {
	rng          *rand.Rand
	now          model.Instant
	events       []event
	loss         float64
	delay        time.Duration
	senders      map[model.HostID]*Sender
	down         map[model.HostID]bool
	receiver     Receiver
	received     []byte
	requestCount int
}

// event is an action scheduled for an instant.
type event struct {
	at     model.Instant
	action func()
}

// newTestNetwork returns a network without loss that has one sender for each host.
func newTestNetwork(seed uint64, hosts ...model.HostID) *testNetwork {
	n := &testNetwork{rng: rand.New(rand.NewPCG(seed, 1)), now: 1e9, delay: time.Millisecond, senders: map[model.HostID]*Sender{}, down: map[model.HostID]bool{}}
	for _, h := range hosts {
		s := NewSender(testPartSize)
		n.senders[h] = &s
	}
	return n
}

// after schedules an action.
func (n *testNetwork) after(d time.Duration, action func()) {
	n.events = append(n.events, event{at: n.now.Add(d), action: action})
}

// deliver schedules the delivery of a message after a random delay. A message may
// be lost, and one of ten is delivered twice.
func (n *testNetwork) deliver(action func()) {
	for range 1 + n.rng.IntN(10)/9 {
		if n.rng.Float64() >= n.loss {
			n.after(time.Duration(n.rng.Int64N(int64(n.delay))), action)
		}
	}
}

// send delivers requests to the senders, and their replies to the receiver.
func (n *testNetwork) send(requests []Request) {
	for _, a := range requests {
		n.requestCount++
		n.deliver(func() {
			if n.down[a.To] {
				return
			}
			reply := n.senders[a.To].Answer(n.now, a.Msg)
			n.deliver(func() { n.receivePart(a.To, reply) })
		})
	}
}

// receivePart passes a part to the receiver and sends its next request.
func (n *testNetwork) receivePart(from model.HostID, m proto.Part) {
	requests, data := n.receiver.Part(n.now, from, m)
	n.send(requests)
	if data != nil {
		n.received = data
	}
}

// offer delivers the offer of a snapshot by a host, without delay.
func (n *testNetwork) offer(host model.HostID, data []byte, rank uint64) {
	_, o := n.senders[host].Offer(n.now, data)
	n.send(n.receiver.Offer(n.now, host, *o, rank))
}

// run advances the virtual time by d, and stops early when a snapshot is complete.
func (n *testNetwork) run(d time.Duration) {
	end := n.now.Add(d)
	nextTick := n.now
	for n.now < end && n.received == nil {
		i := -1
		for j, t := range n.events {
			if i < 0 || t.at < n.events[i].at {
				i = j
			}
		}
		if i < 0 || n.events[i].at > nextTick {
			n.now = nextTick
			nextTick = n.now.Add(50 * time.Millisecond)
			n.send(n.receiver.Tick(n.now))
			continue
		}
		t := n.events[i]
		n.events = slices.Delete(n.events, i, i+1)
		n.now = t.at
		t.action()
	}
}

// randomSnapshot returns size bytes that depend on the seed.
func randomSnapshot(seed uint64, size int) []byte {
	r := rand.New(rand.NewPCG(seed, 2))
	data := make([]byte, size)
	for i := range data {
		data[i] = byte(r.Uint32())
	}
	return data
}

// Guards against a snapshot that is damaged or never completes when messages are
// lost, duplicated and reordered, and against more requests than there are parts
// on a network without faults.
func TestTransferOverAFaultyNetwork(t *testing.T) {
	for seed := range uint64(300) {
		n := newTestNetwork(seed, "a", "b")
		n.loss = []float64{0, 0.05, 0.3}[seed%3]
		n.delay = []time.Duration{time.Millisecond, 500 * time.Millisecond}[seed%2]
		data := randomSnapshot(seed, testPartSize*20+int(seed))
		n.offer("a", data, 1)
		n.offer("b", bytes.Clone(data), 1)
		n.run(10 * time.Minute)
		require.True(t, bytes.Equal(data, n.received), "seed %d: %d bytes of %d", seed, len(n.received), len(data))
		if n.loss == 0 && n.delay == time.Millisecond {
			require.Equal(t, (len(data)+testPartSize-1)/testPartSize, n.requestCount, "seed %d", seed)
		}
	}
}

// Guards against a transfer that starts over after the failure of its sender,
// although another host has the same snapshot, and against one that waits longer
// than one retry interval before it asks that host.
func TestContinuesWithAnotherSender(t *testing.T) {
	n := newTestNetwork(1, "a", "b")
	data := randomSnapshot(1, testPartSize*100)
	n.offer("a", data, 1)
	n.offer("b", bytes.Clone(data), 1)
	n.run(20 * time.Millisecond)
	half := len(n.receiver.data)
	require.Positive(t, half)
	n.down["a"] = true
	start := n.now
	n.run(time.Minute)
	require.True(t, bytes.Equal(data, n.received))
	require.Less(t, n.now.Sub(start), minRetryInterval+200*time.Millisecond)
	require.LessOrEqual(t, n.requestCount, 100+2, "no part that was received is requested again")
}

// Guards against a transfer that is restarted by the offer of a newer snapshot,
// and against a sender that keeps snapshots that are not requested.
func TestNewerOfferDoesNotRestartTransfer(t *testing.T) {
	n := newTestNetwork(1, "a")
	first := randomSnapshot(1, testPartSize*100)
	n.offer("a", first, 1)
	for rank := uint64(2); n.received == nil && rank < 100; rank++ {
		n.run(5 * time.Millisecond)
		if n.received == nil {
			n.offer("a", randomSnapshot(rank, testPartSize*100), rank)
		}
	}
	require.True(t, bytes.Equal(first, n.received))
	require.LessOrEqual(t, len(n.senders["a"].held), 2, "the snapshot being sent and the newest offer")
	require.False(t, n.senders["a"].Expire(n.now.Add(RetainFor-time.Second)))
	require.True(t, n.senders["a"].Expire(n.now.Add(RetainFor+time.Second)))
}

// Guards against a receiver that continues to request a snapshot that no host has
// any more, and against a result that mixes parts of two snapshots.
func TestRestartsWhenSnapshotIsGone(t *testing.T) {
	for _, name := range []string{"dropped", "silent"} {
		t.Run(name, func(t *testing.T) {
			n := newTestNetwork(1, "a", "b")
			first, second := randomSnapshot(1, testPartSize*100), randomSnapshot(2, testPartSize*50)
			n.offer("a", first, 1)
			n.run(20 * time.Millisecond)
			n.offer("b", second, 2)
			if name == "dropped" {
				*n.senders["a"] = NewSender(testPartSize)
			} else {
				n.down["a"] = true
			}
			start := n.now
			n.run(time.Minute)
			require.True(t, bytes.Equal(second, n.received))
			limit := map[string]time.Duration{"dropped": time.Second, "silent": restartTimeout + 2*time.Second}[name]
			require.Less(t, n.now.Sub(start), limit)
		})
	}
}

// Guards against a transfer that ends because its sender lost the snapshot in a
// restart, although another host still holds that snapshot besides the newer one
// that it offers.
func TestContinuesWithSenderOfferingNewerSnapshot(t *testing.T) {
	n := newTestNetwork(1, "a", "b")
	first := randomSnapshot(1, testPartSize*100)
	n.offer("a", first, 1)
	n.run(10 * time.Millisecond)
	_, o := n.senders["b"].Offer(n.now, bytes.Clone(first))
	n.senders["b"].Answer(n.now, proto.PartAsk{Snapshot: o.ID})
	n.offer("b", randomSnapshot(2, testPartSize*100), 2)
	*n.senders["a"] = NewSender(testPartSize)
	n.run(time.Second)
	require.True(t, bytes.Equal(first, n.received))
}

// Guards against parts that do not continue the snapshot, against a snapshot
// whose digest differs from its id, and against memory allocated for an offer of
// an impossible length.
func TestReceiverRefusesInvalidParts(t *testing.T) {
	var r Receiver
	data := randomSnapshot(1, testPartSize*2)
	s := NewSender(testPartSize)
	_, o := s.Offer(1, data)
	requests := r.Offer(1, "a", *o, 1)
	require.Len(t, requests, 1)
	for _, m := range []proto.Part{
		{Snapshot: o.ID, Offset: 0},
		{Snapshot: o.ID, Offset: 0, Data: make([]byte, testPartSize*2+1)},
		{Snapshot: o.ID, Offset: 5, Data: data[5:10]},
		{Snapshot: proto.SnapshotID{1}, Offset: 0, Data: data[:testPartSize]},
	} {
		requests, got := r.Part(1, "a", m)
		require.Empty(t, requests)
		require.Nil(t, got)
	}
	_, got := r.Part(1, "a", proto.Part{Snapshot: o.ID, Data: make([]byte, testPartSize*2)})
	require.Nil(t, got, "the digest differs")
	_, running := r.RunningRank()
	require.False(t, running)
	require.Empty(t, r.Offer(1, "a", proto.SnapshotOffer{Size: MaxSnapshotSize + 1}, 1))
	require.Empty(t, r.Offer(1, "a", proto.SnapshotOffer{}, 1))
}

// Guards against a short snapshot that is transferred in parts, which costs
// further round trips, and against a long snapshot in one message.
func TestOfferCarriesShortSnapshots(t *testing.T) {
	for _, c := range []struct{ size, parts int }{{1, 0}, {Size, 0}, {Size + 1, 2}, {3 * Size, 3}} {
		t.Run(fmt.Sprint(c.size), func(t *testing.T) {
			var s Sender
			data := randomSnapshot(1, c.size)
			whole, o := s.Offer(1, data)
			require.Equal(t, c.parts == 0, o == nil)
			require.Equal(t, c.parts == 0, len(whole) == c.size)
			for i := range c.parts {
				p := s.Answer(1, proto.PartAsk{Snapshot: o.ID, Offset: uint64(i * Size)})
				require.Equal(t, data[i*Size:min((i+1)*Size, c.size)], p.Data)
			}
		})
	}
}
