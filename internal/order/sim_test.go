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

// simTiming returns durations that are a tenth of those in DefaultTiming, so that
// simulations take less virtual time. Retention and SweepInterval are unchanged.
func simTiming() order.Timing {
	return order.Timing{
		ResendInterval: 10 * time.Millisecond, ReservationTimeout: 150 * time.Millisecond, AnswerGracePeriod: 5 * time.Millisecond,
		VoteTTL: 200 * time.Millisecond, RecoveryDelay: 220 * time.Millisecond, Retention: 24 * time.Hour, SweepInterval: time.Minute,
	}
}

// event is a function that runs at a virtual time. Events of the same time run in
// the order of seq.
type event struct {
	at  time.Duration
	seq int
	do  func()
}

// eventQueue is a heap of events, the earliest first.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(a, b int) bool {
	return q[a].at < q[b].at || (q[a].at == q[b].at && q[a].seq < q[b].seq)
}
func (q eventQueue) Swap(a, b int) { q[a], q[b] = q[b], q[a] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// host is a journal or entry host.
type host struct {
	id model.HostID
	// core is nil while the process is down.
	core order.Core
	// processNumber counts starts and kills. Events of an earlier process are ignored.
	processNumber int
	// clockSpeed is the speed of the host's clock relative to virtual time.
	clockSpeed float64
	// disk holds what a journal has synced. diskLost is set from the loss of a disk
	// until the repair is complete.
	disk     *disk
	diskLost bool
	// lastSyncAt is the virtual time at which the last Persist effect is synced.
	lastSyncAt time.Duration
}

func (n *host) now(at time.Duration) model.Instant {
	return model.Instant(float64(at) * n.clockSpeed)
}

// sim simulates a fleet of journals and entry hosts in virtual time.
type sim struct {
	rng      *rand.Rand
	now      time.Duration
	seq      int
	queue    eventQueue
	hosts    map[model.HostID]*host
	journals []model.HostID
	entries  []model.HostID
	// linkCutUntil holds the time until which messages from the first host to the
	// second one are lost.
	linkCutUntil map[[2]model.HostID]time.Duration
	// lossRate is the share of messages that are lost at random.
	lossRate     float64
	nonce        uint64
	requestCount int

	// keyOf holds the order key of each request. bodyOf is not used.
	keyOf  map[model.RequestID]string
	bodyOf map[model.RequestID]model.BodyHash
	// outcomes holds how each ended request ended.
	outcomes map[model.RequestID]string
	// ranBy holds the request that ran, answers the first answer, by order key.
	ranBy   map[string]model.RequestID
	answers map[string]string
	// failures holds the violations of the guarantees that were found.
	failures []string
	// counts holds how often each outcome and each kind of event occurred.
	counts map[string]int
	// retention is the age at which records expire. It is longer than an order key is in use.
	retention time.Duration
	// hasFormed is set once all journals could vote at the same time.
	hasFormed bool
	// faultsEnded is set when no more requests and faults are started.
	faultsEnded bool
}

func newSim(seed uint64) *sim {
	s := &sim{
		rng: rand.New(rand.NewPCG(seed, 1)), hosts: map[model.HostID]*host{}, linkCutUntil: map[[2]model.HostID]time.Duration{},
		keyOf: map[model.RequestID]string{}, bodyOf: map[model.RequestID]model.BodyHash{}, outcomes: map[model.RequestID]string{},
		ranBy: map[string]model.RequestID{}, answers: map[string]string{}, counts: map[string]int{},
	}
	s.retention = 500 * time.Millisecond
	s.lossRate = []float64{0, 0.05, 0.25}[s.rng.IntN(3)]
	for i := range []int{3, 3, 5}[s.rng.IntN(3)] {
		s.journals = append(s.journals, model.HostID(fmt.Sprint("j", i)))
	}
	s.entries = []model.HostID{"e0", "e1", "e2"}
	// In some schedules the journals form the fleet while requests arrive.
	forming := s.rng.IntN(4) == 0
	for _, id := range slices.Concat(s.journals, s.entries) {
		s.hosts[id] = &host{id: id, disk: emptyDisk(), clockSpeed: 0.98 + 0.04*s.rng.Float64()}
		if !forming {
			s.hosts[id].disk = formedDisk()
		}
		s.start(id, false)
	}
	s.hasFormed = !forming
	return s
}

// schedule runs a function after the duration d.
func (s *sim) schedule(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.queue, event{at: s.now + d, seq: s.seq, do: do})
}

func (s *sim) randomBetween(low, high time.Duration) time.Duration {
	return low + time.Duration(s.rng.Int64N(int64(high-low)))
}

// start starts a new process on a host with the content of its disk.
func (s *sim) start(id model.HostID, empty bool) {
	n := s.hosts[id]
	n.processNumber++
	s.nonce += 1 << 20
	timing := simTiming()
	timing.Retention, timing.SweepInterval = s.retention, 10*time.Millisecond
	opts := []order.Option{order.WithTiming(timing), order.WithNonceBase(s.nonce), order.WithPageBytes(300)}
	if slices.Contains(s.journals, id) {
		n.core = order.NewJournal(id, s.journals, n.disk.recovered(), empty, opts...)
	} else {
		n.core = order.NewReserver(id, s.journals, opts...)
	}
	s.tick(n, n.processNumber)
}

// tick delivers a Tick to a host every 5 ms until its process is killed.
func (s *sim) tick(n *host, processNumber int) {
	if n.processNumber != processNumber {
		return
	}
	s.step(n, order.Tick{})
	s.schedule(5*time.Millisecond, func() { s.tick(n, processNumber) })
}

func (s *sim) step(n *host, ev order.Event) {
	for _, eff := range n.core.Step(n.now(s.now), ev) {
		s.apply(n, eff)
	}
}

func (s *sim) apply(n *host, eff order.Effect) {
	switch eff := eff.(type) {
	case order.Send:
		s.send(n.id, eff)
	case order.Persist:
		// Persist effects are synced in their order.
		processNumber := n.processNumber
		n.lastSyncAt = max(n.lastSyncAt, s.now+s.randomBetween(100*time.Microsecond, 4*time.Millisecond))
		s.schedule(n.lastSyncAt-s.now, func() { s.sync(n, processNumber, eff) })
	case order.DropSegments:
		// Segments are deleted after earlier writes are synced.
		processNumber := n.processNumber
		s.schedule(n.lastSyncAt-s.now+time.Microsecond, func() { s.dropSegments(n, processNumber, eff) })
	case order.Read:
		s.scheduleRead(n, func() order.Event { return order.ReadDone{ID: eff.ID, Record: n.disk.read(eff.At)} })
	case order.ReadPage:
		s.scheduleRead(n, func() order.Event { return n.disk.page(eff) })
	case order.Reserved:
		s.handleReserved(n, eff.Request)
	case order.Replayed:
		s.recordOutcome(eff.Request, "known")
		if want := s.answers[s.keyOf[eff.Request]]; string(eff.Answer.Body) != want {
			s.failf("%s got answer %q, the first was %q", eff.Request, eff.Answer.Body, want)
		}
	case order.Stopped:
		s.recordOutcome(eff.Request, fmt.Sprint("stopped ", eff.Reason))
	}
}

func (s *sim) failf(format string, args ...any) {
	s.failures = append(s.failures, fmt.Sprintf("%v: ", s.now)+fmt.Sprintf(format, args...))
}

func (s *sim) recordOutcome(id model.RequestID, outcome string) {
	if s.outcomes[id] != "" {
		s.failf("%s ended twice: %s, %s", id, s.outcomes[id], outcome)
	}
	s.outcomes[id] = outcome
	s.counts[outcome]++
}

// send delivers a message after a delay. The message may arrive twice or be lost.
func (s *sim) send(from model.HostID, m order.Send) {
	copies := 1
	if s.rng.Float64() < 0.1 {
		copies = 2
	}
	for range copies {
		if s.rng.Float64() < s.lossRate || s.linkCutUntil[[2]model.HostID{from, m.To}] > s.now {
			continue
		}
		d := s.randomBetween(200*time.Microsecond, 3*time.Millisecond)
		if s.rng.Float64() < 0.05 {
			d = s.randomBetween(0, 400*time.Millisecond)
		}
		s.schedule(d, func() {
			if n := s.hosts[m.To]; n.core != nil {
				s.step(n, order.Received{From: from, Msg: m.Msg})
			}
		})
	}
}

// sync writes the records of a Persist effect to the disk, unless the process was
// killed before.
func (s *sim) sync(n *host, processNumber int, p order.Persist) {
	if n.processNumber != processNumber {
		return
	}
	at := n.disk.write(uint32(s.now/simSegmentLength), p.Records)
	s.step(n, order.Persisted{Seq: p.Seq, Positions: at})
	if !s.hasFormed && s.allCanVote() {
		s.hasFormed = true
		s.counts["formed"]++
	}
	if n.diskLost && n.core.(*order.Journal).CanVote() {
		n.diskLost = false
		s.counts["repaired"]++
		// Another disk is lost right after the repair.
		other := s.journals[s.rng.IntN(len(s.journals))]
		s.schedule(s.randomBetween(0, 20*time.Millisecond), func() { s.loseDisk(other) })
	}
}

// simSegmentLength is the period of virtual time that one segment covers.
const simSegmentLength = 50 * time.Millisecond

// scheduleRead reads from a disk and delivers the result later, unless the process
// was killed in between.
func (s *sim) scheduleRead(n *host, read func() order.Event) {
	processNumber := n.processNumber
	s.schedule(s.randomBetween(0, 2*time.Millisecond), func() {
		if n.processNumber != processNumber {
			s.counts["read lost"]++
			return
		}
		ev := read()
		s.schedule(s.randomBetween(0, 2*time.Millisecond), func() {
			if n.processNumber == processNumber {
				s.counts["read"]++
				s.step(n, ev)
			}
		})
	})
}

func (s *sim) dropSegments(n *host, processNumber int, d order.DropSegments) {
	if n.processNumber == processNumber {
		s.counts["dropped"]++
		n.disk.drop(d.Segment)
	}
}

// handleReserved runs the request, or gives it up without running it, and fails if
// another request with the same order key has run.
func (s *sim) handleReserved(n *host, id model.RequestID) {
	s.recordOutcome(id, "reserved")
	if s.rng.Float64() < 0.2 {
		s.step(n, order.Finished{Request: id, NotRun: true})
		return
	}
	key := s.keyOf[id]
	if first, ok := s.ranBy[key]; ok {
		s.failf("order %s ran for %s and %s", key, first, id)
	}
	s.ranBy[key] = id
	processNumber := n.processNumber
	s.schedule(s.randomBetween(0, 60*time.Millisecond), func() {
		if n.processNumber != processNumber || s.rng.Float64() < 0.2 {
			return
		}
		s.answers[key] = "answer to " + string(id)
		s.step(n, order.Finished{Request: id, Answer: &proto.StoredAnswer{Status: 200, Body: []byte(s.answers[key])}})
	})
}

// startRequest starts a request on a random entry host, unless that host is down, and
// schedules the next one.
func (s *sim) startRequest() {
	if s.faultsEnded {
		return
	}
	n := s.hosts[s.entries[s.rng.IntN(len(s.entries))]]
	s.schedule(s.randomBetween(time.Millisecond, 12*time.Millisecond), s.startRequest)
	if n.core == nil {
		return
	}
	s.requestCount++
	id := model.RequestID(fmt.Sprint("r", s.requestCount))
	// Requests that are close in time share order keys.
	s.keyOf[id] = fmt.Sprint("o", s.requestCount/8+s.rng.IntN(3))
	body := model.BodyHash{1}
	if s.rng.Float64() < 0.05 {
		body = model.BodyHash{2}
	}
	s.step(n, order.Requested{Request: id, Workspace: "ws", OrderKey: s.keyOf[id], Body: body})
}

func (s *sim) kill(id model.HostID) {
	n := s.hosts[id]
	n.processNumber++
	n.core = nil
}

// loseDisk kills a journal and starts it with an empty disk. It does nothing while
// another journal is down or repairs a lost disk.
func (s *sim) loseDisk(id model.HostID) {
	for _, j := range s.journals {
		if n := s.hosts[j]; n.diskLost || n.core == nil {
			return
		}
	}
	s.counts["disk lost"]++
	s.kill(id)
	s.hosts[id].disk = emptyDisk()
	s.hosts[id].diskLost = true
	s.schedule(s.randomBetween(0, 50*time.Millisecond), func() { s.start(id, s.emptyDiskCountsAsLost()) })
}

// emptyDiskCountsAsLost returns whether an empty disk counts as lost when a journal
// starts. That is false while the setting create_fleet is true, which operators keep
// until the fleet is formed and may keep longer, also when a disk was lost.
func (s *sim) emptyDiskCountsAsLost() bool { return s.hasFormed && s.rng.IntN(2) == 0 }

// injectFault causes a random fault or heals all links, and schedules the next fault.
func (s *sim) injectFault() {
	if s.faultsEnded {
		return
	}
	s.schedule(s.randomBetween(5*time.Millisecond, 150*time.Millisecond), s.injectFault)
	all := slices.Concat(s.journals, s.entries)
	id := all[s.rng.IntN(len(all))]
	switch s.rng.IntN(5) {
	case 0:
		// All links to a host, or all links from it, fail.
		end, inward := s.now+s.randomBetween(0, 400*time.Millisecond), s.rng.IntN(2) == 0
		for _, other := range all {
			if inward {
				s.linkCutUntil[[2]model.HostID{other, id}] = end
			} else {
				s.linkCutUntil[[2]model.HostID{id, other}] = end
			}
		}
	case 3:
		other := all[s.rng.IntN(len(all))]
		s.linkCutUntil[[2]model.HostID{id, other}] = s.now + s.randomBetween(0, 300*time.Millisecond)
	case 1:
		if s.hosts[id].core != nil {
			s.kill(id)
			s.schedule(s.randomBetween(0, 100*time.Millisecond), func() { s.start(id, s.emptyDiskCountsAsLost()) })
		}
	case 2:
		s.loseDisk(s.journals[s.rng.IntN(len(s.journals))])
	default:
		for j := range s.linkCutUntil {
			delete(s.linkCutUntil, j)
		}
	}
}

func (s *sim) run(length time.Duration) {
	s.startRequest()
	s.injectFault()
	s.runUntil(length)
}

func (s *sim) runUntil(end time.Duration) {
	for len(s.failures) == 0 && s.now < end {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.do()
	}
}

// runUntilAllVote ends requests and faults and fails if a journal still cannot vote
// after 10 s of virtual time.
func (s *sim) runUntilAllVote() {
	s.faultsEnded = true
	clear(s.linkCutUntil)
	for s.runUntil(s.now + 20*time.Millisecond); len(s.failures) == 0 && !s.allCanVote(); s.runUntil(s.now + 20*time.Millisecond) {
		if s.now > 10*time.Second {
			s.failf("a journal cannot vote although all faults have ended")
		}
	}
}

func (s *sim) allCanVote() bool {
	return !slices.ContainsFunc(s.journals, func(id model.HostID) bool {
		core := s.hosts[id].core
		return core == nil || !core.(*order.Journal).CanVote()
	})
}

// scheduleCount returns the number of random schedules to run. The environment
// variable ORDER_SCHEDULES overrides the default, which fits the time of a unit test
// with and without the race detector.
func scheduleCount(t *testing.T) int {
	text := os.Getenv("ORDER_SCHEDULES")
	if text == "" {
		return defaultSchedules
	}
	n, err := strconv.Atoi(text)
	require.NoError(t, err)
	return n
}

// TestOrdersRunOnce guards against an order that runs twice, a request that runs after
// it was told that it does not, and a replayed answer that is not the first one. The
// schedules contain lost, late and duplicate messages, partitions, restarts and lost
// disks, with create_fleet set or not. The test also guards against journals that wait
// for each other forever.
func TestOrdersRunOnce(t *testing.T) {
	const groups = 20
	var mu sync.Mutex
	total := map[string]int{}
	t.Run("seeds", func(t *testing.T) {
		for g := range groups {
			t.Run(fmt.Sprint("from ", g), func(t *testing.T) {
				t.Parallel()
				for i := range scheduleCount(t) / groups {
					seed := uint64(g + i*groups)
					s := newSim(seed)
					s.run(800 * time.Millisecond)
					s.runUntilAllVote()
					require.Empty(t, s.failures, "seed %d", seed)
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

// TestSchedulesAreRepeatable guards against a simulation whose schedule differs between
// runs of the same seed, so that a reported seed could not be replayed.
func TestSchedulesAreRepeatable(t *testing.T) {
	a, b := newSim(7), newSim(7)
	a.run(time.Second)
	b.run(time.Second)
	require.Equal(t, a.counts, b.counts)
	require.Equal(t, a.outcomes, b.outcomes)
}
