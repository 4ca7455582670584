package pool

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// cluster connects pickers with the present owner by a network without loss or delay.
type cluster struct {
	t            *testing.T
	now          model.Instant
	hosts        []model.HostID
	pickers      map[model.HostID]*Picker
	owner        *Owner
	ownerHost    model.HostID
	epoch        model.Epoch
	requestCount int
	hostOf       map[model.RequestID]model.HostID
	// incarnations holds the last announced incarnation of each target, by the target's number.
	incarnations map[int]model.Incarnation
	// running holds the requests that have a target.
	running          map[model.RequestID]Assigned
	refused          map[model.RequestID]proto.SlotStatus
	quarantinedCount int
}

func newCluster(t *testing.T, hosts, targets int) *cluster {
	c := &cluster{
		t: t, now: model.Instant(time.Second), pickers: map[model.HostID]*Picker{}, hostOf: map[model.RequestID]model.HostID{},
		incarnations: map[int]model.Incarnation{},
		running:      map[model.RequestID]Assigned{}, refused: map[model.RequestID]proto.SlotStatus{},
	}
	for i := range hosts {
		h := model.HostID(fmt.Sprintf("e%d", i))
		c.hosts = append(c.hosts, h)
		c.pickers[h] = NewPicker(h, "z")
		c.pickers[h].Step(c.now, Configured{Config: model.NewConfig(nil, nil)})
	}
	c.startOwner("e0")
	for i := range targets {
		c.announce(i, 1)
	}
	c.wait(300 * time.Millisecond)
	return c
}

func (c *cluster) announce(i int, inc model.Incarnation) {
	c.incarnations[i] = inc
	c.stepPicker(c.hosts[i%len(c.hosts)], TargetAnnounced{Announcement: model.Announcement{
		Service: testService, Target: targetID(i), Addr: "127.0.0.1:1", Zone: "z", Slots: 3, Incarnation: inc, State: model.TargetReady,
	}})
}

// stepPicker applies an event to a picker and delivers what it sends to the owner.
func (c *cluster) stepPicker(h model.HostID, ev Event) {
	for _, e := range slices.Clone(c.pickers[h].Step(c.now, ev)) {
		switch e := e.(type) {
		case Send:
			if c.owner != nil && e.To == c.ownerHost {
				c.stepOwner(Received{From: h, Msg: e.Msg})
			}
		case Assigned:
			c.running[e.Request] = e
		case Refused:
			c.refused[e.Request] = e.Status
		}
	}
}

// stepOwner applies an event to the owner and delivers what it sends to the pickers.
func (c *cluster) stepOwner(ev Event) {
	for _, e := range slices.Clone(c.owner.Step(c.now, ev)) {
		switch e := e.(type) {
		case Send:
			c.stepPicker(e.To, Received{From: c.ownerHost, Msg: e.Msg})
		case Quarantined:
			c.quarantinedCount++
		}
	}
}

// wait lets time pass with ticks.
func (c *cluster) wait(d time.Duration) {
	for end := c.now.Add(d); c.now < end; {
		c.now = c.now.Add(20 * time.Millisecond)
		if c.owner != nil {
			c.stepOwner(Tick{})
		}
		for _, h := range c.hosts {
			c.stepPicker(h, Tick{})
		}
	}
}

// startOwner makes a host the owner with an empty state. The earlier owner sends nothing more.
func (c *cluster) startOwner(h model.HostID) {
	c.epoch++
	c.owner, c.ownerHost = NewOwner(h), h
	c.stepOwner(Configured{Config: model.NewConfig(nil, nil)})
	c.stepOwner(OwnershipGained{Shard: testShard(), Epoch: c.epoch, Until: 1 << 60})
	for _, x := range c.hosts {
		c.stepPicker(x, OwnersChanged{Owners: []proto.Owner{{Shard: testShard(), Host: h, Epoch: c.epoch}}})
	}
}

// removeOwner removes the owner and waits until every picker has noticed.
func (c *cluster) removeOwner() {
	c.owner = nil
	c.wait(900 * time.Millisecond)
}

func (c *cluster) request(h model.HostID, fp model.Fingerprint) model.RequestID {
	c.requestCount++
	id := model.RequestID(fmt.Sprint(c.requestCount))
	c.hostOf[id] = h
	c.stepPicker(h, TargetRequested{Request: id, Service: testService, Workspace: "w", Fingerprint: fp, Deadline: c.now.Add(5 * time.Second)})
	return id
}

func (c *cluster) endAttempt(id model.RequestID, end model.AttemptEnd) {
	delete(c.running, id)
	c.stepPicker(c.hostOf[id], AttemptEnded{Request: id, Attempt: model.Attempt{End: end, Latency: 20 * time.Millisecond}})
}

// maxPerTarget returns the highest number of requests that run on one target.
func (c *cluster) maxPerTarget() int {
	n := map[model.TargetID]int{}
	top := 0
	for _, a := range c.running {
		n[a.Target]++
		top = max(top, n[a.Target])
	}
	return top
}

// TestNewOwnerCountsSlotsInUse guards against a target that runs more requests than
// it has slots after a change of owner, because the new owner does not count the
// slots of the lost owner and those that hosts chose without one.
func TestNewOwnerCountsSlotsInUse(t *testing.T) {
	c := newCluster(t, 3, 2)
	var first []model.RequestID
	for i := range 3 {
		first = append(first, c.request(c.hosts[i], 0))
	}
	c.wait(time.Second)
	c.removeOwner()
	c.request("e1", 0)
	c.request("e2", 0)
	c.wait(40 * time.Millisecond)
	require.Len(t, c.running, 5)
	require.LessOrEqual(t, c.maxPerTarget(), 3)
	c.announce(0, 1)
	c.announce(1, 1)
	c.startOwner("e1")
	for i := range 6 {
		c.request(c.hosts[i%3], 0)
	}
	c.wait(600 * time.Millisecond)
	require.Len(t, c.running, 6, "one slot of six is free")
	require.LessOrEqual(t, c.maxPerTarget(), 3)
	for _, id := range first {
		c.endAttempt(id, model.AttemptOK)
	}
	c.wait(100 * time.Millisecond)
	require.Len(t, c.running, 6, "restored slots end like others")
	require.LessOrEqual(t, c.maxPerTarget(), 3)
}

// crash runs a request that crashes its target, which then restarts.
func (c *cluster) crash(h model.HostID, fp model.Fingerprint) model.RequestID {
	id := c.request(h, fp)
	a, ok := c.running[id]
	require.True(c.t, ok)
	c.endAttempt(id, model.AttemptBroken)
	c.wait(100 * time.Millisecond)
	c.announce(int(a.Target[1]-'0'), a.Incarnation+1)
	c.wait(600 * time.Millisecond)
	return id
}

// TestQuarantineSurvivesOwnerChange guards against a quarantined request that runs
// again after a change of owner or while there is none.
func TestQuarantineSurvivesOwnerChange(t *testing.T) {
	c := newCluster(t, 3, 6)
	c.crash("e0", 7)
	c.request("e1", 1)
	c.request("e2", 1)
	c.crash("e1", 7)
	require.Equal(t, 1, c.quarantinedCount)
	for _, h := range c.hosts {
		require.Equal(t, proto.SlotQuarantined, c.refused[c.request(h, 7)])
	}
	for change := range 2 {
		c.removeOwner()
		require.Equal(t, proto.SlotQuarantined, c.refused[c.request("e2", 7)], "without an owner")
		require.Contains(t, c.running, c.request("e2", 8))
		c.startOwner(c.hosts[1+change])
		// Targets announce themselves every second, also to a new owner.
		for _, i := range slices.Sorted(maps.Keys(c.incarnations)) {
			c.announce(i, c.incarnations[i])
		}
		early := c.request("e0", 7)
		c.wait(600 * time.Millisecond)
		require.Equal(t, proto.SlotQuarantined, c.refused[early], "while the owner restores its state")
		require.Equal(t, proto.SlotQuarantined, c.refused[c.request("e2", 7)], "with a new owner")
	}
	require.Equal(t, 1, c.quarantinedCount, "known, not found again")
}

// TestEjectionSurvivesOwnerChange guards against an ejected target that gets its
// full share after a change of owner and has to be detected again.
func TestEjectionSurvivesOwnerChange(t *testing.T) {
	c := newCluster(t, 3, 6)
	bad := targetID(2)
	run := func(n int) (given int) {
		for i := range n {
			id := c.request(c.hosts[i%3], 0)
			if a := c.running[id]; a.Target == bad {
				given++
				c.endAttempt(id, model.AttemptError)
			} else if a.Target != "" {
				c.endAttempt(id, model.AttemptOK)
			}
			c.wait(20 * time.Millisecond)
			for i := range 6 {
				c.announce(i, 1)
			}
		}
		return given
	}
	require.NotZero(t, run(60))
	require.Zero(t, run(20), "ejected")
	c.removeOwner()
	c.startOwner("e1")
	c.wait(300 * time.Millisecond)
	require.True(t, c.owner.Status(c.now)[0].Targets[2].Ejected, "the ejection lasts")
	require.Zero(t, run(20), "the ejection lasts")
	require.Less(t, run(400), 40, "it returns with a small share")
}

// TestCrashWithoutOwnerIsCounted guards against a crash that is never counted
// because it happened while the service had no owner: the request could crash two
// more targets.
func TestCrashWithoutOwnerIsCounted(t *testing.T) {
	c := newCluster(t, 3, 6)
	c.request("e1", 1)
	c.wait(600 * time.Millisecond)
	c.removeOwner()
	c.crash("e1", 7)
	c.startOwner("e0")
	for i := range 6 {
		c.announce(i, c.pickers[c.hosts[i%3]].incarnationOf(targetID(i)))
	}
	c.wait(600 * time.Millisecond)
	c.crash("e2", 7)
	require.Equal(t, 1, c.quarantinedCount)
	require.Equal(t, proto.SlotQuarantined, c.refused[c.request("e0", 7)])
}

// incarnationOf returns the incarnation of a target in the last announcement that the host took.
func (p *Picker) incarnationOf(id model.TargetID) model.Incarnation {
	s := p.service(testService)
	if i, ok := s.findAnnouncement(id); ok {
		return s.announcements[i].announcement.Incarnation
	}
	return 0
}

func heldSlot(id uint64, target int) proto.HeldSlot {
	return proto.HeldSlot{Slot: id, Target: targetID(target), Incarnation: 1, Workspace: "w", Remaining: time.Second}
}

// reportOf returns a restore report of testService for epoch 1.
func reportOf(serial uint64, s proto.RestoreService) proto.RestoreReport {
	s.Service = testService
	return proto.RestoreReport{Shard: testShard(), Epoch: 1, Serial: serial, Services: []proto.RestoreService{s}}
}

// TestReportReplacesEarlierOnes guards against restored slots that stay in use
// after a later report or after their host left, and against an older report that
// undoes a newer one.
func TestReportReplacesEarlierOnes(t *testing.T) {
	h := newOwnerHarness(t, 2)
	h.step(EntryHostsChanged{Hosts: []model.HostID{"e1", "e2"}})
	both := reportOf(1, proto.RestoreService{Slots: []proto.HeldSlot{heldSlot(localSlot|1, 0), heldSlot(localSlot|2, 0)}})
	require.Len(t, sentMessages[proto.RestoreAck](h.receive("e1", both)), 1)
	require.Equal(t, 2, h.status().Targets[0].InUse)
	require.Len(t, sentMessages[proto.RestoreAck](h.receive("e1", both)), 1, "a repeat is answered again")
	h.receive("e1", reportOf(2, proto.RestoreService{Slots: []proto.HeldSlot{heldSlot(localSlot|2, 0)}}))
	h.receive("e1", both)
	require.Equal(t, 1, h.status().Targets[0].InUse)
	h.receive("e2", reportOf(1, proto.RestoreService{Slots: []proto.HeldSlot{heldSlot(localSlot|1, 1)}}))
	require.Equal(t, 1, h.status().Targets[1].InUse, "numbers of local choices are those of a host")

	h.step(EntryHostsChanged{Hosts: []model.HostID{"e2"}})
	h.step(HostGone{Host: "e1"})
	require.Zero(t, h.status().Targets[0].InUse)
	require.Empty(t, h.receive("e1", reportOf(3, proto.RestoreService{Slots: []proto.HeldSlot{heldSlot(localSlot|2, 0)}})))
	require.Zero(t, h.status().Targets[0].InUse, "a late report of a host that is gone")
	h.now = h.now.Add(2 * time.Second)
	h.step(Tick{})
	require.Zero(t, h.status().Targets[1].InUse, "freed by the deadline")
}

// TestReportedCrashCountsOnce guards against a broken attempt that is not counted
// because its target is announced only after the report, and against one that is
// counted twice.
func TestReportedCrashCountsOnce(t *testing.T) {
	h := newOwnerHarness(t, 1)
	h.step(EntryHostsChanged{Hosts: []model.HostID{"e1"}})
	broken := func(slot uint64, target int) proto.BrokenAttempt {
		return proto.BrokenAttempt{Slot: slot, Target: targetID(target), Incarnation: 1, Workspace: "w", Fingerprint: 7, Age: 10 * time.Second}
	}
	crashes := func() int { return h.owner.services[testService].confirmedCrashes("w", 7) }
	h.receive("e1", reportOf(1, proto.RestoreService{BrokenAttempts: []proto.BrokenAttempt{broken(localSlot|1, 1)}}))
	require.Zero(t, crashes())
	h.announce(1, 2, model.TargetReady)
	require.Equal(t, 1, crashes())
	h.receive("e1", reportOf(2, proto.RestoreService{BrokenAttempts: []proto.BrokenAttempt{broken(localSlot|1, 1)}}))
	h.receive("e1", proto.SlotDone{Service: testService, Slot: localSlot | 1, Workspace: "w", Fingerprint: 7, Attempt: model.Attempt{
		Target: targetID(1), Incarnation: 1, End: model.AttemptBroken,
	}})
	require.Equal(t, 1, crashes(), "the same attempt")
	h.receive("e1", reportOf(3, proto.RestoreService{BrokenAttempts: []proto.BrokenAttempt{broken(localSlot|2, 1)}}))
	require.Len(t, h.status().Quarantine, 1, "another attempt on the earlier run")
}

// TestRestoredEjectionsKeepTheFloor guards against ejections that are adopted below
// the floor, or from a host whose view is older than that of another.
func TestRestoredEjectionsKeepTheFloor(t *testing.T) {
	h := newOwnerHarness(t, 0, func(c *model.Config) { c.Defaults.Floor = 0.5 })
	h.step(EntryHostsChanged{Hosts: []model.HostID{"e1", "e2"}})
	h.step(OwnershipGained{Shard: testShard(), Epoch: 9, Until: 1 << 60})
	ejected := func(severity ...float64) []proto.EjectedTarget {
		var list []proto.EjectedTarget
		for i, x := range severity {
			list = append(list, proto.EjectedTarget{Target: targetID(i), Incarnation: 1, Remaining: 3 * time.Second, Severity: x, Ejections: 2})
		}
		return list
	}
	older := reportOf(1, proto.RestoreService{ViewEpoch: 7, ViewDigest: 9, EjectedTargets: ejected(9)})
	newer := reportOf(1, proto.RestoreService{ViewEpoch: 8, ViewDigest: 1, EjectedTargets: ejected(1, 4, 3, 2)})
	older.Epoch, newer.Epoch = 9, 9
	h.receive("e1", newer)
	h.receive("e2", older)
	out := func() (list []model.TargetID) {
		for _, x := range h.status().Targets {
			if x.Ejected {
				list = append(list, x.Target)
			}
		}
		return list
	}
	for i := range 4 {
		h.announce(i, 1, model.TargetReady)
		s := h.status()
		require.GreaterOrEqual(t, 2*s.HealthySlots, s.AnnouncedSlots, "with %d targets announced", i+1)
	}
	require.Len(t, out(), 2)
	require.Contains(t, out(), targetID(1), "the worst")
	require.NotContains(t, out(), targetID(0), "the mildest of the newest view")
}

// TestViewIsKeptUntilTheReportIsTaken guards against a second change of owner that
// loses what the host knew. The view of an owner that has not taken the host's
// report must not replace the last view.
func TestViewIsKeptUntilTheReportIsTaken(t *testing.T) {
	h := newPickerHarness(t, "e0")
	h.request("r")
	h.step(Received{From: "e0", Msg: proto.ViewReply{
		Service: testService, Epoch: 1, Digest: 5, QuarantinedRequests: []proto.QuarantinedRequest{{Workspace: "w", Fingerprint: 7, Remaining: time.Minute}},
	}})
	h.setOwner("e2", 2)
	h.step(Received{From: "e2", Msg: proto.ViewReply{Service: testService, Epoch: 2, Digest: 6}})
	h.setOwner("e3", 3)
	got := sentMessages[proto.RestoreReport](h.out)
	require.Len(t, got, 1)
	require.Len(t, got[0].Services, 1)
	require.Equal(t, model.Epoch(1), got[0].Services[0].ViewEpoch)
	require.Len(t, got[0].Services[0].QuarantinedRequests, 1)
	require.NotEmpty(t, sentMessages[proto.RestoreReport](h.wait(200*time.Millisecond)), "repeated until it is acknowledged")
	h.ackRestore("e3", 3)
	require.Empty(t, sentMessages[proto.RestoreReport](h.wait(200*time.Millisecond)))
}
