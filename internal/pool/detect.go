package pool

import (
	"math"
	"slices"
	"time"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// stats holds the evidence on one target. A batch collects the outcomes
// between two evaluations; the windows are exponentially decayed; the scores
// are one-sided cumulative sums of log-likelihood ratios in nats.
type stats struct {
	batch sample
	// window follows the present, spread steadies it, and history holds what is usual.
	window  sample
	spread  sample
	history sample

	// offset is the usual log latency above that of the peers, between 0 and
	// maxOffset: machines differ for good.
	offset float64

	tail tail

	errorScore float64
	slowScore  float64
	stuckScore float64
	// unfinished is the evidence of the attempts in progress.
	unfinished float64
}

// sample counts outcomes and sums log latencies.
type sample struct {
	ok, errors float64
	// blame is the part of errors that counts against the target.
	blame      float64
	sum, sumSq float64
	// slow and stuck sum the evidence of latencies against the baseline at their time.
	slow, stuck float64
	// known counts the responses that were compared with a baseline, above and
	// square sum their log latency above it.
	known, above, square float64
}

func (x *sample) count() float64 { return x.ok + x.errors }

func (x *sample) mean() float64 { return x.sum / x.ok }

func (x *sample) errorShare() float64 { return x.errors / x.count() }

func (x *sample) variance() float64 {
	m := x.mean()
	return max(0, x.sumSq/x.ok-m*m) * x.ok / (x.ok - 1)
}

func (x *sample) decayAdd(f float64, y *sample) {
	x.ok = x.ok*f + y.ok
	x.errors = x.errors*f + y.errors
	x.blame = x.blame*f + y.blame
	x.sum = x.sum*f + y.sum
	x.sumSq = x.sumSq*f + y.sumSq
	x.known = x.known*f + y.known
	x.above = x.above*f + y.above
	x.square = x.square*f + y.square
}

// level returns the log latency of a target: the present window, steadied by
// the longer one where there is little traffic.
func (t *stats) level() float64 {
	w := &t.window
	if t.spread.ok == 0 {
		return w.mean()
	}
	return (w.sum + steadyWeight*t.spread.mean()) / (w.ok + steadyWeight)
}

func (t *stats) usualOffset() float64 {
	return min(maxOffset, max(0, t.history.above/(t.history.known+offsetWeight)))
}

// slowCap bounds the evidence of one response for moderate slowness, in nats;
// six of them in a row reach the limit.
const slowCap = 3.5

// minLatency keeps the logarithm finite.
const minLatency = 10 * time.Microsecond

func logLatency(d time.Duration) float64 {
	return math.Log(float64(max(d, minLatency)))
}

func (s *service) addLatency(t *stats, took time.Duration, limit float64) {
	b := &s.base
	x := logLatency(took)
	t.batch.ok++
	t.batch.sum += x
	t.batch.sumSq += x * x
	if !b.known {
		return
	}
	d := x - b.level
	t.batch.known++
	t.batch.above += d
	d -= t.offset
	t.batch.square += d * d
	z := d / b.sigma
	t.batch.slow += evidence(z, b.slow, limit, slowCap)
	t.batch.stuck += evidence(z, b.stuck, limit, min(limit, s.completeEvidence(t, d)))
	t.tail.add(d)
}

// evidence returns the log-likelihood ratio of a latency, in standard
// deviations, for a shift against none. The upper bound keeps it robust against
// tails heavier than the log-normal distribution's.
func evidence(z, shift, limit, bound float64) float64 {
	return max(-limit, min(bound, shift*(z-shift/2)))
}

func (t *stats) addError(weight float64) {
	t.batch.errors++
	t.batch.blame += weight
}

// removeError takes back an error that turned out to be a crash.
func (t *stats) removeError(weight float64) {
	if t.batch.errors >= 1 {
		t.batch.errors--
		t.batch.blame = max(0, t.batch.blame-weight)
		return
	}
	t.window.errors = max(0, t.window.errors-1)
	t.history.blame = max(0, t.history.blame-weight)
	t.errorScore = max(0, t.errorScore-crashCredit*weight)
}

// crashCredit is about the weight in nats of one error at the default base and shift.
const crashCredit = 2.7

// baseline is what is normal among the targets of a service at present.
type baseline struct {
	known bool
	// level and sigma describe log latency.
	level, sigma float64
	// slow and stuck are the shifts looked for, in standard deviations.
	slow, stuck float64
	// errors is the share of errors over a longer time.
	errors      float64
	levels      []float64
	errorShares []float64
	unfinished  []float64
}

// typical returns the median latency, or 0 while it is not known.
func (b *baseline) typical() time.Duration {
	if !b.known {
		return 0
	}
	return time.Duration(math.Exp(b.level))
}

// Weights below which a target's window is not compared, and bounds of the
// spread of latency.
const (
	minLevelWeight  = 0.5
	minShareWeight  = 2
	minSpreadWeight = 4
	// minHistoryWeight is the number of responses from which the longer history gives the spread.
	minHistoryWeight = 20
	minSigma         = 0.25
	maxSigma         = 2
	// coldSigma holds until the service has coldWeight responses.
	coldSigma  = 1
	coldWeight = 40
	// steadyWeight is the weight of the longer window in the level, in responses.
	steadyWeight = 0.5
	// guessErrors is the share of errors of a service without history, and counts as guessWeight responses.
	guessErrors = 0.01
	guessWeight = 100
	// maxOffset is the logarithm of the greatest lasting slowness that is taken as normal, 1.5 times.
	maxOffset = 0.405
	// offsetWeight is the number of responses that counts as much as the assumption of no offset.
	offsetWeight = 100
	// errorMargin multiplies the peers' share of errors.
	errorMargin = 1.5
)

// evaluate compares every target with its peers and ejects those whose
// evidence reached a limit, worst first, as far as the floor allows. Evidence
// is relative to the peers in the same interval, so that what slows or fails
// the whole service cancels out.
func (o *Owner) evaluate(now model.Instant, s *service) {
	dt := now.Sub(s.evaluated)
	if dt < o.tune.EvaluationInterval {
		return
	}
	s.evaluated = now
	f := decay(dt, o.tune.WindowHalfLife)
	g := decay(dt, o.tune.LongWindowHalfLife)
	h := decay(dt, o.tune.HistoryHalfLife)
	keep := decay(dt, o.tune.ScoreHalfLife)
	for _, t := range s.targets {
		t.stats.window.decayAdd(f, &t.stats.batch)
		t.stats.spread.decayAdd(g, &t.stats.batch)
		t.stats.history.decayAdd(h, &t.stats.batch)
		t.stats.offset = t.stats.usualOffset()
	}
	s.sumTails(h)
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
	b.levels, b.errorShares, b.unfinished = b.levels[:0], b.errorShares[:0], b.unfinished[:0]
	for _, t := range s.targets {
		if !t.usable() {
			continue
		}
		if t.stats.window.ok >= minLevelWeight {
			b.levels = append(b.levels, t.stats.level())
		}
		if t.stats.window.count() >= minShareWeight {
			b.errorShares = append(b.errorShares, t.stats.window.errorShare())
		}
	}
	slices.Sort(b.levels)
	slices.Sort(b.errorShares)
	s.noteLate(now)
	b.errors = s.usualErrors()
	s.compareSpread(o)
	for _, t := range s.targets {
		t.stats.unfinished = 0
		if t.usable() {
			t.stats.unfinished = o.unfinished(now, s, t)
			b.unfinished = append(b.unfinished, t.stats.unfinished)
		}
	}
	slices.Sort(b.unfinished)
}

// usualErrors returns the share of errors over a longer time. The quarter of
// the targets with the most errors is left out, and a cautious guess stands in
// while there is little history.
func (s *service) usualErrors() float64 {
	s.scratch = s.scratch[:0]
	for _, t := range s.targets {
		if t.usable() {
			s.scratch = append(s.scratch, t.stats.history.blame)
		}
	}
	slices.Sort(s.scratch)
	kept := len(s.scratch) - (len(s.scratch)+3)/4
	if kept <= 0 {
		return guessErrors
	}
	most := s.scratch[kept-1]
	blame, count := guessErrors*guessWeight, float64(guessWeight)
	for _, t := range s.targets {
		if t.usable() && t.stats.history.blame <= most {
			blame += t.stats.history.blame
			count += t.stats.history.count()
		}
	}
	return blame / count
}

func (s *service) compareSpread(o *Owner) {
	b := &s.base
	weight := 0.0
	for _, t := range s.targets {
		weight += t.stats.history.known
	}
	variance := s.medianOf(func(st *stats) (float64, bool) {
		if st.history.known >= minHistoryWeight {
			return st.history.square / st.history.known, true
		}
		return st.spread.variance(), st.spread.ok >= minSpreadWeight
	})
	b.known = len(b.levels) > 0 && variance > 0
	if !b.known {
		return
	}
	b.level = median(b.levels)
	b.sigma = min(maxSigma, max(minSigma, math.Sqrt(variance)))
	if weight < coldWeight {
		b.sigma = max(b.sigma, coldSigma)
	}
	b.slow = math.Log(o.tune.SlowRatio) / b.sigma
	b.stuck = math.Log(o.tune.StuckRatio) / b.sigma
}

// medianOf returns the median of a figure over the usable targets that have it, or 0.
func (s *service) medianOf(figure func(*stats) (float64, bool)) float64 {
	s.scratch = s.scratch[:0]
	for _, t := range s.targets {
		if !t.usable() {
			continue
		}
		if v, ok := figure(&t.stats); ok {
			s.scratch = append(s.scratch, v)
		}
	}
	slices.Sort(s.scratch)
	return medianOr(s.scratch, 0)
}

// unfinished weighs the attempts in progress: a partitioned target produces no
// outcomes before the deadline. A second attempt of the same host counts half,
// since the host may be the one that is cut off.
func (o *Owner) unfinished(now model.Instant, s *service, t *target) float64 {
	if !s.base.known {
		return 0
	}
	sum := 0.0
	restored := 0
	for i, l := range t.busy {
		if s.trust(l.host).distrusted() {
			continue
		}
		took, rounds := now.Sub(l.start), 1.0
		if l.restored {
			// Of more attempts than slots some wait inside the target.
			if restored++; restored > t.slots {
				continue
			}
			rounds = t.restoredRounds()
			took = time.Duration(float64(took) / rounds)
		}
		// The mean of several attempts varies less than one, and lies above the median.
		d := logLatency(took) - s.base.level - t.stats.offset
		d = (d - (1-1/rounds)*s.base.sigma*s.base.sigma/2) * math.Sqrt(rounds)
		z := d / s.base.sigma
		e := min(o.tune.UnfinishedCap, logSurvival(z-s.base.stuck)-logSurvival(z), s.unfinishedEvidence(&t.stats, d))
		if z <= 0 || e <= 0 {
			continue
		}
		if slices.ContainsFunc(t.busy[:i], func(x *slot) bool { return x.host == l.host }) {
			e /= 2
		}
		sum += e
	}
	return sum
}

// logSurvival returns the logarithm of the upper tail of the normal distribution.
func logSurvival(z float64) float64 {
	return math.Log(math.Erfc(min(z, maxZ)/math.Sqrt2) / 2)
}

// maxZ keeps the tail probability above the smallest float.
const maxZ = 30

// score adds the batch of a target to its scores.
func (o *Owner) score(s *service, t *target, before *baseline, keep float64) {
	st := &t.stats
	st.errorScore = max(0, st.errorScore*keep+o.errorEvidence(s, st))
	slow, stuck := s.latencyEvidence(st, before)
	st.slowScore = max(0, st.slowScore*keep+slow)
	st.stuckScore = max(0, st.stuckScore*keep+stuck)
}

func (o *Owner) errorEvidence(s *service, st *stats) float64 {
	n := st.batch.count()
	if n == 0 || len(s.base.errorShares) < 2 {
		return 0
	}
	own := math.NaN()
	if st.window.count() >= minShareWeight {
		own = st.window.errorShare()
	}
	p0 := max(o.tune.ErrorBase, errorMargin*s.base.errors, errorMargin*medianWithout(s.base.errorShares, own))
	p1 := min(0.95, max(o.tune.ErrorShift, 3*p0))
	if p1-p0 < 0.05 {
		return 0
	}
	return st.batch.blame*math.Log(p1/p0) + st.batch.ok*math.Log((1-p1)/(1-p0))
}

// latencyEvidence corrects the evidence of a batch for the change of the peers
// in the same interval.
func (s *service) latencyEvidence(st *stats, before *baseline) (slow, stuck float64) {
	if !before.known || !s.base.known || st.batch.ok == 0 || len(s.base.levels) < 2 {
		return 0, 0
	}
	own := math.NaN()
	if st.window.ok >= minLevelWeight {
		own = st.level()
	}
	shift := (medianWithout(s.base.levels, own) - before.level) / before.sigma * st.batch.ok
	return st.batch.slow - before.slow*shift, st.batch.stuck - before.stuck*shift
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
