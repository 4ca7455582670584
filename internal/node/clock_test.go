package node

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// Guards against a host that was suspended and goes on with a right to serve
// that ended meanwhile: Go's monotonic clock does not count that time.
func TestClockCountsSuspendedTime(t *testing.T) {
	uptime := 100 * time.Hour
	c := newClockOf(func() time.Duration { return uptime })
	require.Zero(t, c.now())
	deadline := time.Now().Add(time.Minute)
	before := c.at(deadline)
	uptime += time.Hour
	require.Equal(t, model.Instant(time.Hour), c.now())
	require.InDelta(t, float64(time.Hour), float64(c.at(deadline).Sub(before)), float64(time.Second))
}

// Guards against a clock of the host that is slower than Go's, for which leases would last too long.
func TestClockIsNotBehindMonotonicTime(t *testing.T) {
	c, start := newClock(), time.Now()
	time.Sleep(20 * time.Millisecond)
	passed := time.Since(start)
	// Network time adjusts both clocks alike; the bound allows for the coarser of the two.
	require.GreaterOrEqual(t, c.now(), model.Instant(passed-time.Millisecond))
}

// BenchmarkClock measures one reading, of which each event of a core needs one.
func BenchmarkClock(b *testing.B) {
	for name, c := range map[string]clock{"host": newClock(), "monotonic": newClockOf(monotonic())} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				c.now()
			}
		})
	}
}
