// Package node joins the decision packages to sockets, disks and clocks: the
// runtimes of the control, entry and journal processes.
package node

import (
	"time"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// clock reads this process's monotonic clock.
type clock struct {
	// start carries a monotonic reading.
	start time.Time
}

func newClock() clock { return clock{start: time.Now()} }

func (c clock) now() model.Instant { return model.Instant(time.Since(c.start)) }

// at returns the instant of a time that carries a monotonic reading.
func (c clock) at(t time.Time) model.Instant { return model.Instant(t.Sub(c.start)) }
