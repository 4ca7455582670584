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

// crew joins pickers with the present owner by a network without loss or delay.
type crew struct {
	t       *testing.T
	now     model.Instant
	hosts   []model.HostID
	pickers map[model.HostID]*Picker
	owner   *Owner
	owned   model.HostID
	epoch   model.Epoch
	n       int
	home    map[model.RequestID]model.HostID
	// runs holds the newest announced incarnation of each target by its number.
	runs map[int]model.Incarnation
	// running holds the requests with a target.
	running     map[model.RequestID]Assigned
	refused     map[model.RequestID]proto.SlotStatus
	quarantined int
}

func newCrew(t *testing.T, hosts, targets int) *crew {
	c := &crew{
		t: t, now: model.Instant(time.Second), pickers: map[model.HostID]*Picker{}, home: map[model.RequestID]model.HostID{},
		runs:    map[int]model.Incarnation{},
		running: map[model.RequestID]Assigned{}, refused: map[model.RequestID]proto.SlotStatus{},
	}
	for i := range hosts {
		h := model.HostID(fmt.Sprintf("e%d", i))
		c.hosts = append(c.hosts, h)
		c.pickers[h] = NewPicker(h, "z")
		c.pickers[h].Step(c.now, Configured{Config: model.NewConfig(nil, nil)})
	}
	c.gain("e0")
	for i := range targets {
		c.announce(i, 1)
	}
	c.wait(300 * time.Millisecond)
	return c
}

func (c *crew) announce(i int, inc model.Incarnation) {
	c.runs[i] = inc
	c.picker(c.hosts[i%len(c.hosts)], TargetAnnounced{Announcement: model.Announcement{
		Service: testService, Target: targetID(i), Addr: "127.0.0.1:1", Zone: "z", Slots: 3, Incarnation: inc, State: model.TargetReady,
	}})
}

// picker and own step a core and deliver what it sends to the cores of the other kind.
func (c *crew) picker(h model.HostID, ev Event) {
	for _, e := range slices.Clone(c.pickers[h].Step(c.now, ev)) {
		switch e := e.(type) {
		case Send:
			if c.owner != nil && e.To == c.owned {
				c.own(Received{From: h, Msg: e.Msg})
			}
		case Assigned:
			c.running[e.Request] = e
		case Refused:
			c.refused[e.Request] = e.Status
		}
	}
}

func (c *crew) own(ev Event) {
	for _, e := range slices.Clone(c.owner.Step(c.now, ev)) {
		switch e := e.(type) {
		case Send:
			c.picker(e.To, Received{From: c.owned, Msg: e.Msg})
		case Quarantined:
			c.quarantined++
		}
	}
}

// wait lets time pass with ticks and announcements that repeat the last ones.
func (c *crew) wait(d time.Duration) {
	for end := c.now.Add(d); c.now < end; {
		c.now = c.now.Add(20 * time.Millisecond)
		if c.owner != nil {
			c.own(Tick{})
		}
		for _, h := range c.hosts {
			c.picker(h, Tick{})
		}
	}
}

// gain makes a host the owner; the earlier one is gone without a word.
func (c *crew) gain(h model.HostID) {
	c.epoch++
	c.owner, c.owned = NewOwner(h), h
	c.own(Configured{Config: model.NewConfig(nil, nil)})
	c.own(OwnershipGained{Shard: testShard(), Epoch: c.epoch, Until: 1 << 60})
	for _, x := range c.hosts {
		c.picker(x, OwnersChanged{Owners: []proto.Owner{{Shard: testShard(), Host: h, Epoch: c.epoch}}})
	}
}

// lose takes the owner away until every picker has noticed.
func (c *crew) lose() {
	c.owner = nil
	c.wait(900 * time.Millisecond)
}

func (c *crew) want(h model.HostID, fp model.Fingerprint) model.RequestID {
	c.n++
	id := model.RequestID(fmt.Sprint(c.n))
	c.home[id] = h
	c.picker(h, TargetRequested{Request: id, Service: testService, Workspace: "w", Fingerprint: fp, Deadline: c.now.Add(5 * time.Second)})
	return id
}

func (c *crew) end(id model.RequestID, end model.AttemptEnd) {
	delete(c.running, id)
	c.picker(c.home[id], AttemptEnded{Request: id, Attempt: model.Attempt{End: end, Latency: 20 * time.Millisecond}})
}

// most returns the most requests that run at one target.
func (c *crew) most() int {
	n := map[model.TargetID]int{}
	top := 0
	for _, a := range c.running {
		n[a.Target]++
		top = max(top, n[a.Target])
	}
	return top
}

// Guards against a target that runs more than its slots after a change of
// owner, with slots of the lost owner and slots that hosts chose without one.
func TestNewOwnerCountsSlotsInUse(t *testing.T) {
	c := newCrew(t, 3, 2)
	var first []model.RequestID
	for i := range 3 {
		first = append(first, c.want(c.hosts[i], 0))
	}
	c.wait(time.Second)
	c.lose()
	c.want("e1", 0)
	c.want("e2", 0)
	c.wait(40 * time.Millisecond)
	require.Len(t, c.running, 5)
	require.LessOrEqual(t, c.most(), 3)
	c.announce(0, 1)
	c.announce(1, 1)
	c.gain("e1")
	for i := range 6 {
		c.want(c.hosts[i%3], 0)
	}
	c.wait(600 * time.Millisecond)
	require.Len(t, c.running, 6, "one slot of six is free")
	require.LessOrEqual(t, c.most(), 3)
	for _, id := range first {
		c.end(id, model.AttemptOK)
	}
	c.wait(100 * time.Millisecond)
	require.Len(t, c.running, 6, "restored slots end like others")
	require.LessOrEqual(t, c.most(), 3)
}

// crash runs a request that crashes its target, which restarts.
func (c *crew) crash(h model.HostID, fp model.Fingerprint) model.RequestID {
	id := c.want(h, fp)
	a, ok := c.running[id]
	require.True(c.t, ok)
	c.end(id, model.AttemptBroken)
	c.wait(100 * time.Millisecond)
	c.announce(int(a.Target[1]-'0'), a.Incarnation+1)
	c.wait(600 * time.Millisecond)
	return id
}

// Guards against a quarantined request that runs again after a change of owner
// and while there is none.
func TestQuarantineOutlivesItsOwner(t *testing.T) {
	c := newCrew(t, 3, 6)
	c.crash("e0", 7)
	c.want("e1", 1)
	c.want("e2", 1)
	c.crash("e1", 7)
	require.Equal(t, 1, c.quarantined)
	for _, h := range c.hosts {
		require.Equal(t, proto.SlotQuarantined, c.refused[c.want(h, 7)])
	}
	for change := range 2 {
		c.lose()
		require.Equal(t, proto.SlotQuarantined, c.refused[c.want("e2", 7)], "without an owner")
		require.Contains(t, c.running, c.want("e2", 8))
		c.gain(c.hosts[1+change])
		// Targets announce themselves each second, also to a new owner.
		for _, i := range slices.Sorted(maps.Keys(c.runs)) {
			c.announce(i, c.runs[i])
		}
		early := c.want("e0", 7)
		c.wait(600 * time.Millisecond)
		require.Equal(t, proto.SlotQuarantined, c.refused[early], "while the owner restores its state")
		require.Equal(t, proto.SlotQuarantined, c.refused[c.want("e2", 7)], "with a new owner")
	}
	require.Equal(t, 1, c.quarantined, "known, not found again")
}

// Guards against an ejected target that gets its full share again after a
// change of owner and has to be found again.
func TestEjectionOutlivesItsOwner(t *testing.T) {
	c := newCrew(t, 3, 6)
	bad := targetID(2)
	run := func(n int) (given int) {
		for i := range n {
			id := c.want(c.hosts[i%3], 0)
			if a := c.running[id]; a.Target == bad {
				given++
				c.end(id, model.AttemptError)
			} else if a.Target != "" {
				c.end(id, model.AttemptOK)
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
	c.lose()
	c.gain("e1")
	c.wait(300 * time.Millisecond)
	require.True(t, c.owner.Status(c.now)[0].Targets[2].Ejected, "the ejection lasts")
	require.Zero(t, run(20), "the ejection lasts")
	require.Less(t, run(400), 40, "it returns with a small share")
}

// Guards against a crash that happened while a service had no owner and is
// never counted: the request would crash two more targets.
func TestCrashWithoutOwnerIsCounted(t *testing.T) {
	c := newCrew(t, 3, 6)
	c.want("e1", 1)
	c.wait(600 * time.Millisecond)
	c.lose()
	c.crash("e1", 7)
	c.gain("e0")
	for i := range 6 {
		c.announce(i, c.pickers[c.hosts[i%3]].incarnationOf(targetID(i)))
	}
	c.wait(600 * time.Millisecond)
	c.crash("e2", 7)
	require.Equal(t, 1, c.quarantined)
	require.Equal(t, proto.SlotQuarantined, c.refused[c.want("e0", 7)])
}

// incarnationOf returns that of the last announcement that the host took.
func (p *Picker) incarnationOf(id model.TargetID) model.Incarnation {
	s := p.access(testService)
	if i, ok := s.findNews(id); ok {
		return s.news[i].announcement.Incarnation
	}
	return 0
}

func heldSlot(id uint64, target int) proto.HeldSlot {
	return proto.HeldSlot{Slot: id, Target: targetID(target), Incarnation: 1, Workspace: "w", Remaining: time.Second}
}

func reportOf(serial uint64, s proto.RestoreService) proto.RestoreReport {
	s.Service = testService
	return proto.RestoreReport{Shard: testShard(), Epoch: 1, Serial: serial, Services: []proto.RestoreService{s}}
}

// Guards against restored slots that outlive their report or their host, and
// against an older report that undoes a newer one.
func TestReportReplacesEarlierOnes(t *testing.T) {
	b := newBed(t, 2)
	b.step(EntryHostsChanged{Hosts: []model.HostID{"e1", "e2"}})
	both := reportOf(1, proto.RestoreService{Slots: []proto.HeldSlot{heldSlot(localSlot|1, 0), heldSlot(localSlot|2, 0)}})
	require.Len(t, sent[proto.RestoreAck](b.from("e1", both)), 1)
	require.Equal(t, 2, b.status().Targets[0].InUse)
	require.Len(t, sent[proto.RestoreAck](b.from("e1", both)), 1, "a repeat is answered again")
	b.from("e1", reportOf(2, proto.RestoreService{Slots: []proto.HeldSlot{heldSlot(localSlot|2, 0)}}))
	b.from("e1", both)
	require.Equal(t, 1, b.status().Targets[0].InUse)
	b.from("e2", reportOf(1, proto.RestoreService{Slots: []proto.HeldSlot{heldSlot(localSlot|1, 1)}}))
	require.Equal(t, 1, b.status().Targets[1].InUse, "numbers of local choices are those of a host")

	b.step(EntryHostsChanged{Hosts: []model.HostID{"e2"}})
	b.step(HostGone{Host: "e1"})
	require.Zero(t, b.status().Targets[0].InUse)
	require.Empty(t, b.from("e1", reportOf(3, proto.RestoreService{Slots: []proto.HeldSlot{heldSlot(localSlot|2, 0)}})))
	require.Zero(t, b.status().Targets[0].InUse, "a late report of a host that is gone")
	b.now = b.now.Add(2 * time.Second)
	b.step(Tick{})
	require.Zero(t, b.status().Targets[1].InUse, "freed by the deadline")
}

// Guards against a broken attempt that is not counted because its target is
// announced after the report, or that is counted twice.
func TestReportedCrashCountsOnce(t *testing.T) {
	b := newBed(t, 1)
	b.step(EntryHostsChanged{Hosts: []model.HostID{"e1"}})
	broken := func(slot uint64, target int) proto.BrokenAttempt {
		return proto.BrokenAttempt{Slot: slot, Target: targetID(target), Incarnation: 1, Workspace: "w", Fingerprint: 7, Age: 10 * time.Second}
	}
	crashes := func() int { return b.o.services[testService].crashes("w", 7) }
	b.from("e1", reportOf(1, proto.RestoreService{BrokenAttempts: []proto.BrokenAttempt{broken(localSlot|1, 1)}}))
	require.Zero(t, crashes())
	b.announce(1, 2, model.TargetReady)
	require.Equal(t, 1, crashes())
	b.from("e1", reportOf(2, proto.RestoreService{BrokenAttempts: []proto.BrokenAttempt{broken(localSlot|1, 1)}}))
	b.from("e1", proto.SlotDone{Service: testService, Slot: localSlot | 1, Workspace: "w", Fingerprint: 7, Attempt: model.Attempt{
		Target: targetID(1), Incarnation: 1, End: model.AttemptBroken,
	}})
	require.Equal(t, 1, crashes(), "the same attempt")
	b.from("e1", reportOf(3, proto.RestoreService{BrokenAttempts: []proto.BrokenAttempt{broken(localSlot|2, 1)}}))
	require.Len(t, b.status().Quarantine, 1, "another attempt on the earlier run")
}

// Guards against ejections that are adopted below the floor, or from a host
// whose view is older than that of another.
func TestRestoredEjectionsKeepTheFloor(t *testing.T) {
	b := newBed(t, 0, func(c *model.Config) { c.Defaults.Floor = 0.5 })
	b.step(EntryHostsChanged{Hosts: []model.HostID{"e1", "e2"}})
	b.step(OwnershipGained{Shard: testShard(), Epoch: 9, Until: 1 << 60})
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
	b.from("e1", newer)
	b.from("e2", older)
	out := func() (list []model.TargetID) {
		for _, x := range b.status().Targets {
			if x.Ejected {
				list = append(list, x.Target)
			}
		}
		return list
	}
	for i := range 4 {
		b.announce(i, 1, model.TargetReady)
		s := b.status()
		require.GreaterOrEqual(t, 2*s.HealthySlots, s.AnnouncedSlots, "with %d targets announced", i+1)
	}
	require.Len(t, out(), 2)
	require.Contains(t, out(), targetID(1), "the worst")
	require.NotContains(t, out(), targetID(0), "the mildest of the newest view")
}

// Guards against a second change of owner that loses what the host knew: a view
// of an owner that has not taken the host's report must not replace the last one.
func TestViewIsKeptUntilTheReportIsTaken(t *testing.T) {
	d := newDesk(t, "e0")
	d.want("r")
	d.step(Received{From: "e0", Msg: proto.ViewReply{
		Service: testService, Epoch: 1, Digest: 5, QuarantinedRequests: []proto.QuarantinedRequest{{Workspace: "w", Fingerprint: 7, Remaining: time.Minute}},
	}})
	d.own("e2", 2)
	d.step(Received{From: "e2", Msg: proto.ViewReply{Service: testService, Epoch: 2, Digest: 6}})
	d.own("e3", 3)
	got := sent[proto.RestoreReport](d.out)
	require.Len(t, got, 1)
	require.Len(t, got[0].Services, 1)
	require.Equal(t, model.Epoch(1), got[0].Services[0].ViewEpoch)
	require.Len(t, got[0].Services[0].QuarantinedRequests, 1)
	require.NotEmpty(t, sent[proto.RestoreReport](d.wait(200*time.Millisecond)), "repeated until it is acknowledged")
	d.ready("e3", 3)
	require.Empty(t, sent[proto.RestoreReport](d.wait(200*time.Millisecond)))
}
