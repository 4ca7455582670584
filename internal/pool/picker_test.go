package pool

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// pickerHarness drives a picker and keeps the effects of the last step.
type pickerHarness struct {
	t      *testing.T
	picker *Picker
	now    model.Instant
	out    []Effect
}

// newPickerHarness returns the picker of a host, with an owner that is ready or, if
// its name is empty, without one.
func newPickerHarness(t *testing.T, owner model.HostID) *pickerHarness {
	h := &pickerHarness{t: t, picker: NewPicker("e1", "z"), now: model.Instant(time.Second)}
	h.step(Configured{Config: model.NewConfig(nil, nil)})
	if owner != "" {
		h.setOwner(owner, 1)
		h.ackRestore(owner, 1)
	}
	return h
}

// ackRestore delivers an acknowledgement by which an owner says that it assigns slots.
func (h *pickerHarness) ackRestore(owner model.HostID, epoch model.Epoch) {
	h.step(Received{From: owner, Msg: proto.RestoreAck{Shard: testShard(), Epoch: epoch, Serial: h.picker.serial, Ready: true}})
}

func (h *pickerHarness) setOwner(host model.HostID, epoch model.Epoch) {
	h.step(OwnersChanged{Owners: []proto.Owner{{Shard: testShard(), Host: host, Epoch: epoch}}})
}

func (h *pickerHarness) step(ev Event) []Effect {
	h.out = append([]Effect(nil), h.picker.Step(h.now, ev)...)
	return h.out
}

// request asks the picker for a target, with a deadline in 2 s.
func (h *pickerHarness) request(id model.RequestID, exclude ...model.TargetID) {
	h.step(TargetRequested{Request: id, Service: testService, Workspace: "w", Deadline: h.now.Add(2 * time.Second), Exclude: exclude})
}

// wait lets time pass with ticks and returns all effects.
func (h *pickerHarness) wait(dur time.Duration) []Effect {
	var all []Effect
	for end := h.now.Add(dur); h.now < end; {
		h.now = h.now.Add(20 * time.Millisecond)
		all = append(all, h.step(Tick{})...)
	}
	return all
}

// sentMessages returns the sent messages of one type.
func sentMessages[M proto.Message](out []Effect) []M {
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

// effectsOf returns the effects of one type.
func effectsOf[E Effect](out []Effect) []E {
	var list []E
	for _, e := range out {
		if x, ok := e.(E); ok {
			list = append(list, x)
		}
	}
	return list
}

// receiveView delivers a view of owner e0.
func (h *pickerHarness) receiveView(epoch model.Epoch, targets ...proto.TargetView) {
	h.step(Received{From: "e0", Msg: proto.ViewReply{Service: testService, Epoch: epoch, Digest: uint64(len(targets) + 1), Targets: targets}})
}

func viewOf(id model.TargetID, ejected bool) proto.TargetView {
	v := proto.TargetView{Target: id, Addr: "127.0.0.1:1", Zone: "z", Slots: 3, Incarnation: 1, Ejected: ejected}
	if ejected {
		v.EjectionRemaining = time.Minute
	}
	return v
}

// TestPickerRepeatsAndWithdraws guards against requests that hang after one lost
// message, and against slots that leak when a request is abandoned.
func TestPickerRepeatsAndWithdraws(t *testing.T) {
	h := newPickerHarness(t, "e0")
	h.request("r")
	first := sentMessages[proto.SlotAsk](h.out)
	require.Len(t, first, 1)
	again := sentMessages[proto.SlotAsk](h.wait(100 * time.Millisecond))
	require.NotEmpty(t, again)
	require.Equal(t, first[0].Nonce, again[0].Nonce)
	require.Less(t, again[0].Remaining, first[0].Remaining)

	h.step(RequestAbandoned{Request: "r"})
	require.Equal(t, []proto.SlotCancel{{Service: testService, Nonce: first[0].Nonce}}, sentMessages[proto.SlotCancel](h.out))
	h.step(Received{From: "e0", Msg: proto.SlotReply{Nonce: first[0].Nonce, Status: proto.SlotAssigned, Slot: 1, Target: "t0"}})
	require.Empty(t, effectsOf[Assigned](h.out))
	require.Len(t, sentMessages[proto.SlotCancel](h.out), 1, "an assignment that overtook the withdrawal is given back")
}

// TestPickerAssignsOnce guards against a repeated reply that runs a request twice,
// and against a report that names another target than the assigned one.
func TestPickerAssignsOnce(t *testing.T) {
	h := newPickerHarness(t, "e0")
	h.request("r")
	nonce := sentMessages[proto.SlotAsk](h.out)[0].Nonce
	reply := Received{From: "e0", Msg: proto.SlotReply{Nonce: nonce, Status: proto.SlotAssigned, Slot: 5, Target: "t0", Incarnation: 3, Epoch: 1}}
	require.Equal(t, []Assigned{{Request: "r", Target: "t0", Incarnation: 3}}, effectsOf[Assigned](h.step(reply)))
	require.Empty(t, h.step(reply))
	h.step(AttemptEnded{Request: "r", Attempt: model.Attempt{End: model.AttemptOK}})
	done := sentMessages[proto.SlotDone](h.out)
	require.Len(t, done, 1)
	require.Equal(t, uint64(5), done[0].Slot)
	require.Equal(t, model.TargetID("t0"), done[0].Attempt.Target)
	require.Empty(t, h.step(AttemptEnded{Request: "r", Attempt: model.Attempt{End: model.AttemptOK}}))
}

// TestPickerIgnoresAssignmentsOfEarlierOwnerships guards against a late assignment of
// an earlier ownership. Its slot is unknown to the present owner, and giving it
// back may free the slot in use.
func TestPickerIgnoresAssignmentsOfEarlierOwnerships(t *testing.T) {
	h := newPickerHarness(t, "e0")
	h.request("r")
	ask := sentMessages[proto.SlotAsk](h.out)[0]
	reply := func(epoch model.Epoch) []Effect {
		return h.step(Received{From: "e0", Msg: proto.SlotReply{
			Nonce: ask.Nonce, Status: proto.SlotAssigned, Slot: uint64(epoch), Target: "t0", Incarnation: 1, Epoch: epoch,
		}})
	}
	h.setOwner("e0", 2)
	h.ackRestore("e0", 2)
	require.Empty(t, reply(1))
	require.Len(t, effectsOf[Assigned](reply(2)), 1)
	require.Empty(t, reply(1), "a repeat")
	require.Len(t, sentMessages[proto.SlotCancel](reply(3)), 1, "another slot of a later ownership is given back")
}

// TestPickerDecidesLocallyWithoutOwner guards against an outage of a service while
// its owner is lost, and against the use of targets that the owner had ejected or
// that have left.
func TestPickerDecidesLocallyWithoutOwner(t *testing.T) {
	h := newPickerHarness(t, "e0")
	h.request("first")
	h.step(RequestAbandoned{Request: "first"})
	h.receiveView(1, viewOf("good", false), viewOf("bad", true), viewOf("gone", false))
	h.step(TargetAnnounced{Announcement: model.Announcement{Service: testService, Target: "gone", Incarnation: 1, State: model.TargetLeaving}})

	h.request("r")
	got := effectsOf[Assigned](h.wait(400 * time.Millisecond))
	require.Equal(t, []Assigned{{Request: "r", Target: "good", Addr: "127.0.0.1:1", Incarnation: 1, Local: true}}, got, "after the owner fell silent")
	h.setOwner("", 2)
	h.request("s")
	require.Empty(t, h.out, "one of three slots is this host's share")
	h.step(AttemptEnded{Request: "r", Attempt: model.Attempt{End: model.AttemptOK}})
	require.Len(t, effectsOf[Assigned](h.out), 1)
	h.step(AttemptEnded{Request: "s", Attempt: model.Attempt{End: model.AttemptOK}})

	h.wait(3 * time.Second)
	h.request("t")
	require.Empty(t, effectsOf[Assigned](h.out), "a view of more than 3 s ago may name targets that left")
	refused := effectsOf[Refused](h.wait(2 * time.Second))
	require.Equal(t, []Refused{{Request: "t", Status: proto.SlotTooLate, Reason: RefusedTooLate}}, refused)
}

// TestPickerReportsWhatItDecidedWithoutOwner guards against a time without an owner
// that no log shows once it is over.
func TestPickerReportsWhatItDecidedWithoutOwner(t *testing.T) {
	h := newPickerHarness(t, "e0")
	h.request("r")
	h.receiveView(1, viewOf("a", false), viewOf("b", false))
	first := effectsOf[Assigned](h.wait(400 * time.Millisecond))
	require.Len(t, first, 1)
	h.step(AttemptEnded{Request: "r", Attempt: model.Attempt{End: model.AttemptError}})
	h.request("r", first[0].Target)
	require.Len(t, effectsOf[Assigned](h.out), 1)

	h.setOwner("e1", 2)
	h.ackRestore("e1", 2)
	reports := effectsOf[DecidedWithoutOwner](h.wait(100 * time.Millisecond))
	require.Len(t, reports, 1)
	require.Equal(t, 2, reports[0].Requests)
	require.Equal(t, 1, reports[0].Retries)
	require.Empty(t, effectsOf[DecidedWithoutOwner](h.wait(time.Second)))
}

// TestPickerLocalRetriesAreBounded guards against local retries that multiply the
// load while a service fails.
func TestPickerLocalRetriesAreBounded(t *testing.T) {
	h := newPickerHarness(t, "")
	for _, id := range []model.TargetID{"a", "b"} {
		h.step(TargetAnnounced{Announcement: model.Announcement{Service: testService, Target: id, Slots: 3, Incarnation: 1, State: model.TargetReady}})
	}
	retries := 0
	for range 100 {
		h.request("r")
		for exclude := model.TargetID(""); len(effectsOf[Assigned](h.out)) == 1; {
			exclude = effectsOf[Assigned](h.out)[0].Target
			h.step(AttemptEnded{Request: "r", Attempt: model.Attempt{End: model.AttemptError}})
			h.request("r", exclude)
			if len(effectsOf[Assigned](h.out)) == 1 {
				retries++
				h.step(AttemptEnded{Request: "r", Attempt: model.Attempt{End: model.AttemptError}})
				break
			}
		}
	}
	require.LessOrEqual(t, retries, 20, "10 saved up and a tenth of 100 requests")
	require.Positive(t, retries)
}

// TestNewOwnerLearnsTargetsAndRequestsAtOnce guards against a new owner that does
// not know the targets or the waiting requests for more than a second.
func TestNewOwnerLearnsTargetsAndRequestsAtOnce(t *testing.T) {
	h := newPickerHarness(t, "e0")
	a := model.Announcement{Service: testService, Target: "t0", Slots: 3, Incarnation: 1, State: model.TargetReady}
	old := model.Announcement{Service: testService, Target: "t1", Slots: 3, Incarnation: 1, State: model.TargetReady}
	h.step(TargetAnnounced{Announcement: old})
	h.wait(2 * time.Second)
	h.step(TargetAnnounced{Announcement: a})
	require.Equal(t, []proto.TargetNews{{Announcement: a}}, sentMessages[proto.TargetNews](h.out))
	h.request("r")
	h.setOwner("e2", 2)
	require.Equal(t, []proto.TargetNews{{Announcement: a}}, sentMessages[proto.TargetNews](h.out), "without the one of 2 s ago")
	require.Len(t, sentMessages[proto.RestoreReport](h.out), 1)
	require.Len(t, sentMessages[proto.ViewAsk](h.out), 1)
	require.Empty(t, sentMessages[proto.SlotAsk](h.out), "the new owner assigns nothing before it is ready")
	h.ackRestore("e2", 2)
	require.Len(t, sentMessages[proto.SlotAsk](h.out), 1)
	h.step(Probed{Service: testService, Target: "t0", Incarnation: 1, OK: true})
	require.Len(t, sentMessages[proto.ProbeResult](h.out), 1)
	h.setOwner("e0", 1)
	require.Empty(t, h.out, "an older table of owners")
}
