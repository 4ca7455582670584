package order_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tarragongauge.example/tarragongauge/internal/order"
	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// simTiming is DefaultTiming, ten times faster, with the same ratios.
func simTiming() order.Timing {
	return order.Timing{
		ResendInterval: 10 * time.Millisecond, ReservationTimeout: 150 * time.Millisecond, AnswerGracePeriod: 5 * time.Millisecond,
		VoteTTL: 200 * time.Millisecond, RecoveryDelay: 220 * time.Millisecond, Retention: 24 * time.Hour, SweepInterval: time.Minute,
	}
}

// event is something that happens at a virtual time.
type event struct {
	at  time.Duration
	seq int
	do  func()
}

type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(a, b int) bool {
	return q[a].at < q[b].at || (q[a].at == q[b].at && q[a].seq < q[b].seq)
}
func (q queue) Swap(a, b int) { q[a], q[b] = q[b], q[a] }
func (q *queue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *queue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// node is a journal or entry host. Its clock runs at its own speed.
type node struct {
	id    model.HostID
	core  order.Core
	life  int
	speed float64
	// disk is what a journal has synced; lost is set until a repair is complete.
	disk *disk
	lost bool
	// synced is when the last Persist becomes durable.
	synced time.Duration
}

func (n *node) now(at time.Duration) model.Instant {
	return model.Instant(float64(at) * n.speed)
}

// sim is one fleet of journals and entry hosts in virtual time.
type sim struct {
	rng      *rand.Rand
	now      time.Duration
	seq      int
	queue    queue
	nodes    map[model.HostID]*node
	journals []model.HostID
	entries  []model.HostID
	cut      map[[2]model.HostID]time.Duration
	loss     float64
	nonce    uint64
	requests int

	keyOf   map[model.RequestID]string
	bodyOf  map[model.RequestID]model.BodyHash
	ended   map[model.RequestID]string
	ranBy   map[string]model.RequestID
	answers map[string]string
	broken  []string
	counts  map[string]int
	// keep is the age at which records expire. It is longer than an order key is in use.
	keep time.Duration
	// formed is set once all journals voted at the same time.
	formed bool
	// quiet ends requests and faults.
	quiet bool
}

func newSim(seed uint64) *sim {
	s := &sim{
		rng: rand.New(rand.NewPCG(seed, 1)), nodes: map[model.HostID]*node{}, cut: map[[2]model.HostID]time.Duration{},
		keyOf: map[model.RequestID]string{}, bodyOf: map[model.RequestID]model.BodyHash{}, ended: map[model.RequestID]string{},
		ranBy: map[string]model.RequestID{}, answers: map[string]string{}, counts: map[string]int{},
	}
	s.keep = 500 * time.Millisecond
	s.loss = []float64{0, 0.05, 0.25}[s.rng.IntN(3)]
	for i := range []int{3, 3, 5}[s.rng.IntN(3)] {
		s.journals = append(s.journals, model.HostID(fmt.Sprint("j", i)))
	}
	s.entries = []model.HostID{"e0", "e1", "e2"}
	// In some schedules the journals form a fleet under load.
	forming := s.rng.IntN(4) == 0
	for _, id := range slices.Concat(s.journals, s.entries) {
		s.nodes[id] = &node{id: id, disk: emptyDisk(), speed: 0.98 + 0.04*s.rng.Float64()}
		if !forming {
			s.nodes[id].disk = formedDisk()
		}
		s.start(id, false)
	}
	s.formed = !forming
	return s
}

func (s *sim) at(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.queue, event{at: s.now + d, seq: s.seq, do: do})
}

func (s *sim) between(low, high time.Duration) time.Duration {
	return low + time.Duration(s.rng.Int64N(int64(high-low)))
}

// start runs a new process on a host from what its disk holds.
func (s *sim) start(id model.HostID, empty bool) {
	n := s.nodes[id]
	n.life++
	s.nonce += 1 << 20
	timing := simTiming()
	timing.Retention, timing.SweepInterval = s.keep, 10*time.Millisecond
	opts := []order.Option{order.WithTiming(timing), order.WithNonceBase(s.nonce), order.WithPageBytes(300)}
	if slices.Contains(s.journals, id) {
		n.core = order.NewJournal(id, s.journals, n.disk.recovered(), empty, opts...)
	} else {
		n.core = order.NewReserver(id, s.journals, opts...)
	}
	s.tick(n, n.life)
}

func (s *sim) tick(n *node, life int) {
	if n.life != life {
		return
	}
	s.step(n, order.Tick{})
	s.at(5*time.Millisecond, func() { s.tick(n, life) })
}

func (s *sim) step(n *node, ev order.Event) {
	for _, eff := range n.core.Step(n.now(s.now), ev) {
		s.apply(n, eff)
	}
}

func (s *sim) apply(n *node, eff order.Effect) {
	switch eff := eff.(type) {
	case order.Send:
		s.send(n.id, eff)
	case order.Persist:
		// Persists become durable in their order.
		life := n.life
		n.synced = max(n.synced, s.now+s.between(100*time.Microsecond, 4*time.Millisecond))
		s.at(n.synced-s.now, func() { s.sync(n, life, eff) })
	case order.DropSegments:
		// Deletions are carried out after the writes before them.
		life := n.life
		s.at(n.synced-s.now+time.Microsecond, func() { s.drop(n, life, eff) })
	case order.Read:
		s.reads(n, func() order.Event { return order.ReadDone{ID: eff.ID, Record: n.disk.read(eff.At)} })
	case order.ReadPage:
		s.reads(n, func() order.Event { return n.disk.page(eff) })
	case order.Reserved:
		s.reserved(n, eff.Request)
	case order.Replayed:
		s.end(eff.Request, "known")
		if want := s.answers[s.keyOf[eff.Request]]; string(eff.Answer.Body) != want {
			s.fail("%s got answer %q, the first was %q", eff.Request, eff.Answer.Body, want)
		}
	case order.Stopped:
		s.end(eff.Request, fmt.Sprint("stopped ", eff.Reason))
	}
}

func (s *sim) fail(format string, args ...any) {
	s.broken = append(s.broken, fmt.Sprintf("%v: ", s.now)+fmt.Sprintf(format, args...))
}

func (s *sim) end(id model.RequestID, how string) {
	if s.ended[id] != "" {
		s.fail("%s ended twice: %s, %s", id, s.ended[id], how)
	}
	s.ended[id] = how
	s.counts[how]++
}

// send delivers a message late, twice or never.
func (s *sim) send(from model.HostID, m order.Send) {
	copies := 1
	if s.rng.Float64() < 0.1 {
		copies = 2
	}
	for range copies {
		if s.rng.Float64() < s.loss || s.cut[[2]model.HostID{from, m.To}] > s.now {
			continue
		}
		d := s.between(200*time.Microsecond, 3*time.Millisecond)
		if s.rng.Float64() < 0.05 {
			d = s.between(0, 400*time.Millisecond)
		}
		s.at(d, func() {
			if n := s.nodes[m.To]; n.core != nil {
				s.step(n, order.Received{From: from, Msg: m.Msg})
			}
		})
	}
}

// sync makes records durable, unless the process was killed before.
func (s *sim) sync(n *node, life int, p order.Persist) {
	if n.life != life {
		return
	}
	at := n.disk.write(uint32(s.now/simHour), p.Records)
	s.step(n, order.Persisted{Seq: p.Seq, Positions: at})
	if !s.formed && s.allVote() {
		s.formed = true
		s.counts["formed"]++
	}
	if n.lost && n.core.(*order.Journal).CanVote() {
		n.lost = false
		s.counts["repaired"]++
		// A second disk is lost right after the repair.
		other := s.journals[s.rng.IntN(len(s.journals))]
		s.at(s.between(0, 20*time.Millisecond), func() { s.loseDisk(other) })
	}
}

// simHour is the time of a segment.
const simHour = 50 * time.Millisecond

// reads reads from a disk and delivers it later, unless the host stopped in between.
func (s *sim) reads(n *node, read func() order.Event) {
	life := n.life
	s.at(s.between(0, 2*time.Millisecond), func() {
		if n.life != life {
			s.counts["read lost"]++
			return
		}
		ev := read()
		s.at(s.between(0, 2*time.Millisecond), func() {
			if n.life == life {
				s.counts["read"]++
				s.step(n, ev)
			}
		})
	})
}

func (s *sim) drop(n *node, life int, d order.DropSegments) {
	if n.life == life {
		s.counts["dropped"]++
		n.disk.drop(d.Segment)
	}
}

// reserved runs an order, or gives it up without running it.
func (s *sim) reserved(n *node, id model.RequestID) {
	s.end(id, "reserved")
	if s.rng.Float64() < 0.2 {
		s.step(n, order.Finished{Request: id, NotRun: true})
		return
	}
	key := s.keyOf[id]
	if first, ok := s.ranBy[key]; ok {
		s.fail("order %s ran for %s and %s", key, first, id)
	}
	s.ranBy[key] = id
	life := n.life
	s.at(s.between(0, 60*time.Millisecond), func() {
		if n.life != life || s.rng.Float64() < 0.2 {
			return
		}
		s.answers[key] = "answer to " + string(id)
		s.step(n, order.Finished{Request: id, Answer: &proto.StoredAnswer{Status: 200, Body: []byte(s.answers[key])}})
	})
}

// request starts an order on a host that is up.
func (s *sim) request() {
	if s.quiet {
		return
	}
	n := s.nodes[s.entries[s.rng.IntN(len(s.entries))]]
	s.at(s.between(time.Millisecond, 12*time.Millisecond), s.request)
	if n.core == nil {
		return
	}
	s.requests++
	id := model.RequestID(fmt.Sprint("r", s.requests))
	// Keys are reused by requests that are close in time.
	s.keyOf[id] = fmt.Sprint("o", s.requests/8+s.rng.IntN(3))
	body := model.BodyHash{1}
	if s.rng.Float64() < 0.05 {
		body = model.BodyHash{2}
	}
	s.step(n, order.Requested{Request: id, Workspace: "ws", OrderKey: s.keyOf[id], Body: body})
}

func (s *sim) kill(id model.HostID) {
	n := s.nodes[id]
	n.life++
	n.core = nil
}

// loseDisk kills a journal and starts it with an empty disk, if no other disk is lost now.
func (s *sim) loseDisk(id model.HostID) {
	for _, j := range s.journals {
		if n := s.nodes[j]; n.lost || n.core == nil {
			return
		}
	}
	s.counts["disk lost"]++
	s.kill(id)
	s.nodes[id].disk = emptyDisk()
	s.nodes[id].lost = true
	s.at(s.between(0, 50*time.Millisecond), func() { s.start(id, s.lostSetting()) })
}

// lostSetting returns whether an empty disk counts as lost. It does not while
// create_fleet is still true, which says nothing about the disk. Operators keep
// it so until the fleet is formed.
func (s *sim) lostSetting() bool { return s.formed && s.rng.IntN(2) == 0 }

func (s *sim) fault() {
	if s.quiet {
		return
	}
	s.at(s.between(5*time.Millisecond, 150*time.Millisecond), s.fault)
	all := slices.Concat(s.journals, s.entries)
	id := all[s.rng.IntN(len(all))]
	switch s.rng.IntN(5) {
	case 0:
		// One direction between a host and all others fails.
		end, inward := s.now+s.between(0, 400*time.Millisecond), s.rng.IntN(2) == 0
		for _, other := range all {
			if inward {
				s.cut[[2]model.HostID{other, id}] = end
			} else {
				s.cut[[2]model.HostID{id, other}] = end
			}
		}
	case 3:
		other := all[s.rng.IntN(len(all))]
		s.cut[[2]model.HostID{id, other}] = s.now + s.between(0, 300*time.Millisecond)
	case 1:
		if s.nodes[id].core != nil {
			s.kill(id)
			s.at(s.between(0, 100*time.Millisecond), func() { s.start(id, s.lostSetting()) })
		}
	case 2:
		s.loseDisk(s.journals[s.rng.IntN(len(s.journals))])
	default:
		for j := range s.cut {
			delete(s.cut, j)
		}
	}
}

func (s *sim) run(length time.Duration) {
	s.request()
	s.fault()
	s.until(length)
}

func (s *sim) until(end time.Duration) {
	for len(s.broken) == 0 && s.now < end {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.do()
	}
}

// settle ends the faults and demands that all journals vote after a while.
func (s *sim) settle() {
	s.quiet = true
	clear(s.cut)
	for s.until(s.now + 20*time.Millisecond); len(s.broken) == 0 && !s.allVote(); s.until(s.now + 20*time.Millisecond) {
		if s.now > 10*time.Second {
			s.fail("a journal does not vote although there is no fault any more")
		}
	}
}

func (s *sim) allVote() bool {
	return !slices.ContainsFunc(s.journals, func(id model.HostID) bool {
		core := s.nodes[id].core
		return core == nil || !core.(*order.Journal).CanVote()
	})
}

// schedules returns the number of random schedules: by default what fits the
// time of a unit test under the race detector, or ORDER_SCHEDULES.
func schedules(t *testing.T) int {
	text := os.Getenv("ORDER_SCHEDULES")
	if text == "" {
		return defaultSchedules
	}
	n, err := strconv.Atoi(text)
	require.NoError(t, err)
	return n
}

// Guards against an order that runs twice, a request that runs after it was told that it does not, and an
// answer that is not the first, under loss, delay, duplication, partitions, restarts and lost disks, with
// create_fleet set or not. Guards also against journals that wait for each other forever.
func TestOrdersRunOnce(t *testing.T) {
	const groups = 20
	var mu sync.Mutex
	total := map[string]int{}
	t.Run("seeds", func(t *testing.T) {
		for g := range groups {
			t.Run(fmt.Sprint("from ", g), func(t *testing.T) {
				t.Parallel()
				for i := range schedules(t) / groups {
					seed := uint64(g + i*groups)
					s := newSim(seed)
					s.run(800 * time.Millisecond)
					s.settle()
					require.Empty(t, s.broken, "seed %d", seed)
					mu.Lock()
					for name, n := range s.counts {
						total[name] += n
					}
					mu.Unlock()
				}
			})
		}
	})
	t.Log(total)
	for _, name := range []string{"reserved", "known", "stopped 1", "stopped 2", "stopped 3", "disk lost", "repaired", "formed", "read", "read lost", "dropped"} {
		require.NotZero(t, total[name], name)
	}
}

// Guards against a simulation that is not repeatable, which would make a reported seed useless.
func TestSchedulesAreRepeatable(t *testing.T) {
	a, b := newSim(7), newSim(7)
	a.run(time.Second)
	b.run(time.Second)
	require.Equal(t, a.counts, b.counts)
	require.Equal(t, a.ended, b.ended)
}
