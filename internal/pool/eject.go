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

// commonShare is the share of targets with evidence against them above which
// the cause is taken to be common, such as a slow dependency, and none is ejected.
const commonShare = 0.5

// finding is the strongest evidence on a target relative to its limit.
type finding struct {
	target *target
	// excess is 1 at the limit.
	excess float64
	cause  model.EjectionCause
}

// suspicion is the part of the limit of ejection from which on evidence counts
// as the begin of a failure, for its detection time. Noise stays below it.
const suspicion = 0.1

// crashSeverity ranks a crashed target before any other: it runs nothing.
const crashSeverity = 100

func (o *Owner) ejectWorst(now model.Instant, s *service) {
	usable, doubtful, late := 0, 0, 0
	for _, t := range s.targets {
		if !t.usable() {
			continue
		}
		usable++
		st := &t.stats
		if st.errorScore > o.tune.ErrorLimit/2 || max(st.slowScore, st.stuckScore) > o.tune.LatencyLimit/2 {
			doubtful++
		}
		if st.unfinished > o.tune.LatencyLimit/4 {
			late++
		}
	}
	common := float64(doubtful) > commonShare*float64(usable)
	ignoreLate := float64(late) > commonShare*float64(usable)
	var found []finding
	for _, t := range s.targets {
		if !t.usable() {
			continue
		}
		f := o.find(s, t, ignoreLate)
		t.suspect(now, f.excess >= suspicion)
		if f.excess >= 1 {
			found = append(found, f)
		} else if f.excess < 0.5 {
			t.denied = false
		}
	}
	if common || len(found) == 0 {
		return
	}
	slices.SortStableFunc(found, func(a, b finding) int { return cmp.Compare(b.excess, a.excess) })
	for _, f := range found {
		o.eject(now, s, f, s.explain(f), f.target.suspectedAt)
	}
}

// find returns the strongest evidence on a target. Half the evidence suffices
// against a target that has just returned.
func (o *Owner) find(s *service, t *target, ignoreLate bool) finding {
	scale := 1.0
	if t.probation {
		scale = 2
	}
	st := &t.stats
	late := max(0, st.unfinished-2*medianOr(s.base.unfinished, 0))
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

// explain describes a finding for operators.
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

func medianOr(x []float64, def float64) float64 {
	if len(x) == 0 {
		return def
	}
	return median(x)
}

func (s *service) peerErrors() float64 { return medianOr(s.base.errorShares, 0) }

// latencyRatio returns a target's recent latency relative to its peers, or 0 if it is not known.
func (s *service) latencyRatio(t *target) float64 {
	if t.stats.window.ok < minLevelWeight || len(s.base.levels) < 2 {
		return 0
	}
	return math.Exp(t.stats.window.mean() - medianWithout(s.base.levels, t.stats.level()))
}

// eject takes a target out of service unless the remaining capacity would fall
// below the floor; then it stays as a last resort. Since is when the failure began.
func (o *Owner) eject(now model.Instant, s *service, f finding, reason string, since model.Instant) {
	t := f.target
	t.reason = reason
	t.severity = f.excess
	if !s.mayEject(now, t) {
		t.denied = true
		return
	}
	t.ejections++
	wait := o.backoff(t.ejections)
	t.takeOut(now, now.Add(wait))
	s.version++
	o.emit(Ejected{Service: s.name, Target: t.id, Cause: f.cause, Reason: reason, DetectionTime: now.Sub(since), Duration: wait})
}

// suspect notes since when there is evidence against a target.
func (t *target) suspect(now model.Instant, evident bool) {
	switch {
	case !evident:
		t.suspectedAt = 0
	case t.suspectedAt == 0:
		t.suspectedAt = now
	}
}

func (t *target) takeOut(now, until model.Instant) {
	t.ejected = true
	// A slow start ends without a result: the target did not show that it is well.
	t.cold, t.probation = false, false
	t.denied = false
	t.ejectedAt = now
	t.changed = now
	t.probed = false
	t.postponed = 0
	t.until = until
}

// backoff doubles with each ejection, with a quarter of jitter in each direction.
func (o *Owner) backoff(n int) time.Duration {
	wait := o.tune.BackoffMax
	if n < 16 {
		wait = min(wait, o.tune.BackoffBase<<(n-1))
	}
	return time.Duration(float64(wait) * (0.75 + 0.5*o.rng.Float64()))
}

// restore puts an ejected target back into service with a small share of traffic.
func (o *Owner) restore(s *service, t *target) {
	t.ejected = false
	t.stats = stats{}
	s.version++
	o.emit(Reinstated{Service: s.name, Target: t.id})
}

// maxPostponed bounds the times that failed probes put off a return; probes
// lag or mislead, so they never keep a target out for good.
const (
	maxPostponed  = 2
	postponeBy    = time.Second
	probeBefore   = 500 * time.Millisecond
	probeValidFor = 2 * time.Second
)

func (o *Owner) returnTargets(now model.Instant, s *service) {
	for _, t := range s.targets {
		if !t.ejected {
			continue
		}
		if !t.probed && now >= t.until.Add(-probeBefore) {
			t.probed = true
			o.emit(Probe{Service: s.name, Target: t.id, Incarnation: t.incarnation, Addr: t.addr})
		}
		if now < t.until {
			continue
		}
		failed := t.probeAt != 0 && !t.probeOK && now.Sub(t.probeAt) < probeValidFor
		if failed && t.postponed < maxPostponed {
			t.postponed++
			t.until = now.Add(postponeBy)
			t.probed = false
			s.version++
			continue
		}
		o.takeBack(now, s, t)
	}
}

// takeBack restores a target on probation, with a slow start.
func (o *Owner) takeBack(now model.Instant, s *service, t *target) {
	o.restore(s, t)
	t.probation = true
	t.cold = true
	t.rampFrom = now
	t.changed = now
}

// forgive lowers the backoff of a target that stayed in service.
func (o *Owner) forgive(now model.Instant, t *target) {
	if t.ejected || t.ejections == 0 || now.Sub(t.changed) < o.tune.BackoffDecayInterval {
		return
	}
	t.ejections--
	t.changed = now
}

// probed takes a probe result as a weak hint.
func (o *Owner) probed(now model.Instant, m proto.ProbeResult) {
	s := o.service(now, m.Service)
	if s == nil {
		return
	}
	t, ok := s.byTarget[m.Target]
	if !ok || m.Incarnation != t.incarnation {
		return
	}
	t.probeAt = now
	t.probeOK = m.OK
	if !m.OK && t.stats.errorScore < o.tune.ErrorLimit/4 {
		t.stats.errorScore += o.tune.ProbeEvidence
	}
}
