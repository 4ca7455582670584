// Package node connects the decision packages to sockets, disks and clocks. It
// holds the runtimes of the control, entry, journal and seat processes.
package node

import (
	"time"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// clock measures the time that has passed on this host, including time in which
// the host was suspended. Go's monotonic clock stops during a suspension, so a
// resumed host would take a confirmation or a lease that expired long ago for
// valid.
type clock struct {
	// uptime returns the time since the host started. It never goes back.
	uptime func() time.Duration
	start  time.Duration
}

func newClock() clock { return newClockFrom(hostUptime()) }

func newClockFrom(uptime func() time.Duration) clock { return clock{uptime: uptime, start: uptime()} }

// now returns the time since the clock was created.
func (c clock) now() model.Instant { return model.Instant(c.uptime() - c.start) }

// instantOf returns the instant of t, which must carry a monotonic reading.
func (c clock) instantOf(t time.Time) model.Instant { return c.now().Add(time.Until(t)) }

// monotonic returns a function that reads Go's monotonic clock, for systems
// without a clock that counts suspended time.
func monotonic() func() time.Duration {
	start := time.Now()
	return func() time.Duration { return time.Since(start) }
}
