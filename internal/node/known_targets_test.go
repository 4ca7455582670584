package node

import (
	"context"
	"fmt"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"tarragongauge.example/tarragongauge/internal/lease"
	"tarragongauge.example/tarragongauge/internal/pool"
	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/internal/store"
	"tarragongauge.example/tarragongauge/internal/super"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// targetFleet runs the lists of known targets of control hosts with real disks.
// Messages between hosts that run and are not cut off arrive at once.
type targetFleet struct {
	t     testing.TB
	hosts []*targetHost
}

// targetHost is a control host of a targetFleet. mu guards api, which is nil while
// the host is down.
type targetHost struct {
	fleet *targetFleet
	id    model.HostID
	dir   string
	full  atomic.Bool
	// isCut is set while the host loses all messages.
	isCut atomic.Bool

	mu   sync.Mutex
	api  *controlAPI
	kill func()
}

func newTargetFleet(t testing.TB, hosts int) *targetFleet {
	f := &targetFleet{t: t}
	for i := range hosts {
		f.hosts = append(f.hosts, &targetHost{fleet: f, id: model.HostID(fmt.Sprintf("c%d", i+1)), dir: t.TempDir()})
	}
	for _, h := range f.hosts {
		h.start()
	}
	t.Cleanup(f.killAll)
	return f
}

func (f *targetFleet) killAll() {
	for _, h := range f.hosts {
		h.stop()
	}
}

// start starts the host from what its disk holds.
func (h *targetHost) start() {
	t := h.fleet.t
	folder, err := store.NewFolder(filepath.Join(h.dir, knownFolder))
	require.NoError(t, err)
	tree, stopTree := super.New("test")
	background := func(task func()) {
		tree.Go("background", func(context.Context) error { task(); return nil })
	}
	list, closeFile, err := openKnownTargets(newClock().now(), h.dir, time.Minute, logr.Discard(), background, store.WithFolder(fullDisk{Folder: folder, full: &h.full}))
	require.NoError(t, err)
	self := proto.Member{Host: h.id, Zone: "z", Role: proto.RoleControl, Incarnation: 1}
	owner, stopOwner := newOwnerHost(self, lease.DefaultTiming(), pool.CautiousTuning(), list, logr.Discard(), h.send)
	var controls []model.HostID
	for _, other := range h.fleet.hosts {
		controls = append(controls, other.id)
	}
	cfg := model.NewConfig(controls, controls)
	owner.cfg.Store(&cfg)
	owner.updatePeers()
	seat := &seatHost{clock: newClock()}
	seat.freshUntil.Store(int64(seat.clock.now().Add(time.Hour)))
	tree.Go("ticks", func(ctx context.Context) error {
		ticker := time.NewTicker(20 * time.Millisecond)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return nil
			case <-ticker.C:
				owner.tick()
			}
		}
	})
	h.mu.Lock()
	defer h.mu.Unlock()
	h.api = &controlAPI{owner: owner, seat: seat}
	h.kill = func() {
		stopTree()
		stopOwner()
		require.NoError(t, closeFile())
	}
}

// stop ends the host. What it has not synced is lost.
func (h *targetHost) stop() {
	h.mu.Lock()
	kill := h.kill
	h.api, h.kill = nil, nil
	h.mu.Unlock()
	if kill != nil {
		kill()
	}
}

func (h *targetHost) running() *controlAPI {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.api
}

// send delivers a message of this host.
func (h *targetHost) send(to model.HostID, m proto.Message) {
	for _, other := range h.fleet.hosts {
		if other.id != to || other.isCut.Load() || h.isCut.Load() {
			continue
		}
		if api := other.running(); api != nil {
			api.owner.receive(h.id, m)
		}
	}
}

// known returns what a host knows of the target of testLeaver, or false.
func (h *targetHost) known() (model.Announcement, bool) {
	for _, a := range h.running().owner.knownTargets.targets() {
		if a.Target == testLeaver().Target {
			return a, true
		}
	}
	return model.Announcement{}, false
}

// knowsState reports whether a host knows the target of testLeaver in a state.
func (h *targetHost) knowsState(state model.TargetState) bool {
	a, ok := h.known()
	return ok && a.State == state
}

// requireAllKnow waits until all hosts that run know a state of the target.
func (f *targetFleet) requireAllKnow(state model.TargetState) {
	f.t.Helper()
	require.Eventually(f.t, func() bool {
		for _, h := range f.hosts {
			if h.running() != nil && !h.knowsState(state) {
				return false
			}
		}
		return true
	}, 3*time.Second, 5*time.Millisecond)
}

func testLeaver() model.Announcement {
	return model.Announcement{Service: "s", Target: "leaver", Addr: "127.0.0.1:1", Zone: "z", Slots: 3, Incarnation: 7, State: model.TargetReady}
}

// Guards against an acknowledged leave that no disk holds: after all control hosts
// were killed right after the acknowledgement, the list on their disks named the
// target as ready and it got requests again. Two of the disks may be lost too.
func TestAcknowledgedLeaveOutlivesAKillOfAllControlHosts(t *testing.T) {
	for _, state := range []model.TargetState{model.TargetDraining, model.TargetLeaving} {
		for _, lostDisks := range []int{0, 2} {
			f := newTargetFleet(t, 5)
			a := testLeaver()
			require.NoError(t, f.hosts[0].running().Announce(a))
			f.requireAllKnow(model.TargetReady)
			time.Sleep(minSaveInterval + 200*time.Millisecond) // the disks hold that the target is ready
			a.State = state
			require.NoError(t, f.hosts[0].running().Announce(a))
			f.killAll()
			for i, h := range f.hosts {
				if i < lostDisks {
					h.dir = t.TempDir()
				}
				h.start()
			}
			require.Eventually(t, func() bool {
				for i, h := range f.hosts {
					if a, ok := h.known(); ok && a.State < state || !ok && i >= lostDisks {
						return false
					}
				}
				return true
			}, 3*time.Second, 5*time.Millisecond)
		}
	}
}

// Guards against a leave that is acknowledged although too few disks hold it, since
// control hosts are away or their disks take no writes; and against one that is
// never acknowledged although they are back.
func TestLeaveIsAcknowledgedOnlyByAMajorityOfDisks(t *testing.T) {
	f := newTargetFleet(t, 5)
	a := testLeaver()
	require.NoError(t, f.hosts[0].running().Announce(a))
	f.requireAllKnow(model.TargetReady)
	a.State = model.TargetLeaving
	f.hosts[0].full.Store(true)
	f.hosts[1].full.Store(true)
	f.hosts[2].stop()
	require.True(t, IsErrNotAuthoritative(f.hosts[0].running().Announce(a)))
	require.True(t, f.hosts[4].knowsState(model.TargetLeaving), "it is respected all the same")
	f.hosts[2].start()
	require.Eventually(t, func() bool { return f.hosts[0].running().Announce(a) == nil }, 3*time.Second, time.Millisecond, "three of five disks")
	f.hosts[0].full.Store(false)
	f.hosts[1].full.Store(false)
	require.Eventually(t, func() bool {
		for _, h := range f.hosts {
			if !h.running().owner.knownTargets.isSaved(a.Run()) {
				return false
			}
		}
		return true
	}, 5*time.Second, 10*time.Millisecond, "disks that were full take it later")
}

// Guards against a control host that was away while a target left and, once back,
// gives it requests, as the host that received the leave is gone.
func TestReturningControlHostLearnsOfALeaveFromAnyOther(t *testing.T) {
	f := newTargetFleet(t, 5)
	a := testLeaver()
	require.NoError(t, f.hosts[0].running().Announce(a))
	f.requireAllKnow(model.TargetReady)
	time.Sleep(minSaveInterval + 200*time.Millisecond)
	f.hosts[3].isCut.Store(true)
	f.hosts[4].stop()
	a.State = model.TargetLeaving
	require.NoError(t, f.hosts[0].running().Announce(a))
	time.Sleep(3 * time.Second)
	f.hosts[0].stop()
	f.hosts[3].isCut.Store(false)
	f.hosts[4].start()
	require.True(t, f.hosts[4].knowsState(model.TargetReady), "that is what its disk holds")
	f.requireAllKnow(model.TargetLeaving)
}

// Guards against a leave that is acknowledged for an earlier run of a target by a
// control host that has not heard of the present one, and so has no effect.
func TestLeaveIsAcknowledgedForTheNewestRunOnly(t *testing.T) {
	f := newTargetFleet(t, 5)
	first, second := testLeaver(), testLeaver()
	second.Incarnation++
	require.NoError(t, f.hosts[0].running().Announce(first))
	f.requireAllKnow(model.TargetReady)
	f.hosts[0].isCut.Store(true)
	require.NoError(t, f.hosts[3].running().Announce(second))
	f.hosts[3].stop()
	a, err := f.hosts[0].running().AnnounceLeave(first.Target, first)
	require.True(t, IsErrNotAuthoritative(err), "cut off, it knows the earlier run only: %v", a)

	f.hosts[0].isCut.Store(false)
	a, err = f.hosts[0].running().AnnounceLeave(first.Target, first)
	require.NoError(t, err, "the other hosts tell it of the later run")
	require.Equal(t, second.Incarnation, a.Incarnation)
	f.hosts[3].start()
	restored, _ := f.hosts[3].known()
	require.Equal(t, second.Incarnation, restored.Incarnation)
	f.requireAllKnow(model.TargetLeaving)

	_, err = f.hosts[1].running().AnnounceLeave("unknown", model.Announcement{})
	require.True(t, IsErrNotAuthoritative(err))
}

// Guards against a start that is acknowledged although only one host knows of it: a
// leave of the run before could be acknowledged by all the others.
func TestStartIsAcknowledgedByAMajorityOfDisks(t *testing.T) {
	f := newTargetFleet(t, 5)
	f.hosts[0].isCut.Store(true)
	require.True(t, IsErrNotAuthoritative(f.hosts[0].running().Announce(testLeaver())))
	f.hosts[0].isCut.Store(false)
	require.NoError(t, f.hosts[0].running().Announce(testLeaver()))
	f.killAll()
	for _, h := range f.hosts {
		h.start()
	}
	began := time.Now()
	require.NoError(t, f.hosts[2].running().Announce(testLeaver()), "the other disks hold it already")
	require.Less(t, time.Since(began), announceTimeout/2)
}
