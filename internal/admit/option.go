package admit

import (
	"time"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// Option sets a parameter of a core of this package.
type Option func(*settings)

// settings holds the values that the options of a core set.
type settings struct {
	maxClockDrift float64
	incarnation   model.Incarnation
	// sharesEnabled makes limiters use local shares while no owner answers, and
	// owners withhold the shares of absent hosts.
	sharesEnabled bool
}

// defaultMaxClockDrift is the greatest relative error of a clock without WithMaxClockDrift.
const defaultMaxClockDrift = 0.02

func newSettings(opts []Option) settings {
	s := settings{maxClockDrift: defaultMaxClockDrift}
	for _, opt := range opts {
		opt(&s)
	}
	return s
}

// WithMaxClockDrift sets the greatest relative error of a clock, such as 0.02.
// The lease.Timing of the host must contain the same value.
func WithMaxClockDrift(maxDrift float64) Option {
	return func(s *settings) { s.maxClockDrift = maxDrift }
}

// WithIncarnation sets the number of this run of the host, which must differ
// between runs. The number distinguishes replies and notes to an earlier run of the host.
func WithIncarnation(i model.Incarnation) Option { return func(s *settings) { s.incarnation = i } }

// WithShares lets a Limiter use its host's local share of each bucket while no
// owner answers, and makes an Owner withhold the shares of the hosts that are
// absent. All hosts of a fleet need the same setting.
func WithShares() Option { return func(s *settings) { s.sharesEnabled = true } }

// localAtMost returns the duration on this host's clock that lasts d at most,
// whatever the drift of the clock.
func (s settings) localAtMost(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - s.maxClockDrift))
}

// localAtLeast returns the duration on this host's clock that lasts d at
// least, whatever the drift of the clock.
func (s settings) localAtLeast(d time.Duration) time.Duration {
	return time.Duration(float64(d)*(1+s.maxClockDrift)) + 1
}
