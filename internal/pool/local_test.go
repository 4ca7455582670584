package pool

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// startedHosts returns the pickers of hosts that start together and know the
// targets of a service, but no owner.
func startedHosts(t *testing.T, hosts, targets, slots int) []*desk {
	t.Helper()
	var list []model.Announcement
	for i := range targets {
		id := model.TargetID(fmt.Sprintf("t%02d", i))
		list = append(list, model.Announcement{Service: testService, Target: id, Addr: string(id) + ":80", Zone: "z", Slots: slots, Incarnation: 1, State: model.TargetReady})
	}
	var out []*desk
	for i := range hosts {
		d := &desk{t: t, p: NewPicker(model.HostID(fmt.Sprintf("e%02d", i)), "z", WithIncarnation(7)), now: model.Instant(time.Second)}
		d.step(Configured{Config: model.NewConfig(nil, nil)})
		d.step(TargetsListed{Targets: list})
		d.step(EntryHostCountChanged{Count: hosts})
		out = append(out, d)
	}
	return out
}

// Guards against hosts that start together and all choose the same targets,
// since their random sources are the same: a target got the first request of
// every host of its zone.
func TestHostsThatStartTogetherSpreadOverTargets(t *testing.T) {
	const hosts, targets = 24, 12
	got := map[model.TargetID]int{}
	for i, d := range startedHosts(t, hosts, targets, 4) {
		d.want(model.RequestID(fmt.Sprint("r", i)))
		for _, a := range effects[Assigned](d.out) {
			got[a.Target]++
		}
	}
	most := 0
	for _, n := range got {
		most = max(most, n)
	}
	require.LessOrEqual(t, most, 4*hosts/targets)
}

// Guards against a fleet whose hosts all restart and that then serves one
// request at a time at each host until the owners are back: 97 hosts before 110
// targets refused a fifth of the requests of two seconds, though the targets had
// slots (grown Rodopi, trouble-2).
func TestHostsThatStartTogetherUseTheSlots(t *testing.T) {
	const hosts, targets, slots, each = 10, 20, 4, 6
	assigned := 0
	for i, d := range startedHosts(t, hosts, targets, slots) {
		for n := range each {
			d.want(model.RequestID(fmt.Sprint("r", i, "-", n)))
			assigned += len(effects[Assigned](d.out))
		}
	}
	require.Equal(t, hosts*each, assigned)

	// Far more than the slots is not sent to the targets.
	assigned = 0
	for i, d := range startedHosts(t, hosts, targets, slots) {
		for n := range 5 * each {
			d.want(model.RequestID(fmt.Sprint("r", i, "-", n)))
			assigned += len(effects[Assigned](d.out))
		}
	}
	require.LessOrEqual(t, assigned, targets*slots)
}
