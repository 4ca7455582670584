package pool

import (
	"maps"
	"slices"
	"strings"
	"time"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/internal/warm"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// target is the state of one target of a service at its owner.
type target struct {
	id model.TargetID
	// number identifies the target in bit sets.
	number      uint
	addr        string
	zone        model.ZoneName
	slots       int
	incarnation model.Incarnation
	// state only moves forward within one incarnation: ready, draining, leaving.
	state model.TargetState
	load  float64
	// evacuated is set while the configuration evacuates the target's zone.
	evacuated bool
	// lastAnnouncedAt is when the newest announcement arrived, or 0 for a
	// placeholder. startedAt is when the first announcement of the incarnation
	// arrived, or the placeholder was made.
	lastAnnouncedAt model.Instant
	startedAt       model.Instant
	// stale is set when the announcements have stopped. It changes on ticks only,
	// so that the capacity is constant between ticks.
	stale bool
	// slowStartFrom is when the slow start began, inSlowStart is set while it lasts.
	slowStartFrom model.Instant
	inSlowStart   bool
	// isWarmedUp is set in a slow start after a cold time at the warm-up rate. The
	// target is then sent less than others, but all its slots may be used.
	isWarmedUp bool
	// rate is the rate that the target names. It was restored from the report of a
	// host if rateIncarnation is not 0, for that incarnation of the target.
	rate            namedRate
	rateIncarnation model.Incarnation
	// cold is whether the target is cold, and how many requests it then takes.
	cold warm.Target
	// hostPauses holds, by host number, until when the target asked a host for no requests.
	hostPauses map[int32]model.Instant
	// pausedUntil ends the pause after the target shed a request.
	pausedUntil model.Instant
	// cooldownFrom is when the last failed attempt was reported, or 0 once an
	// attempt that began later succeeded.
	cooldownFrom model.Instant
	// failedAttempts counts the failed attempts that began after the failure before
	// was reported, less failuresPerSuccess for each success. lastFailureAt is when
	// the last failure was reported.
	failedAttempts int
	lastFailureAt  model.Instant
	// hasExtendedCooldown is set while the target is tried less often.
	hasExtendedCooldown bool
	// lastErrorHost is the number of the host that reported the last error, or noHost.
	lastErrorHost int32
	// lastSuccessAt is when a completed attempt was last reported, or 0.
	lastSuccessAt model.Instant
	// lastAssignedAt is when the target was last assigned, or 0. lastSentAt is when the
	// last request that has ended and was sent to the target was assigned, or 0.
	lastAssignedAt model.Instant
	lastSentAt     model.Instant
	// lastRefusalAt is when a refused connection was last reported, or 0.
	lastRefusalAt model.Instant
	// lastRefusalHost is the number of the host that reported that refusal.
	lastRefusalHost int32
	// lastAssignment is the number of the service's assignment that last chose this target.
	lastAssignment uint64
	// busySlots holds the slots in use. An assignment never raises their number
	// above slots; restored slots may exceed it.
	busySlots []*slot
	// restoredSlots counts the restored slots in use, restoredSlotsEnded those that ended.
	restoredSlots      int
	restoredSlotsEnded int

	// hostAssignedAt holds, by host number, when the target was last assigned to a
	// host, or neverAssigned. hostCount counts the hosts that it was assigned to.
	hostAssignedAt []model.Instant
	hostCount      int

	pace targetPace
	// passedOver counts, since the last report, why the target did not get queries.
	passedOver PassCounts
	stats      stats
	ejected    bool
	// keptByFloor is set while the target would be ejected if the floor allowed it.
	keptByFloor bool
	// onProbation is set during the slow start after an ejection.
	onProbation bool
	// evidenceSince is since when there is evidence against the target, or 0.
	evidenceSince model.Instant
	// ejectedUntil ends an ejection; ejectedAt is when the last one began. reason
	// and severity describe the last one, including one that the floor prevented.
	ejectedUntil model.Instant
	ejectedAt    model.Instant
	reason       string
	severity     float64
	// ejections counts recent ejections. It falls by one for each
	// BackoffDecayInterval since backoffDecayFrom.
	ejections        int
	backoffDecayFrom model.Instant
	// probeRequested is set once a probe was asked for before the return of the
	// target. probeAt is when a probe result last arrived, or 0.
	probeRequested bool
	probeOK        bool
	probeAt        model.Instant
	// postponements counts how often failed probes delayed the return.
	postponements int
	// ejectionTrials counts the successes in a row since the ejection.
	ejectionTrials int
}

// inCooldown reports whether other targets are preferred to this one, because it
// failed recently or because one attempt is trying it.
func (t *target) inCooldown(now model.Instant, tune *Tuning, r pickCriteria) bool {
	if tune.Cooldown == 0 {
		return false
	}
	if t.cooldownFrom == 0 {
		// One attempt at a time until the successes outweigh the failures.
		return t.failedAttempts > 0 && len(t.busySlots) > 0
	}
	wait := tune.Cooldown
	switch {
	case len(r.exclude) > 0:
		// Other requests find out whether the target has recovered.
		wait = retriedCooldownFactor * tune.Cooldown
	case !r.once:
		wait = tune.RetryableCooldown
	}
	return now.Sub(t.cooldownFrom) < t.cooldown(wait) || len(t.busySlots) > 0
}

// retriedCooldownFactor multiplies the cooldown for a request that has failed once.
const retriedCooldownFactor = 2

// maxSuccessAge is the age from which a success is no longer evidence that the
// target works.
const maxSuccessAge = 3 * time.Second

// minIdleTime is the time without a request after which a target is tried like one
// that has just succeeded. It lies below the 2 s in which each healthy target must
// get a request while many requests of its service fail.
const minIdleTime = 1500 * time.Millisecond

// successStaleness returns the share of maxSuccessAge that has passed since the
// last success, at most 1. It is 0 for a target whose cooldown has ended and that
// is to be tried again, and for one that has had no request for minIdleTime:
// without requests nothing is learned about the target, and its capacity would be
// lost.
func (t *target) successStaleness(now model.Instant) float64 {
	if t.cooldownFrom != 0 || len(t.busySlots) == 0 && now.Sub(t.lastRequestAt()) >= minIdleTime {
		return 0
	}
	if t.lastSuccessAt == 0 {
		return 1
	}
	return min(1, float64(now.Sub(t.lastSuccessAt))/float64(maxSuccessAge))
}

// noHost is a host number that no host has.
const noHost = int32(-1)

// neverAssigned marks a host in hostAssignedAt that does not use the target.
const neverAssigned = model.Instant(-1 << 63)

// ready reports whether the target has announced that it takes work and is not stale.
func (t *target) ready() bool { return t.state == model.TargetReady && !t.stale }

// announced reports whether the target has announced itself, so that it is no placeholder.
func (t *target) announced() bool { return t.lastAnnouncedAt != 0 }

// meanRestoredRounds returns the mean number of restored attempts that each slot of
// the target has begun, if the target runs as many at a time as it has slots.
func (t *target) meanRestoredRounds() float64 {
	return 1 + float64(t.restoredSlotsEnded)/float64(t.slots)
}

// usable reports whether the target may get new work.
func (t *target) usable() bool { return t.inService() && !t.ejected }

// trafficShare returns the share of a normal target's traffic that this one gets in its slow start.
func (t *target) trafficShare(now model.Instant, tune *Tuning) float64 {
	return min(1, max(tune.StartShare, float64(now.Sub(t.slowStartFrom))/float64(tune.SlowStart)))
}

// slotLimit returns how many slots may be in use at present.
func (t *target) slotLimit(now model.Instant, tune *Tuning) int {
	if !t.inSlowStart || t.isWarmedUp || t.cold.IsBounded() {
		return t.slots
	}
	return max(1, int(t.trafficShare(now, tune)*float64(t.slots)))
}

// hasRoom reports whether the target has a free slot and takes a request now.
func (t *target) hasRoom(now model.Instant, tune *Tuning) bool {
	return len(t.busySlots) < t.slots && now >= t.pausedUntil && t.rateAllows(now) &&
		(!t.inSlowStart || len(t.busySlots) < t.slotLimit(now, tune))
}

// acceptsHost reports whether the target may be assigned to an entry host, given
// the maximum number of hosts.
func (t *target) acceptsHost(host int32, maxHosts int) bool {
	if t.hostCount < maxHosts {
		return true
	}
	return int(host) < len(t.hostAssignedAt) && t.hostAssignedAt[host] != neverAssigned
}

// recordAssignment records that the target is assigned to an entry host now.
func (t *target) recordAssignment(now model.Instant, host int32) {
	for int(host) >= len(t.hostAssignedAt) {
		t.hostAssignedAt = append(t.hostAssignedAt, neverAssigned)
	}
	if t.hostAssignedAt[host] == neverAssigned {
		t.hostCount++
	}
	t.hostAssignedAt[host] = now
}

// forgetHost removes an entry host from those that use the target.
func (t *target) forgetHost(host int32) {
	if int(host) < len(t.hostAssignedAt) && t.hostAssignedAt[host] != neverAssigned {
		t.hostAssignedAt[host] = neverAssigned
		t.hostCount--
	}
}

// expireHosts removes the hosts whose idle connections are closed by now.
func (t *target) expireHosts(now model.Instant, idle time.Duration) {
	for i, at := range t.hostAssignedAt {
		if at != neverAssigned && now.Sub(at) > idle && !t.isBusyFor(int32(i)) {
			t.forgetHost(int32(i))
		}
	}
}

// isBusyFor reports whether an entry host holds a slot of the target.
func (t *target) isBusyFor(host int32) bool {
	return slices.ContainsFunc(t.busySlots, func(l *slot) bool { return l.host == host })
}

func compareTarget(t *target, id model.TargetID) int {
	return strings.Compare(string(t.id), string(id))
}

// handleAnnouncement takes an announcement. It ignores an older incarnation, and a
// state that precedes the one already announced by the same incarnation.
func (o *Owner) handleAnnouncement(now model.Instant, m proto.TargetNews) {
	a := m.Announcement
	s := o.service(now, a.Service)
	if s == nil {
		return
	}
	t, ok := s.targetByID[a.Target]
	if ok && (a.Incarnation < t.incarnation || a.Incarnation == t.incarnation && a.State < t.state) {
		return
	}
	if !ok {
		t = s.addTarget(a.Target)
	}
	if !t.announced() || a.Incarnation > t.incarnation {
		o.startIncarnation(now, s, t, a)
	}
	o.applyAnnouncement(now, s, t, a)
	o.recordColdNews(now, s, t, &m)
	o.adoptEjections(now, s)
	o.enforceFloor(now, s)
	o.dispatch(now, s)
}

// addTarget adds a target that has not announced itself.
func (s *service) addTarget(id model.TargetID) *target {
	s.targetCount++
	t := &target{id: id, number: s.targetCount, lastErrorHost: noHost}
	t.cold.SetRate(0, s.warmupRate)
	s.targetByID[id] = t
	at, _ := slices.BinarySearchFunc(s.targets, id, compareTarget)
	s.targets = slices.Insert(s.targets, at, t)
	return t
}

// startIncarnation resets the state of a target that announced a new incarnation.
func (o *Owner) startIncarnation(now model.Instant, s *service, t *target, a model.Announcement) {
	restarted := t.incarnation != 0
	t.incarnation = a.Incarnation
	if restarted {
		o.recordCrash(now, s, t, "")
	} else {
		o.recordEarlierCrashes(now, s, t)
	}
	if t.ejected {
		o.reinstate(s, t)
	}
	t.stats = stats{}
	t.cooldownFrom, t.failedAttempts, t.hasExtendedCooldown = 0, 0, false
	t.keptByFloor = false
	if t.rateIncarnation != a.Incarnation {
		s.liftRate(t)
	}
	t.rateIncarnation = 0
	t.cold = t.cold.Restarted()
	t.hostPauses = nil
	t.startedAt = now
	t.backoffDecayFrom = now
	t.state = a.State
	t.pausedUntil = now
	t.isWarmedUp = false
	t.inSlowStart = restarted || now.Sub(s.ownership.gainedAt) >= o.tune.AnnouncementWait
	t.slowStartFrom = now
}

// applyAnnouncement takes over the announced state, address, zone and slots.
func (o *Owner) applyAnnouncement(now model.Instant, s *service, t *target, a model.Announcement) {
	slots := a.Slots
	if slots <= 0 {
		slots = s.defaultSlots
	}
	if t.stale || t.state != a.State || t.slots != slots || t.addr != a.Addr || t.lastAnnouncedAt == 0 {
		s.version++
	}
	t.lastAnnouncedAt = now
	t.stale = false
	t.state = a.State
	t.addr = a.Addr
	o.setZone(now, s, t, a.Zone)
	t.slots = slots
	t.load = a.Load
}

// expireTargets marks targets without recent announcements as stale, removes those
// that have been stale for long, and ends slow starts.
func (o *Owner) expireTargets(now model.Instant, s *service) {
	changed := false
	kept := s.targets[:0]
	for _, t := range s.targets {
		silence := now.Sub(max(t.lastAnnouncedAt, t.startedAt))
		if silence > o.tune.RemoveAfter && len(t.busySlots) == 0 {
			s.liftRate(t)
			delete(s.targetByID, t.id)
			changed = true
			continue
		}
		if silence > o.tune.StaleAfter && !t.stale {
			t.stale = true
			changed = true
		}
		if t.inSlowStart && now.Sub(t.slowStartFrom) >= o.tune.SlowStart {
			t.inSlowStart = false
			if t.onProbation {
				t.onProbation = false
				o.emit(EjectionUnconfirmed{Service: s.name, Target: t.id})
			}
		}
		t.expireHosts(now, o.tune.IdleConnectionTimeout)
		maps.DeleteFunc(t.hostPauses, func(_ int32, until model.Instant) bool { return now >= until })
		kept = append(kept, t)
	}
	clear(s.targets[len(kept):])
	s.targets = kept
	if changed {
		s.version++
		s.countEvacuated()
		o.enforceFloor(now, s)
	}
}
