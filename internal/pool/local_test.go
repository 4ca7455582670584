package pool

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// newStartedPickers returns the pickers of hosts that start together and know the
// targets of a service, but no owner.
// TestEjectionEndsWithoutAnOwner guards against a target that no host uses for as long as
// there is no owner, since the last one had ejected it for some seconds.
func TestEjectionEndsWithoutAnOwner(t *testing.T) {
	h := newPickerHarness(t, "e0")
	h.request("first")
	h.step(RequestAbandoned{Request: "first"})
	ejected := viewOf("ejected", true)
	ejected.EjectionRemaining = 4 * time.Second
	h.receiveView(1, ejected)
	h.setOwner("", 2)
	list := TargetsListed{Targets: []model.Announcement{{Service: testService, Target: "ejected", Zone: "z", Slots: 3, Incarnation: 1, State: model.TargetReady}}}
	h.step(list)
	h.request("r")
	require.Empty(t, effectsOf[Assigned](h.wait(time.Second)))
	h.wait(3 * time.Second)
	h.step(list)
	h.request("s")
	require.Len(t, effectsOf[Assigned](h.out), 1)
}

func newStartedPickers(t *testing.T, hosts, targets, slots int) []*pickerHarness {
	t.Helper()
	var list []model.Announcement
	for i := range targets {
		id := model.TargetID(fmt.Sprintf("t%02d", i))
		list = append(list, model.Announcement{Service: testService, Target: id, Addr: string(id) + ":80", Zone: "z", Slots: slots, Incarnation: 1, State: model.TargetReady})
	}
	var out []*pickerHarness
	for i := range hosts {
		h := &pickerHarness{t: t, picker: NewPicker(model.HostID(fmt.Sprintf("e%02d", i)), "z", WithIncarnation(7)), now: model.Instant(time.Second)}
		h.step(Configured{Config: model.NewConfig(nil, nil)})
		h.step(TargetsListed{Targets: list})
		h.step(EntryHostCountChanged{Count: hosts})
		out = append(out, h)
	}
	return out
}

// TestHostsThatStartTogetherSpreadOverTargets guards against hosts with equal
// random sources. When they start together, they all choose the same targets, and
// one target gets the first request of every host in its zone.
func TestHostsThatStartTogetherSpreadOverTargets(t *testing.T) {
	const hosts, targets = 24, 12
	got := map[model.TargetID]int{}
	for i, h := range newStartedPickers(t, hosts, targets, 4) {
		h.request(model.RequestID(fmt.Sprint("r", i)))
		for _, a := range effectsOf[Assigned](h.out) {
			got[a.Target]++
		}
	}
	most := 0
	for _, n := range got {
		most = max(most, n)
	}
	require.LessOrEqual(t, most, 4*hosts/targets)
}

// TestHostsThatStartTogetherUseTheSlots guards against a fleet that, after a
// restart of all its hosts, serves one request at a time at each host until the
// owners are back: 97 hosts with 110 targets refused a fifth of the requests for
// two seconds, although the targets had free slots.
func TestHostsThatStartTogetherUseTheSlots(t *testing.T) {
	const hosts, targets, slots, each = 10, 20, 4, 6
	assigned := 0
	for i, h := range newStartedPickers(t, hosts, targets, slots) {
		for n := range each {
			h.request(model.RequestID(fmt.Sprint("r", i, "-", n)))
			assigned += len(effectsOf[Assigned](h.out))
		}
	}
	require.Equal(t, hosts*each, assigned)

	// Not many more requests than there are slots may reach the targets.
	assigned = 0
	for i, h := range newStartedPickers(t, hosts, targets, slots) {
		for n := range 5 * each {
			h.request(model.RequestID(fmt.Sprint("r", i, "-", n)))
			assigned += len(effectsOf[Assigned](h.out))
		}
	}
	require.LessOrEqual(t, assigned, targets*slots)
}
