package node

import (
	"time"

	"golang.org/x/sys/unix"
)

// hostUptime returns a clock that keeps running while the host is suspended.
func hostUptime() func() time.Duration {
	if _, err := bootTime(); err != nil {
		return monotonic()
	}
	return func() time.Duration {
		d, _ := bootTime() // the call above succeeded, and there is no other cause of failure
		return d
	}
}

// bootTime returns the time since the host booted, including suspended time.
func bootTime() (time.Duration, error) {
	var ts unix.Timespec
	err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts)
	return time.Duration(ts.Nano()), err
}
