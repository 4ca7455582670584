package pool

import (
	"slices"
	"strings"
	"time"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// target is one target of a service at its owner.
type target struct {
	id model.TargetID
	// number tells targets apart in bit sets.
	number      uint
	addr        string
	zone        model.ZoneName
	slots       int
	incarnation model.Incarnation
	// state only moves forward within one incarnation: ready, draining, leaving.
	state model.TargetState
	load  float64
	// seen is when the newest announcement arrived, since when the incarnation did.
	seen  model.Instant
	since model.Instant
	// stale changes on ticks only, so that capacity is constant between ticks.
	stale bool
	// rampFrom starts the slow start, cold is set while it lasts.
	rampFrom model.Instant
	cold     bool
	// pausedUntil ends a pause after the target shed a request.
	pausedUntil model.Instant
	// doubtedAt is when the last failed attempt was reported, or 0 once an attempt
	// that began later succeeded.
	doubtedAt model.Instant
	// failedTries counts the attempts that failed in a row, of those that began
	// after the failure before; failedAt is when the last one was reported.
	failedTries int
	failedAt    model.Instant
	// resting is set while the target is tried less often.
	resting bool
	// errorHost is the host that reported the last error, or noHost.
	errorHost int32
	// okAt is when a complete run was last reported, or 0.
	okAt model.Instant
	// givenAt is when the target was last assigned, or 0.
	givenAt model.Instant
	// refusedAt is when a connection was last refused, or 0.
	refusedAt model.Instant
	// refusedBy is the host that was refused then.
	refusedBy int32
	// lastPick is the number of the service's assignment that last gave this target.
	lastPick uint64
	// busy holds the slots in use. Its length never exceeds slots as last
	// announced when one is assigned; restored slots may exceed it.
	busy []*slot
	// restoredSlots counts the slots in use that were restored, restoredEnds those that ended.
	restoredSlots int
	restoredEnds  int

	// lastGiven holds, by host number, when the target was last given to that
	// host, or neverGiven. givenTo counts the others.
	lastGiven []model.Instant
	givenTo   int

	stats   stats
	ejected bool
	// denied is set while the target would be ejected but for the floor.
	denied    bool
	probation bool
	// suspectedAt is since when there is evidence against the target, or 0.
	suspectedAt model.Instant
	// until ends an ejection; ejectedAt and reason describe the last one.
	until     model.Instant
	ejectedAt model.Instant
	reason    string
	severity  float64
	ejections int
	changed   model.Instant
	probed    bool
	probeOK   bool
	probeAt   model.Instant
	postponed int
}

// doubted reports whether the target is to be avoided: it failed lately, or is
// being tried by an attempt.
func (t *target) doubted(now model.Instant, tune *Tuning, r pickFor) bool {
	if tune.Cooldown == 0 {
		return false
	}
	if t.doubtedAt == 0 {
		// One attempt at a time until the successes outweigh the failures.
		return t.failedTries > 0 && len(t.busy) > 0
	}
	wait := tune.Cooldown
	switch {
	case len(r.exclude) > 0:
		// Others find out whether the target has recovered.
		wait = retriedDoubts * tune.Cooldown
	case !r.once:
		wait = tune.RetryableCooldown
	}
	return now.Sub(t.doubtedAt) < t.restWait(wait) || len(t.busy) > 0
}

// retriedDoubts is how many times longer a target is doubted for a request that
// has failed once.
const retriedDoubts = 2

// provenFor is the age of a success at which it says nothing about the present any more.
const provenFor = 3 * time.Second

// idleFor is the time without a request after which a target is tried like one
// that has proved itself. It lies below the 2 s in which each sound target must
// get a request while many requests of its service fail.
const idleFor = 1500 * time.Millisecond

// unproven returns the share of provenFor that has passed since the last success.
// It is 0 for a target whose doubt has ended and that is to be tried again, and
// for one that has got nothing for idleFor: without a request nothing is learned
// of it, and its capacity would be lost.
func (t *target) unproven(now model.Instant) float64 {
	if t.doubtedAt != 0 || len(t.busy) == 0 && now.Sub(t.givenAt) >= idleFor {
		return 0
	}
	if t.okAt == 0 {
		return 1
	}
	return min(1, float64(now.Sub(t.okAt))/float64(provenFor))
}

const noHost = int32(-1)

const neverGiven = model.Instant(-1 << 63)

// ready reports whether the target says that it takes work.
func (t *target) ready() bool { return t.state == model.TargetReady && !t.stale }

// announced reports whether the target is more than a placeholder.
func (t *target) announced() bool { return t.seen != 0 }

// restoredRounds is the mean number of restored attempts that each of the
// target's slots has begun, if the target has run as many at a time as it has slots.
func (t *target) restoredRounds() float64 { return 1 + float64(t.restoredEnds)/float64(t.slots) }

// usable reports whether the target may get new work.
func (t *target) usable() bool { return t.ready() && !t.ejected }

// share returns the share of a normal target's traffic that this one gets.
func (t *target) share(now model.Instant, tune *Tuning) float64 {
	return min(1, max(tune.StartShare, float64(now.Sub(t.rampFrom))/float64(tune.SlowStart)))
}

// limit returns the slots that may be in use.
func (t *target) limit(now model.Instant, tune *Tuning) int {
	if !t.cold {
		return t.slots
	}
	return max(1, int(t.share(now, tune)*float64(t.slots)))
}

// mayGiveTo reports whether an entry host may get the target within its connection budget.
func (t *target) mayGiveTo(host int32, budget int) bool {
	if t.givenTo < budget {
		return true
	}
	return int(host) < len(t.lastGiven) && t.lastGiven[host] != neverGiven
}

func (t *target) giveTo(now model.Instant, host int32) {
	for int(host) >= len(t.lastGiven) {
		t.lastGiven = append(t.lastGiven, neverGiven)
	}
	if t.lastGiven[host] == neverGiven {
		t.givenTo++
	}
	t.lastGiven[host] = now
}

func (t *target) forgetHost(host int32) {
	if int(host) < len(t.lastGiven) && t.lastGiven[host] != neverGiven {
		t.lastGiven[host] = neverGiven
		t.givenTo--
	}
}

// expireHosts forgets hosts whose idle connections are closed by now.
func (t *target) expireHosts(now model.Instant, idle time.Duration) {
	for i, at := range t.lastGiven {
		if at != neverGiven && now.Sub(at) > idle && !t.runsFor(int32(i)) {
			t.forgetHost(int32(i))
		}
	}
}

func (t *target) runsFor(host int32) bool {
	return slices.ContainsFunc(t.busy, func(l *slot) bool { return l.host == host })
}

func compareTarget(t *target, id model.TargetID) int {
	return strings.Compare(string(t.id), string(id))
}

// announce takes an announcement. Older incarnations, and a state behind the
// one already announced by the same incarnation, are ignored.
func (o *Owner) announce(now model.Instant, a model.Announcement) {
	s := o.service(now, a.Service)
	if s == nil {
		return
	}
	t, ok := s.byTarget[a.Target]
	if ok && (a.Incarnation < t.incarnation || a.Incarnation == t.incarnation && a.State < t.state) {
		return
	}
	if !ok {
		t = s.addTarget(a.Target)
	}
	if !t.announced() || a.Incarnation > t.incarnation {
		o.begin(now, s, t, a)
	}
	o.refresh(now, s, t, a)
	o.adoptEjections(now, s)
	o.keepFloor(now, s)
	o.dispatch(now, s)
}

func (s *service) addTarget(id model.TargetID) *target {
	s.targetCount++
	t := &target{id: id, number: s.targetCount, errorHost: noHost}
	s.byTarget[id] = t
	at, _ := slices.BinarySearchFunc(s.targets, id, compareTarget)
	s.targets = slices.Insert(s.targets, at, t)
	return t
}

// begin starts a new incarnation of a target.
func (o *Owner) begin(now model.Instant, s *service, t *target, a model.Announcement) {
	restarted := t.incarnation != 0
	t.incarnation = a.Incarnation
	if restarted {
		o.crashed(now, s, t, "")
	} else {
		o.crashedBefore(now, s, t)
	}
	if t.ejected {
		o.restore(s, t)
	}
	t.stats = stats{}
	t.doubtedAt, t.failedTries, t.resting = 0, 0, false
	t.denied = false
	t.since = now
	t.changed = now
	t.state = a.State
	t.pausedUntil = now
	t.cold = restarted || now.Sub(s.tenure.gained) >= o.tune.AnnouncementWait
	t.rampFrom = now
}

func (o *Owner) refresh(now model.Instant, s *service, t *target, a model.Announcement) {
	slots := a.Slots
	if slots <= 0 {
		slots = s.slots
	}
	if t.stale || t.state != a.State || t.slots != slots || t.addr != a.Addr || t.seen == 0 {
		s.version++
	}
	t.seen = now
	t.stale = false
	t.state = a.State
	t.addr = a.Addr
	t.zone = a.Zone
	t.slots = slots
	t.load = a.Load
}

// ageTargets marks silent targets as stale and forgets those gone for long.
func (o *Owner) ageTargets(now model.Instant, s *service) {
	changed := false
	kept := s.targets[:0]
	for _, t := range s.targets {
		silent := now.Sub(max(t.seen, t.since))
		if silent > o.tune.RemoveAfter && len(t.busy) == 0 {
			delete(s.byTarget, t.id)
			changed = true
			continue
		}
		if silent > o.tune.StaleAfter && !t.stale {
			t.stale = true
			changed = true
		}
		if t.cold && now.Sub(t.rampFrom) >= o.tune.SlowStart {
			t.cold = false
			if t.probation {
				t.probation = false
				o.emit(EjectionUnconfirmed{Service: s.name, Target: t.id})
			}
		}
		t.expireHosts(now, o.tune.IdleConnectionTimeout)
		kept = append(kept, t)
	}
	clear(s.targets[len(kept):])
	s.targets = kept
	if changed {
		s.version++
		o.keepFloor(now, s)
	}
}
