//go:build race

package lease

import "time"

// hoursWithoutControl is short under the race detector, which slows the simulation
// down about ten times. The simulation uses a single goroutine.
const hoursWithoutControl = 5 * time.Minute
