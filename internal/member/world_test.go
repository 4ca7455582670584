package member

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tarragongauge.example/tarragongauge/internal/ctrl"
	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

const (
	stepInterval = 5 * time.Millisecond
	// formTimeout is the maximum time in which five hosts must form a fleet. Traffic
	// starts 8 s after the hosts.
	formTimeout = 8 * time.Second
	// recoveryTimeout is the maximum time until a leader is found after faults ended.
	recoveryTimeout = 6 * time.Second
)

// simHost is a simulated control host that joins the fleet by itself. Its disk, records
// and snapshot, keeps what was synced.
type simHost struct {
	id model.HostID
	// mayCreateFleet is set until the host has formed a fleet or lost its disk.
	mayCreateFleet bool
	node           *ctrl.Node
	planner        *Planner
	incarnation    int
	records        [][]byte
	snapshot       []byte
	unsynced       []ctrl.Persist
	// stagedVersion is the version that the seat of the host holds in memory.
	stagedVersion model.Version
	leader        model.HostID
	// frozen is set while the process stands still. Messages wait for it.
	frozen bool
}

// world simulates five hosts in virtual time. Their settings name three of them.
type world struct {
	t     *testing.T
	rng   *rand.Rand
	now   model.Instant
	hosts map[model.HostID]*simHost
	order []model.HostID
	seeds []model.HostID
	queue []message
	// isCutOff holds the hosts that exchange no messages.
	isCutOff map[model.HostID]bool
	// blocked reports whether messages from one host to another are lost. It may be nil.
	blocked func(from, to model.HostID) bool
	// acceptedRevision is the highest revision that a leader acknowledged,
	// proposedRevision the highest that was proposed.
	acceptedRevision model.Revision
	proposedRevision model.Revision
	nonce            uint64
	pendingRevisions map[uint64]model.Revision
}

// message is a message in flight that arrives at deliverAt.
type message struct {
	deliverAt model.Instant
	from, to  model.HostID
	msg       proto.Message
}

// newWorld returns five hosts that are not started. The first three are the seeds.
func newWorld(t *testing.T, seed uint64) *world {
	w := &world{t: t, rng: rand.New(rand.NewPCG(seed, 7)), hosts: map[model.HostID]*simHost{}, isCutOff: map[model.HostID]bool{}, pendingRevisions: map[uint64]model.Revision{}}
	for i := range 5 {
		id := model.HostID(fmt.Sprintf("10.0.0.%d_7000", i+1))
		w.order = append(w.order, id)
		w.hosts[id] = &simHost{id: id, mayCreateFleet: true}
	}
	w.seeds = slices.Clone(w.order[:3])
	return w
}

// start starts a host with the state on its disk. Only a host that may create a
// fleet gets the seeds as initial control hosts.
func (w *world) start(h *simHost, seeds []model.HostID) {
	rec, err := ctrl.Recover(h.snapshot, h.records)
	require.NoError(w.t, err)
	opts := []ctrl.Option{ctrl.WithSeed(w.rng.Uint64() | 1)}
	if h.mayCreateFleet {
		opts = append(opts, ctrl.WithBootstrap(seeds, seeds))
	}
	h.node, err = ctrl.New(h.id, rec, opts...)
	require.NoError(w.t, err)
	h.incarnation++
	h.stagedVersion, h.leader = 0, ""
	self := proto.Member{Host: h.id, Role: proto.RoleControl, Incarnation: model.Incarnation(h.incarnation)}
	h.planner = NewPlanner(self, seeds, 5)
}

// stop stops a host. Writes that were not synced are lost.
func (w *world) stop(h *simHost) { h.node, h.unsynced = nil, nil }

// loseDisk stops a host and erases its disk.
func (w *world) loseDisk(h *simHost) {
	w.stop(h)
	h.records, h.snapshot, h.mayCreateFleet = nil, nil, false
}

func (w *world) view(h *simHost) View {
	return View{IsLeader: h.node.ConfirmLeadership(w.now).OK, Leader: h.node.Status().Leader, Config: h.node.Config(), LastHeardAt: h.node.LastReplyAt}
}

// send delivers a message after 1 to 4 ms, unless one of the hosts is cut off.
func (w *world) send(from, to model.HostID, msg proto.Message) {
	if w.isCutOff[from] || w.isCutOff[to] || w.hosts[to] == nil || w.blocked != nil && w.blocked(from, to) {
		return
	}
	delay := time.Duration(1+w.rng.IntN(4)) * time.Millisecond
	w.queue = append(w.queue, message{deliverAt: w.now.Add(delay), from: from, to: to, msg: msg})
}

// step passes an event to the consensus core of a host and applies the effects.
func (w *world) step(h *simHost, ev ctrl.Event) {
	for _, f := range h.node.Step(w.now, ev) {
		switch f := f.(type) {
		case ctrl.Send:
			w.send(h.id, f.To, f.Msg)
		case ctrl.Persist:
			h.unsynced = append(h.unsynced, f)
		case ctrl.Reply:
			if revision, ok := w.pendingRevisions[f.Nonce]; ok && f.Result.Kind == model.ResultAccepted {
				w.acceptedRevision = max(w.acceptedRevision, revision)
			}
		case ctrl.LeaderChanged:
			h.leader = f.Leader
		default:
		}
	}
}

// stepPlanner passes an event to the planner of a host and applies the effects.
func (w *world) stepPlanner(h *simHost, ev Event) {
	for _, f := range h.planner.Step(w.now, ev) {
		switch f := f.(type) {
		case Send:
			w.send(h.id, f.To, f.Msg)
		case Propose:
			w.nonce++
			w.step(h, ctrl.Proposed{Nonce: w.nonce, Proposal: f.Proposal})
		default:
		}
	}
}

// deliver passes a message to the seat, the planner or the consensus core of a host.
func (w *world) deliver(m message) {
	h := w.hosts[m.to]
	if h == nil || h.node == nil || w.isCutOff[m.to] {
		return
	}
	switch msg := m.msg.(type) {
	case proto.JoinAsk:
		w.stepPlanner(h, JoinRequested{View: w.view(h), Ask: msg})
	case proto.LeaveNotice:
		w.stepPlanner(h, LeaveAnnounced{Notice: msg})
	case proto.SeatStage:
		// Package lease tests seats. This one acknowledges every version.
		h.stagedVersion = max(h.stagedVersion, msg.Newest)
		w.send(h.id, m.from, proto.SeatStageReply{Term: msg.Term, HeldVersion: h.stagedVersion, Incarnation: model.Incarnation(h.incarnation), Round: msg.Round})
	default:
		w.step(h, ctrl.Received{From: m.from, Msg: m.msg})
	}
}

// run advances the virtual time by d and checks the leaders after each step.
func (w *world) run(d time.Duration) {
	for end := w.now.Add(d); w.now < end; w.now = w.now.Add(stepInterval) {
		due := w.queue
		w.queue = nil
		for _, m := range due {
			if to := w.hosts[m.to]; m.deliverAt > w.now || to != nil && to.frozen {
				w.queue = append(w.queue, m)
				continue
			}
			w.deliver(m)
		}
		for _, id := range w.order {
			w.stepHost(w.hosts[id])
		}
		w.checkLeaders()
	}
}

// stepHost syncs what a host wrote and delivers ticks every 25 ms.
func (w *world) stepHost(h *simHost) {
	if h.node == nil || h.frozen {
		return
	}
	for _, p := range h.unsynced {
		data, whole, err := ctrl.EncodePersist(p)
		require.NoError(w.t, err)
		if whole {
			h.snapshot, h.records = data, nil
		} else {
			h.records = append(h.records, data)
		}
	}
	saved := h.unsynced
	h.unsynced = nil
	for _, p := range saved {
		w.step(h, ctrl.Persisted{Seq: p.Seq})
	}
	if w.now%model.Instant(25*time.Millisecond) == 0 {
		w.step(h, ctrl.Tick{})
		w.stepPlanner(h, Tick{View: w.view(h)})
	}
}

// apply proposes the next revision at a host, unless fewer than three synced copies
// would exist, since two disks may be lost at once.
func (w *world) apply(h *simHost) {
	if h.node == nil || model.Majority(len(h.node.Config().Controls)) < 3 {
		return
	}
	w.proposedRevision++
	w.nonce++
	w.pendingRevisions[w.nonce] = w.proposedRevision
	change := model.ReplaceContent{Revision: w.proposedRevision, Document: []byte(fmt.Sprint(w.proposedRevision))}
	w.step(h, ctrl.Proposed{Nonce: w.nonce, Proposal: model.Proposal{ID: model.ChangeID(fmt.Sprintf("apply-%d", w.proposedRevision)), Change: change}})
}

// checkLeaders fails if a leader with a live quorum has an older revision than one that
// was acknowledged.
func (w *world) checkLeaders() {
	for _, id := range w.order {
		h := w.hosts[id]
		if h.node == nil || h.frozen || !h.node.ConfirmLeadership(w.now).OK {
			continue
		}
		require.GreaterOrEqual(w.t, h.node.Config().Revision, w.acceptedRevision, "leader %s at %s", id, time.Duration(w.now))
	}
}

// leaders returns the hosts that lead with a live majority.
func (w *world) leaders() []model.HostID {
	var out []model.HostID
	for _, id := range w.order {
		if h := w.hosts[id]; h.node != nil && !h.frozen && h.node.ConfirmLeadership(w.now).OK {
			out = append(out, id)
		}
	}
	return out
}

// formFleet starts all hosts within 0.3 s and waits until there are five control hosts
// and seats.
func (w *world) formFleet() {
	for _, i := range w.rng.Perm(len(w.order)) {
		w.start(w.hosts[w.order[i]], w.seeds)
		w.run(time.Duration(w.rng.IntN(12)) * stepInterval)
	}
	deadline := w.now.Add(formTimeout)
	for w.now < deadline {
		w.run(100 * time.Millisecond)
		for _, id := range w.leaders() {
			cfg := w.hosts[id].node.Config()
			if len(cfg.Controls) == 5 && len(cfg.Seats) == 5 {
				return
			}
		}
	}
	require.Fail(w.t, "no fleet of five hosts formed in time")
}

// Guards against a fleet that does not grow to five hosts, or that forms twice, when
// the settings name three of them and the hosts start in a random order.
func TestFiveHostsFormFromThreeSeeds(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, seed)
			w.formFleet()
			require.Len(t, w.leaders(), 1)
		})
	}
}

// Guards against the loss of acknowledged revisions, against a leader that answers
// with an older configuration, and against a fleet that does not recover. The faults
// are random stops, lost disks, partitions and changed seeds, with at most two disks
// lost at once.
func TestAcknowledgedRevisionsSurviveRandomFaults(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, seed)
			w.formFleet()
			for range 6 {
				w.injectFault()
			}
			w.heal()
			w.run(recoveryTimeout)
			require.Len(t, w.leaders(), 1)
			before := w.acceptedRevision
			w.apply(w.hosts[w.leaders()[0]])
			w.run(2 * time.Second)
			require.Greater(t, w.acceptedRevision, before, "changes are accepted again")
		})
	}
}

// injectFault causes one random fault, applies revisions at random hosts before and
// during it, and repairs it.
func (w *world) injectFault() {
	pick := func() *simHost { return w.hosts[w.order[w.rng.IntN(len(w.order))]] }
	for range 3 {
		w.apply(pick())
		w.run(time.Duration(w.rng.IntN(40)) * stepInterval)
	}
	switch w.rng.IntN(5) {
	case 0:
		w.stop(pick())
	case 1:
		w.loseDisk(pick())
	case 2:
		w.isCutOff[pick().id] = true
	case 3:
		for _, id := range w.order {
			w.stop(w.hosts[id])
		}
	case 4:
		w.loseDisk(pick())
		w.loseDisk(pick())
		for _, id := range w.order {
			w.stop(w.hosts[id])
		}
	}
	for range 3 {
		w.run(time.Duration(100+w.rng.IntN(400)) * time.Millisecond)
		w.apply(pick())
	}
	w.heal()
	// A host whose disk was lost must catch up before the next disk may be lost.
	w.run(recoveryTimeout)
}

// heal starts all stopped hosts with three random seeds and ends the partitions.
func (w *world) heal() {
	seeds := slices.Clone(w.order)
	w.rng.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	for _, id := range w.order {
		h := w.hosts[id]
		h.mayCreateFleet = false
		if h.node == nil {
			w.start(h, seeds[:3])
		}
	}
	clear(w.isCutOff)
}

// Guards against a second fleet that hosts form after they lost their disks, even if
// they are exactly the hosts of the settings.
func TestWipedSeedsFormNoSecondFleet(t *testing.T) {
	w := newWorld(t, 3)
	w.formFleet()
	w.apply(w.hosts[w.leaders()[0]])
	w.run(time.Second)
	require.NotZero(t, w.acceptedRevision)
	for _, id := range w.seeds {
		w.loseDisk(w.hosts[id])
	}
	for _, id := range w.seeds {
		w.start(w.hosts[id], w.seeds)
	}
	w.run(20 * time.Second)
	require.Empty(t, w.leaders(), "three of five disks are lost: the fleet must stop instead of forming anew")
}
