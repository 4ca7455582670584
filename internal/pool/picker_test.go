package pool

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// desk drives a picker and keeps the effects of the last step.
type desk struct {
	t   *testing.T
	p   *Picker
	now model.Instant
	out []Effect
}

func newDesk(t *testing.T, owner model.HostID) *desk {
	d := &desk{t: t, p: NewPicker("e1", "z"), now: model.Instant(time.Second)}
	d.step(Configured{Config: model.NewConfig(nil, nil)})
	if owner != "" {
		d.own(owner, 1)
		d.ready(owner, 1)
	}
	return d
}

// ready lets a new owner say that it assigns slots.
func (d *desk) ready(owner model.HostID, epoch model.Epoch) {
	d.step(Received{From: owner, Msg: proto.RestoreAck{Shard: testShard(), Epoch: epoch, Serial: d.p.serial, Ready: true}})
}

func (d *desk) own(host model.HostID, epoch model.Epoch) {
	d.step(OwnersChanged{Owners: []proto.Owner{{Shard: testShard(), Host: host, Epoch: epoch}}})
}

func (d *desk) step(ev Event) []Effect {
	d.out = append([]Effect(nil), d.p.Step(d.now, ev)...)
	return d.out
}

func (d *desk) want(id model.RequestID, exclude ...model.TargetID) {
	d.step(TargetRequested{Request: id, Service: testService, Workspace: "w", Deadline: d.now.Add(2 * time.Second), Exclude: exclude})
}

// wait lets time pass with ticks and returns all effects.
func (d *desk) wait(dur time.Duration) []Effect {
	var all []Effect
	for end := d.now.Add(dur); d.now < end; {
		d.now = d.now.Add(20 * time.Millisecond)
		all = append(all, d.step(Tick{})...)
	}
	return all
}

// sent returns the messages of one type.
func sent[M proto.Message](out []Effect) []M {
	var list []M
	for _, e := range out {
		if s, ok := e.(Send); ok {
			if m, ok := s.Msg.(M); ok {
				list = append(list, m)
			}
		}
	}
	return list
}

func effects[E Effect](out []Effect) []E {
	var list []E
	for _, e := range out {
		if x, ok := e.(E); ok {
			list = append(list, x)
		}
	}
	return list
}

func (d *desk) view(epoch model.Epoch, targets ...proto.TargetView) {
	d.step(Received{From: "e0", Msg: proto.ViewReply{Service: testService, Epoch: epoch, Digest: uint64(len(targets) + 1), Targets: targets}})
}

func viewOf(id model.TargetID, ejected bool) proto.TargetView {
	return proto.TargetView{Target: id, Addr: "127.0.0.1:1", Zone: "z", Slots: 3, Incarnation: 1, Ejected: ejected}
}

// Guards against requests that hang after one lost message, and against slots
// that leak when a request was abandoned.
func TestPickerRepeatsAndWithdraws(t *testing.T) {
	d := newDesk(t, "e0")
	d.want("r")
	first := sent[proto.SlotAsk](d.out)
	require.Len(t, first, 1)
	again := sent[proto.SlotAsk](d.wait(100 * time.Millisecond))
	require.NotEmpty(t, again)
	require.Equal(t, first[0].Nonce, again[0].Nonce)
	require.Less(t, again[0].Remaining, first[0].Remaining)

	d.step(RequestAbandoned{Request: "r"})
	require.Equal(t, []proto.SlotCancel{{Service: testService, Nonce: first[0].Nonce}}, sent[proto.SlotCancel](d.out))
	d.step(Received{From: "e0", Msg: proto.SlotReply{Nonce: first[0].Nonce, Status: proto.SlotAssigned, Slot: 1, Target: "t0"}})
	require.Empty(t, effects[Assigned](d.out))
	require.Len(t, sent[proto.SlotCancel](d.out), 1, "an assignment that overtook the withdrawal is given back")
}

// Guards against a duplicated reply that runs a request twice, and against a
// report that names another target than the one assigned.
func TestPickerAssignsOnce(t *testing.T) {
	d := newDesk(t, "e0")
	d.want("r")
	nonce := sent[proto.SlotAsk](d.out)[0].Nonce
	reply := Received{From: "e0", Msg: proto.SlotReply{Nonce: nonce, Status: proto.SlotAssigned, Slot: 5, Target: "t0", Incarnation: 3, Epoch: 1}}
	require.Equal(t, []Assigned{{Request: "r", Target: "t0", Incarnation: 3}}, effects[Assigned](d.step(reply)))
	require.Empty(t, d.step(reply))
	d.step(AttemptEnded{Request: "r", Attempt: model.Attempt{End: model.AttemptOK}})
	done := sent[proto.SlotDone](d.out)
	require.Len(t, done, 1)
	require.Equal(t, uint64(5), done[0].Slot)
	require.Equal(t, model.TargetID("t0"), done[0].Attempt.Target)
	require.Empty(t, d.step(AttemptEnded{Request: "r", Attempt: model.Attempt{End: model.AttemptOK}}))
}

// Guards against a late assignment of an earlier tenure that takes a slot
// unknown to the present owner, or whose return frees the one in use.
func TestPickerIgnoresAssignmentsOfEarlierTenures(t *testing.T) {
	d := newDesk(t, "e0")
	d.want("r")
	ask := sent[proto.SlotAsk](d.out)[0]
	reply := func(epoch model.Epoch) []Effect {
		return d.step(Received{From: "e0", Msg: proto.SlotReply{
			Nonce: ask.Nonce, Status: proto.SlotAssigned, Slot: uint64(epoch), Target: "t0", Incarnation: 1, Epoch: epoch,
		}})
	}
	d.own("e0", 2)
	d.ready("e0", 2)
	require.Empty(t, reply(1))
	require.Len(t, effects[Assigned](reply(2)), 1)
	require.Empty(t, reply(1), "a repeat")
	require.Len(t, sent[proto.SlotCancel](reply(3)), 1, "another slot of a later tenure is given back")
}

// Guards against an outage of a service while its owner is lost, and against
// use of targets that the owner had ejected or that left.
func TestPickerDecidesLocallyWithoutOwner(t *testing.T) {
	d := newDesk(t, "e0")
	d.want("first")
	d.step(RequestAbandoned{Request: "first"})
	d.view(1, viewOf("good", false), viewOf("bad", true), viewOf("gone", false))
	d.step(TargetAnnounced{Announcement: model.Announcement{Service: testService, Target: "gone", Incarnation: 1, State: model.TargetLeaving}})

	d.want("r")
	got := effects[Assigned](d.wait(400 * time.Millisecond))
	require.Equal(t, []Assigned{{Request: "r", Target: "good", Addr: "127.0.0.1:1", Incarnation: 1, Local: true}}, got, "after the owner fell silent")
	d.own("", 2)
	d.want("s")
	require.Empty(t, d.out, "one of three slots is this host's share")
	d.step(AttemptEnded{Request: "r", Attempt: model.Attempt{End: model.AttemptOK}})
	require.Len(t, effects[Assigned](d.out), 1)
	d.step(AttemptEnded{Request: "s", Attempt: model.Attempt{End: model.AttemptOK}})

	d.wait(3 * time.Second)
	d.want("t")
	require.Empty(t, effects[Assigned](d.out), "a view of more than 3 s ago may name targets that left")
	refused := effects[Refused](d.wait(2 * time.Second))
	require.Equal(t, []Refused{{Request: "t", Status: proto.SlotTooLate}}, refused)
}

// Guards against local retries that multiply the load while a service fails.
func TestPickerLocalRetriesAreBounded(t *testing.T) {
	d := newDesk(t, "")
	for _, id := range []model.TargetID{"a", "b"} {
		d.step(TargetAnnounced{Announcement: model.Announcement{Service: testService, Target: id, Slots: 3, Incarnation: 1, State: model.TargetReady}})
	}
	retries := 0
	for range 100 {
		d.want("r")
		for exclude := model.TargetID(""); len(effects[Assigned](d.out)) == 1; {
			exclude = effects[Assigned](d.out)[0].Target
			d.step(AttemptEnded{Request: "r", Attempt: model.Attempt{End: model.AttemptError}})
			d.want("r", exclude)
			if len(effects[Assigned](d.out)) == 1 {
				retries++
				d.step(AttemptEnded{Request: "r", Attempt: model.Attempt{End: model.AttemptError}})
				break
			}
		}
	}
	require.LessOrEqual(t, retries, 20, "10 saved up and a tenth of 100 requests")
	require.Positive(t, retries)
}

// Guards against a new owner that does not know targets or waiting requests for
// more than a second.
func TestNewOwnerLearnsAtOnce(t *testing.T) {
	d := newDesk(t, "e0")
	a := model.Announcement{Service: testService, Target: "t0", Slots: 3, Incarnation: 1, State: model.TargetReady}
	old := model.Announcement{Service: testService, Target: "t1", Slots: 3, Incarnation: 1, State: model.TargetReady}
	d.step(TargetAnnounced{Announcement: old})
	d.wait(2 * time.Second)
	d.step(TargetAnnounced{Announcement: a})
	require.Equal(t, []proto.TargetNews{{Announcement: a}}, sent[proto.TargetNews](d.out))
	d.want("r")
	d.own("e2", 2)
	require.Equal(t, []proto.TargetNews{{Announcement: a}}, sent[proto.TargetNews](d.out), "without the one of 2 s ago")
	require.Len(t, sent[proto.RestoreReport](d.out), 1)
	require.Len(t, sent[proto.ViewAsk](d.out), 1)
	require.Empty(t, sent[proto.SlotAsk](d.out), "the new owner assigns nothing before it is ready")
	d.ready("e2", 2)
	require.Len(t, sent[proto.SlotAsk](d.out), 1)
	d.step(Probed{Service: testService, Target: "t0", Incarnation: 1, OK: true})
	require.Len(t, sent[proto.ProbeResult](d.out), 1)
	d.own("e0", 1)
	require.Empty(t, d.out, "an older table of owners")
}
