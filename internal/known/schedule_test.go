package known

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tarragongauge.example/tarragongauge/pkg/model"
)

const (
	// schedulesVariable and seedVariable name environment variables with the number
	// of random schedules and the first seed.
	schedulesVariable = "KNOWN_SCHEDULES"
	seedVariable      = "KNOWN_SEED"
	defaultSchedules  = 60
	// settleTime is how long after the last fault all hosts must agree.
	settleTime = 3 * time.Second
	// maxFault is the longest that a host is away, below the time for which a leave
	// is kept.
	maxFault   = 8 * time.Second
	stepLength = 10 * time.Millisecond
	hostCount  = 5
	quorum     = 3
)

// world runs the lists of control hosts in virtual time. Links lose messages and are
// cut, hosts are killed, and disks are slow, full or, up to two of them, lost.
type world struct {
	t       *testing.T
	rng     *rand.Rand
	now     model.Instant
	hosts   []*worldHost
	ids     []model.HostID
	targets []*worldTarget
	events  []worldEvent
	// calmFrom is when the last fault may begin, faultEndsAt when the last one so far
	// ends.
	calmFrom    model.Instant
	faultEndsAt model.Instant
	lostDisks   int
	acks        int
}

type worldEvent struct {
	at  model.Instant
	run func()
}

// worldHost is a control host. list is nil while it is down.
type worldHost struct {
	w         *world
	id        model.HostID
	list      *List
	disk      map[model.TargetID]model.Announcement
	starts    int
	isWriting bool
	cutUntil  model.Instant
	fullUntil model.Instant
}

// worldTarget is a target with its present run. host is where it announces itself.
type worldTarget struct {
	id          model.TargetID
	incarnation model.Incarnation
	state       model.TargetState
	host        int
	// startedRun is the newest run whose start was acknowledged.
	startedRun model.Incarnation
	// leftAt is when the leave of the present run was acknowledged, or 0.
	leftAt model.Instant
}

func newWorld(t *testing.T, seed uint64) *world {
	w := &world{t: t, rng: rand.New(rand.NewPCG(seed, 3)), now: model.Instant(time.Hour)}
	for i := range hostCount {
		w.ids = append(w.ids, model.HostID(fmt.Sprintf("c%d", i)))
		w.hosts = append(w.hosts, &worldHost{w: w, id: w.ids[i], disk: map[model.TargetID]model.Announcement{}})
	}
	for _, h := range w.hosts {
		h.start()
	}
	for i := range 8 {
		w.targets = append(w.targets, &worldTarget{id: model.TargetID(fmt.Sprintf("t%d", i)), incarnation: 1, state: model.TargetReady, host: i % hostCount})
	}
	return w
}

// after runs fn once the time d has passed.
func (w *world) after(d time.Duration, fn func()) {
	w.events = append(w.events, worldEvent{at: w.now.Add(d), run: fn})
}

func (w *world) runEvents() {
	for i := 0; i < len(w.events); {
		e := w.events[i]
		if e.at > w.now {
			i++
			continue
		}
		w.events = slices.Delete(w.events, i, i+1)
		e.run()
	}
}

// start starts a host from its disk.
func (h *worldHost) start() {
	h.starts++
	h.list, h.isWriting = NewList(time.Minute), false
	var peers []model.HostID
	for _, id := range h.w.ids {
		if id != h.id {
			peers = append(peers, id)
		}
	}
	h.list.SetPeers(peers)
	for _, a := range h.disk {
		h.list.Restore(h.w.now, []model.Announcement{a})
	}
}

// deliver calls fn at another host after a delay, unless the message is lost.
func (h *worldHost) deliver(to model.HostID, fn func(other *worldHost)) {
	other := h.w.hosts[slices.Index(h.w.ids, to)]
	if h.isCut() || h.w.rng.IntN(50) == 0 {
		return
	}
	h.w.after(time.Duration(h.w.rng.IntN(20))*time.Millisecond, func() {
		if other.list != nil && !other.isCut() {
			fn(other)
		}
	})
}

func (h *worldHost) isCut() bool { return h.w.now < h.cutUntil }

func (h *worldHost) send(messages []Message) {
	for _, m := range messages {
		for _, to := range m.To {
			h.deliver(to, func(other *worldHost) { other.receive(h.id, m.Announcement) })
		}
	}
}

// receive handles an announcement of another host, as package node does.
func (h *worldHost) receive(from model.HostID, a model.Announcement) {
	if h.list.IsSaved(a.Run()) {
		h.report(from, []model.TargetRun{a.Run()})
	}
	h.send(h.list.HandleAnnouncement(h.w.now, a, from))
	h.save()
}

func (h *worldHost) report(to model.HostID, runs []model.TargetRun) {
	h.deliver(to, func(other *worldHost) { other.list.HandleStored(h.id, runs) })
}

// save writes what the disk does not hold yet.
func (h *worldHost) save() {
	if h.isWriting || h.list == nil || !h.list.HasUnsaved() {
		return
	}
	h.isWriting = true
	batch, starts := h.list.Unsaved(), h.starts
	h.w.after(time.Duration(1+h.w.rng.IntN(30))*time.Millisecond, func() {
		if h.starts != starts || h.list == nil {
			return
		}
		h.isWriting = false
		if h.w.now < h.fullUntil {
			return
		}
		for _, a := range batch {
			h.disk[a.Target] = a
		}
		if runs := h.list.HandleSaved(batch); len(runs) > 0 {
			for _, to := range h.list.Peers() {
				h.report(to, runs)
			}
		}
		h.save()
	})
}

// announce lets a target announce its state to a host, which is nil if none is up.
func (w *world) announce(target *worldTarget, host *worldHost) {
	if host.list == nil {
		return
	}
	a := model.Announcement{Service: "s", Target: target.id, Addr: fmt.Sprintf("10.0.0.1:%d", target.incarnation), Slots: 3, Incarnation: target.incarnation, State: target.state}
	if target.state == model.TargetLeaving {
		// A leave names no run, so it is about the newest that the host knows.
		newest, ok := host.list.Newest(target.id)
		if !ok {
			return
		}
		a = newest
		a.State = model.TargetLeaving
	}
	host.send(host.list.HandleAnnouncement(w.now, a, ""))
	host.save()
	incarnation, starts := target.incarnation, host.starts
	var poll func()
	poll = func() {
		switch {
		case host.list == nil || host.starts != starts || target.incarnation != incarnation:
		case host.list.CopyCount(a.Run(), host.id, w.ids) < quorum:
			w.after(stepLength, poll)
		case a.State == model.TargetReady:
			target.startedRun = incarnation
		case target.leftAt == 0:
			target.leftAt = w.now
			w.acks++
			if w.now < w.calmFrom && w.rng.IntN(5) == 0 {
				w.killAll()
			}
		}
	}
	w.after(stepLength, poll)
}

// fault starts a random fault.
func (w *world) fault() {
	d := time.Duration(w.rng.Int64N(int64(maxFault)))
	w.faultEndsAt = max(w.faultEndsAt, w.now.Add(d))
	h := w.hosts[w.rng.IntN(hostCount)]
	switch w.rng.IntN(6) {
	case 0, 1:
		h.kill(d)
	case 2:
		h.cutUntil = max(h.cutUntil, w.now.Add(d))
	case 3:
		h.fullUntil = max(h.fullUntil, w.now.Add(d))
	case 4:
		w.killAll()
	case 5:
		if w.lostDisks < hostCount-quorum {
			w.lostDisks++
			clear(h.disk)
			h.kill(d)
		}
	}
}

// killAll ends all hosts, which are back within a second.
func (w *world) killAll() {
	for _, h := range w.hosts {
		h.kill(time.Duration(w.rng.IntN(1000)) * time.Millisecond)
	}
	w.faultEndsAt = max(w.faultEndsAt, w.now.Add(time.Second))
}

// kill ends a host and starts it again after a time.
func (h *worldHost) kill(d time.Duration) {
	if h.list == nil {
		return
	}
	h.list = nil
	h.starts++
	h.w.after(d, h.start)
}

// step moves the time forward, with heartbeats, changes of targets and faults until
// calmFrom.
func (w *world) step() {
	w.now = w.now.Add(stepLength)
	w.runEvents()
	for _, h := range w.hosts {
		if h.list != nil {
			h.send(h.list.Tick(w.now))
			h.save()
		}
	}
	for _, target := range w.targets {
		if w.rng.IntN(100) != 0 {
			continue
		}
		if w.now < w.calmFrom {
			w.changeTarget(target)
		}
		if target.leftAt != 0 {
			continue
		}
		w.announce(target, w.hosts[target.host])
		if w.hosts[target.host].list == nil || target.state != model.TargetReady {
			target.host = w.rng.IntN(hostCount)
		}
	}
	if w.now < w.calmFrom && w.rng.IntN(150) == 0 {
		w.fault()
	}
}

// changeTarget lets a target whose start was acknowledged leave or start again.
func (w *world) changeTarget(target *worldTarget) {
	switch {
	case target.startedRun != target.incarnation || w.rng.IntN(4) != 0:
	case target.state == model.TargetReady && w.rng.IntN(2) == 0:
		target.state = model.TargetLeaving
	default:
		target.incarnation, target.state, target.leftAt, target.host = target.incarnation+1, model.TargetReady, 0, w.rng.IntN(hostCount)
	}
}

// check fails the test if a host would send requests to a run whose leave was
// acknowledged, although all faults ended settleTime ago.
func (w *world) check(seed uint64) {
	if w.now.Sub(w.faultEndsAt) < settleTime {
		return
	}
	for _, target := range w.targets {
		if target.leftAt == 0 || w.now.Sub(target.leftAt) < settleTime {
			continue
		}
		for _, h := range w.hosts {
			a, ok := h.list.Newest(target.id)
			require.False(w.t, ok && a.Incarnation == target.incarnation && a.State == model.TargetReady,
				"seed %d: %s lists %s run %d as ready %s after its leave was acknowledged", seed, h.id, target.id, target.incarnation, w.now.Sub(target.leftAt))
		}
	}
}

// environmentNumber returns a number from the environment.
func environmentNumber(t *testing.T, name string, defaultValue uint64) uint64 {
	text := os.Getenv(name)
	if text == "" {
		return defaultValue
	}
	n, err := strconv.ParseUint(text, 10, 64)
	require.NoError(t, err, name)
	return n
}

// Guards against acknowledged leaves that a host forgets or never learns of, and
// against leaves of an earlier run that are acknowledged for the present one, when
// targets start again and leave while control hosts are killed, one by one or
// together, cut off, or have full or lost disks.
func TestAcknowledgedLeavesHoldInRandomSchedules(t *testing.T) {
	first := environmentNumber(t, seedVariable, 1)
	acks := 0
	for seed := first; seed < first+environmentNumber(t, schedulesVariable, defaultSchedules); seed++ {
		w := newWorld(t, seed)
		w.calmFrom = w.now.Add(40 * time.Second)
		for end := w.calmFrom.Add(maxFault + 2*settleTime); w.now < end; {
			w.step()
			w.check(seed)
		}
		acks += w.acks
	}
	require.Positive(t, acks)
	t.Logf("%d leaves acknowledged", acks)
}
