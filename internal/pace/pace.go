// Package pace keeps the load of the targets of a service even although what the
// choosing host knows of them is slightly stale.
//
// An owner counts a request that failed or was shed as load for the usual time of a
// request: a target that does this within milliseconds would otherwise always look
// idle and attract the load of the others. It also prefers targets that were not
// assigned for a part of the mean interval between two assignments of a target, so that
// the outcome of the first request at an idle target is known before the next ones are
// sent.
//
// Hosts that decide without an owner know only their own requests. They use Choose.
//
// The package is pure: the present instant is passed in, and a random source where
// one is needed.
package pace

import (
	"math"
	"time"

	"tarragongauge.example/tarragongauge/pkg/model"
)

const (
	// spacingShare is the part of the mean interval between two assignments of a
	// target for which other targets are preferred after an assignment.
	spacingShare = 0.5
	// MaxExtraLoad is how much more loaded, as a share of its slots, a target may be
	// that is preferred because of the spacing: one slot of three, or two of six.
	MaxExtraLoad = 0.34
	// maxEndedLoad bounds the load with failed requests. It is below 1 so that a target
	// with free slots never scores like a full one, and no request leaves its zone
	// because of requests that have ended.
	maxEndedLoad = 0.95
	// minEnded is the level of failed requests below which they no longer count, so that
	// a target which failed some time ago is tried like the other idle ones.
	minEnded = 0.25
	// negligible is the level below which a Counter is taken as empty.
	negligible = 1e-3
)

// Counter is a sum of weights that decays exponentially. The zero value is empty.
type Counter struct {
	sum       float64
	updatedAt model.Instant
}

// Add adds a weight. Memory is the time constant of the decay.
func (c *Counter) Add(now model.Instant, weight float64, memory time.Duration) {
	c.sum, c.updatedAt = c.Level(now, memory)+weight, now
}

// Level returns the present sum.
func (c *Counter) Level(now model.Instant, memory time.Duration) float64 {
	if c.sum < negligible || memory <= 0 {
		return 0
	}
	return c.sum * math.Exp(-now.Sub(c.updatedAt).Seconds()/memory.Seconds())
}

// PerSecond returns the present rate of the weights.
func (c *Counter) PerSecond(now model.Instant, memory time.Duration) float64 {
	return c.Level(now, memory) / memory.Seconds()
}

// EndedWeight returns the weight with which a failed request that took a time counts
// after its end, given the usual time of a request.
func EndedWeight(took, usual time.Duration) float64 {
	if usual <= 0 {
		return 0
	}
	return max(0, 1-float64(took)/float64(usual))
}

// Load returns the load of a target as a share of its slots. Ended is the level of
// the weights of its requests that failed.
func Load(busy, slots int, ended float64) float64 {
	n := float64(max(1, slots))
	inUse := float64(busy) / n
	if ended < minEnded {
		return inUse
	}
	return max(inUse, min(maxEndedLoad, inUse+ended/n))
}

// Spacing returns the time after an assignment of a target in which other targets
// are preferred to it. Targets is the number of targets in use and perSecond the
// rate of the service's assignments. After the usual time of a request, if it is
// known, the outcome of the assignment is known too, so that the spacing ends.
func Spacing(targets int, perSecond float64, usual time.Duration) time.Duration {
	if perSecond <= 0 {
		return 0
	}
	d := time.Duration(spacingShare * float64(targets) / perSecond * float64(time.Second))
	if usual > 0 {
		d = min(d, usual)
	}
	return d
}

// Variation returns the coefficient of variation of a list: its standard deviation
// divided by its mean, or 0 if the mean is 0.
func Variation(list []float64) float64 {
	sum, squares := 0.0, 0.0
	for _, x := range list {
		sum += x
		squares += x * x
	}
	if sum == 0 {
		return 0
	}
	n := float64(len(list))
	mean := sum / n
	return math.Sqrt(max(0, squares/n-mean*mean)) / mean
}
