// Package node joins the decision packages to sockets, disks and clocks: the
// runtimes of the control, entry, journal and seat processes.
package node

import (
	"time"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// clock tells the time that has passed on this host, including the time in
// which the host was suspended. Go's monotonic clock stands still meanwhile, so
// a host that resumes would take a right to serve that ended long ago for valid.
type clock struct {
	// uptime returns the time since the host started and never goes back.
	uptime func() time.Duration
	start  time.Duration
}

func newClock() clock { return newClockOf(hostUptime()) }

func newClockOf(uptime func() time.Duration) clock { return clock{uptime: uptime, start: uptime()} }

func (c clock) now() model.Instant { return model.Instant(c.uptime() - c.start) }

// at returns the instant of a time that carries a monotonic reading.
func (c clock) at(t time.Time) model.Instant { return c.now().Add(time.Until(t)) }

// monotonic returns Go's monotonic clock, for systems without a clock that counts suspended time.
func monotonic() func() time.Duration {
	start := time.Now()
	return func() time.Duration { return time.Since(start) }
}
