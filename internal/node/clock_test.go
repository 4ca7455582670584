package node

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// Guards against a host that was suspended and then serves by a confirmation that
// expired meanwhile: Go's monotonic clock does not count that time.
func TestClockCountsSuspendedTime(t *testing.T) {
	uptime := 100 * time.Hour
	c := newClockFrom(func() time.Duration { return uptime })
	require.Zero(t, c.now())
	deadline := time.Now().Add(time.Minute)
	before := c.instantOf(deadline)
	uptime += time.Hour
	require.Equal(t, model.Instant(time.Hour), c.now())
	require.InDelta(t, float64(time.Hour), float64(c.instantOf(deadline).Sub(before)), float64(time.Second))
}

// Guards against a clock that is slower than Go's monotonic clock, so that leases
// last too long.
func TestClockIsNotBehindMonotonicTime(t *testing.T) {
	c, start := newClock(), time.Now()
	time.Sleep(20 * time.Millisecond)
	passed := time.Since(start)
	// Network time adjusts both clocks alike; the bound allows for the coarser of the two.
	require.GreaterOrEqual(t, c.now(), model.Instant(passed-time.Millisecond))
}

// BenchmarkClock measures one reading of the clock. Each event of a core takes
// one.
func BenchmarkClock(b *testing.B) {
	for name, c := range map[string]clock{"host": newClock(), "monotonic": newClockFrom(monotonic())} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				c.now()
			}
		})
	}
}
