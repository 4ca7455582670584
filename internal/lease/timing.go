package lease

import (
	"time"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// Timing.MaxClockDrift bounds the error of each clock against true time. A duration
// d on the clock of a host therefore takes between d/(1+MaxClockDrift) and
// d/(1-MaxClockDrift) of true time.

// localAtMost returns the local duration that takes at most d of true time.
func (t Timing) localAtMost(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - t.MaxClockDrift))
}

// localAtLeast returns the local duration that takes at least d of true time.
func (t Timing) localAtLeast(d time.Duration) time.Duration {
	return time.Duration(float64(d)*(1+t.MaxClockDrift)) + 1
}

// localForRemote returns the local duration that takes at least as long as the
// duration d on the clock of another host.
func (t Timing) localForRemote(d time.Duration) time.Duration {
	return time.Duration(float64(d)*(1+t.MaxClockDrift)/(1-t.MaxClockDrift)) + 1
}

// Coverage is the result of CoverageOf: whether an accepted version covers an
// unreachable host. A covered host can no longer run requests under an older
// version.
type Coverage struct {
	Covered bool
	// CoveredAt is when the host becomes covered, on the clock whose instants were
	// passed to CoverageOf.
	CoveredAt model.Instant
}

// CoverageOf applies the evidence rule to a host that does not reply: the host is
// covered once its freshness and CutoffDelay must have ended by any clock.
// accepted is when the version was accepted, on the same clock as now.
func CoverageOf(accepted, now model.Instant, t Timing) Coverage {
	at := accepted.Add(t.localAtLeast(t.FreshnessDuration) + t.localForRemote(t.CutoffDelay))
	return Coverage{Covered: now >= at, CoveredAt: at}
}
