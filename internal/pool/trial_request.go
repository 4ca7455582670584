package pool

import (
	"math"
	"slices"
	"time"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// Under a load that the working targets of a service can barely carry, a target
// that fails within milliseconds always has a free slot. If queries that find no
// other slot are assigned to it, it attracts most of the excess load and fails it.
// Such queries therefore wait for a target that works, as long as tries of failing
// targets mostly fail. Requests that may be repeated try the failing targets at
// intervals that grow with each failure, so that recovered ones carry load again
// soon.

const (
	// firstTrialInterval is the time after a first failure at which a target is
	// tried. It doubles with each failed try, maxTrialDoublings times at most.
	firstTrialInterval = 100 * time.Millisecond
	maxTrialDoublings  = 3
	// minTrialRetryShare is the share of the retry budget's burst below which no
	// target is tried early. Requests that fail elsewhere need the rest.
	minTrialRetryShare = 0.25
	// repeatableAskMemory is the time without queries for requests that may be
	// repeated after which other requests try failing targets.
	repeatableAskMemory = time.Second
	// minTrialSuccess is the share of successful tries below which queries wait
	// rather than being assigned to a failing target.
	minTrialSuccess = 0.5
	// trialOutcomeHalfLife is the half-life of the counts of tries.
	trialOutcomeHalfLife = 5 * time.Second
	// trialPriorWeight is the weight, in tries, of the assumption that half of the
	// tries succeed.
	trialPriorWeight = 2
)

// trialOutcomes counts the attempts at targets in a cooldown, with weights that
// halve every trialOutcomeHalfLife. A first failure is often an isolated one, so
// that tries after it are counted apart from tries after several failures.
type trialOutcomes struct {
	afterOne, afterSeveral trialCount
	updatedAt              model.Instant
}

type trialCount struct{ tries, successes float64 }

// record counts the end of an attempt that began after the given number of failures.
func (o *trialOutcomes) record(now model.Instant, failures int, ok bool) {
	weight := math.Exp2(-now.Sub(o.updatedAt).Seconds() / trialOutcomeHalfLife.Seconds())
	o.updatedAt = now
	for _, c := range []*trialCount{&o.afterOne, &o.afterSeveral} {
		c.tries, c.successes = c.tries*weight, c.successes*weight
	}
	c := o.count(failures)
	c.tries++
	if ok {
		c.successes++
	}
}

func (o *trialOutcomes) count(failures int) *trialCount {
	if failures > 1 {
		return &o.afterSeveral
	}
	return &o.afterOne
}

// mostlyFail reports whether most tries of targets with the given number of
// failures fail.
func (o *trialOutcomes) mostlyFail(failures int) bool {
	c := o.count(failures)
	return c.successes+minTrialSuccess*trialPriorWeight < minTrialSuccess*(c.tries+trialPriorWeight)
}

// isWorking reports whether the target is usable and has not failed since its last success.
func (t *target) isWorking() bool { return t.usable() && t.cooldownFrom == 0 }

// hasWorkingTarget reports whether a target works that is not excluded and takes
// requests without a limit.
func (s *service) hasWorkingTarget(exclude []model.TargetID) bool {
	return slices.ContainsFunc(s.targets, func(t *target) bool {
		return t.isWorking() && !t.rate.limited && !t.cold.IsBounded() && !slices.Contains(exclude, t.id)
	})
}

// hasFailingTarget reports whether a usable target has failed more often than its
// successes make up for. Queries then differ in the targets that they may be
// assigned to.
func (s *service) hasFailingTarget() bool {
	return slices.ContainsFunc(s.targets, func(t *target) bool { return t.usable() && t.failedAttempts > 0 })
}

// isAvoided reports whether a query waits for a target that works rather than
// being assigned to this one.
func (s *service) isAvoided(now model.Instant, t *target, tune *Tuning, r pickCriteria) bool {
	return t.inCooldown(now, tune, r) && s.trialOutcomes.mostlyFail(t.failedAttempts)
}

// trialInterval returns the time after the target's last failure at which it is
// tried while other queries wait.
func (t *target) trialInterval() time.Duration {
	return firstTrialInterval << min(max(0, t.failedAttempts-1), maxTrialDoublings)
}

// mayTry reports whether the request of a query may try a failing target while
// other queries wait for targets that work.
func (s *service) mayTry(now model.Instant, m *proto.SlotAsk, tune *Tuning) bool {
	switch {
	case tune.Cooldown == 0 || len(m.Exclude) > 0:
		return false
	case m.AtMostOnce:
		return now.Sub(s.lastRepeatableAskAt) >= repeatableAskMemory
	default:
		return s.retryTokens >= minTrialRetryShare*tune.Retries.Burst
	}
}

// trialTarget returns the failing target that has waited longest for a try, or nil
// if none is due.
func (s *service) trialTarget(now model.Instant, r pickCriteria) *target {
	var best *target
	for _, t := range s.targets {
		if !t.usable() || t.cooldownFrom == 0 || len(t.busySlots) > 0 || now < t.pausedUntil || !t.rateAllows(now) {
			continue
		}
		if now.Sub(t.cooldownFrom) < t.trialInterval() || best != nil && best.cooldownFrom <= t.cooldownFrom {
			continue
		}
		if t.acceptsHost(r.host, s.maxHosts(t)) && t.pauseLeft(now, r.host) == 0 && !slices.Contains(r.declined, t.id) {
			best = t
		}
	}
	return best
}
