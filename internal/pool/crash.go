package pool

import (
	"slices"
	"time"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// Limits on the fingerprints that are kept after a crash and on those that are
// quarantined; the oldest is dropped first. Every query is compared with all of
// them.
const (
	maxSuspects    = 256
	maxQuarantined = 256
)

// brokenAttempt is an attempt whose connection broke, which may turn out to be a crash of the target.
type brokenAttempt struct {
	target      *target
	incarnation model.Incarnation
	host        int32
	// weight is what the attempt added to the error evidence, unless uncounted is set.
	weight      float64
	uncounted   bool
	workspace   model.WorkspaceID
	fingerprint model.Fingerprint
	// endedAt is when the attempt ended. A crash can be confirmed up to confirmBy.
	endedAt   model.Instant
	confirmBy model.Instant
}

// suspect is a fingerprint whose request was running when a target crashed.
type suspect struct {
	workspace   model.WorkspaceID
	fingerprint model.Fingerprint
	crashes     int
	lastCrashAt model.Instant
}

// quarantined is a fingerprint that is refused until the given instant.
type quarantined struct {
	workspace   model.WorkspaceID
	fingerprint model.Fingerprint
	until       model.Instant
}

// confirmCrash records a crash of a target that refused a connection. It needs a
// broken attempt of another host than the one that was refused (or of any host, if
// few use the target) and no completed run since: a host that is cut off sees
// broken attempts and refused connections at targets that work.
func (o *Owner) confirmCrash(now model.Instant, s *service, t *target) {
	if s.connectivity(t.lastRefusalHost).isCutOff() {
		return
	}
	confirmed := slices.ContainsFunc(s.brokenAttempts, func(b brokenAttempt) bool {
		return b.target == t && now <= b.confirmBy && t.lastSuccessAt <= b.endedAt &&
			(b.host != t.lastRefusalHost || t.hostCount < minSeveralHosts)
	})
	if confirmed {
		o.recordCrash(now, s, t, reasonCrashed)
	}
}

// recordCrash turns the recent broken attempts of a target into crashes: they no
// longer count as errors and count against their fingerprints instead. If a reason
// is given, the target is ejected; a new incarnation ends the ejection.
func (o *Owner) recordCrash(now model.Instant, s *service, t *target, reason string) {
	found, since := false, now
	kept := s.brokenAttempts[:0]
	for _, b := range s.brokenAttempts {
		if b.target != t || now > b.confirmBy {
			kept = append(kept, b)
			continue
		}
		found, since = true, min(since, b.endedAt)
		if !b.uncounted {
			t.stats.removeError(b.weight)
		}
		o.addCrash(now, s, b.workspace, b.fingerprint)
	}
	s.brokenAttempts = kept
	if found && reason != "" && !t.ejected && t.ready() {
		o.eject(now, s, finding{target: t, excess: crashSeverity, cause: model.CauseCrash}, reason, since)
	}
}

// recordEarlierCrashes counts as crashes the broken attempts on earlier
// incarnations of a target that has just announced itself to this owner.
func (o *Owner) recordEarlierCrashes(now model.Instant, s *service, t *target) {
	s.brokenAttempts = slices.DeleteFunc(s.brokenAttempts, func(b brokenAttempt) bool {
		if b.target != t || b.incarnation >= t.incarnation {
			return false
		}
		o.addCrash(now, s, b.workspace, b.fingerprint)
		return true
	})
}

// addCrash counts a crash against a fingerprint and quarantines the fingerprint at the crash limit.
func (o *Owner) addCrash(now model.Instant, s *service, ws model.WorkspaceID, fp model.Fingerprint) {
	if s.isQuarantined(now, ws, fp) {
		return
	}
	i := slices.IndexFunc(s.suspects, func(x suspect) bool { return x.fingerprint == fp && x.workspace == ws })
	if i < 0 {
		if len(s.suspects) == maxSuspects {
			s.suspects = slices.Delete(s.suspects, 0, 1)
		}
		s.suspects = append(s.suspects, suspect{workspace: ws, fingerprint: fp})
		i = len(s.suspects) - 1
	}
	s.suspects[i].crashes++
	s.suspects[i].lastCrashAt = now
	if s.suspects[i].crashes < o.tune.CrashLimit {
		return
	}
	s.suspects = slices.Delete(s.suspects, i, i+1)
	s.addQuarantined(quarantined{workspace: ws, fingerprint: fp, until: now.Add(o.tune.QuarantineDuration)})
	o.emit(Quarantined{Service: s.name, Workspace: ws, Fingerprint: fp, Duration: o.tune.QuarantineDuration})
	o.refuseQuarantined(s, ws, fp)
}

func (s *service) addQuarantined(q quarantined) {
	if len(s.quarantine) == maxQuarantined {
		s.quarantine = slices.Delete(s.quarantine, 0, 1)
	}
	s.quarantine = append(s.quarantine, q)
	s.version++
}

// refuseQuarantined refuses the waiting queries with a quarantined fingerprint.
func (o *Owner) refuseQuarantined(s *service, ws model.WorkspaceID, fp model.Fingerprint) {
	w, ok := s.workspaceByID[ws]
	if !ok {
		return
	}
	for _, a := range w.queue.items[w.queue.head:] {
		if !a.isWithdrawn && a.fingerprint == fp {
			s.withdraw(a)
			o.refuse(s, a.host, a.nonce, proto.SlotQuarantined, o.tune.QuarantineDuration)
		}
	}
}

// discountCrash removes one crash from a fingerprint whose request completed. This
// clears requests that only shared a target with the one that crashed it.
func (s *service) discountCrash(ws model.WorkspaceID, fp model.Fingerprint) {
	for i := range s.suspects {
		if s.suspects[i].fingerprint != fp || s.suspects[i].workspace != ws {
			continue
		}
		s.suspects[i].crashes--
		if s.suspects[i].crashes <= 0 {
			s.suspects = slices.Delete(s.suspects, i, i+1)
		}
		return
	}
}

func (s *service) isQuarantined(now model.Instant, ws model.WorkspaceID, fp model.Fingerprint) bool {
	for i := range s.quarantine {
		q := &s.quarantine[i]
		if q.fingerprint == fp && q.workspace == ws {
			return now < q.until
		}
	}
	return false
}

// mayReachCrashLimit reports whether the crashes of a fingerprint reach the limit
// if its unconfirmed broken attempts are crashes too. The fingerprint is not
// retried meanwhile.
func (s *service) mayReachCrashLimit(ws model.WorkspaceID, fp model.Fingerprint, limit int) bool {
	return s.confirmedCrashes(ws, fp)+s.recentBrokenAttempts(ws, fp) >= limit
}

// awaitsConfirmation reports whether a fingerprint with a confirmed crash reaches
// the limit once a recent broken attempt is confirmed as a crash. Its requests are
// refused until then, since they could crash one more target. Without a confirmed
// crash they are not refused, because a partition breaks attempts of frequent
// requests too.
func (s *service) awaitsConfirmation(ws model.WorkspaceID, fp model.Fingerprint, limit int) bool {
	n := s.confirmedCrashes(ws, fp)
	return n > 0 && n+s.recentBrokenAttempts(ws, fp) >= limit
}

// confirmedCrashes returns the number of confirmed crashes of a fingerprint.
func (s *service) confirmedCrashes(ws model.WorkspaceID, fp model.Fingerprint) int {
	for i := range s.suspects {
		if s.suspects[i].fingerprint == fp && s.suspects[i].workspace == ws {
			return s.suspects[i].crashes
		}
	}
	return 0
}

// recentBrokenAttempts returns the number of a fingerprint's broken attempts that
// may still be confirmed as crashes.
func (s *service) recentBrokenAttempts(ws model.WorkspaceID, fp model.Fingerprint) int {
	n := 0
	for i := range s.brokenAttempts {
		if s.brokenAttempts[i].fingerprint == fp && s.brokenAttempts[i].workspace == ws {
			n++
		}
	}
	return n
}

func (o *Owner) expireBrokenAttempts(now model.Instant, s *service) {
	s.brokenAttempts = slices.DeleteFunc(s.brokenAttempts, func(b brokenAttempt) bool {
		return now > b.confirmBy
	})
}

func (o *Owner) expireQuarantine(now model.Instant, s *service) {
	before := len(s.quarantine)
	s.quarantine = slices.DeleteFunc(s.quarantine, func(q quarantined) bool { return now >= q.until })
	if len(s.quarantine) != before {
		s.version++
	}
	s.suspects = slices.DeleteFunc(s.suspects, func(x suspect) bool { return now.Sub(x.lastCrashAt) > o.tune.QuarantineDuration })
}

// clearQuarantine removes the quarantined fingerprints of a workspace, its suspects
// and its broken attempts.
func (o *Owner) clearQuarantine(now model.Instant, m proto.QuarantineClear) {
	s := o.service(now, m.Service)
	if s == nil {
		return
	}
	s.version++
	if !slices.Contains(s.clearedWorkspaces, m.Workspace) {
		s.clearedWorkspaces = append(s.clearedWorkspaces, m.Workspace)
	}
	s.quarantine = slices.DeleteFunc(s.quarantine, func(q quarantined) bool { return q.workspace == m.Workspace })
	s.suspects = slices.DeleteFunc(s.suspects, func(x suspect) bool { return x.workspace == m.Workspace })
	s.brokenAttempts = slices.DeleteFunc(s.brokenAttempts, func(b brokenAttempt) bool { return b.workspace == m.Workspace })
}

// QuarantineStatus describes one quarantined fingerprint.
type QuarantineStatus struct {
	Workspace   model.WorkspaceID
	Fingerprint model.Fingerprint
	// Remaining is the time until the fingerprint is accepted again.
	Remaining time.Duration
}
