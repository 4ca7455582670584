package lease

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// slowRelay simulates a relay and an entry host whose messages take delay each way.
type slowRelay struct {
	relay, entry *FreshnessClient
	now          model.Instant
	delay        time.Duration
	// loses returns whether the n-th reply with a configuration is lost.
	loses func(n int) bool
	// carryingReplies counts the replies that carry a configuration.
	carryingReplies int
	queue           []slowMessage
}

// slowMessage is an ask or a reply that arrives at an instant.
type slowMessage struct {
	at    model.Instant
	ask   *proto.FreshAsk
	reply *proto.FreshReply
}

func newSlowRelay(delay time.Duration) *slowRelay {
	controls := []model.HostID{"a", "c"}
	w := &slowRelay{
		relay: NewFreshnessClient(controlMember("c", "z1"), WithBootstrap(controls, controls)),
		entry: NewFreshnessClient(proto.Member{Host: "e", Role: proto.RoleEntry, Zone: "z1", Incarnation: 1}, WithOwnerRole(proto.RoleControl), WithRelay(), WithBootstrap([]model.HostID{"c"}, []model.HostID{"c"})),
		now:   model.Instant(time.Second), delay: delay,
		loses: func(int) bool { return false },
	}
	w.relay.members = []proto.Member{controlMember("a", "z2"), controlMember("c", "z1")}
	w.relay.hist.replace(model.NewConfig([]model.HostID{"c"}, controls).WithVersion(7))
	return w
}

// run advances the virtual time by d and delivers the messages that are due.
func (w *slowRelay) run(d time.Duration) {
	for end := w.now.Add(d); w.now < end; w.now = w.now.Add(10 * time.Millisecond) {
		// The relay has always just been confirmed.
		w.relay.freshUntil = w.now.Add(w.relay.timing.localAtMost(w.relay.timing.FreshnessDuration))
		for len(w.queue) > 0 && w.queue[0].at <= w.now {
			m := w.queue[0]
			w.queue = w.queue[1:]
			if m.ask != nil {
				w.answer(*m.ask)
				continue
			}
			w.entry.Step(w.now, Received{From: "c", Msg: *m.reply})
		}
		for _, e := range w.entry.Step(w.now, Tick{}) {
			if send, ok := e.(Send); ok && send.To == "c" {
				ask := send.Msg.(proto.FreshAsk)
				w.queue = append(w.queue, slowMessage{at: w.now.Add(w.delay), ask: &ask})
			}
		}
	}
}

// answer sends the reply of the relay to an ask, unless loses drops the reply.
func (w *slowRelay) answer(ask proto.FreshAsk) {
	ask = w.relay.AssumeDelivered(w.now, ask)
	reply, _ := w.relay.RelayReply(w.now, ask)
	w.relay.RecordReply(w.now, ask, reply)
	if len(reply.Snapshot)+len(reply.Changes) > 0 {
		w.carryingReplies++
		if w.loses(w.carryingReplies) {
			return
		}
	}
	w.queue = append(w.queue, slowMessage{at: w.now.Add(w.delay), reply: &reply})
}

// Guards against a relay that sends the whole configuration for each ask of a host
// that starts behind a slow link. 442 hosts that start at once would fill the links
// of five relays for seconds.
func TestStartingHostIsSentTheConfigurationOnce(t *testing.T) {
	w := newSlowRelay(200 * time.Millisecond)
	w.run(3 * time.Second)
	require.EqualValues(t, 7, w.entry.hist.version())
	require.Greater(t, w.entry.FreshUntil(), w.now, "the entry host is not fresh")
	require.Equal(t, 1, w.carryingReplies)
}

// Guards against a relay that does not repeat a configuration that was lost, because
// it counts as in flight.
func TestLostConfigurationIsSentAgain(t *testing.T) {
	for _, lost := range []int{1, 3} {
		w := newSlowRelay(50 * time.Millisecond)
		w.loses = func(n int) bool { return n <= lost }
		w.run(time.Duration(lost) * time.Second)
		require.EqualValues(t, 7, w.entry.hist.version())
		require.Equal(t, lost+1, w.carryingReplies)
		require.Greater(t, w.entry.FreshUntil(), w.now, "the entry host is not fresh")
	}
}

// Guards against a restarted host that gets no configuration because the relay sent
// it to an earlier incarnation.
func TestRestartedHostIsSentTheConfiguration(t *testing.T) {
	w := newSlowRelay(50 * time.Millisecond)
	w.run(time.Second)
	ask := proto.FreshAsk{Nonce: 1, Member: proto.Member{Host: "e", Role: proto.RoleEntry, Zone: "z1", Incarnation: 2}}
	w.relay.RecordReply(w.now, proto.FreshAsk{Nonce: 1, Member: proto.Member{Host: "e", Incarnation: 1}}, proto.FreshReply{Newest: 7, Snapshot: []byte{1}})
	reply, _ := w.relay.RelayReply(w.now, w.relay.AssumeDelivered(w.now, ask))
	require.NotEmpty(t, reply.Snapshot)
}
