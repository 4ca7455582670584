package ctrl

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

// newWorld returns a fleet that is about to be created, with spare control hosts and seats.
func newWorld(seed uint64, controls, seats, partSize int) *world {
	w := &world{
		partSize: partSize,

		rng:   rand.New(rand.NewPCG(seed, 7)),
		cut:   map[[2]model.HostID]bool{},
		delay: 5 * time.Millisecond,
		now:   model.Instant(time.Hour),
	}
	w.check = newChecker(w)
	var first, firstSeats []model.HostID
	for i := range controls + 2 {
		h := &testHost{w: w, id: model.HostID(fmt.Sprintf("c%d", i))}
		w.hosts = append(w.hosts, h)
		if i < controls {
			first = append(first, h.id)
		}
	}
	for i := range seats + 2 {
		s := &testSeat{w: w, id: model.HostID(fmt.Sprintf("s%d", i)), incarnation: 1}
		w.seats = append(w.seats, s)
		if i < seats {
			firstSeats = append(firstSeats, s.id)
		}
	}
	w.first, w.founders = model.NewConfig(first, firstSeats), controls
	for i, h := range w.hosts {
		if i < controls {
			h.bootstrap = []Option{WithBootstrap(first, firstSeats)}
		}
		h.start()
	}
	return w
}

func (w *world) leader() *testHost {
	for _, h := range w.hosts {
		if h.up() && h.node.role == RoleLeader && h.node.ConfirmLeadership(w.now).OK {
			return h
		}
	}
	return nil
}

func (w *world) submit(h *testHost, p model.Proposal) {
	w.nonce++
	h.step(Proposed{Nonce: w.nonce, Proposal: p})
}

// operator submits a change to a random host, or resends an earlier one.
func (w *world) operator() {
	h := w.hosts[w.rng.IntN(len(w.hosts))]
	if !h.up() {
		return
	}
	if len(w.sent) > 0 && w.rng.IntN(3) == 0 {
		w.submit(h, w.sent[len(w.sent)-1-w.rng.IntN(min(5, len(w.sent)))])
		return
	}
	cfg := h.node.Config()
	if l := w.leader(); l != nil && w.rng.IntN(3) > 0 {
		cfg = l.node.Config()
	}
	p := model.Proposal{ID: model.ChangeID(fmt.Sprintf("change-%d", len(w.sent))), Base: cfg.Version}
	p.Change = w.randomChange(cfg)
	w.sent = append(w.sent, p)
	w.submit(h, p)
}

// kind says which faults a schedule has most of.
type kind int

const (
	mixed kind = iota
	seatFaults
	memberFaults
	diskFaults
	kinds
)

func (w *world) randomChange(cfg model.Config) model.Change {
	pick := w.rng.IntN(12)
	if w.kind == seatFaults && w.rng.IntN(3) == 0 {
		pick = 0
	}
	if w.kind == memberFaults && w.rng.IntN(2) == 0 {
		pick = 1
	}
	switch pick {
	case 0:
		ids := make([]model.HostID, 0, len(w.seats))
		for _, i := range w.rng.Perm(len(w.seats))[:len(cfg.Seats)] {
			ids = append(ids, w.seats[i].id)
		}
		return model.SetSeats{Seats: ids}
	case 1:
		id := w.hosts[w.rng.IntN(len(w.hosts))].id
		if i := slices.Index(cfg.Controls, id); i >= 0 {
			return model.SetControls{Controls: slices.Delete(slices.Clone(cfg.Controls), i, i+1)}
		}
		return model.SetControls{Controls: append(slices.Clone(cfg.Controls), id)}
	case 2:
		return model.RemoveException{ID: "none"}
	default:
		return model.CreateWorkspace{Workspace: model.WorkspaceID(fmt.Sprintf("w%d", len(w.sent)))}
	}
}

// mayWipe reports whether every set of control hosts that counts anywhere
// keeps a majority of intact disks without this one.
func (w *world) mayWipe(lost *testHost) bool {
	for _, h := range w.hosts {
		if !h.up() {
			return false
		}
		if !h.node.hasBase {
			continue
		}
		for _, st := range []state{h.node.tip, h.node.state} {
			intact := 0
			for _, id := range st.cfg.Controls {
				if o := w.host(id); o != lost && o.full {
					intact++
				}
			}
			if intact < model.Majority(len(st.cfg.Controls)) {
				return false
			}
		}
	}
	return true
}

// fault injects one fault or ends some.
func (w *world) fault() {
	h := w.hosts[w.rng.IntN(len(w.hosts))]
	if l := w.leader(); l != nil && w.rng.IntN(2) == 0 {
		h = l
	}
	if w.rng.IntN(3) > 0 {
		switch w.kind {
		case seatFaults:
			w.seatFault()
			return
		case diskFaults:
			w.diskFault()
			return
		default:
		}
	}
	switch w.rng.IntN(10) {
	case 0, 1:
		w.isolate(h.id, true, true)
	case 2:
		w.isolate(h.id, w.rng.IntN(2) == 0, w.rng.IntN(2) == 0)
	case 3:
		if h.up() {
			h.crash()
		}
	case 4, 5:
		if w.mayWipe(h) {
			h.wipe()
			h.start()
			w.followRepair(h)
		}
	case 6:
		if h.up() && !h.diskFailed && w.mayWipe(h) {
			h.diskFailed = true
			h.loseVote()
			h.step(DiskFailed{})
			life := h.life
			w.after(time.Second, func() {
				if h.life == life && h.up() {
					h.wipe()
					h.start()
				}
			})
		}
	case 7:
		w.seats[w.rng.IntN(len(w.seats))].restart()
	case 8:
		a, b := w.anyID(), w.anyID()
		w.cut[[2]model.HostID{a, b}] = true
	default:
		w.heal()
	}
}

// seatFault hides the leader from some seats, or restarts a seat that holds the newest version.
func (w *world) seatFault() {
	l := w.leader()
	if l == nil {
		return
	}
	set := l.node.Config().Seats
	acking := set[w.rng.IntN(len(set))]
	if w.rng.IntN(2) == 0 {
		w.forgetAfterAck(l, acking)
		return
	}
	for _, s := range w.seats {
		if s.id == acking && s.have >= l.node.Config().Version {
			s.restart()
		}
		w.hide(l, s.id, w.rng.IntN(2) == 0)
	}
}

func (w *world) hide(h *testHost, id model.HostID, hidden bool) {
	w.cut[[2]model.HostID{h.id, id}] = hidden
	w.cut[[2]model.HostID{id, h.id}] = hidden
}

// forgetAfterAck lets one seat acknowledge alone, restart and relearn from
// seats that the leader reaches only later.
func (w *world) forgetAfterAck(l *testHost, acking model.HostID) {
	for _, s := range w.seats {
		w.hide(l, s.id, s.id != acking)
	}
	w.after(time.Duration(200+w.rng.IntN(400))*time.Millisecond, func() {
		if !w.faults {
			return
		}
		for _, s := range w.seats {
			if s.id == acking {
				s.restart()
			}
		}
		w.hide(l, acking, true)
		w.after(time.Duration(1600+w.rng.IntN(800))*time.Millisecond, func() {
			for _, s := range w.seats {
				w.hide(l, s.id, w.faults && (s.id == acking || w.rng.IntN(2) == 0))
			}
		})
	})
}

// diskFault lets a follower fall behind, then loses the disk of another one
// that acknowledged, and isolates the leader before or after the repair.
func (w *world) diskFault() {
	l := w.leader()
	if l == nil {
		return
	}
	var others []*testHost
	for _, id := range l.node.Config().Controls {
		if id != l.id {
			others = append(others, w.host(id))
		}
	}
	if len(others) < 2 {
		return
	}
	w.rng.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	behind, lost := others[0], others[1]
	w.isolate(behind.id, true, true)
	w.after(time.Duration(w.rng.IntN(600))*time.Millisecond, func() {
		if !w.faults || !w.mayWipe(lost) {
			return
		}
		lost.wipe()
		lost.start()
		w.after(time.Duration(w.rng.IntN(300))*time.Millisecond, func() {
			if !w.faults {
				return
			}
			w.isolate(behind.id, false, false)
			w.isolate(l.id, true, true)
		})
	})
}

// followRepair loses another disk as soon as the repaired host counts again.
func (w *world) followRepair(h *testHost) {
	life := h.life
	var watch func()
	watch = func() {
		if h.life != life || !w.faults {
			return
		}
		if !h.full {
			w.after(5*time.Millisecond, watch)
			return
		}
		w.check.admitted++
		other := w.hosts[w.rng.IntN(len(w.hosts))]
		if other != h && w.mayWipe(other) {
			other.wipe()
			other.start()
		}
	}
	watch()
}

func (w *world) anyID() model.HostID {
	i := w.rng.IntN(len(w.hosts) + len(w.seats))
	if i < len(w.hosts) {
		return w.hosts[i].id
	}
	return w.seats[i-len(w.hosts)].id
}

func (w *world) isolate(id model.HostID, in, out bool) {
	for _, h := range w.hosts {
		w.cut[[2]model.HostID{h.id, id}] = in
		w.cut[[2]model.HostID{id, h.id}] = out
	}
	for _, s := range w.seats {
		w.cut[[2]model.HostID{s.id, id}] = in && w.rng.IntN(2) == 0
		w.cut[[2]model.HostID{id, s.id}] = out && w.rng.IntN(2) == 0
	}
}

// heal ends all faults.
func (w *world) heal() {
	clear(w.cut)
	for _, h := range w.hosts {
		if !h.up() {
			h.start()
		}
	}
}

// runSchedule runs one random schedule and returns what was violated, or "".
func runSchedule(seed uint64) (*world, string) {
	shape := rand.New(rand.NewPCG(seed, 3))
	controls, seats := 3+2*shape.IntN(2), 3+2*shape.IntN(2)
	w := newWorld(seed, controls, seats, []int{0, 300, 60}[seed/uint64(kinds)%3])
	w.faults = true
	w.kind = kind(seed % uint64(kinds))
	w.loss = []float64{0, 0.02, 0.2}[shape.IntN(3)]
	w.delay = []time.Duration{3 * time.Millisecond, 30 * time.Millisecond, 150 * time.Millisecond}[shape.IntN(3)]
	pace := []time.Duration{200 * time.Millisecond, 800 * time.Millisecond, 3 * time.Second}[shape.IntN(3)]
	var operate, break1 func()
	operate = func() {
		if w.faults {
			w.operator()
			w.after(time.Duration(w.rng.Int64N(int64(150*time.Millisecond))), operate)
		}
	}
	break1 = func() {
		if w.faults {
			w.fault()
			w.after(time.Duration(w.rng.Int64N(int64(2*pace))), break1)
		}
	}
	w.after(0, operate)
	w.after(pace, break1)
	w.run(12 * time.Second)
	w.faults, w.loss, w.delay = false, 0, 3*time.Millisecond
	w.heal()
	w.run(10 * time.Second)
	if w.check.failure == "" {
		w.recovered()
	}
	return w, w.check.failure
}

// recovered checks that a fleet without faults accepts changes and agrees.
func (w *world) recovered() {
	l := w.leader()
	if l == nil && w.stuck() {
		return
	}
	if l == nil {
		w.check.fail("no leader after all faults ended")
		return
	}
	w.submit(l, model.Proposal{ID: "last", Base: l.node.Config().Version, Change: model.CreateWorkspace{Workspace: "last"}})
	w.run(time.Second)
	if r := w.check.results["last"]; r.Kind != model.ResultAccepted {
		w.check.fail("a fleet without faults does not accept a change: %+v", r)
		return
	}
	for _, id := range l.node.Config().Controls {
		n := w.host(id).node
		if n.Config().Version != l.node.Config().Version || n.learner != 0 {
			w.check.fail("host %s has version %d instead of %d, learner %d", id, n.Config().Version, l.node.Config().Version, n.learner)
		}
	}
}

// stuck reports whether a removal left control hosts of which no majority has
// its disk, so that the fleet waits for an operator. This is inherent if a disk
// was lost after its host had confirmed it and before the leader appended the
// removal: the remaining hosts cannot tell whether the removal was committed,
// and a host added after it may hold accepted changes, so they must not go back
// to the hosts before the removal. Anything else is a fault.
func (w *world) stuck() bool {
	for _, h := range w.hosts {
		intact := 0
		for _, id := range h.node.tip.cfg.Controls {
			if w.host(id).full {
				intact++
			}
		}
		if !h.node.hasBase || intact >= model.Majority(len(h.node.tip.cfg.Controls)) {
			continue
		}
		w.check.stuck = true
		if !w.lostWhileConfirmed(h.node) {
			w.check.fail("control hosts %v of host %s have no majority of disks, and none was lost while a removal was confirmed", h.node.tip.cfg.Controls, h.id)
		}
		return true
	}
	return false
}

// lostWhileConfirmed reports whether a disk of the newest control hosts was
// lost within the time that a leader waits for confirmations.
func (w *world) lostWhileConfirmed(n *Node) bool {
	index := n.log.last()
	for index >= n.log.first && !isControlChange(n.log.at(index)) {
		index--
	}
	at := w.check.changedAt[index]
	for _, id := range n.tip.cfg.Controls {
		lost, ok := w.check.lostDisk[id]
		if ok && !w.host(id).full && lost <= at && at.Sub(lost) < DefaultTiming().ElectionMin {
			return true
		}
	}
	return false
}

// Variables that widen the search beyond the run of CI.
const (
	schedulesVariable = "TARRAGONGAUGE_SCHEDULES"
	seedVariable      = "TARRAGONGAUGE_SEED"
	batches           = 8
)

func fromEnvironment(t *testing.T, name string, otherwise uint64) uint64 {
	text := os.Getenv(name)
	if text == "" {
		return otherwise
	}
	v, err := strconv.ParseUint(text, 10, 64)
	require.NoError(t, err, name)
	return v
}

// Guards against two leaders in a term, acknowledged changes that are lost or
// reordered, versions that go back, confirmations of replaced versions, and
// acceptance without majorities, under random faults of links, hosts and disks.
func TestSchedules(t *testing.T) {
	count := fromEnvironment(t, schedulesVariable, defaultSchedules)
	start := fromEnvironment(t, seedVariable, 1)
	for b := range uint64(batches) {
		t.Run(fmt.Sprint(b), func(t *testing.T) {
			t.Parallel()
			accepted, admitted, terms, stuck, transfers := 0, 0, 0, 0, 0
			for seed := start + b; seed < start+count; seed += batches {
				w, failure := runSchedule(seed)
				if failure != "" {
					t.Fatalf("seed %d: %s", seed, failure)
				}
				accepted += len(w.check.accepted)
				admitted += w.check.admitted
				terms += len(w.check.leaders)
				transfers += w.check.transfers
				if w.check.stuck {
					stuck++
				}
			}
			t.Logf("acceptances %d, readmissions %d, terms led %d, snapshots in parts %d, disk lost while a removal was confirmed %d", accepted, admitted, terms, transfers, stuck)
		})
	}
}
