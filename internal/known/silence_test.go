package known

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// controlHosts are the lists of control hosts whose links may be cut.
type controlHosts struct {
	now   model.Instant
	ids   []model.HostID
	lists map[model.HostID]*List
	// isCut reports whether messages from one host to another are lost.
	isCut func(from, to model.HostID) bool
}

func newControlHosts(ids ...model.HostID) *controlHosts {
	c := &controlHosts{now: model.Instant(time.Second), ids: ids, lists: map[model.HostID]*List{}, isCut: func(_, _ model.HostID) bool { return false }}
	for _, id := range ids {
		l := NewList(20 * time.Second)
		var others []model.HostID
		for _, other := range ids {
			if other != id {
				others = append(others, other)
			}
		}
		l.SetPeers(others)
		c.lists[id] = l
	}
	return c
}

// store lets a host store what it holds and report it to the others.
func (c *controlHosts) store(host model.HostID) {
	for _, a := range c.lists[host].Stored() {
		for _, id := range c.ids {
			if id != host && !c.isCut(host, id) {
				c.lists[id].HandleStored(host, []model.TargetRun{a.Run()})
			}
		}
	}
}

// deliver delivers messages, and those that they cause. Each host stores at once.
func (c *controlHosts) deliver(from model.HostID, messages []Message) {
	for _, m := range messages {
		for _, to := range m.To {
			if c.isCut(from, to) {
				continue
			}
			if m.Silent {
				c.deliver(to, c.lists[to].HandleSilence(c.now, m.Announcement, from))
				continue
			}
			c.deliver(to, c.lists[to].HandleAnnouncement(c.now, m.Announcement, from))
			c.store(to)
		}
	}
}

// announce delivers the announcement of a target to one host.
func (c *controlHosts) announce(to model.HostID, a model.Announcement) {
	c.deliver(to, c.lists[to].HandleAnnouncement(c.now, a, ""))
	c.store(to)
}

// run lets time pass. Each second the targets announce themselves to the given hosts.
func (c *controlHosts) run(d time.Duration, at map[model.HostID][]model.Announcement) {
	for end := c.now.Add(d); c.now < end; {
		c.now = c.now.Add(time.Second)
		for _, id := range c.ids {
			for _, a := range at[id] {
				c.announce(id, a)
			}
			c.deliver(id, c.lists[id].Tick(c.now))
		}
	}
}

func (c *controlHosts) requireListed(t *testing.T, want ...model.Announcement) {
	t.Helper()
	for _, id := range c.ids {
		list, digest := c.lists[id].Targets()
		require.ElementsMatch(t, want, list, "at %s", id)
		require.Equal(t, digest != 0, len(want) > 0)
	}
}

// Guards against a crashed target that stays listed, and against a live target that is
// not listed since it now sends its heartbeats to another host.
func TestSilentTargetIsNotListed(t *testing.T) {
	c := newControlHosts("c0", "c1", "c2")
	crashed, moved := target("crashed", "10.0.0.1:1", 1, model.TargetReady), target("moved", "10.0.0.2:1", 1, model.TargetReady)
	c.announce("c0", crashed)
	c.run(10*time.Second, map[model.HostID][]model.Announcement{"c0": {moved}})
	c.requireListed(t, crashed, moved)
	c.run(11*time.Second, map[model.HostID][]model.Announcement{"c1": {moved}})
	c.requireListed(t, moved)
	require.Equal(t, []model.Announcement{crashed, moved}, c.lists["c2"].Stored(), "the disks keep the run")
	c.run(10*time.Second, map[model.HostID][]model.Announcement{"c1": {moved}, "c2": {crashed}})
	c.requireListed(t, crashed, moved)
}

// Guards against a target that only one host lists again after it fell silent for a time.
func TestTargetThatReturnsIsListedByAllAtOnce(t *testing.T) {
	c := newControlHosts("c0", "c1", "c2")
	ready := target("a", "10.0.0.1:1", 1, model.TargetReady)
	c.announce("c0", ready)
	c.run(25*time.Second, nil)
	c.requireListed(t)
	c.announce("c0", ready)
	c.requireListed(t, ready)
}

// Guards against a host that was cut off and then tells all others that the targets
// leave which it did not hear meanwhile: they got no request for the rest of their runs.
func TestHostThatWasCutOffMakesNoTargetLeave(t *testing.T) {
	c := newControlHosts("c0", "c1", "c2")
	ready := target("a", "10.0.0.1:1", 1, model.TargetReady)
	c.run(5*time.Second, map[model.HostID][]model.Announcement{"c0": {ready}})
	c.isCut = func(from, to model.HostID) bool { return from == "c0" || to == "c0" }
	c.run(8*time.Second, map[model.HostID][]model.Announcement{"c1": {ready}})
	c.isCut = func(_, _ model.HostID) bool { return false }
	for range 40 {
		c.run(time.Second, map[model.HostID][]model.Announcement{"c1": {ready}})
		c.requireListed(t, ready)
	}
}

// Guards against control hosts that forget each target which reports to another one.
func TestTargetsOfOtherHostsAreNotForgotten(t *testing.T) {
	c := newControlHosts("c0", "c1", "c2")
	ready := target("a", "10.0.0.1:1", 1, model.TargetReady)
	for range 10 {
		c.run(time.Minute, map[model.HostID][]model.Announcement{"c0": {ready}})
		c.requireListed(t, ready)
	}
}

// Guards against a live target that some host takes as leaving, whichever hosts it
// reports to and whichever of them are cut off, one way or both.
func TestLiveTargetsStayReadyInRandomSchedules(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 1))
		c := newControlHosts([]model.HostID{"c0", "c1", "c2", "c3", "c4"}[:3+rng.IntN(3)]...)
		var targets []model.Announcement
		for i := range 1 + rng.IntN(4) {
			targets = append(targets, target(string(rune('a'+i)), string(rune('a'+i))+":1", 1, model.TargetReady))
		}
		for range 6 {
			lost := map[[2]model.HostID]bool{}
			for _, from := range c.ids {
				for _, to := range c.ids {
					lost[[2]model.HostID{from, to}] = rng.IntN(3) == 0
				}
			}
			c.isCut = func(from, to model.HostID) bool { return lost[[2]model.HostID{from, to}] }
			at := map[model.HostID][]model.Announcement{}
			for _, a := range targets {
				// Some targets reach no control host for a time.
				if host := rng.IntN(len(c.ids) + 1); host < len(c.ids) {
					at[c.ids[host]] = append(at[c.ids[host]], a)
				}
			}
			c.run(time.Duration(rng.IntN(25))*time.Second, at)
		}
		c.isCut = func(_, _ model.HostID) bool { return false }
		c.run(10*time.Second, map[model.HostID][]model.Announcement{c.ids[0]: targets})
		c.requireListed(t, targets...)
	}
}
