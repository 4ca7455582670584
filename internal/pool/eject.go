package pool

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// commonCauseShare is the share of targets with evidence against them above which
// the cause is taken to be common, such as a slow dependency, and none is ejected.
const commonCauseShare = 0.5

// finding is the strongest evidence on a target.
type finding struct {
	target *target
	// excess is the evidence relative to its limit: at 1 the target is ejected.
	excess float64
	cause  model.EjectionCause
}

// minOnsetExcess is the excess from which on evidence counts as the onset of a
// failure, for its detection time. Noise stays below it.
const minOnsetExcess = 0.1

// crashSeverity ranks a crashed target above any other, since it runs nothing.
const crashSeverity = 100

// ejectWorst ejects the targets whose evidence reached a limit, the worst first,
// unless most targets show evidence.
func (o *Owner) ejectWorst(now model.Instant, s *service) {
	usable, suspicious, late := 0, 0, 0
	for _, t := range s.targets {
		if !t.usable() {
			continue
		}
		usable++
		st := &t.stats
		if st.errorScore > o.tune.ErrorLimit/2 || max(st.slowScore, st.stuckScore) > o.tune.LatencyLimit/2 {
			suspicious++
		}
		if st.unfinishedEvidence > o.tune.LatencyLimit/4 {
			late++
		}
	}
	common := float64(suspicious) > commonCauseShare*float64(usable)
	ignoreLate := float64(late) > commonCauseShare*float64(usable)
	var found []finding
	for _, t := range s.targets {
		if !t.usable() {
			continue
		}
		f := o.strongestFinding(s, t, ignoreLate)
		t.recordEvidence(now, f.excess >= minOnsetExcess)
		if f.excess >= 1 {
			found = append(found, f)
		} else if f.excess < 0.5 {
			t.keptByFloor = false
		}
	}
	if common || len(found) == 0 {
		return
	}
	slices.SortStableFunc(found, func(a, b finding) int { return cmp.Compare(b.excess, a.excess) })
	for _, f := range found {
		o.eject(now, s, f, s.explain(f), f.target.evidenceSince)
	}
}

// strongestFinding returns the strongest evidence on a target. Half the evidence
// suffices against a target on probation.
func (o *Owner) strongestFinding(s *service, t *target, ignoreLate bool) finding {
	scale := 1.0
	if t.onProbation {
		scale = 2
	}
	st := &t.stats
	late := max(0, st.unfinishedEvidence-2*medianOr(s.base.unfinished, 0))
	if ignoreLate {
		late = 0
	}
	slow := max(st.slowScore, st.stuckScore)
	if r := s.latencyRatio(t); r != 0 && r < o.tune.MinLatencyRatio*math.Exp(st.offset) {
		slow = 0
	}
	f := finding{target: t, excess: scale * st.errorScore / o.tune.ErrorLimit, cause: model.CauseErrors}
	if e := scale * max(slow, min(slow, st.stuckScore)+late) / o.tune.LatencyLimit; e > f.excess {
		f.excess = e
		f.cause = model.CauseSlow
		if late > slow {
			f.cause = model.CauseUnresponsive
		}
	}
	return f
}

// explain describes a finding to operators.
func (s *service) explain(f finding) string {
	st := &f.target.stats
	switch f.cause {
	case model.CauseErrors:
		return fmt.Sprintf("errors: %.0f %% of recent attempts, peers %.0f %%", 100*st.window.errorShare(), 100*s.peerErrors())
	case model.CauseSlow:
		return fmt.Sprintf("slow: %.1f times the latency of peers", s.latencyRatio(f.target))
	default:
		return "unresponsive: attempts unfinished far beyond the latency of peers"
	}
}

// medianOr returns the median of a sorted list, or def if it is empty.
func medianOr(x []float64, def float64) float64 {
	if len(x) == 0 {
		return def
	}
	return median(x)
}

// peerErrors returns the median share of errors of the targets.
func (s *service) peerErrors() float64 { return medianOr(s.base.errorShares, 0) }

// latencyRatio returns a target's recent latency relative to its peers, or 0 if it is not known.
func (s *service) latencyRatio(t *target) float64 {
	if t.stats.window.ok < minLevelWeight || len(s.base.levels) < 2 {
		return 0
	}
	return math.Exp(t.stats.window.mean() - medianWithout(s.base.levels, t.stats.level()))
}

// eject takes a target out of service, unless the remaining capacity would fall
// below the floor: then the target stays and gets a small share of the traffic.
// The argument since is when the failure began.
func (o *Owner) eject(now model.Instant, s *service, f finding, reason string, since model.Instant) {
	t := f.target
	t.reason = reason
	t.severity = f.excess
	if !s.mayEject(now, t) {
		t.keptByFloor = true
		return
	}
	t.ejections++
	wait := o.backoff(t.ejections)
	t.setEjected(now, now.Add(wait))
	s.version++
	o.emit(Ejected{Service: s.name, Target: t.id, Cause: f.cause, Reason: reason, DetectionTime: now.Sub(since), Duration: wait})
}

// recordEvidence records since when there is evidence against the target.
func (t *target) recordEvidence(now model.Instant, evident bool) {
	switch {
	case !evident:
		t.evidenceSince = 0
	case t.evidenceSince == 0:
		t.evidenceSince = now
	}
}

// setEjected marks the target as ejected.
func (t *target) setEjected(now, until model.Instant) {
	t.ejected = true
	// An ejection ends a slow start without a result, since the target did not show that it works.
	t.inSlowStart, t.onProbation = false, false
	t.keptByFloor = false
	t.ejectedAt = now
	t.backoffDecayFrom = now
	t.probeRequested = false
	t.postponements = 0
	t.ejectionTrials = 0
	t.ejectedUntil = until
}

// backoff returns the duration of the nth recent ejection, which doubles with each,
// with up to a quarter of jitter in each direction.
func (o *Owner) backoff(n int) time.Duration {
	wait := o.tune.BackoffMax
	if n < 16 {
		wait = min(wait, o.tune.BackoffBase<<(n-1))
	}
	return time.Duration(float64(wait) * (0.75 + 0.5*o.rng.Float64()))
}

// reinstate puts an ejected target back into service and drops the evidence on it.
func (o *Owner) reinstate(s *service, t *target) {
	t.ejected = false
	t.stats = stats{}
	s.version++
	o.emit(Reinstated{Service: s.name, Target: t.id})
}

const (
	// maxPostponements bounds how often failed probes delay the return of a target.
	// Probes lag or mislead, so they never keep a target out permanently.
	maxPostponements = 2
	// postponement is the delay of a return after a failed probe.
	postponement = time.Second
	// probeLeadTime is how long before the return of a target its probe is requested.
	probeLeadTime = 500 * time.Millisecond
	// maxProbeAge is the age up to which a failed probe delays a return.
	maxProbeAge = 2 * time.Second
)

// reinstateTargets requests a probe of each ejected target shortly before its
// ejection ends, and reinstates it at the end unless the probe failed.
func (o *Owner) reinstateTargets(now model.Instant, s *service) {
	for _, t := range s.targets {
		if !t.ejected {
			continue
		}
		if !t.probeRequested && now >= o.ejectionEnd(now, s, t).Add(-probeLeadTime) {
			t.probeRequested = true
			o.emit(Probe{Service: s.name, Target: t.id, Incarnation: t.incarnation, Addr: t.addr})
		}
		if now < o.ejectionEnd(now, s, t) {
			continue
		}
		failed := t.probeAt != 0 && !t.probeOK && now.Sub(t.probeAt) < maxProbeAge
		if failed && t.postponements < maxPostponements {
			t.postponements++
			t.ejectedUntil = now.Add(postponement)
			t.probeRequested = false
			s.version++
			continue
		}
		o.startProbation(now, s, t)
	}
}

// startProbation reinstates a target on probation, with a slow start.
func (o *Owner) startProbation(now model.Instant, s *service, t *target) {
	o.reinstate(s, t)
	// Without requests the slow start would show nothing; a zone's return begins another one.
	t.onProbation = !t.evacuated
	t.inSlowStart, t.isWarmedUp = true, false
	t.slowStartFrom = now
	t.backoffDecayFrom = now
}

// decayBackoff lowers the backoff of a target that stayed in service.
func (o *Owner) decayBackoff(now model.Instant, t *target) {
	if t.ejected || t.ejections == 0 || now.Sub(t.backoffDecayFrom) < o.tune.BackoffDecayInterval {
		return
	}
	t.ejections--
	t.backoffDecayFrom = now
}

// handleProbeResult takes a probe result as weak evidence.
func (o *Owner) handleProbeResult(now model.Instant, m proto.ProbeResult) {
	s := o.service(now, m.Service)
	if s == nil {
		return
	}
	t, ok := s.targetByID[m.Target]
	if !ok || m.Incarnation != t.incarnation {
		return
	}
	o.recordColdAnswer(now, s, t, m.Incarnation, m.ReportsCold, m.ColdRemaining)
	t.probeAt = now
	t.probeOK = m.OK
	if !m.OK && t.stats.errorScore < o.tune.ErrorLimit/4 {
		t.stats.errorScore += o.tune.ProbeEvidence
	}
}
