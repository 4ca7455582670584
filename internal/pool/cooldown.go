package pool

import (
	"cmp"
	"math"
	"slices"
	"time"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// A target that failed an attempt is in a cooldown and gets work only if no other
// target has room or, while most tries of failing targets fail, only by the rules of
// trial_request.go. When the cooldown ends, one request tries the target, and a
// request that must not be repeated is lost if the target still fails. A target in
// a long period of failures would lose one request per cooldown. Each failed try
// therefore doubles its cooldown, for a bounded share of the targets of a service;
// the others are tried after the usual cooldown, so that the healthy ones among
// them carry load.
//
// This helps a service of which some targets fail most requests for many seconds
// while their health checks succeed.

const (
	// maxExtendedShare bounds the targets with an extended cooldown to a share of
	// those that work. The users require that 0.7 of the targets without a fault get
	// requests within 2 s, and an extended cooldown may outlast the fault.
	maxExtendedShare = 0.2
	// maxUnservedShare is the share of refused or failed requests above which no
	// cooldown is extended and idle targets are due for a query. The users'
	// requirement on healthy targets applies while more than a tenth of a service's
	// requests is not served, and only targets without a fault count for it, which may
	// be few.
	maxUnservedShare = 0.08
	// outcomeHalfLife is the half-life of the counts behind the share of failed requests.
	outcomeHalfLife = time.Second
	// maxCooldownDoublings bounds the extension: a cooldown of 1.8 s grows to 7.2 s.
	maxCooldownDoublings = 2
	// maxFailedAttempts bounds the count of failed attempts, so that two successes
	// in a row take it back.
	maxFailedAttempts = 4
	// failureMemory is the time after a target's last failure at which its earlier
	// failures no longer count.
	failureMemory = 20 * time.Second
	// failuresPerSuccess is how many failed attempts one success takes back.
	failuresPerSuccess = 2
)

// recentOutcomes counts the requests of a service that ended and those that were
// refused or failed, with weights that halve every outcomeHalfLife.
type recentOutcomes struct {
	endedRequests    float64
	unservedRequests float64
	updatedAt        model.Instant
}

// record counts the end of an attempt. Final is set if the request failed with the
// attempt; a failed attempt whose request can be retried is not counted.
func (l *recentOutcomes) record(now model.Instant, final, failed bool) {
	l.decay(now)
	if !failed {
		l.endedRequests++
	} else if final {
		l.endedRequests++
		l.unservedRequests++
	}
}

// recordRefusal counts a refused request.
func (l *recentOutcomes) recordRefusal(now model.Instant) {
	l.decay(now)
	l.endedRequests++
	l.unservedRequests++
}

func (l *recentOutcomes) decay(now model.Instant) {
	weight := math.Exp2(-now.Sub(l.updatedAt).Seconds() / outcomeHalfLife.Seconds())
	l.endedRequests, l.unservedRequests, l.updatedAt = l.endedRequests*weight, l.unservedRequests*weight, now
}

// tooManyUnserved reports whether so many requests are refused or fail that no target
// is left out for longer than necessary.
func (l *recentOutcomes) tooManyUnserved() bool {
	return l.unservedRequests > maxUnservedShare*max(1, l.endedRequests)
}

// countAttempt updates the failure count of a target by an attempt that began after
// the last reported failure.
func (t *target) countAttempt(now, began model.Instant, failed bool) {
	switch {
	case t.cooldownFrom != 0 && began <= t.cooldownFrom:
		// The attempt was in progress when the failure was reported.
	case !failed:
		t.failedAttempts = max(0, t.failedAttempts-failuresPerSuccess)
	case now.Sub(t.lastFailureAt) > failureMemory:
		t.failedAttempts = 1
	default:
		t.failedAttempts = min(t.failedAttempts+1, maxFailedAttempts)
	}
	if failed {
		t.lastFailureAt = now
	}
}

// cooldown returns the cooldown of the target, which is longer than the given one
// if the target has an extended cooldown.
func (t *target) cooldown(wait time.Duration) time.Duration {
	if !t.hasExtendedCooldown {
		return wait
	}
	return wait << min(t.failedAttempts-1, maxCooldownDoublings)
}

// extendCooldowns extends the cooldown of the targets with the most failed
// attempts, as far as the shares and the floor allow.
func (s *service) extendCooldowns(now model.Instant) {
	working := 0
	candidates := s.cooldownScratch[:0]
	for _, t := range s.targets {
		t.hasExtendedCooldown = false
		if t.isWorking() {
			working++
		}
		if now.Sub(t.lastFailureAt) > failureMemory {
			t.failedAttempts = 0
		}
		if t.failedAttempts > 1 && t.inService() {
			candidates = append(candidates, t)
		}
	}
	s.cooldownScratch = candidates
	maxTargets := min(int(maxExtendedShare*float64(working)), s.spareTargets(now))
	if s.recentOutcomes.tooManyUnserved() {
		maxTargets = 0
	}
	if len(candidates) > maxTargets {
		slices.SortStableFunc(candidates, func(a, b *target) int {
			return cmp.Or(cmp.Compare(b.failedAttempts, a.failedAttempts), cmp.Compare(b.lastFailureAt, a.lastFailureAt))
		})
		candidates = candidates[:maxTargets]
	}
	for _, t := range candidates {
		t.hasExtendedCooldown = true
	}
}
