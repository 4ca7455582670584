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

const testPart = 100

// net carries messages between one receiver and several senders in virtual time.
type net struct {
	r        *rand.Rand
	now      model.Instant
	agenda   []timed
	loss     float64
	delay    time.Duration
	senders  map[model.HostID]*Sender
	down     map[model.HostID]bool
	receiver Receiver
	got      []byte
	asks     int
}

type timed struct {
	at model.Instant
	do func()
}

func newNet(seed uint64, hosts ...model.HostID) *net {
	n := &net{r: rand.New(rand.NewPCG(seed, 1)), now: 1e9, delay: time.Millisecond, senders: map[model.HostID]*Sender{}, down: map[model.HostID]bool{}}
	for _, h := range hosts {
		s := NewSender(testPart)
		n.senders[h] = &s
	}
	return n
}

func (n *net) after(d time.Duration, do func()) {
	n.agenda = append(n.agenda, timed{at: n.now.Add(d), do: do})
}

// pass delivers a message late, twice or never.
func (n *net) pass(do func()) {
	for range 1 + n.r.IntN(10)/9 {
		if n.r.Float64() >= n.loss {
			n.after(time.Duration(n.r.Int64N(int64(n.delay))), do)
		}
	}
}

func (n *net) send(asks []Request) {
	for _, a := range asks {
		n.asks++
		n.pass(func() {
			if n.down[a.To] {
				return
			}
			reply := n.senders[a.To].Answer(n.now, a.Msg)
			n.pass(func() { n.take(a.To, reply) })
		})
	}
}

func (n *net) take(from model.HostID, m proto.Part) {
	asks, data := n.receiver.Part(n.now, from, m)
	n.send(asks)
	if data != nil {
		n.got = data
	}
}

// offer lets a host offer a snapshot.
func (n *net) offer(host model.HostID, data []byte, rank uint64) {
	_, o := n.senders[host].Offer(n.now, data)
	n.send(n.receiver.Offer(n.now, host, *o, rank))
}

// run ends when the snapshot is complete or the time is over.
func (n *net) run(d time.Duration) {
	end := n.now.Add(d)
	nextTick := n.now
	for n.now < end && n.got == nil {
		i := -1
		for j, t := range n.agenda {
			if i < 0 || t.at < n.agenda[i].at {
				i = j
			}
		}
		if i < 0 || n.agenda[i].at > nextTick {
			n.now = nextTick
			nextTick = n.now.Add(50 * time.Millisecond)
			n.send(n.receiver.Tick(n.now))
			continue
		}
		t := n.agenda[i]
		n.agenda = slices.Delete(n.agenda, i, i+1)
		n.now = t.at
		t.do()
	}
}

func snapshot(seed uint64, size int) []byte {
	r := rand.New(rand.NewPCG(seed, 2))
	data := make([]byte, size)
	for i := range data {
		data[i] = byte(r.Uint32())
	}
	return data
}

// Guards against a snapshot that is damaged, never completes, or is requested
// more often than one part at a time needs, when messages are lost, doubled
// and reordered.
func TestTransferOverAFaultyNetwork(t *testing.T) {
	for seed := range uint64(300) {
		n := newNet(seed, "a", "b")
		n.loss = []float64{0, 0.05, 0.3}[seed%3]
		n.delay = []time.Duration{time.Millisecond, 500 * time.Millisecond}[seed%2]
		data := snapshot(seed, testPart*20+int(seed))
		n.offer("a", data, 1)
		n.offer("b", bytes.Clone(data), 1)
		n.run(10 * time.Minute)
		require.True(t, bytes.Equal(data, n.got), "seed %d: %d bytes of %d", seed, len(n.got), len(data))
		if n.loss == 0 && n.delay == time.Millisecond {
			require.Equal(t, (len(data)+testPart-1)/testPart, n.asks, "seed %d", seed)
		}
	}
}

// Guards against a transfer that starts over although another host has the
// same snapshot, and against one that waits longer than one interval for it.
func TestContinuesWithAnotherSender(t *testing.T) {
	n := newNet(1, "a", "b")
	data := snapshot(1, testPart*100)
	n.offer("a", data, 1)
	n.offer("b", bytes.Clone(data), 1)
	n.run(20 * time.Millisecond)
	half := len(n.receiver.data)
	require.Positive(t, half)
	n.down["a"] = true
	start := n.now
	n.run(time.Minute)
	require.True(t, bytes.Equal(data, n.got))
	require.Less(t, n.now.Sub(start), repeatEvery+200*time.Millisecond)
	require.LessOrEqual(t, n.asks, 100+2, "no part that was received is requested again")
}

// Guards against a change during a transfer that restarts it, and against a
// sender that keeps a snapshot nobody asks for.
func TestNewerSnapshotDoesNotRestart(t *testing.T) {
	n := newNet(1, "a")
	first := snapshot(1, testPart*100)
	n.offer("a", first, 1)
	for rank := uint64(2); n.got == nil && rank < 100; rank++ {
		n.run(5 * time.Millisecond)
		if n.got == nil {
			n.offer("a", snapshot(rank, testPart*100), rank)
		}
	}
	require.True(t, bytes.Equal(first, n.got))
	require.LessOrEqual(t, len(n.senders["a"].kept), 2, "the snapshot being sent and the newest offer")
	require.False(t, n.senders["a"].Expire(n.now.Add(RetainFor-time.Second)))
	require.True(t, n.senders["a"].Expire(n.now.Add(RetainFor+time.Second)))
}

// Guards against a receiver that is stuck with a snapshot that no host has any
// more, and against mixing two snapshots.
func TestStartsOverWhenTheSnapshotIsGone(t *testing.T) {
	for _, name := range []string{"dropped", "silent"} {
		t.Run(name, func(t *testing.T) {
			n := newNet(1, "a", "b")
			first, second := snapshot(1, testPart*100), snapshot(2, testPart*50)
			n.offer("a", first, 1)
			n.run(20 * time.Millisecond)
			n.offer("b", second, 2)
			if name == "dropped" {
				*n.senders["a"] = NewSender(testPart)
			} else {
				n.down["a"] = true
			}
			start := n.now
			n.run(time.Minute)
			require.True(t, bytes.Equal(second, n.got))
			limit := map[string]time.Duration{"dropped": time.Second, "silent": startOverAfter + 2*time.Second}[name]
			require.Less(t, n.now.Sub(start), limit)
		})
	}
}

// Guards against a sender that lost the snapshot to a restart ending a
// transfer that a host with another offer can continue from what it retains.
func TestContinuesWithASenderThatOffersANewerOne(t *testing.T) {
	n := newNet(1, "a", "b")
	first := snapshot(1, testPart*100)
	n.offer("a", first, 1)
	n.run(10 * time.Millisecond)
	_, o := n.senders["b"].Offer(n.now, bytes.Clone(first))
	n.senders["b"].Answer(n.now, proto.PartAsk{Snapshot: o.ID})
	n.offer("b", snapshot(2, testPart*100), 2)
	*n.senders["a"] = NewSender(testPart)
	n.run(time.Second)
	require.True(t, bytes.Equal(first, n.got))
}

// Guards against the use of a snapshot whose bytes are not those of its id,
// and against memory reserved for a length that no snapshot has.
func TestRefusesWhatIsNotTheSnapshot(t *testing.T) {
	var r Receiver
	data := snapshot(1, testPart*2)
	s := NewSender(testPart)
	_, o := s.Offer(1, data)
	asks := r.Offer(1, "a", *o, 1)
	require.Len(t, asks, 1)
	for _, m := range []proto.Part{
		{Snapshot: o.ID, Offset: 0},
		{Snapshot: o.ID, Offset: 0, Data: make([]byte, testPart*2+1)},
		{Snapshot: o.ID, Offset: 5, Data: data[5:10]},
		{Snapshot: proto.SnapshotID{1}, Offset: 0, Data: data[:testPart]},
	} {
		asks, got := r.Part(1, "a", m)
		require.Empty(t, asks)
		require.Nil(t, got)
	}
	_, got := r.Part(1, "a", proto.Part{Snapshot: o.ID, Data: make([]byte, testPart*2)})
	require.Nil(t, got, "the digest differs")
	_, running := r.RunningRank()
	require.False(t, running)
	require.Empty(t, r.Offer(1, "a", proto.SnapshotOffer{Size: MaxSnapshotSize + 1}, 1))
	require.Empty(t, r.Offer(1, "a", proto.SnapshotOffer{}, 1))
}

// Guards against a short snapshot that costs further round trips, and a long one in one message.
func TestOfferCarriesShortSnapshots(t *testing.T) {
	for _, c := range []struct{ size, parts int }{{1, 0}, {Size, 0}, {Size + 1, 2}, {3 * Size, 3}} {
		t.Run(fmt.Sprint(c.size), func(t *testing.T) {
			var s Sender
			data := snapshot(1, c.size)
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
