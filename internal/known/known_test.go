package known

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// target returns an announcement of service "s".
func target(id, addr string, incarnation model.Incarnation, state model.TargetState) model.Announcement {
	return model.Announcement{Service: "s", Target: model.TargetID(id), Addr: addr, Zone: "z", Slots: 3, Incarnation: incarnation, State: state}
}

// Guards against a change that is not sent to the other control hosts, and against
// heartbeats that are forwarded although nothing changed.
func TestOnlyChangesAreForwarded(t *testing.T) {
	l := NewList(20 * time.Second)
	now := model.Instant(time.Second)
	ready := target("a", "10.0.0.1:1", 1, model.TargetReady)
	require.Equal(t, []model.Announcement{ready}, l.HandleAnnouncement(now, ready, true))
	require.Empty(t, l.HandleAnnouncement(now, ready, true))
	loaded := ready
	loaded.Load = 0.5
	require.Empty(t, l.HandleAnnouncement(now, loaded, true), "its load is no change")
	require.Equal(t, []model.Announcement{ready}, l.Tick(now.Add(repeatInterval)), "the message may have been lost")
	require.Empty(t, l.Tick(now.Add(repeatInterval)))

	draining := target("a", "10.0.0.1:1", 1, model.TargetDraining)
	require.Equal(t, []model.Announcement{draining}, l.HandleAnnouncement(now, draining, true))
	require.Empty(t, l.HandleAnnouncement(now, ready, true), "a late heartbeat")
	list, digest := l.Targets()
	require.Equal(t, []model.Announcement{draining}, list)
	require.NotZero(t, digest)
}

// Guards against control hosts that send each other the same announcement
// endlessly, since each forwards what it received from the others.
func TestRelayedAnnouncementIsNotForwarded(t *testing.T) {
	l := NewList(20 * time.Second)
	now := model.Instant(time.Second)
	require.Empty(t, l.HandleAnnouncement(now, target("a", "10.0.0.1:1", 1, model.TargetReady), false))
	for range 20 {
		now = now.Add(repeatInterval)
		require.Empty(t, l.Tick(now))
	}
}

// Guards against a crashed target that stays ready, and against a live target
// that is marked as leaving since it now sends its heartbeats to another host.
func TestSilentTargetIsForwardedAsLeaving(t *testing.T) {
	l := NewList(20 * time.Second)
	start := model.Instant(time.Second)
	l.HandleAnnouncement(start, target("crashed", "10.0.0.1:1", 1, model.TargetReady), true)
	moved := target("moved", "10.0.0.2:1", 1, model.TargetReady)
	l.HandleAnnouncement(start, moved, true)
	for at := time.Duration(0); at <= 10*time.Second; at += repeatInterval {
		l.Tick(start.Add(at))
	}
	l.HandleAnnouncement(start.Add(10*time.Second), moved, false)
	gone := target("crashed", "10.0.0.1:1", 1, model.TargetLeaving)
	require.Equal(t, []model.Announcement{gone}, l.Tick(start.Add(21*time.Second)))
	list, _ := l.Targets()
	require.Equal(t, []model.Announcement{gone, moved}, list)
}

// Guards against two ready targets with the same address: after an address is
// reused, requests for the target that ended would reach another service.
func TestLaterIncarnationReplacesTargetAtItsAddress(t *testing.T) {
	l := NewList(20 * time.Second)
	now := model.Instant(time.Second)
	l.HandleAnnouncement(now, target("a", "10.0.0.1:1", 5, model.TargetReady), false)
	successor := target("b", "10.0.0.1:1", 9, model.TargetReady)
	require.Equal(t, []model.Announcement{successor, target("a", "10.0.0.1:1", 5, model.TargetLeaving)}, l.HandleAnnouncement(now, successor, true))
	require.Empty(t, l.HandleAnnouncement(now, target("c", "10.0.0.1:1", 7, model.TargetReady), false))
	list, _ := l.Targets()
	require.Len(t, list, 3)
}

// Guards against a list that grows without bound, because targets that left or
// that no host reports any more stay on it.
func TestExpiredEntriesAreRemoved(t *testing.T) {
	l := NewList(20 * time.Second)
	now := model.Instant(time.Second)
	l.HandleAnnouncement(now, target("left", "10.0.0.1:1", 1, model.TargetLeaving), true)
	l.HandleAnnouncement(now, target("foreign", "10.0.0.2:1", 1, model.TargetReady), false)
	l.Restore(now, []model.Announcement{target("restored", "10.0.0.3:1", 1, model.TargetReady)})
	list, _ := l.Targets()
	require.Len(t, list, 3)
	l.Tick(now.Add(relayedRetention + time.Second))
	list, digest := l.Targets()
	require.Empty(t, list)
	require.Zero(t, digest)
}
