//go:build !linux

package node

import "time"

// hostUptime returns Go's monotonic clock, which may stop while the host is
// suspended.
func hostUptime() func() time.Duration { return monotonic() }
