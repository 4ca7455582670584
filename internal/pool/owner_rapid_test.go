package pool

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

const testService = model.ServiceName("stockbook")

func testShard() model.ShardID { return model.ServiceShard(testService) }

// reply is an assignment with the host that it was sent to.
type reply struct {
	host model.HostID
	proto.SlotReply
}

// machine drives an owner with random events and keeps what it sent.
type machine struct {
	t     *rapid.T
	o     *Owner
	now   model.Instant
	epoch model.Epoch
	owned bool
	until model.Instant
	// sent holds messages to the owner, for duplicates and late delivery.
	sent    []Received
	replies []reply
	// ejections counts ejected targets, so that the test can tell whether it reaches them.
	ejections int
	states    map[model.TargetID]model.Announcement
	nonce     uint64
}

func (m *machine) step(ev Event) {
	for _, e := range m.o.Step(m.now, ev) {
		switch e := e.(type) {
		case Send:
			if r, ok := e.Msg.(proto.SlotReply); ok && r.Status == proto.SlotAssigned {
				m.assigned(reply{host: e.To, SlotReply: r})
			}
		case Ejected:
			m.ejections++
		}
	}
	m.check()
}

func (m *machine) assigned(r reply) {
	m.replies = append(m.replies, r)
	require.True(m.t, m.owned && m.now < m.until, "assigned without the shard")
	tgt := m.o.services[testService].byTarget[r.Target]
	require.Equal(m.t, r.Incarnation, tgt.incarnation)
}

// that fails the run unless an invariant holds. It costs less than require,
// since the invariants are checked after every event.
func (m *machine) that(ok bool, invariant string) {
	if !ok {
		m.t.Fatalf("broken invariant: %s", invariant)
	}
}

// check verifies what holds after every event.
func (m *machine) check() {
	s := m.o.services[testService]
	if s == nil {
		return
	}
	announced, healthy := s.capacity()
	m.that(float64(healthy)+1e-9 >= s.floor*float64(announced), "capacity below the floor")
	inUse, byWorkspace, byHost := 0, map[*workspace]int{}, map[int32]int{}
	for _, t := range s.targets {
		inUse += len(t.busy)
		m.that(len(t.busy) <= 3, "more requests than slots")
		for _, l := range t.busy {
			byWorkspace[l.workspace]++
			byHost[l.host]++
			m.that(l == s.bySlot[l.id] && l == s.byAsk[l.askKey] && l.target == t, "a slot is not indexed once")
		}
		given := 0
		for _, at := range t.lastGiven {
			if at != neverGiven {
				given++
			}
		}
		m.that(given == t.givenTo, "hosts of a target miscounted")
		m.that(given <= max(1, s.connections/max(1, t.slots)), "target given to too many hosts")
	}
	for i := range s.hosts {
		m.that(byHost[int32(i)] == s.hosts[i].inUse, "slots of a host miscounted")
	}
	m.that(len(s.bySlot) == inUse && len(s.byAsk) == inUse, "slots in use miscounted")
	m.checkQueues(s, byWorkspace)
}

func (m *machine) checkQueues(s *service, inUse map[*workspace]int) {
	waiting := 0
	for _, w := range s.workspaces {
		m.that(inUse[w] == w.inUse, "slots of a workspace miscounted")
		n := 0
		for _, a := range w.queue.items[w.queue.head:] {
			if !a.gone {
				n++
				m.that(a == s.waitingAsk[a.askKey], "a waiting query is not indexed")
			}
		}
		m.that(n == w.waiting && n <= s.queueLimit, "queue of a workspace miscounted or too long")
		waiting += n
	}
	m.that(waiting == s.waiting && waiting == len(s.waitingAsk), "waiting queries miscounted")
}

func (m *machine) deliver(from model.HostID, msg proto.Message) {
	ev := Received{From: from, Msg: msg}
	m.sent = append(m.sent, ev)
	m.step(ev)
}

func (m *machine) host() model.HostID {
	return model.HostID(fmt.Sprintf("e%d", rapid.IntRange(0, 4).Draw(m.t, "host")))
}

func (m *machine) target() model.TargetID {
	return model.TargetID(fmt.Sprintf("t%d", rapid.IntRange(0, 5).Draw(m.t, "target")))
}

func (m *machine) announce(*rapid.T) {
	id := m.target()
	a, ok := m.states[id]
	if !ok || rapid.IntRange(0, 9).Draw(m.t, "restart") == 0 {
		a = model.Announcement{Service: testService, Target: id, Addr: "127.0.0.1:1", Zone: "z", Slots: 3, Incarnation: a.Incarnation + 1, State: model.TargetReady}
	}
	if rapid.IntRange(0, 9).Draw(m.t, "state") == 0 {
		a.State = min(a.State+1, model.TargetLeaving)
	}
	m.states[id] = a
	m.deliver(m.host(), proto.TargetNews{Announcement: a})
}

func (m *machine) announceAll(t *rapid.T) {
	for range 6 {
		m.announce(t)
	}
}

func (m *machine) ask(*rapid.T) {
	m.nonce++
	ask := proto.SlotAsk{
		Nonce: m.nonce, Service: testService, Zone: "z",
		Workspace:   model.WorkspaceID(fmt.Sprintf("w%d", rapid.IntRange(0, 2).Draw(m.t, "workspace"))),
		Fingerprint: model.Fingerprint(rapid.IntRange(1, 4).Draw(m.t, "fingerprint")),
		Remaining:   time.Duration(rapid.IntRange(0, 3000).Draw(m.t, "budget")) * time.Millisecond,
	}
	if rapid.IntRange(0, 4).Draw(m.t, "retry") == 0 {
		ask.Exclude = []model.TargetID{m.target()}
	}
	m.deliver(m.host(), ask)
}

func (m *machine) done(*rapid.T) {
	if len(m.replies) == 0 {
		return
	}
	r := rapid.SampledFrom(m.replies).Draw(m.t, "reply")
	end := model.AttemptEnd(rapid.IntRange(int(model.AttemptOK), int(model.AttemptInvalid)).Draw(m.t, "end"))
	from := m.host()
	if from == r.host {
		m.end(r, end)
		return
	}
	held := m.holds(r)
	m.deliver(from, proto.SlotDone{Service: testService, Slot: r.Slot, Attempt: model.Attempt{Target: r.Target, End: end}})
	require.Equal(m.t, held, m.holds(r), "a host freed the slot of another")
}

func (m *machine) holds(r reply) bool {
	s := m.o.services[testService]
	return s != nil && s.bySlot[r.Slot] != nil
}

func (m *machine) end(r reply, end model.AttemptEnd) {
	m.deliver(r.host, proto.SlotDone{
		Service: testService, Slot: r.Slot, Workspace: "w0", Fingerprint: model.Fingerprint(1 + r.Nonce%4),
		Attempt: model.Attempt{Target: r.Target, Incarnation: r.Incarnation, End: end, Latency: 20 * time.Millisecond},
	})
}

// traffic runs requests through all targets, of which some fail.
func (m *machine) traffic(*rapid.T) {
	bad := rapid.IntRange(0, 63).Draw(m.t, "bad")
	end := rapid.SampledFrom([]model.AttemptEnd{model.AttemptError, model.AttemptBroken, model.AttemptNotSent}).Draw(m.t, "fault")
	for range 60 {
		m.nonce++
		before := len(m.replies)
		m.deliver("e0", proto.SlotAsk{Nonce: m.nonce, Service: testService, Zone: "z", Workspace: "w0", Fingerprint: model.Fingerprint(1 + m.nonce%4), Remaining: time.Second})
		if len(m.replies) == before {
			continue
		}
		r := m.replies[len(m.replies)-1]
		m.now = m.now.Add(5 * time.Millisecond)
		if bad>>(r.Target[1]-'0')&1 == 1 {
			m.end(r, end)
			continue
		}
		m.end(r, model.AttemptOK)
	}
	m.step(Tick{})
}

func (m *machine) cancel(*rapid.T) {
	n := uint64(rapid.IntRange(1, int(m.nonce)+1).Draw(m.t, "nonce"))
	m.deliver(m.host(), proto.SlotCancel{Service: testService, Nonce: n})
}

func (m *machine) repeat(*rapid.T) {
	if len(m.sent) > 0 {
		m.step(rapid.SampledFrom(m.sent).Draw(m.t, "late"))
	}
}

func (m *machine) tick(*rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 400).Draw(m.t, "ms")) * time.Millisecond)
	m.step(Tick{})
}

func (m *machine) hostGone(*rapid.T) { m.step(HostGone{Host: m.host()}) }

func (m *machine) probe(*rapid.T) {
	id := m.target()
	m.deliver(m.host(), proto.ProbeResult{Service: testService, Target: id, Incarnation: m.states[id].Incarnation})
}

func (m *machine) ownership(*rapid.T) {
	switch rapid.IntRange(0, 6).Draw(m.t, "ownership") {
	case 0:
		m.owned = false
		m.step(OwnershipLost{Shard: testShard()})
	case 1:
		m.epoch++
		m.owned, m.until = true, m.now.Add(time.Second)
		m.step(OwnershipGained{Shard: testShard(), Epoch: m.epoch, Until: m.until})
	default:
		if m.owned {
			// The end of a lease never moves back.
			m.until = max(m.until, m.now.Add(5*time.Second))
		}
		m.step(OwnershipRenewed{Shard: testShard(), Epoch: m.epoch, Until: m.now.Add(5 * time.Second)})
	}
}

// Guards against slots that leak or are counted twice, capacity below the
// floor, decisions without the shard, and panics, under duplicated, late and
// reordered messages and changes of ownership.
func TestOwnerUnderRandomEvents(t *testing.T) {
	ejections := 0
	tune := DefaultTuning()
	// Lower limits make ejections frequent.
	tune.ErrorLimit, tune.CrashLimit = 4, 30
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{t: t, o: NewOwner("e0", WithTuning(tune)), now: model.Instant(time.Second), states: map[model.TargetID]model.Announcement{}}
		cfg := model.NewConfig(nil, nil)
		cfg.Defaults.Connections = rapid.IntRange(3, 20).Draw(t, "connections")
		cfg.Defaults.QueueLimit = 4
		m.step(Configured{Config: cfg})
		m.step(EntryHostsChanged{})
		m.epoch, m.owned, m.until = 1, true, m.now.Add(10*time.Second)
		m.step(OwnershipGained{Shard: testShard(), Epoch: 1, Until: m.until})
		t.Repeat(map[string]func(*rapid.T){
			"announce": m.announce, "announce2": m.announce, "announce3": m.announce, "announceAll": m.announceAll, "ask": m.ask, "ask2": m.ask, "ask3": m.ask, "done": m.done, "done2": m.done,
			"cancel": m.cancel, "traffic": m.traffic, "traffic2": m.traffic, "repeat": m.repeat, "tick": m.tick, "hostGone": m.hostGone, "probe": m.probe, "ownership": m.ownership,
		})
		// Whatever happened, every slot is free once all deadlines have passed.
		m.now = m.now.Add(4 * time.Second)
		m.step(OwnershipGained{Shard: testShard(), Epoch: m.epoch, Until: m.now.Add(time.Minute)})
		m.owned, m.until = true, m.now.Add(time.Minute)
		m.step(Tick{})
		if s := m.o.services[testService]; s != nil {
			require.Empty(t, s.bySlot)
			require.Empty(t, s.waitingAsk)
		}
		ejections += m.ejections
	})
	require.Positive(t, ejections, "the events never lead to an ejection")
}
