package sched

import (
	"math"
	"time"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// recentMemory is the time constant of recentShare. With 2 s, the share of a rank with 40
// queries per second varied by several points, and a less urgent rank got its minimum
// service too often at 3 times the capacity (0.16 of its requests against 0.11).
const recentMemory = 5 * time.Second

// recentShare counts the queries of a rank and those that were refused, with weights
// that decay over recentMemory.
type recentShare struct {
	asked, refused float64
	updatedAt      model.Instant
}

func (r *recentShare) add(now model.Instant, asked, refused float64) {
	f := math.Exp(-now.Sub(r.updatedAt).Seconds() / recentMemory.Seconds())
	r.asked, r.refused, r.updatedAt = r.asked*f+asked, r.refused*f+refused, now
}

// level returns the decayed number of queries.
func (r *recentShare) level(now model.Instant) float64 {
	return r.asked * math.Exp(-now.Sub(r.updatedAt).Seconds()/recentMemory.Seconds())
}

// share returns the part of the recent queries that was not refused, or 1 if there were
// none.
func (r *recentShare) share(now model.Instant) float64 {
	if now.Sub(r.updatedAt) > recentMemory || r.asked == 0 {
		return 1
	}
	return max(0, 1-r.refused/r.asked)
}
