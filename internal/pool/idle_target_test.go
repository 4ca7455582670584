package pool

import (
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// The rule on idle targets: in each window in which more than a tenth but less than half
// of the requests are not served, 0.7 of the sound targets get a request. A target is
// sound again soundAfter after it last failed or started. Left out are windows of fewer
// requests than a tenth can be told from, and of fewer attempts by target than reach all:
// hosts without an owner do not know each other's attempts.
const (
	idleWindow, soundAfter     = 2 * time.Second, 2 * time.Second
	minWindowRequests          = 10
	minAttempts, minWithoutOne = 2, 6
	// ownerSettlesIn is the time after a change of owner that counts as one without.
	ownerSettlesIn = 3 * time.Second
	failingWork    = 12 * loadTick
)

// failingFleet is a fleet of which a third of the targets fail, hang or are slow for some
// seconds, again and again. It restarts targets and loses its owner.
type failingFleet struct {
	*fleetLoad
	rng *rand.Rand
	// fault is what happens to three of four requests in a fault, or to all if it is slow.
	fault    string
	restarts bool
	// faults holds when each target fails. A start is one without duration.
	faults    map[model.TargetID][]timeSpan
	ownerless []timeSpan
	// attempts holds when each target got requests.
	attempts map[model.TargetID][]model.Instant
}

type timeSpan struct{ from, until model.Instant }

func (s timeSpan) overlaps(x timeSpan) bool { return s.from < x.until && s.until > x.from }

// requestResult is when a request arrived, and whether it was served.
type requestResult struct {
	at     model.Instant
	served bool
}

func newFailingFleet(seed uint64) *failingFleet {
	rng := rand.New(rand.NewPCG(seed, 54))
	targets := 2 + rng.IntN(14)
	if rng.IntN(3) == 0 {
		targets = 2 + rng.IntN(59)
	}
	hosts, zones := 4+rng.IntN(21), 1+rng.IntN(4)
	load := 0.05 * float64(uint(1)<<rng.IntN(3))
	if rng.IntN(2) == 0 {
		load = 0.2 + 1.2*rng.Float64()
	}
	f := &failingFleet{rng: rng, faults: map[model.TargetID][]timeSpan{}, attempts: map[model.TargetID][]model.Instant{}}
	f.fleetLoad = newFleetLoad(hosts, targets, func(l *fleetLoad) {
		l.rng, l.zones, l.tune.Pace = rng, zones, rng.IntN(2) == 0
	})
	f.fault = []string{"fails", "fails", "hangs", "slow"}[rng.IntN(4)]
	f.restarts = rng.IntN(2) == 0
	perSecond, once := load*4*float64(targets)/failingWork.Seconds(), 0.5*float64(rng.IntN(3))
	for _, k := range []loadKind{{perSecond: once * perSecond}, {perSecond: (1 - once) * perSecond, mayRepeat: true}} {
		if k.perSecond > 0 {
			k.work, k.objective, k.deadline, k.workspaces = failingWork, time.Second, 4*time.Second, 8
			f.kinds = append(f.kinds, &k)
		}
	}
	for i := range targets {
		if rng.IntN(3) != 0 {
			continue
		}
		for at := f.now.Add(time.Duration(rng.Int64N(int64(9 * time.Second)))); at < f.now.Add(24*time.Second); {
			until := at.Add(time.Second + time.Duration(rng.Int64N(int64(3*time.Second))))
			f.faults[targetID(i)] = append(f.faults[targetID(i)], timeSpan{at, until})
			at = until.Add(5*time.Second + time.Duration(rng.Int64N(int64(3*time.Second))))
		}
	}
	f.outcome = f.decide
	return f
}

// decide returns how an attempt at a target ends.
func (f *failingFleet) decide(_ model.HostID, id model.TargetID) (model.AttemptEnd, time.Duration) {
	f.attempts[id] = append(f.attempts[id], f.now)
	for _, x := range f.faults[id] {
		switch {
		case f.now < x.from || f.now >= x.until:
		case f.fault == "slow":
			return model.AttemptOK, 4 * failingWork
		case f.rng.Float64() >= 0.75:
		case f.fault == "hangs":
			return model.AttemptTimeout, 75 * loadTick
		default:
			return model.AttemptError, loadTick
		}
	}
	return model.AttemptOK, failingWork
}

func (f *failingFleet) play(losesOwner bool) {
	for end := f.now.Add(24 * time.Second); f.now < end; {
		f.run(0, 2*time.Second+time.Duration(f.rng.IntN(200))*loadTick)
		if f.restarts {
			for i := range f.targets {
				if a := &f.targets[i]; f.rng.IntN(5) == 0 {
					a.Incarnation++
					f.faults[a.Target] = append(f.faults[a.Target], timeSpan{f.now, f.now})
				}
			}
			f.announce()
		}
		if losesOwner {
			from := f.now
			f.owner = nil
			f.run(0, time.Duration(50+f.rng.IntN(150))*loadTick)
			f.startOwner()
			f.ownerless = append(f.ownerless, timeSpan{from, f.now.Add(ownerSettlesIn)})
		}
	}
}

// breaksRule reports whether the rule on idle targets is broken in a window.
func (f *failingFleet) breaksRule(w timeSpan) bool {
	all, unserved := 0, 0
	for _, r := range f.results {
		if r.at >= w.from && r.at < w.until {
			all++
			if !r.served {
				unserved++
			}
		}
	}
	attempts, sound, used, least := 0, 0, 0, minAttempts
	for _, a := range f.targets {
		n := 0
		for _, at := range f.attempts[a.Target] {
			if at >= w.from && at < w.until {
				n++
			}
		}
		attempts += n
		if !slices.ContainsFunc(f.faults[a.Target], func(x timeSpan) bool { return w.overlaps(timeSpan{x.from, x.until.Add(soundAfter)}) }) {
			sound++
			used += min(1, n)
		}
	}
	if slices.ContainsFunc(f.ownerless, w.overlaps) {
		least = minWithoutOne
	}
	return all >= minWindowRequests && 10*unserved > all && 2*unserved < all && attempts >= least*len(f.targets) && used > 0 && 10*used < 7*sound
}

// TestSoundTargetsAreNotIdleWhileRequestsAreLost guards against ejections, cooldowns, slow
// starts and zones that keep sound targets idle while others are refused.
func TestSoundTargetsAreNotIdleWhileRequestsAreLost(t *testing.T) {
	seeds := []uint64{167, 338, 1184}
	count, err := strconv.ParseUint(os.Getenv("IDLE_SEEDS"), 10, 64)
	if err != nil {
		count = 12
	}
	for seed := range count {
		seeds = append(seeds, seed)
	}
	for _, seed := range seeds {
		f := newFailingFleet(seed)
		f.play(seed%3 == 0)
		for from := model.Instant(3 * time.Second); from.Add(idleWindow) <= f.now; from = from.Add(100 * time.Millisecond) {
			if f.breaksRule(timeSpan{from, from.Add(idleWindow)}) {
				t.Errorf("seed %d: sound targets idle in the 2 s from %v on", seed, time.Duration(from))
				break
			}
		}
	}
}

// TestSoundTargetsAreNotIdleWithoutAnOwner guards against hosts that together use only the
// targets at which they succeeded lately.
func TestSoundTargetsAreNotIdleWithoutAnOwner(t *testing.T) {
	for seed := range uint64(3) {
		f := &failingFleet{rng: rand.New(rand.NewPCG(seed, 9)), fault: "fails", faults: map[model.TargetID][]timeSpan{}, attempts: map[model.TargetID][]model.Instant{}}
		f.fleetLoad = newFleetLoad(46, 229, func(l *fleetLoad) { l.rng, l.zones, l.tune.Pace = f.rng, 4, true })
		f.kinds = []*loadKind{{perSecond: 60}, {perSecond: 380, mayRepeat: true}}
		for _, k := range f.kinds {
			k.work, k.objective, k.deadline, k.workspaces = failingWork, time.Second, 4*time.Second, 8
		}
		for _, a := range f.targets {
			for at := f.now.Add(-time.Duration(f.rng.Int64N(int64(episodeInterval)))); at < f.now.Add(20*time.Second); at = at.Add(episodeInterval) {
				f.faults[a.Target] = append(f.faults[a.Target], timeSpan{at, at.Add(episodeDuration)})
			}
		}
		f.outcome = f.decide
		f.run(0, 4*time.Second)
		f.owner = nil
		f.run(0, 14*time.Second)
		for from := model.Instant(6 * time.Second); from.Add(idleWindow) <= f.now; from = from.Add(100 * time.Millisecond) {
			require.False(t, f.breaksRule(timeSpan{from, from.Add(idleWindow)}), "seed %d, the 2 s from %v on", seed, time.Duration(from))
		}
	}
}

// lossyHarness returns an owner with targets of which one is ejected, and refusals so that
// many queries are not served.
func lossyHarness(t *testing.T, tune Tuning) (*ownerHarness, *target) {
	h := newOwnerHarness(t, 0)
	h.owner = NewOwner("e0", WithTuning(tune))
	h.step(Configured{Config: model.NewConfig(nil, nil)})
	h.step(EntryHostsChanged{})
	h.step(OwnershipGained{Shard: testShard(), Epoch: 1, Until: 1 << 60})
	for i := range 5 {
		h.announce(i, 1, model.TargetReady)
	}
	h.earnRetries(20)
	require.Equal(t, 1, h.ejectRange(0, 1))
	s := h.owner.services[testService]
	s.targetByID[targetID(0)].ejectedUntil = h.now.Add(time.Minute)
	for range 100 {
		s.recentOutcomes.recordRefusal(h.now)
	}
	return h, s.targetByID[targetID(0)]
}

// askOnce sends a query for a request that must not be repeated, in the zone of the targets.
func (h *ownerHarness) askOnce() model.TargetID {
	m := h.newAsk("w", 1)
	m.AtMostOnce = true
	return firstReply(h.receive("e1", m)).Target
}

func TestEjectedTargetIsTriedByRepeatableRequestsOnly(t *testing.T) {
	h, ejected := lossyHarness(t, CautiousTuning())
	h.now = h.now.Add(time.Second)
	require.NotEqual(t, ejected.id, h.ask("w", 1).Target, "the failure was just now")
	h.now = h.now.Add(time.Second)
	for range 5 {
		require.NotEqual(t, ejected.id, h.askOnce())
	}
	first := h.ask("w", 1)
	require.Equal(t, ejected.id, first.Target)
	require.NotEqual(t, ejected.id, h.ask("w", 1).Target, "one try in each time")

	h.now = h.now.Add(20 * time.Millisecond)
	h.reportDone(first, "w", 1, model.AttemptOK)
	require.True(t, ejected.ejected, "after one success")
	h.now = h.now.Add(2 * time.Second)
	for range 5 {
		require.NotEqual(t, ejected.id, h.askOnce())
	}
	second := h.ask("w", 1)
	require.Equal(t, ejected.id, second.Target)
	h.now = h.now.Add(20 * time.Millisecond)
	h.reportDone(second, "w", 1, model.AttemptOK)
	require.False(t, ejected.ejected)
	require.True(t, ejected.onProbation)
}

// TestUnusedSlotsAreNoRequests guards against a target that gets nothing although it is
// assigned again and again: hosts ask for slots before the token of a request is there.
func TestUnusedSlotsAreNoRequests(t *testing.T) {
	h, _ := lossyHarness(t, CautiousTuning())
	h.now = h.now.Add(1900 * time.Millisecond)
	for range 4 {
		m := h.newAsk("w", 1)
		m.AtMostOnce = true
		got := firstReply(h.receive("e1", m)).Target
		h.receive("e1", proto.SlotCancel{Service: testService, Nonce: m.Nonce})
		h.now = h.now.Add(20 * time.Millisecond)
		require.Equal(t, got, h.askOnce(), "it is still due")
	}
}

func TestEjectionsWithoutRepeatableRequestsAreShort(t *testing.T) {
	tune := CautiousTuning()
	h, ejected := lossyHarness(t, tune)
	h.owner.services[testService].lastRepeatableAskAt = 0
	h.now = h.now.Add(tune.BackoffBase - 20*time.Millisecond)
	h.step(Tick{})
	require.True(t, ejected.ejected)
	h.now = h.now.Add(20 * time.Millisecond)
	h.step(Tick{})
	require.False(t, ejected.ejected, "no request may try it earlier")
}

func TestRefusalsEndExtendedCooldowns(t *testing.T) {
	h, ejected := lossyHarness(t, CautiousTuning())
	ejected.ejected = false
	s := h.owner.services[testService]
	failing := s.targetByID[targetID(1)]
	failing.failedAttempts, failing.lastFailureAt = 3, h.now
	s.extendCooldowns(h.now)
	require.False(t, failing.hasExtendedCooldown)
	s.recentOutcomes = recentOutcomes{}
	s.extendCooldowns(h.now)
	require.True(t, failing.hasExtendedCooldown)
}
