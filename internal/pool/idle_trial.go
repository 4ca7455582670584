package pool

import (
	"slices"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// Ejections, cooldowns, slow starts and the preference for a zone keep a target without
// requests for longer than its fault may last. While many queries of a service are
// refused or fail, that capacity is missing. One rule bounds them all: a target in
// service gets a query at least every maxIdleTime, as far as queries fit. A target that
// may still fail gets queries whose requests may be repeated; only if there are none it
// gets others, after its usual cooldown.

const (
	// maxIdleTime is the time without a request after which a target is due for a query
	// while many queries are not served. With the time until a query that fits arrives,
	// it stays below the 2 s in which each target without a fault must get a request.
	maxIdleTime = minIdleTime
	// minEjectionTrials is how many tries in a row of an ejected target have to succeed
	// before it returns early.
	minEjectionTrials = 2
)

// lastRequestAt returns when the target last got a request, or 0. A slot that its host
// gave back unused is none: hosts ask for slots before they know that they need them.
func (t *target) lastRequestAt() model.Instant {
	last := t.lastSentAt
	for _, l := range t.busySlots {
		last = max(last, l.startedAt)
	}
	return last
}

// idleSince returns when the target last got a request, or was first known.
func (t *target) idleSince() model.Instant { return max(t.lastRequestAt(), t.startedAt) }

// recordUse records whether the request of a slot that ends was sent to the target.
func (s *service) recordUse(l *slot, sent bool) {
	if !sent {
		s.idleReport.unused++
		return
	}
	l.target.lastSentAt = max(l.target.lastSentAt, l.startedAt)
}

// lacksService reports whether so many queries are refused or fail that idle targets
// are due for a query.
func (s *service) lacksService() bool { return s.recentOutcomes.tooManyUnserved() }

// isSuspect reports whether there is reason to expect that the target fails.
func (t *target) isSuspect() bool {
	return t.ejected || t.keptByFloor || t.cooldownFrom != 0 || t.failedAttempts > 0
}

// isDueForQuery reports whether the target has been idle for so long that it gets the
// next query that fits.
func (o *Owner) isDueForQuery(now model.Instant, s *service, t *target, r pickCriteria) bool {
	if !t.inService() || t.cold.IsBounded() || now.Sub(t.idleSince()) < maxIdleTime {
		return false
	}
	if !t.isSuspect() {
		return true
	}
	wait := o.tune.Cooldown
	if !r.once {
		wait = o.tune.RetryableCooldown
	}
	if now.Sub(t.cooldownFrom) < wait {
		return false
	}
	if t.ejected {
		return s.mayTrySuspect(r, &o.tune) && now.Sub(t.ejectedAt) >= max(wait, maxIdleTime)
	}
	return s.mayTrySuspect(r, &o.tune) || s.lacksRepeatable(now)
}

// mayTrySuspect reports whether the request of a query can be repeated if it fails at a
// target that is suspect.
func (s *service) mayTrySuspect(r pickCriteria, tune *Tuning) bool {
	return !r.once && s.retryTokens-float64(s.waitingRetries) >= minTrialRetryShare*tune.Retries.Burst
}

// lacksRepeatable reports whether no query has lately come whose request may be repeated.
func (s *service) lacksRepeatable(now model.Instant) bool {
	return now.Sub(s.lastRepeatableAskAt) >= repeatableAskMemory
}

// dueTarget returns the target that has been idle longest of those that are due for the
// query, or nil. Targets in the zone of the query come first.
func (o *Owner) dueTarget(now model.Instant, s *service, r pickCriteria) *target {
	if len(r.exclude) > 0 || !s.lacksService() {
		return nil
	}
	var best *target
	for _, t := range s.targets {
		if !o.isDueForQuery(now, s, t, r) || !t.hasRoom(now, &o.tune) || !t.acceptsHost(r.host, s.maxHosts(t)) ||
			t.pauseLeft(now, r.host) > 0 || slices.Contains(r.declined, t.id) {
			continue
		}
		near, bestNear := t.zone == r.zone, best != nil && best.zone == r.zone
		if best == nil || near && !bestNear || near == bestNear && t.idleSince() < best.idleSince() {
			best = t
		}
	}
	return best
}

// ejectionEnd returns when the ejection of a target ends. Where no request may be
// repeated, nothing shows earlier that the target has recovered, so that a repeated
// ejection lasts no longer than a first one while many queries are not served.
func (o *Owner) ejectionEnd(now model.Instant, s *service, t *target) model.Instant {
	if t.postponements > 0 || !s.lacksService() || !s.lacksRepeatable(now) {
		return t.ejectedUntil
	}
	return min(t.ejectedUntil, t.ejectedAt.Add(o.tune.BackoffBase))
}

// recordEjectionTrial counts the end of an attempt that an ejected target got after its
// ejection, and lets the target return once enough of them in a row have succeeded.
func (o *Owner) recordEjectionTrial(now, began model.Instant, s *service, t *target, a model.Attempt) {
	if !t.ejected || began <= t.ejectedAt || a.Incarnation != t.incarnation {
		return
	}
	switch {
	case a.End.Failed():
		t.ejectionTrials = 0
	case a.End == model.AttemptOK && !s.isSlow(a, o.tune.SlowRatio):
		if t.ejectionTrials++; t.ejectionTrials >= minEjectionTrials {
			o.startProbation(now, s, t)
		}
	}
}

// isSlow reports whether an attempt took several times as long as usual.
func (s *service) isSlow(a model.Attempt, ratio float64) bool {
	median := s.base.medianLatency()
	return median != 0 && float64(a.Latency) > ratio*float64(median)
}
