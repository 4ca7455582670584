package pool

import (
	"slices"
	"time"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// Bounds of the fingerprints kept after one crash and of those refused; the
// oldest goes first. Every query for a slot is compared with them.
const (
	maxSuspects    = 256
	maxQuarantined = 256
)

// brokenAttempt is an attempt that ended early and may turn out to be a crash.
type brokenAttempt struct {
	target      *target
	incarnation model.Incarnation
	host        int32
	// weight is what it counted as evidence of an error, unless uncounted is set.
	weight      float64
	uncounted   bool
	workspace   model.WorkspaceID
	fingerprint model.Fingerprint
	// at is when it ended. It may turn out to be a crash up to until.
	at    model.Instant
	until model.Instant
}

// suspect is a fingerprint that was running when a target crashed.
type suspect struct {
	workspace   model.WorkspaceID
	fingerprint model.Fingerprint
	crashes     int
	at          model.Instant
}

// quarantined is a fingerprint that is refused.
type quarantined struct {
	workspace   model.WorkspaceID
	fingerprint model.Fingerprint
	until       model.Instant
}

// refusedConnection confirms a crash once a connection was refused to another
// host than the one whose attempt broke, and no run completed in between: a
// host that is cut off sees both at targets that are well.
func (o *Owner) refusedConnection(now model.Instant, s *service, t *target) {
	if s.trust(t.refusedBy).distrusted() {
		return
	}
	confirmed := slices.ContainsFunc(s.broken, func(b brokenAttempt) bool {
		return b.target == t && now <= b.until && t.okAt <= b.at &&
			(b.host != t.refusedBy || t.givenTo < severalHosts)
	})
	if confirmed {
		o.crashed(now, s, t, reasonCrashed)
	}
}

// crashed turns the recent broken attempts of a target into a crash: they stop
// counting as evidence of a gray failure and count against their fingerprints.
// With a reason the target is ejected until it announces a new incarnation.
func (o *Owner) crashed(now model.Instant, s *service, t *target, reason string) {
	found, since := false, now
	kept := s.broken[:0]
	for _, b := range s.broken {
		if b.target != t || now > b.until {
			kept = append(kept, b)
			continue
		}
		found, since = true, min(since, b.at)
		if !b.uncounted {
			t.stats.removeError(b.weight)
		}
		o.addCrash(now, s, b.workspace, b.fingerprint)
	}
	s.broken = kept
	if found && reason != "" && !t.ejected && t.ready() {
		o.eject(now, s, finding{target: t, excess: crashSeverity, cause: model.CauseCrash}, reason, since)
	}
}

// crashedBefore counts the broken attempts on earlier runs of a target that
// this owner hears of for the first time.
func (o *Owner) crashedBefore(now model.Instant, s *service, t *target) {
	s.broken = slices.DeleteFunc(s.broken, func(b brokenAttempt) bool {
		if b.target != t || b.incarnation >= t.incarnation {
			return false
		}
		o.addCrash(now, s, b.workspace, b.fingerprint)
		return true
	})
}

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
	s.suspects[i].at = now
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

// refuseQuarantined refuses the like requests that already wait.
func (o *Owner) refuseQuarantined(s *service, ws model.WorkspaceID, fp model.Fingerprint) {
	w, ok := s.byID[ws]
	if !ok {
		return
	}
	for _, a := range w.queue.items[w.queue.head:] {
		if !a.gone && a.fingerprint == fp {
			s.withdraw(a)
			o.refuse(s, a.host, a.nonce, proto.SlotQuarantined, o.tune.QuarantineDuration)
		}
	}
}

// clearSuspect counts a complete run against an earlier crash. Requests that
// only shared a target with the one that crashed it are cleared this way.
func (s *service) clearSuspect(ws model.WorkspaceID, fp model.Fingerprint) {
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

// mayCrash reports whether a fingerprint has broken as many attempts as crashes
// put it in quarantine, counting those not yet confirmed. It is not retried meanwhile.
func (s *service) mayCrash(ws model.WorkspaceID, fp model.Fingerprint, limit int) bool {
	return s.crashes(ws, fp)+s.brokenBy(ws, fp) >= limit
}

// awaitsVerdict reports whether the crash that would put a fingerprint in
// quarantine is not confirmed yet, after an earlier one that was. A resend is
// refused meanwhile, since it could crash one target more. Without an earlier
// confirmed crash it is not: a partition breaks attempts of popular requests too.
func (s *service) awaitsVerdict(ws model.WorkspaceID, fp model.Fingerprint, limit int) bool {
	n := s.crashes(ws, fp)
	return n > 0 && n+s.brokenBy(ws, fp) >= limit
}

// crashes counts the confirmed crashes of a fingerprint.
func (s *service) crashes(ws model.WorkspaceID, fp model.Fingerprint) int {
	for i := range s.suspects {
		if s.suspects[i].fingerprint == fp && s.suspects[i].workspace == ws {
			return s.suspects[i].crashes
		}
	}
	return 0
}

// brokenBy counts the recent broken attempts of a fingerprint.
func (s *service) brokenBy(ws model.WorkspaceID, fp model.Fingerprint) int {
	n := 0
	for i := range s.broken {
		if s.broken[i].fingerprint == fp && s.broken[i].workspace == ws {
			n++
		}
	}
	return n
}

func (o *Owner) expireBroken(now model.Instant, s *service) {
	s.broken = slices.DeleteFunc(s.broken, func(b brokenAttempt) bool {
		return now > b.until
	})
}

func (o *Owner) expireQuarantine(now model.Instant, s *service) {
	before := len(s.quarantine)
	s.quarantine = slices.DeleteFunc(s.quarantine, func(q quarantined) bool { return now >= q.until })
	if len(s.quarantine) != before {
		s.version++
	}
	s.suspects = slices.DeleteFunc(s.suspects, func(x suspect) bool { return now.Sub(x.at) > o.tune.QuarantineDuration })
}

// clearQuarantine removes the quarantine of a workspace and what led to it.
func (o *Owner) clearQuarantine(now model.Instant, m proto.QuarantineClear) {
	s := o.service(now, m.Service)
	if s == nil {
		return
	}
	s.version++
	if !slices.Contains(s.cleared, m.Workspace) {
		s.cleared = append(s.cleared, m.Workspace)
	}
	s.quarantine = slices.DeleteFunc(s.quarantine, func(q quarantined) bool { return q.workspace == m.Workspace })
	s.suspects = slices.DeleteFunc(s.suspects, func(x suspect) bool { return x.workspace == m.Workspace })
	s.broken = slices.DeleteFunc(s.broken, func(b brokenAttempt) bool { return b.workspace == m.Workspace })
}

// QuarantineStatus describes one refused fingerprint.
type QuarantineStatus struct {
	Workspace   model.WorkspaceID
	Fingerprint model.Fingerprint
	// Remaining is the time until it is accepted again.
	Remaining time.Duration
}
