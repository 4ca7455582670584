package pool

import (
	"slices"
	"time"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// handleDone frees the slot of an ended attempt and assigns it to a waiting query.
func (o *Owner) handleDone(now model.Instant, from model.HostID, m proto.SlotDone) {
	s := o.service(now, m.Service)
	if s == nil {
		return
	}
	o.recordEnd(now, s, o.hostNumber(from), &m, now)
	o.dispatch(now, s)
}

// recordEnd frees the slot of an attempt that ended at the given instant and adds
// its outcome to the evidence on the target. A repeated report has no effect.
func (o *Owner) recordEnd(now model.Instant, s *service, host int32, m *proto.SlotDone, at model.Instant) {
	l, own := s.slotByID[m.Slot]
	began, final, failuresBefore := now, true, 0
	if own {
		began, final, failuresBefore = l.startedAt, l.isLastAttempt, l.failuresBefore
	}
	switch {
	case own && l.host != host:
		return
	case own:
		s.sched.Measure(now, l.hold, m.Attempt.End == model.AttemptOK)
		s.countEnd(now, l.startedAt, l.target, m.Attempt.End)
		s.recordUse(l, m.Attempt.End != model.AttemptCanceled || m.Attempt.Latency > 0)
		s.freeSlot(now, l)
	case s.isOwnSlot(m.Slot):
		return
	case m.Slot != 0:
		key := askKey{host: host, nonce: m.Slot}
		if !s.recordSlotEnd(now, key) {
			return
		}
		if l, ok := s.restoredSlots[key]; ok {
			s.freeSlot(now, l)
		}
	}
	s.countOutcome(now, m.Attempt.End, final, failuresBefore)
	if t, ok := s.targetByID[m.Attempt.Target]; ok && t.announced() {
		s.recordOutcome(now, began, t, m.Attempt)
		t.recordPause(now, host, m.Attempt)
		o.recordEjectionTrial(now, began, s, t, m.Attempt)
		t.recordMoved(now, m.Attempt)
		o.recordColdAnswer(now, s, t, m.Attempt.Incarnation, m.Attempt.Notice.ReportsCold, m.Attempt.Notice.ColdRemaining)
		o.recordLeaving(now, s, t, m.Attempt)
		o.addEvidence(now, s, t, host, m, own, began, at)
		return
	}
	if m.Attempt.End == model.AttemptBroken && !own {
		// The target's next announcement shows whether this was a crash.
		s.brokenAttempts = append(s.brokenAttempts, brokenAttempt{
			target: s.targetOrPlaceholder(now, m.Attempt.Target), incarnation: m.Attempt.Incarnation, host: host, uncounted: true,
			workspace: m.Workspace, fingerprint: m.Fingerprint, endedAt: at, confirmBy: now.Add(o.tune.CrashWindow),
		})
	}
}

// countOutcome counts the end of an attempt towards the shares by which the service
// decides. Final is set if the request failed with a failed attempt.
func (s *service) countOutcome(now model.Instant, end model.AttemptEnd, final bool, failuresBefore int) {
	failed := end.Failed()
	if end != model.AttemptOK && !failed {
		return
	}
	s.recentOutcomes.record(now, final, failed)
	if final && failed {
		s.idleReport.failed++
	}
	if failuresBefore > 0 {
		s.trialOutcomes.record(now, failuresBefore, !failed)
	}
}

// recordOutcome takes over the rate that the target named. It starts the target's
// cooldown after a failed attempt, and ends it after the success of an attempt that
// began later. The success of an attempt that was already in progress does not show
// that the target recovered.
func (s *service) recordOutcome(now, began model.Instant, t *target, a model.Attempt) {
	if a.Incarnation != t.incarnation {
		return
	}
	before := t.rate
	t.rate.record(now, a)
	s.countRates(before, t)
	if a.End == model.AttemptOK || a.End.Failed() {
		t.countAttempt(now, began, a.End.Failed())
	}
	switch {
	case a.End == model.AttemptOK && began > t.cooldownFrom:
		t.cooldownFrom = 0
	case a.End.Failed():
		t.cooldownFrom = now
	}
}

// addEvidence turns the end of an attempt into evidence on its target.
func (o *Owner) addEvidence(now model.Instant, s *service, t *target, host int32, m *proto.SlotDone, own bool, began, at model.Instant) {
	if m.Attempt.Incarnation != t.incarnation {
		if (own || m.Slot != 0) && m.Attempt.End == model.AttemptBroken && m.Attempt.Incarnation < t.incarnation {
			o.addCrash(now, s, m.Workspace, m.Fingerprint)
		}
		return
	}
	s.connectivity(host).recordEnd(now, t, m.Attempt.End)
	switch m.Attempt.End {
	case model.AttemptOK:
		t.lastSuccessAt = now
		// Attempts that an earlier owner or a local choice placed may have waited
		// inside the target, so their latency is no evidence.
		if own {
			o.addSuccess(s, t, began, m.Attempt.Latency)
		}
		s.discountCrash(m.Workspace, m.Fingerprint)
	case model.AttemptError, model.AttemptInvalid:
		// The target responded, so the host's connection works and the error counts fully.
		t.stats.addError(1)
	case model.AttemptBroken:
		o.addBrokenAttempt(now, s, t, host, m, at)
	case model.AttemptNotSent:
		t.stats.addError(s.errorWeight(t, host))
		t.lastRefusalAt = now
		t.lastRefusalHost = host
		o.confirmCrash(now, s, t)
	case model.AttemptTimeout:
		// A request that had little time left when it reached the target is no evidence.
		if s.surprisal(&t.stats, logLatency(t.warmLatency(began, m.Attempt.Latency))-s.base.level-t.stats.offset) >= minTimeoutSurprisal {
			t.stats.addError(s.errorWeight(t, host))
		}
	case model.AttemptShed:
		t.pausedUntil = now.Add(shedPause)
	case model.AttemptCanceled:
	}
}

// addBrokenAttempt keeps a broken attempt until it is known whether it was a crash.
func (o *Owner) addBrokenAttempt(now model.Instant, s *service, t *target, host int32, m *proto.SlotDone, at model.Instant) {
	weight := s.errorWeight(t, host)
	t.stats.addError(weight)
	if m.Slot == 0 && s.hasBrokenAttempt(t, host, m) {
		// Without a slot number, an equal broken attempt is taken as a repeated report.
		return
	}
	s.brokenAttempts = append(s.brokenAttempts, brokenAttempt{
		target: t, incarnation: m.Attempt.Incarnation, host: host, weight: weight,
		workspace: m.Workspace, fingerprint: m.Fingerprint, endedAt: at, confirmBy: now.Add(o.tune.CrashWindow),
	})
	// Reports of different hosts may arrive out of order.
	if t.lastRefusalAt != 0 && now.Sub(t.lastRefusalAt) <= maxReportSkew {
		o.confirmCrash(now, s, t)
	}
}

// hasBrokenAttempt reports whether an equal broken attempt of the host on the
// target is already kept.
func (s *service) hasBrokenAttempt(t *target, host int32, m *proto.SlotDone) bool {
	return slices.ContainsFunc(s.brokenAttempts, func(b brokenAttempt) bool {
		return b.target == t && b.host == host && b.workspace == m.Workspace && b.fingerprint == m.Fingerprint
	})
}

const (
	reasonCrashed = "crashed: connection refused after a broken attempt"
	// maxReportSkew is the longest time by which reports of different hosts on one
	// target may arrive out of order.
	maxReportSkew = 500 * time.Millisecond
)

// minTimeoutSurprisal is the least surprisal, in nats, at which a timeout counts as
// an error: one in twenty attempts takes as long.
const minTimeoutSurprisal = 3

// shedPause is the time for which a target that shed a request is not assigned again.
const shedPause = 20 * time.Millisecond

// expireSlots frees the slots whose requests are past their deadlines.
func (o *Owner) expireSlots(now model.Instant, s *service) {
	for _, t := range s.targets {
		for i := len(t.busySlots) - 1; i >= 0; i-- {
			if now >= t.busySlots[i].expiresAt {
				s.freeSlot(now, t.busySlots[i])
			}
		}
	}
}

// expireWaiting refuses the waiting queries that can no longer meet their
// deadlines, and removes workspaces without work.
func (o *Owner) expireWaiting(now model.Instant, s *service) {
	for _, w := range s.workspaces {
		w.queue.filter(func(a *ask) bool {
			if a.isWithdrawn {
				s.recycleAsk(a)
				return false
			}
			if now.Add(s.usualTime(now, a.query.Class)) < a.deadline {
				return true
			}
			o.refuseLateAsk(now, s, a, proto.SlotTooLate)
			s.recycleAsk(a)
			return false
		})
	}
	o.displaceOverdue(now, s)
	s.pruneWorkspaces()
	s.sched.Prune(now)
}

// retryAfter returns the time after which a refused request may be tried again.
func (o *Owner) retryAfter(s *service, status proto.SlotStatus) time.Duration {
	switch status {
	case proto.SlotQuarantined:
		return o.tune.QuarantineDuration
	case proto.SlotNoTarget, proto.SlotNoRetry:
		return time.Second
	default:
		return s.base.medianLatency()
	}
}
