package lease

import (
	"time"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// Drift bounds the error of each clock against true time. A duration measured
// on a clock is therefore between d/(1+Drift) and d/(1-Drift) of true time.

// atMost returns the local duration that lasts d of true time at most.
func (t Timing) atMost(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - t.MaxClockDrift))
}

// atLeast returns the local duration that lasts d of true time at least.
func (t Timing) atLeast(d time.Duration) time.Duration {
	return time.Duration(float64(d)*(1+t.MaxClockDrift)) + 1
}

// longest returns the local duration that covers d measured on another clock.
func (t Timing) longest(d time.Duration) time.Duration {
	return time.Duration(float64(d)*(1+t.MaxClockDrift)/(1-t.MaxClockDrift)) + 1
}

// Coverage says whether an unreachable host can still run requests under a
// version older than an accepted one.
type Coverage struct {
	Covered bool
	// CoveredAt is when the host is covered, on the clock that At and Covered were judged by.
	CoveredAt model.Instant
}

// CoverageOf applies the evidence rule to a host that does not reply. Accepted is
// when a version was accepted, on the same clock as now.
func CoverageOf(accepted, now model.Instant, t Timing) Coverage {
	at := accepted.Add(t.atLeast(t.FreshnessDuration) + t.longest(t.CutoffDelay))
	return Coverage{Covered: now >= at, CoveredAt: at}
}
