package pool

import (
	"math"
	"slices"
	"time"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// stats holds the evidence on one target. The batch collects the outcomes between
// two evaluations, and the windows decay exponentially. The scores are one-sided
// cumulative sums of log-likelihood ratios in nats.
type stats struct {
	batch sample
	// window follows the present, longWindow steadies the latency level where there
	// is little traffic, and history holds what is usual for the target.
	window     sample
	longWindow sample
	history    sample

	// offset is the target's usual log latency above that of the peers, between 0
	// and maxOffset. It allows for machines that differ permanently.
	offset float64

	// tail counts the target's latencies above the peers' level.
	tail tail

	errorScore float64
	slowScore  float64
	stuckScore float64
	// unfinishedEvidence is the evidence of the attempts in progress.
	unfinishedEvidence float64
}

// sample counts outcomes and sums log latencies and evidence.
type sample struct {
	ok, errors float64
	// weightedErrors sums the weights with which the errors count against the target.
	weightedErrors   float64
	sumLog, sumLogSq float64
	// slowEvidence and stuckEvidence sum the evidence of latencies against the
	// baseline at the time of the response.
	slowEvidence, stuckEvidence float64
	// compared counts the responses that were compared with a baseline. sumExcess
	// sums their log latency above the baseline, sumExcessSq the squares of that
	// excess less the target's offset.
	compared, sumExcess, sumExcessSq float64
}

func (x *sample) count() float64 { return x.ok + x.errors }

// mean returns the mean log latency of the successful attempts.
func (x *sample) mean() float64 { return x.sumLog / x.ok }

func (x *sample) errorShare() float64 { return x.errors / x.count() }

// variance returns the sample variance of the log latency.
func (x *sample) variance() float64 {
	m := x.mean()
	return max(0, x.sumLogSq/x.ok-m*m) * x.ok / (x.ok - 1)
}

// decayAdd multiplies the sums by f and adds those of y.
func (x *sample) decayAdd(f float64, y *sample) {
	x.ok = x.ok*f + y.ok
	x.errors = x.errors*f + y.errors
	x.weightedErrors = x.weightedErrors*f + y.weightedErrors
	x.sumLog = x.sumLog*f + y.sumLog
	x.sumLogSq = x.sumLogSq*f + y.sumLogSq
	x.compared = x.compared*f + y.compared
	x.sumExcess = x.sumExcess*f + y.sumExcess
	x.sumExcessSq = x.sumExcessSq*f + y.sumExcessSq
}

// level returns the log latency of a target: the mean of the present window,
// steadied by the longer window where there is little traffic.
func (t *stats) level() float64 {
	w := &t.window
	if t.longWindow.ok == 0 {
		return w.mean()
	}
	return (w.sumLog + longWindowWeight*t.longWindow.mean()) / (w.ok + longWindowWeight)
}

// estimateOffset returns the target's lasting log latency above the baseline, for stats.offset.
func (t *stats) estimateOffset() float64 {
	return min(maxOffset, max(0, t.history.sumExcess/(t.history.compared+offsetWeight)))
}

// maxSlowEvidence bounds the evidence of one response for moderate slowness, in
// nats. Six such responses in a row reach the limit.
const maxSlowEvidence = 3.5

// minLatency is the least latency that is counted. It keeps the logarithm finite.
const minLatency = 10 * time.Microsecond

// logLatency returns the natural logarithm of a latency in nanoseconds.
func logLatency(d time.Duration) float64 {
	return math.Log(float64(max(d, minLatency)))
}

// addLatency adds a successful response to the batch and, if there is a baseline,
// the evidence of its latency.
func (s *service) addLatency(t *stats, took time.Duration, limit float64) {
	b := &s.base
	x := logLatency(took)
	t.batch.ok++
	t.batch.sumLog += x
	t.batch.sumLogSq += x * x
	if !b.isKnown {
		return
	}
	d := x - b.level
	t.batch.compared++
	t.batch.sumExcess += d
	d -= t.offset
	t.batch.sumExcessSq += d * d
	z := d / b.sigma
	t.batch.slowEvidence += evidence(z, b.slowShift, limit, maxSlowEvidence)
	t.batch.stuckEvidence += evidence(z, b.stuckShift, limit, min(limit, s.maxCompleteEvidence(t, d)))
	t.tail.add(d)
}

// evidence returns the log-likelihood ratio, in nats, of a latency of z standard
// deviations above the baseline, for a shift of the mean against none. The upper
// bound makes it robust against tails that are heavier than that of the log-normal
// distribution.
func evidence(z, shift, limit, bound float64) float64 {
	return max(-limit, min(bound, shift*(z-shift/2)))
}

// addError counts an error with its weight against the target.
func (t *stats) addError(weight float64) {
	t.batch.errors++
	t.batch.weightedErrors += weight
}

// removeError takes back an error that turned out to be a crash.
func (t *stats) removeError(weight float64) {
	if t.batch.errors >= 1 {
		t.batch.errors--
		t.batch.weightedErrors = max(0, t.batch.weightedErrors-weight)
		return
	}
	t.window.errors = max(0, t.window.errors-1)
	t.history.weightedErrors = max(0, t.history.weightedErrors-weight)
	t.errorScore = max(0, t.errorScore-natsPerError*weight)
}

// natsPerError is the approximate evidence of one error, in nats, at the default
// ErrorBase and ErrorShift. removeError subtracts it for an error that was a crash.
const natsPerError = 2.7

// baseline holds what is normal among the targets of a service at present.
type baseline struct {
	// isKnown is set once the latency of the peers is known.
	isKnown bool
	// level and sigma are the median and the standard deviation of the log latency.
	level, sigma float64
	// slowShift and stuckShift are the latency shifts that the slow and the stuck
	// sum test for, in standard deviations.
	slowShift, stuckShift float64
	// errorShare is the share of errors over a longer time.
	errorShare float64
	// levels, errorShares and unfinished hold the sorted figures of the usable
	// targets as of the last evaluation.
	levels      []float64
	errorShares []float64
	unfinished  []float64
}

// medianLatency returns the median latency, or 0 while there is no baseline.
func (b *baseline) medianLatency() time.Duration {
	if !b.isKnown {
		return 0
	}
	return time.Duration(math.Exp(b.level))
}

// Minimum weights, in responses, below which the windows of a target are not
// compared, and bounds of the spread of latency.
const (
	minLevelWeight  = 0.5
	minShareWeight  = 2
	minSpreadWeight = 4
	// minHistoryWeight is the number of responses from which on the history gives the spread.
	minHistoryWeight = 20
	minSigma         = 0.25
	maxSigma         = 2
	// coldSigma is the least sigma until the service has coldWeight responses.
	coldSigma  = 1
	coldWeight = 40
	// longWindowWeight is the weight of the longer window in the level, in responses.
	longWindowWeight = 0.5
	// priorErrorShare is the share of errors that is assumed for a service without
	// history, with the weight of priorWeight responses.
	priorErrorShare = 0.01
	priorWeight     = 100
	// maxOffset is the logarithm of 1.5, the largest lasting slowness that is taken as normal.
	maxOffset = 0.405
	// offsetWeight is the weight, in responses, of the assumption that a target has no offset.
	offsetWeight = 100
	// errorMargin multiplies the peers' share of errors to the share that is taken as normal.
	errorMargin = 1.5
)

// evaluate compares every target with its peers and ejects those whose evidence
// reached a limit, the worst first, as far as the floor allows. Evidence is
// relative to the peers in the same interval, so that what slows or fails the whole
// service cancels out.
func (o *Owner) evaluate(now model.Instant, s *service) {
	dt := now.Sub(s.lastEvaluationAt)
	if dt < o.tune.EvaluationInterval {
		return
	}
	s.lastEvaluationAt = now
	f := decay(dt, o.tune.WindowHalfLife)
	g := decay(dt, o.tune.LongWindowHalfLife)
	h := decay(dt, o.tune.HistoryHalfLife)
	keep := decay(dt, o.tune.ScoreHalfLife)
	for _, t := range s.targets {
		t.stats.window.decayAdd(f, &t.stats.batch)
		t.stats.longWindow.decayAdd(g, &t.stats.batch)
		t.stats.history.decayAdd(h, &t.stats.batch)
		t.stats.offset = t.stats.estimateOffset()
	}
	s.sumTails(h)
	before := s.base
	s.updateBaseline(now, o)
	for _, t := range s.targets {
		if t.usable() {
			o.updateScores(s, t, &before, keep)
		}
		t.stats.batch = sample{}
		o.decayBackoff(now, t)
	}
	o.ejectWorst(now, s)
}

// decay returns the factor by which a sum with the given half-life decays over dt.
func decay(dt, halfLife time.Duration) float64 {
	return math.Exp2(-float64(dt) / float64(halfLife))
}

// updateBaseline computes the baseline of the service and the evidence of the
// attempts in progress.
func (s *service) updateBaseline(now model.Instant, o *Owner) {
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
	s.updateLateTargets(now)
	b.errorShare = s.longTermErrorShare()
	s.updateLatencyBaseline(o)
	for _, t := range s.targets {
		t.stats.unfinishedEvidence = 0
		if t.usable() {
			t.stats.unfinishedEvidence = o.unfinishedEvidence(now, s, t)
			b.unfinished = append(b.unfinished, t.stats.unfinishedEvidence)
		}
	}
	slices.Sort(b.unfinished)
}

// longTermErrorShare returns the share of errors over a longer time. It leaves out
// the quarter of the targets with the most errors and starts from a cautious
// assumption while there is little history.
func (s *service) longTermErrorShare() float64 {
	s.scratch = s.scratch[:0]
	for _, t := range s.targets {
		if t.usable() {
			s.scratch = append(s.scratch, t.stats.history.weightedErrors)
		}
	}
	slices.Sort(s.scratch)
	kept := len(s.scratch) - (len(s.scratch)+3)/4
	if kept <= 0 {
		return priorErrorShare
	}
	maxErrors := s.scratch[kept-1]
	errors, count := priorErrorShare*priorWeight, float64(priorWeight)
	for _, t := range s.targets {
		if t.usable() && t.stats.history.weightedErrors <= maxErrors {
			errors += t.stats.history.weightedErrors
			count += t.stats.history.count()
		}
	}
	return errors / count
}

// updateLatencyBaseline computes the latency part of the baseline. The spread comes
// from the history of the targets that have enough, and from the longer window of
// the others.
func (s *service) updateLatencyBaseline(o *Owner) {
	b := &s.base
	weight := 0.0
	for _, t := range s.targets {
		weight += t.stats.history.compared
	}
	variance := s.medianOf(func(st *stats) (float64, bool) {
		if st.history.compared >= minHistoryWeight {
			return st.history.sumExcessSq / st.history.compared, true
		}
		return st.longWindow.variance(), st.longWindow.ok >= minSpreadWeight
	})
	b.isKnown = len(b.levels) > 0 && variance > 0
	if !b.isKnown {
		return
	}
	b.level = median(b.levels)
	b.sigma = min(maxSigma, max(minSigma, math.Sqrt(variance)))
	if weight < coldWeight {
		b.sigma = max(b.sigma, coldSigma)
	}
	b.slowShift = math.Log(o.tune.SlowRatio) / b.sigma
	b.stuckShift = math.Log(o.tune.StuckRatio) / b.sigma
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

// unfinishedEvidence returns the evidence, in nats, of the attempts in progress. It
// detects a partitioned target, which produces no outcome before the deadline. A
// second attempt of the same host counts half, since that host may be the one that
// is cut off.
func (o *Owner) unfinishedEvidence(now model.Instant, s *service, t *target) float64 {
	if !s.base.isKnown {
		return 0
	}
	sum := 0.0
	restored := 0
	for i, l := range t.busySlots {
		if s.connectivity(l.host).isCutOff() || t.cold.RanCold(l.startedAt) {
			continue
		}
		took, rounds := now.Sub(l.startedAt), 1.0
		if l.restored {
			// Some of the attempts beyond the target's slots wait inside the target.
			if restored++; restored > t.slots {
				continue
			}
			rounds = t.meanRestoredRounds()
			took = time.Duration(float64(took) / rounds)
		}
		// The mean of several attempts varies less than one attempt, and lies above the median.
		d := logLatency(took) - s.base.level - t.stats.offset
		d = (d - (1-1/rounds)*s.base.sigma*s.base.sigma/2) * math.Sqrt(rounds)
		z := d / s.base.sigma
		e := min(o.tune.UnfinishedCap, logSurvival(z-s.base.stuckShift)-logSurvival(z), s.maxUnfinishedEvidence(&t.stats, d))
		if z <= 0 || e <= 0 {
			continue
		}
		if slices.ContainsFunc(t.busySlots[:i], func(x *slot) bool { return x.host == l.host }) {
			e /= 2
		}
		sum += e
	}
	return sum
}

// logSurvival returns the logarithm of the upper tail probability of the standard normal distribution.
func logSurvival(z float64) float64 {
	return math.Log(math.Erfc(min(z, maxZ)/math.Sqrt2) / 2)
}

// maxZ keeps the tail probability above the smallest float.
const maxZ = 30

// updateScores adds the evidence of the batch to the decayed scores of a target.
func (o *Owner) updateScores(s *service, t *target, before *baseline, keep float64) {
	st := &t.stats
	st.errorScore = max(0, st.errorScore*keep+o.errorEvidence(s, st))
	slow, stuck := s.latencyEvidence(st, before)
	st.slowScore = max(0, st.slowScore*keep+slow)
	st.stuckScore = max(0, st.stuckScore*keep+stuck)
}

// errorEvidence returns the log-likelihood ratio of the batch, in nats, for a
// raised share of errors against the normal one.
func (o *Owner) errorEvidence(s *service, st *stats) float64 {
	n := st.batch.count()
	if n == 0 || len(s.base.errorShares) < 2 {
		return 0
	}
	own := math.NaN()
	if st.window.count() >= minShareWeight {
		own = st.window.errorShare()
	}
	p0 := max(o.tune.ErrorBase, errorMargin*s.base.errorShare, errorMargin*medianWithout(s.base.errorShares, own))
	p1 := min(0.95, max(o.tune.ErrorShift, 3*p0))
	if p1-p0 < 0.05 {
		return 0
	}
	return st.batch.weightedErrors*math.Log(p1/p0) + st.batch.ok*math.Log((1-p1)/(1-p0))
}

// latencyEvidence returns the evidence of the batch, in nats, corrected for the
// change of the peers' latency in the same interval.
func (s *service) latencyEvidence(st *stats, before *baseline) (slow, stuck float64) {
	if !before.isKnown || !s.base.isKnown || st.batch.ok == 0 || len(s.base.levels) < 2 {
		return 0, 0
	}
	own := math.NaN()
	if st.window.ok >= minLevelWeight {
		own = st.level()
	}
	shift := (medianWithout(s.base.levels, own) - before.level) / before.sigma * st.batch.ok
	return st.batch.slowEvidence - before.slowShift*shift, st.batch.stuckEvidence - before.stuckShift*shift
}

// median returns the median of a sorted list that is not empty.
func median(x []float64) float64 {
	n := len(x)
	if n%2 == 1 {
		return x[n/2]
	}
	return (x[n/2-1] + x[n/2]) / 2
}

// medianWithout returns the median of a sorted list without one element of value v,
// or of the whole list if it does not contain v.
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
