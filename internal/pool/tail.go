package pool

import "math"

// tail counts how far log latencies lie above the peers' level, in bins, so that
// the evidence of a late response or an unfinished attempt follows the upper tail
// of the service itself. In a service with a few expensive requests this tail is
// much heavier than that of the log-normal distribution.
type tail struct {
	// total counts all latencies, bins those above the level.
	total float64
	bins  [tailBins]float64
	// evaluatedAbove holds, for each bin, the count in it and all higher bins as of
	// the last evaluation.
	evaluatedAbove [tailBins]float64
	// evaluatedTotal is total as of the last evaluation.
	evaluatedTotal float64
}

const (
	// tailBins bins of width tailStep cover log latencies up to 2900 times the peers' level.
	tailBins = 80
	tailStep = 0.1
	// tailPrior is the weight of the log-normal tail, in responses.
	tailPrior = 10
	// minTailCount bounds the tail probability from below, as a share of one response.
	minTailCount = 0.1
	// tailPower turns a tail probability p into evidence: p to the power of
	// tailPower-1, times tailPower for a complete response, has a mean of 1 on
	// healthy targets whatever the distribution.
	tailPower = 0.1
)

// tailBin returns the bin of a log latency above the level.
func tailBin(d float64) int { return min(tailBins-1, int(d/tailStep)) }

// add counts a log latency relative to the level.
func (x *tail) add(d float64) {
	x.total++
	if d >= 0 {
		x.bins[tailBin(d)]++
	}
}

// decay multiplies all counts by f.
func (x *tail) decay(f float64) {
	x.total *= f
	for i := range x.bins {
		x.bins[i] *= f
	}
}

// updateEvaluated computes evaluatedAbove and evaluatedTotal from the present counts.
func (x *tail) updateEvaluated() {
	n := 0.0
	for i := tailBins - 1; i >= 0; i-- {
		n += x.bins[i]
		x.evaluatedAbove[i] = n
	}
	x.evaluatedTotal = x.total
}

// sumTails decays the tails of all targets by f and adds up those of the usable ones.
func (s *service) sumTails(f float64) {
	s.tail = tail{}
	for _, t := range s.targets {
		t.stats.tail.decay(f)
		t.stats.tail.updateEvaluated()
		if !t.usable() {
			continue
		}
		s.tail.evaluatedTotal += t.stats.tail.evaluatedTotal
		for i, n := range t.stats.tail.evaluatedAbove {
			s.tail.evaluatedAbove[i] += n
		}
	}
}

// surprisal returns the negative logarithm of the probability that an attempt at a
// peer takes as long, in nats. The responses of the target itself are left out.
func (s *service) surprisal(st *stats, d float64) float64 {
	if d < 0 || !s.base.isKnown {
		return 0
	}
	n := max(0, s.tail.evaluatedTotal-st.tail.evaluatedTotal)
	k := max(0, s.tail.evaluatedAbove[tailBin(d)]-st.tail.evaluatedAbove[tailBin(d)])
	p := (k + tailPrior*math.Exp(logSurvival(d/s.base.sigma))) / (n + tailPrior)
	return -math.Log(min(1, max(p, minTailCount/(n+1))))
}

// maxCompleteEvidence bounds the evidence of a complete response, in nats.
func (s *service) maxCompleteEvidence(st *stats, d float64) float64 {
	return math.Log(tailPower) + (1-tailPower)*s.surprisal(st, d)
}

// maxUnfinishedEvidence bounds the evidence of an attempt in progress, in nats.
func (s *service) maxUnfinishedEvidence(st *stats, d float64) float64 {
	return (1 - tailPower) * s.surprisal(st, d)
}
