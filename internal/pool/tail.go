package pool

import "math"

// tail counts how far log latencies lie above the peers' level, so that the
// weight of a late response or an unfinished attempt follows the service's own
// upper tail. A service with a few expensive requests has a much heavier one
// than the log-normal distribution.
type tail struct {
	total float64
	bins  [tailBins]float64
	// above holds, for each bin, the counts from it on as of the last evaluation.
	above [tailBins]float64
	// known is total as of the last evaluation.
	known float64
}

const (
	// tailBins of tailStep cover log latencies up to 2900 times the peers' level.
	tailBins = 80
	tailStep = 0.1
	// tailPrior is the weight of the log-normal tail, in responses.
	tailPrior = 10
	// tailLeast bounds the probability from below, as a share of one response.
	tailLeast = 0.1
	// tailPower turns a tail probability p into evidence: p to the power of
	// tailPower-1, times tailPower for a complete response, has a mean of 1 on
	// healthy targets whatever the distribution.
	tailPower = 0.1
)

func tailBin(d float64) int { return min(tailBins-1, int(d/tailStep)) }

func (x *tail) add(d float64) {
	x.total++
	if d >= 0 {
		x.bins[tailBin(d)]++
	}
}

func (x *tail) decay(f float64) {
	x.total *= f
	for i := range x.bins {
		x.bins[i] *= f
	}
}

func (x *tail) sum() {
	n := 0.0
	for i := tailBins - 1; i >= 0; i-- {
		n += x.bins[i]
		x.above[i] = n
	}
	x.known = x.total
}

// sumTails adds the tails of the usable targets.
func (s *service) sumTails(f float64) {
	s.tail = tail{}
	for _, t := range s.targets {
		t.stats.tail.decay(f)
		t.stats.tail.sum()
		if !t.usable() {
			continue
		}
		s.tail.known += t.stats.tail.known
		for i, n := range t.stats.tail.above {
			s.tail.above[i] += n
		}
	}
}

// surprise returns the negative logarithm of the probability that a peer's
// attempt takes as long. The target's own responses are left out.
func (s *service) surprise(st *stats, d float64) float64 {
	if d < 0 || !s.base.known {
		return 0
	}
	n := max(0, s.tail.known-st.tail.known)
	k := max(0, s.tail.above[tailBin(d)]-st.tail.above[tailBin(d)])
	p := (k + tailPrior*math.Exp(logSurvival(d/s.base.sigma))) / (n + tailPrior)
	return -math.Log(min(1, max(p, tailLeast/(n+1))))
}

// completeEvidence bounds the evidence of a complete response.
func (s *service) completeEvidence(st *stats, d float64) float64 {
	return math.Log(tailPower) + (1-tailPower)*s.surprise(st, d)
}

// unfinishedEvidence bounds the evidence of an attempt in progress.
func (s *service) unfinishedEvidence(st *stats, d float64) float64 {
	return (1 - tailPower) * s.surprise(st, d)
}
