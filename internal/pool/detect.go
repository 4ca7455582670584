package pool

import (
	"math"
	"slices"
	"time"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// stats holds the evidence on one target. A batch collects the outcomes
// between two evaluations; window is exponentially decayed; the scores are
// one-sided cumulative sums of log-likelihood ratios in nats.
type stats struct {
	batch  sample
	window sample
	// spread is window with a longer half-life, for the variance.
	spread sample

	errorScore   float64
	latencyScore float64
	overdue      float64
}

// sample counts outcomes and sums log latencies.
type sample struct {
	ok, errors float64
	sum, sumSq float64
	// residual is the sum of clamped deviations from the baseline, in standard deviations.
	residual float64
}

func (x *sample) count() float64 { return x.ok + x.errors }

func (x *sample) mean() float64 { return x.sum / x.ok }

func (x *sample) errorShare() float64 { return x.errors / x.count() }

func (x *sample) variance() float64 {
	m := x.mean()
	return max(0, x.sumSq/x.ok-m*m)
}

func (x *sample) decayAdd(f float64, y *sample) {
	x.ok = x.ok*f + y.ok
	x.errors = x.errors*f + y.errors
	x.sum = x.sum*f + y.sum
	x.sumSq = x.sumSq*f + y.sumSq
	x.residual = x.residual*f + y.residual
}

// minLatency keeps the logarithm finite.
const minLatency = 10 * time.Microsecond

func logLatency(d time.Duration) float64 {
	return math.Log(float64(max(d, minLatency)))
}

func (t *stats) addLatency(b *baseline, d time.Duration, clamp float64) {
	x := logLatency(d)
	t.batch.ok++
	t.batch.sum += x
	t.batch.sumSq += x * x
	if b.known {
		t.batch.residual += max(-clamp, min(clamp, (x-b.level)/b.sigma))
	}
}

func (t *stats) addError() { t.batch.errors++ }

// removeError takes back one error that turned out to be a crash.
func (t *stats) removeError() {
	if t.batch.errors >= 1 {
		t.batch.errors--
		return
	}
	t.window.errors = max(0, t.window.errors-1)
	t.errorScore = max(0, t.errorScore-crashCredit)
}

// crashCredit is about the weight in nats of one error at the default base and shift.
const crashCredit = 2.7

// baseline is what is normal among the targets of a service at present.
type baseline struct {
	known bool
	// level and sigma describe log latency.
	level, sigma float64
	levels       []float64
	errorShares  []float64
	overdues     []float64
}

// typical returns the median latency, or 0 while it is not known.
func (b *baseline) typical() time.Duration {
	if !b.known {
		return 0
	}
	return time.Duration(math.Exp(b.level))
}

// Weights below which a target's window is not compared.
const (
	minLevelWeight = 0.5
	minShareWeight = 2
	minSigma       = 0.25
	maxSigma       = 2
)

// evaluate compares every target with its peers and ejects those whose
// evidence reached a limit, worst first, as far as the floor allows. Evidence
// is relative to the peers in the same interval, so that what slows or fails
// the whole service cancels out.
func (o *Owner) evaluate(now model.Instant, s *service) {
	dt := now.Sub(s.evaluated)
	if dt < o.tune.Evaluate {
		return
	}
	s.evaluated = now
	f := decay(dt, o.tune.HalfLife)
	g := decay(dt, o.tune.SpreadHalfLife)
	keep := decay(dt, o.tune.ScoreHalfLife)
	for _, t := range s.targets {
		t.stats.window.decayAdd(f, &t.stats.batch)
		t.stats.spread.decayAdd(g, &t.stats.batch)
	}
	before := s.base
	s.compare(now, o)
	for _, t := range s.targets {
		if t.usable() {
			o.score(s, t, &before, keep)
		}
		t.stats.batch = sample{}
		o.forgive(now, t)
	}
	o.ejectWorst(now, s)
}

func decay(dt, halfLife time.Duration) float64 {
	return math.Exp2(-float64(dt) / float64(halfLife))
}

// compare computes the baseline of the service.
func (s *service) compare(now model.Instant, o *Owner) {
	b := &s.base
	b.levels, b.errorShares, b.overdues = b.levels[:0], b.errorShares[:0], b.overdues[:0]
	sigmas := s.scratch[:0]
	for _, t := range s.targets {
		if !t.usable() {
			continue
		}
		if t.stats.window.ok >= minLevelWeight {
			b.levels = append(b.levels, t.stats.window.mean())
		}
		if t.stats.window.count() >= minShareWeight {
			b.errorShares = append(b.errorShares, t.stats.window.errorShare())
		}
		if t.stats.spread.ok >= minShareWeight {
			sigmas = append(sigmas, t.stats.spread.variance())
		}
	}
	s.scratch = sigmas
	slices.Sort(b.levels)
	slices.Sort(b.errorShares)
	slices.Sort(sigmas)
	b.known = len(b.levels) > 0 && len(sigmas) > 0
	if b.known {
		b.level = median(b.levels)
		b.sigma = min(maxSigma, max(minSigma, math.Sqrt(median(sigmas))))
	}
	for _, t := range s.targets {
		t.stats.overdue = 0
		if t.usable() {
			t.stats.overdue = o.overdue(now, s, t)
			b.overdues = append(b.overdues, t.stats.overdue)
		}
	}
	slices.Sort(b.overdues)
}

// overdue weighs the unfinished attempts of a target: a partitioned target
// produces no outcomes before the deadline. It counts one attempt of each host,
// since a host may be the one that is cut off.
func (o *Owner) overdue(now model.Instant, s *service, t *target) float64 {
	if !s.base.known {
		return 0
	}
	sum := 0.0
	for i, l := range t.busy {
		if slices.ContainsFunc(t.busy[:i], func(x *slot) bool { return x.host == l.host }) {
			continue
		}
		z := (logLatency(now.Sub(l.start)) - s.base.level) / s.base.sigma
		if z > o.tune.OverdueFrom {
			sum += min(o.tune.OverdueCap, z*z/2)
		}
	}
	return sum
}

// score adds the batch of a target to its scores.
func (o *Owner) score(s *service, t *target, before *baseline, keep float64) {
	st := &t.stats
	st.errorScore = max(0, st.errorScore*keep+o.errorEvidence(s, st))
	st.latencyScore = max(0, st.latencyScore*keep+o.latencyEvidence(s, st, before))
}

func (o *Owner) errorEvidence(s *service, st *stats) float64 {
	n := st.batch.count()
	if n == 0 || len(s.base.errorShares) < 2 {
		return 0
	}
	own := -1.0
	if st.window.count() >= minShareWeight {
		own = st.window.errorShare()
	}
	p0 := max(o.tune.ErrorBase, 1.5*medianWithout(s.base.errorShares, own))
	p1 := min(0.95, max(o.tune.ErrorShift, 3*p0))
	if p1-p0 < 0.05 {
		return 0
	}
	return st.batch.errors*math.Log(p1/p0) + st.batch.ok*math.Log((1-p1)/(1-p0))
}

func (o *Owner) latencyEvidence(s *service, st *stats, before *baseline) float64 {
	if !before.known || !s.base.known || st.batch.ok == 0 || len(s.base.levels) < 2 {
		return 0
	}
	own := math.NaN()
	if st.window.ok >= minLevelWeight {
		own = st.window.mean()
	}
	peers := medianWithout(s.base.levels, own)
	shift := (peers - before.level) / s.base.sigma
	d := o.tune.LatencyShift
	return d*(st.batch.residual-shift*st.batch.ok) - st.batch.ok*d*d/2
}

// median returns the median of a sorted list that is not empty.
func median(x []float64) float64 {
	n := len(x)
	if n%2 == 1 {
		return x[n/2]
	}
	return (x[n/2-1] + x[n/2]) / 2
}

// medianWithout returns the median of a sorted list without one of its
// elements, or of the whole list when it does not contain the value.
func medianWithout(x []float64, v float64) float64 {
	at, ok := slices.BinarySearch(x, v)
	if !ok || len(x) == 1 {
		return median(x)
	}
	get := func(i int) float64 {
		if i >= at {
			i++
		}
		return x[i]
	}
	n := len(x) - 1
	if n%2 == 1 {
		return get(n / 2)
	}
	return (get(n/2-1) + get(n/2)) / 2
}
