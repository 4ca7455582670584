package admit

import (
	"time"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// Option sets a parameter of a core of this package.
type Option func(*settings)

type settings struct {
	drift       float64
	incarnation model.Incarnation
	// shares is set if hosts use their own share of a bucket while no owner
	// answers, and owners withhold the shares of hosts that they do not hear.
	shares bool
}

const defaultDrift = 0.02

func newSettings(opts []Option) settings {
	s := settings{drift: defaultDrift}
	for _, opt := range opts {
		opt(&s)
	}
	return s
}

// WithMaxClockDrift sets the greatest relative error of a clock; it must be that of lease.Timing.
func WithMaxClockDrift(drift float64) Option { return func(s *settings) { s.drift = drift } }

// WithIncarnation keeps replies to an earlier run of this host from being
// taken for replies to this run. It must differ between runs.
func WithIncarnation(i model.Incarnation) Option { return func(s *settings) { s.incarnation = i } }

// WithShares lets a wallet use its host's share of each bucket while no owner
// answers, and an owner withhold the shares of the hosts that it does not hear.
// All hosts of a fleet need the same setting.
func WithShares() Option { return func(s *settings) { s.shares = true } }

// atMost returns the local duration that lasts d of true time at most.
func (s settings) atMost(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - s.drift))
}

// atLeast returns the local duration that lasts d of true time at least.
func (s settings) atLeast(d time.Duration) time.Duration {
	return time.Duration(float64(d)*(1+s.drift)) + 1
}
