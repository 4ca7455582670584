//go:build !linux

package node

import "time"

// hostUptime returns the monotonic clock, which may stand still while the host is suspended.
func hostUptime() func() time.Duration { return monotonic() }
