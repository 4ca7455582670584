//go:build race

package lease

import "time"

// hoursWithoutControl is short under the race detector, which slows the world
// about tenfold; it has one goroutine.
const hoursWithoutControl = 5 * time.Minute
