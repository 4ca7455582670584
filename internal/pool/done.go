package pool

import (
	"slices"
	"time"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// done takes the report of an attempt.
func (o *Owner) done(now model.Instant, from model.HostID, m proto.SlotDone) {
	s := o.service(now, m.Service)
	if s == nil {
		return
	}
	o.ended(now, s, o.host(from), &m, now)
	o.dispatch(now, s)
}

// ended frees the slot of an attempt that ended at an instant and takes it as
// evidence. A repeated report of an end has no effect.
func (o *Owner) ended(now model.Instant, s *service, host int32, m *proto.SlotDone, at model.Instant) {
	l, own := s.bySlot[m.Slot]
	began, final := now, true
	if own {
		began, final = l.start, l.final
	}
	switch {
	case own && l.host != host:
		return
	case own:
		s.free(l)
	case s.gave(m.Slot):
		return
	case m.Slot != 0:
		key := askKey{host: host, nonce: m.Slot}
		if !s.firstEnd(now, key) {
			return
		}
		if l, ok := s.restored[key]; ok {
			s.free(l)
		}
	}
	if m.Attempt.End == model.AttemptOK || m.Attempt.End.Failed() {
		s.lately.note(now, final, m.Attempt.End.Failed())
	}
	if t, ok := s.byTarget[m.Attempt.Target]; ok && t.announced() {
		t.doubt(now, began, m.Attempt)
		o.observe(now, s, t, host, m, own, at)
		return
	}
	if m.Attempt.End == model.AttemptBroken && !own {
		// Whether it was a crash is known when the target announces itself.
		s.broken = append(s.broken, brokenAttempt{
			target: s.targetOrPlaceholder(now, m.Attempt.Target), incarnation: m.Attempt.Incarnation, host: host, uncounted: true,
			workspace: m.Workspace, fingerprint: m.Fingerprint, at: at, until: now.Add(o.tune.CrashWindow),
		})
	}
}

// doubt notes a failed attempt, and forgets it after a success of an attempt
// that began later: one that was under way says nothing about the failure.
func (t *target) doubt(now, began model.Instant, a model.Attempt) {
	if a.Incarnation != t.incarnation {
		return
	}
	if a.End == model.AttemptOK || a.End.Failed() {
		t.noteTry(now, began, a.End.Failed())
	}
	switch {
	case a.End == model.AttemptOK && began > t.doubtedAt:
		t.doubtedAt = 0
	case a.End.Failed():
		t.doubtedAt = now
	}
}

// observe turns the end of an attempt into evidence on its target.
func (o *Owner) observe(now model.Instant, s *service, t *target, host int32, m *proto.SlotDone, own bool, at model.Instant) {
	if m.Attempt.Incarnation != t.incarnation {
		if (own || m.Slot != 0) && m.Attempt.End == model.AttemptBroken && m.Attempt.Incarnation < t.incarnation {
			o.addCrash(now, s, m.Workspace, m.Fingerprint)
		}
		return
	}
	s.trust(host).noteEnd(now, t, m.Attempt.End)
	switch m.Attempt.End {
	case model.AttemptOK:
		t.okAt = now
		// Attempts that another owner or a local choice placed may have waited
		// inside the target, so their latency says nothing.
		if own {
			s.addLatency(&t.stats, m.Attempt.Latency, o.tune.EvidenceCap)
		}
		s.clearSuspect(m.Workspace, m.Fingerprint)
	case model.AttemptError, model.AttemptInvalid:
		// The response came from the target, so the host's connection is not in question.
		t.stats.addError(1)
	case model.AttemptBroken:
		o.observeBroken(now, s, t, host, m, at)
	case model.AttemptNotSent:
		t.stats.addError(s.errorWeight(t, host))
		t.refusedAt = now
		t.refusedBy = host
		o.refusedConnection(now, s, t)
	case model.AttemptTimeout:
		// A request that reached the target with little time left says nothing about the target.
		if s.surprise(&t.stats, logLatency(m.Attempt.Latency)-s.base.level-t.stats.offset) >= timeoutSurprise {
			t.stats.addError(s.errorWeight(t, host))
		}
	case model.AttemptShed:
		t.pausedUntil = now.Add(shedPause)
	case model.AttemptCanceled:
	}
}

// observeBroken keeps a broken attempt until it is known whether it was a crash.
func (o *Owner) observeBroken(now model.Instant, s *service, t *target, host int32, m *proto.SlotDone, at model.Instant) {
	weight := s.errorWeight(t, host)
	t.stats.addError(weight)
	if m.Slot == 0 && s.hasBroken(t, host, m) {
		// A repeat of a report that has no slot here to tell it by.
		return
	}
	s.broken = append(s.broken, brokenAttempt{
		target: t, incarnation: m.Attempt.Incarnation, host: host, weight: weight,
		workspace: m.Workspace, fingerprint: m.Fingerprint, at: at, until: now.Add(o.tune.CrashWindow),
	})
	// Reports of different hosts may arrive out of order.
	if t.refusedAt != 0 && now.Sub(t.refusedAt) <= reportSkew {
		o.refusedConnection(now, s, t)
	}
}

// hasBroken reports whether a like broken attempt of the host on the target is kept.
func (s *service) hasBroken(t *target, host int32, m *proto.SlotDone) bool {
	return slices.ContainsFunc(s.broken, func(b brokenAttempt) bool {
		return b.target == t && b.host == host && b.workspace == m.Workspace && b.fingerprint == m.Fingerprint
	})
}

const (
	reasonCrashed = "crashed: connection refused after a broken attempt"
	// reportSkew bounds the time by which reports on one target overtake each other.
	reportSkew = 500 * time.Millisecond
)

// timeoutSurprise is the least surprise, in nats, at which a timeout counts as
// an error: one in twenty attempts takes as long.
const timeoutSurprise = 3

// shedPause keeps a target that shed a request from being offered the next one at once.
const shedPause = 20 * time.Millisecond

// expireSlots frees the slots of requests whose deadline has passed.
func (o *Owner) expireSlots(now model.Instant, s *service) {
	for _, t := range s.targets {
		for i := len(t.busy) - 1; i >= 0; i-- {
			if now >= t.busy[i].expires {
				s.free(t.busy[i])
			}
		}
	}
}

// expireWaiting refuses those who can no longer meet their deadline, and
// forgets workspaces without work.
func (o *Owner) expireWaiting(now model.Instant, s *service) {
	need := s.base.typical()
	for _, w := range s.workspaces {
		w.queue.filter(func(a *ask) bool {
			if a.gone {
				s.recycleAsk(a)
				return false
			}
			if now.Add(need) < a.deadline {
				return true
			}
			s.withdraw(a)
			o.refuse(s, a.host, a.nonce, proto.SlotTooLate, 0)
			s.recycleAsk(a)
			return false
		})
	}
	s.pruneWorkspaces()
}

// retryAfter suggests when a refused request may be tried again.
func (o *Owner) retryAfter(s *service, status proto.SlotStatus) time.Duration {
	switch status {
	case proto.SlotQuarantined:
		return o.tune.QuarantineDuration
	case proto.SlotNoTarget, proto.SlotNoRetry:
		return time.Second
	default:
		return s.base.typical()
	}
}
