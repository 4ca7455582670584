package known

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tarragongauge.example/tarragongauge/internal/codec"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// target returns an announcement of service "s".
func target(id, addr string, incarnation model.Incarnation, state model.TargetState) model.Announcement {
	return model.Announcement{Service: "s", Target: model.TargetID(id), Addr: addr, Zone: "z", Slots: 3, Incarnation: incarnation, State: state}
}

// peers are the other control hosts in these tests.
var peers = []model.HostID{"c1", "c2"} //nolint:gochecknoglobals // never changed

// newTestList returns an empty list of a host with peers.
func newTestList() *List {
	l := NewList(20 * time.Second)
	l.SetPeers(peers)
	return l
}

// toAll returns messages with the announcements to all peers.
func toAll(list ...model.Announcement) []Message {
	var messages []Message
	for _, a := range list {
		messages = append(messages, Message{To: peers, Announcement: a})
	}
	return messages
}

// Guards against a change that is not sent to the other control hosts, and against
// heartbeats that are forwarded although nothing changed.
func TestOnlyChangesAreForwarded(t *testing.T) {
	l := newTestList()
	now := model.Instant(time.Second)
	ready := target("a", "10.0.0.1:1", 1, model.TargetReady)
	require.Equal(t, toAll(ready), l.HandleAnnouncement(now, ready, ""))
	require.Empty(t, l.HandleAnnouncement(now, ready, ""))
	loaded := ready
	loaded.Load = 0.5
	require.Empty(t, l.HandleAnnouncement(now, loaded, ""), "its load is no change")
	require.Equal(t, toAll(ready), l.Tick(now.Add(repeatInterval)), "the message may have been lost")
	require.Empty(t, l.Tick(now.Add(repeatInterval)))

	draining := target("a", "10.0.0.1:1", 1, model.TargetDraining)
	require.Equal(t, toAll(draining), l.HandleAnnouncement(now, draining, ""))
	require.Empty(t, l.HandleAnnouncement(now, ready, ""), "a late heartbeat")
	list, digest := l.Targets()
	require.Equal(t, []model.Announcement{draining}, list)
	require.NotZero(t, digest)
}

// Guards against control hosts that send each other the same announcement
// endlessly: an announcement from another host is sent only to hosts whose disks do
// not hold it, and not without end.
func TestRelayedAnnouncementIsSentOnlyToHostsThatLackIt(t *testing.T) {
	for _, state := range []model.TargetState{model.TargetReady, model.TargetLeaving} {
		l := newTestList()
		now := model.Instant(time.Second)
		a := target("a", "10.0.0.1:1", 1, state)
		require.Empty(t, l.HandleAnnouncement(now, a, "c1"))
		l.HandleStored("c1", []model.TargetRun{a.Run()})
		require.Equal(t, []Message{{To: []model.HostID{"c2"}, Announcement: a}}, l.Tick(now.Add(repeatInterval)))
		l.HandleStored("c2", []model.TargetRun{a.Run()})
		for range 20 {
			now = now.Add(repeatInterval)
			require.Empty(t, l.Tick(now))
		}
	}
	l := newTestList()
	now := model.Instant(time.Second)
	require.Empty(t, l.HandleAnnouncement(now, target("a", "10.0.0.1:1", 1, model.TargetReady), "c1"))
	sent := 0
	for range 200 {
		now = now.Add(repeatInterval)
		sent += len(l.Tick(now))
	}
	require.Less(t, sent, 10, "hosts that never answer")
}

// Guards against two ready targets with the same address: after an address is
// reused, requests for the target that ended would reach another service.
func TestLaterIncarnationReplacesTargetAtItsAddress(t *testing.T) {
	l := newTestList()
	now := model.Instant(time.Second)
	l.HandleAnnouncement(now, target("a", "10.0.0.1:1", 5, model.TargetReady), "c1")
	successor := target("b", "10.0.0.1:1", 9, model.TargetReady)
	require.Equal(t, toAll(successor, target("a", "10.0.0.1:1", 5, model.TargetLeaving)), l.HandleAnnouncement(now, successor, ""))
	require.Empty(t, l.HandleAnnouncement(now, target("c", "10.0.0.1:1", 7, model.TargetReady), "c1"))
	list, _ := l.Targets()
	require.Len(t, list, 3)
}

// Guards against a list that grows without bound, because targets that left or
// that no host reports any more stay on it.
func TestExpiredEntriesAreRemoved(t *testing.T) {
	l := NewList(20 * time.Second)
	now := model.Instant(time.Second)
	l.HandleAnnouncement(now, target("left", "10.0.0.1:1", 1, model.TargetLeaving), "")
	l.HandleAnnouncement(now, target("foreign", "10.0.0.2:1", 1, model.TargetReady), "c1")
	l.Restore(now, []model.Announcement{target("restored", "10.0.0.3:1", 1, model.TargetReady)})
	list, _ := l.Targets()
	require.Len(t, list, 3)
	l.Tick(now.Add(silentRetention + time.Second))
	list, digest := l.Targets()
	require.Empty(t, list)
	require.Zero(t, digest)
}

// Guards against a control host that returns after a while, for example from a
// restart, and never learns that a target left meanwhile: changes were sent again
// for 2.5 s only, whether or not a disk held them.
func TestLeaveIsSentUntilEachDiskHoldsIt(t *testing.T) {
	l := newTestList()
	now := model.Instant(time.Second)
	leaving := target("a", "10.0.0.1:1", 1, model.TargetLeaving)
	l.HandleAnnouncement(now, target("a", "10.0.0.1:1", 1, model.TargetReady), "")
	for _, host := range peers {
		l.HandleStored(host, []model.TargetRun{{Target: "a", Incarnation: 1, State: model.TargetReady}})
	}
	require.Equal(t, toAll(leaving), l.HandleAnnouncement(now, leaving, ""))
	l.HandleStored("c1", []model.TargetRun{leaving.Run()})
	for range 20 {
		now = now.Add(repeatInterval)
		require.Equal(t, []Message{{To: []model.HostID{"c2"}, Announcement: leaving}}, l.Tick(now))
	}
	l.HandleStored("c2", []model.TargetRun{leaving.Run()})
	require.Empty(t, l.Tick(now.Add(repeatInterval)))
}

// Guards against a restart after which only some hosts know that a target has left.
func TestRestoredLeaveIsSentToTheOtherHosts(t *testing.T) {
	l := newTestList()
	now := model.Instant(time.Second)
	leaving := target("left", "10.0.0.1:1", 1, model.TargetLeaving)
	l.Restore(now, []model.Announcement{target("left", "10.0.0.1:1", 1, model.TargetReady), target("ready", "10.0.0.2:1", 1, model.TargetReady)})
	l.Restore(now, []model.Announcement{leaving})
	l.Restore(now, []model.Announcement{target("left", "10.0.0.1:1", 1, model.TargetReady)})
	require.True(t, l.IsSaved(leaving.Run()), "it was read from the disk")
	require.Equal(t, toAll(leaving), l.Tick(now))
}

// Guards against copies of an earlier state or run that are counted for a later
// one, and against copies on hosts that are no longer control hosts.
func TestCopiesAreThoseOfTheRunAndState(t *testing.T) {
	l := newTestList()
	now := model.Instant(time.Second)
	hosts := []model.HostID{"c0", "c1", "c2"}
	count := func(a model.Announcement) int { return l.CopyCount(a.Run(), "c0", hosts) }
	ready, draining := target("a", "10.0.0.1:1", 1, model.TargetReady), target("a", "10.0.0.1:1", 1, model.TargetDraining)
	l.HandleAnnouncement(now, ready, "")
	require.Equal(t, []model.Announcement{ready}, l.Unsaved())
	require.Equal(t, []model.TargetRun{ready.Run()}, l.HandleSaved([]model.Announcement{ready}))
	require.Empty(t, l.HandleSaved([]model.Announcement{ready}), "reported already")
	l.HandleStored("c1", []model.TargetRun{ready.Run()})
	l.HandleStored("c9", []model.TargetRun{ready.Run()})
	require.Equal(t, 2, count(ready))
	l.HandleAnnouncement(now, draining, "")
	require.Zero(t, count(draining))
	require.Equal(t, []model.Announcement{draining}, l.Unsaved())
	l.HandleStored("c2", []model.TargetRun{{Target: "a", Incarnation: 1, State: model.TargetLeaving}})
	require.Equal(t, 1, count(draining), "a later state includes it")
	next := target("a", "10.0.0.1:1", 2, model.TargetReady)
	l.HandleAnnouncement(now, next, "")
	l.HandleStored("c1", []model.TargetRun{draining.Run()})
	require.Zero(t, count(next))
	require.Zero(t, count(draining))
}

// Guards against a host that goes on with an earlier run of a target because the
// message about the later one was lost, or that spreads a state that is over.
func TestHostThatSendsAnEarlierRunIsToldTheLaterOne(t *testing.T) {
	l := newTestList()
	now := model.Instant(time.Second)
	second := target("a", "10.0.0.1:1", 2, model.TargetReady)
	l.HandleAnnouncement(now, second, "c2")
	correction := []Message{{To: []model.HostID{"c1"}, Announcement: second}}
	for _, state := range []model.TargetState{model.TargetReady, model.TargetLeaving} {
		require.Equal(t, correction, l.HandleAnnouncement(now, target("a", "10.0.0.1:1", 1, state), "c1"))
	}
	require.Empty(t, l.HandleAnnouncement(now, target("a", "10.0.0.1:1", 1, model.TargetReady), ""), "a late heartbeat of the target")
	require.Zero(t, l.CopyCount(target("a", "10.0.0.1:1", 1, model.TargetLeaving).Run(), "c0", []model.HostID{"c0"}))
}

// Guards against heartbeats that are written to disk and sent to all hosts because the
// remaining cold time changed, and against a cold target that no other host knows.
func TestOnlyWhetherATargetIsColdIsAChange(t *testing.T) {
	l := newTestList()
	now := model.Instant(time.Second)
	cold := target("a", "10.0.0.1:1", 1, model.TargetReady)
	cold.ColdRemaining = 3 * time.Second
	require.Equal(t, toAll(cold.Listed()), l.HandleAnnouncement(now, cold, ""))
	l.HandleSaved(l.Unsaved())
	digest := l.Digest()
	require.Equal(t, codec.TargetsDigest([]model.Announcement{cold}), digest)
	cold.ColdRemaining = time.Second
	require.Empty(t, l.HandleAnnouncement(now, cold, ""))
	require.Equal(t, digest, l.Digest())

	warm := target("a", "10.0.0.1:1", 1, model.TargetReady)
	require.Equal(t, toAll(warm), l.HandleAnnouncement(now, warm, ""))
	require.NotEqual(t, digest, l.Digest())
	require.False(t, l.HasUnsaved(), "the run is on the disk")
	diff, ok := l.DiffSince(digest)
	require.Equal(t, ok, len(diff.Changed) == 1)

	require.Empty(t, l.HandleAnnouncement(now, cold.Listed(), "c1"), "another host knows later than the target's own heartbeats")
	require.Equal(t, codec.TargetsDigest([]model.Announcement{warm}), l.Digest())
}

// Guards against a run that counts as new after a restart of the control host, whose
// target would then be taken as cold, or one whose age starts anew with its heartbeats.
func TestAgeOfARun(t *testing.T) {
	l := newTestList()
	now := model.Instant(time.Millisecond) // the clock starts with the process
	l.Restore(now, []model.Announcement{target("a", "10.0.0.1:1", 1, model.TargetReady)})
	require.Equal(t, restoredAge, l.Age(now, "a"))
	l.HandleAnnouncement(now, target("b", "10.0.0.2:1", 1, model.TargetReady), "")
	l.HandleAnnouncement(now.Add(time.Second), target("b", "10.0.0.2:1", 1, model.TargetReady), "")
	require.Equal(t, 2*time.Second, l.Age(now.Add(2*time.Second), "b"))
	l.HandleAnnouncement(now.Add(time.Second), target("a", "10.0.0.1:1", 2, model.TargetReady), "")
	require.Equal(t, time.Second, l.Age(now.Add(2*time.Second), "a"))
}
