package pace

import (
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"

	"tarragongauge.example/tarragongauge/pkg/model"
)

const (
	// drawnTargets is the number of random targets of which Choose takes the best.
	drawnTargets = 8
	// ownMemory is the time constant with which a host's own assignments count.
	ownMemory = time.Second
	// latencyMemory is the time constant with which measured latencies count, and
	// priorSamples the weight, in measurements, of the assumption that a target is as
	// fast as the others. Old measurements therefore lose to that assumption.
	latencyMemory = 10 * time.Second
	priorSamples  = 4
	// shedWeight is how many assignments a request counts for that a target shed.
	shedWeight = 3
	// unusedShare is the least load of a target that is told apart, as a share of the
	// mean. Otherwise all hosts would take a target that none of them has used lately.
	// A target that the host has never used, such as a new one, counts like a random
	// other one.
	unusedShare = 0.5
	// minPositionWeight is the least weight that the position of a host gives a
	// target; the mean is 1.
	minPositionWeight = 0.75
)

// Candidate is what a host that decides without an owner knows of a target. The
// state lasts as long as the host uses the target.
type Candidate struct {
	// weight is the weight that the position of the host gives the target.
	weight   float64
	assigned Counter
	// latencies is the sum of the latencies, relative to the mean of the service's
	// targets, and samples their number.
	latencies, samples Counter
	usedAt             model.Instant
}

// NewCandidate returns the state of a target at a host. The hash of both gives the
// target its weight, so that the hosts of a fleet prefer different targets.
func NewCandidate(host model.HostID, target model.TargetID) Candidate {
	h := fnv.New64a()
	_, _ = h.Write([]byte(host))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(target))
	return Candidate{weight: minPositionWeight + 2*(1-minPositionWeight)*unit(h.Sum64())}
}

// unit maps a hash to [0, 1). The rounds of splitmix64 spread names that differ in
// their last characters only, which FNV leaves close to each other.
func unit(x uint64) float64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return float64((x^x>>31)>>11) / (1 << 53)
}

// CountAssignment counts a request that the host sends to the target.
func (c *Candidate) CountAssignment(now model.Instant) {
	c.usedAt = now
	c.assigned.Add(now, 1, ownMemory)
}

// CountShed counts a request that the target shed.
func (c *Candidate) CountShed(now model.Instant) { c.assigned.Add(now, shedWeight-1, ownMemory) }

// CountLatency counts a latency relative to the mean of the service's targets.
func (c *Candidate) CountLatency(now model.Instant, relative float64) {
	c.latencies.Add(now, relative, latencyMemory)
	c.samples.Add(now, 1, latencyMemory)
}

// IsForgotten reports whether nothing is known of the target any more.
func (c *Candidate) IsForgotten(now model.Instant) bool { return now.Sub(c.usedAt) > 6*latencyMemory }

// Slowness returns the latency of the target relative to the others, which tends to
// 1 as the measurements grow older.
func (c *Candidate) Slowness(now model.Instant) float64 {
	return (c.latencies.Level(now, latencyMemory) + priorSamples) / (c.samples.Level(now, latencyMemory) + priorSamples)
}

// Option is a target that a host may choose: its slots and the host's attempts in
// flight there.
type Option struct {
	*Candidate
	Slots    int
	InFlight int
}

// own returns the number of the host's own requests: the greater of those in flight
// and those sent lately.
func (o Option) own(now model.Instant) float64 {
	return max(float64(o.InFlight), o.assigned.Level(now, ownMemory))
}

// Choose returns the index of the target for a request. Of several random targets it
// takes the two with the least load by the host's own requests, and of these the one
// that would take less time with one more request. Of equal ones the one drawn first
// counts. Since the speed decides between two targets only, a fast one gets at most
// twice its share from all hosts together, even if all of them know it as the fastest.
// The list is not empty.
func Choose(now model.Instant, rng *rand.Rand, list []Option) int {
	sums, loads := make([]float64, len(list)), make([]float64, len(list))
	total, mean := 0.0, 0.0
	for i, o := range list {
		slots := float64(max(1, o.Slots))
		total += o.weight * slots
		sums[i], loads[i] = total, o.own(now)/slots
		mean += loads[i] / float64(len(list))
	}
	first, second := -1, -1
	for range drawnTargets {
		i, _ := slices.BinarySearch(sums, rng.Float64()*total)
		i = min(i, len(list)-1)
		if i == first || i == second {
			continue
		}
		if list[i].usedAt == 0 {
			loads[i] = loads[rng.IntN(len(loads))]
		}
		loads[i] = max(loads[i], unusedShare*mean)
		switch {
		case first < 0 || loads[i] < loads[first]:
			first, second = i, first
		case second < 0 || loads[i] < loads[second]:
			second = i
		}
	}
	cost := func(i int) float64 {
		return (loads[i] + 1/float64(max(1, list[i].Slots))) * list[i].Slowness(now)
	}
	if second >= 0 && cost(second) < cost(first) {
		return second
	}
	return first
}
