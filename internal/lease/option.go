package lease

import (
	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// Option sets a parameter of a core of this package.
type Option func(*settings)

type settings struct {
	timing      Timing
	incarnation model.Incarnation
	seats       []model.HostID
	controls    []model.HostID
	wallMillis  func() int64
	partSize    int
	// owners is the role of the hosts that own shards.
	owners proto.Role
	// relay is set on hosts that ask one control host on behalf of all.
	relay bool
	// memory is what the disk kept, or nil on hosts without a disk.
	memory *PersistedState
}

func newSettings(opts []Option) settings {
	s := settings{
		timing:     DefaultTiming(),
		wallMillis: func() int64 { return 0 },
		owners:     proto.RoleEntry,
	}
	for _, opt := range opts {
		opt(&s)
	}
	return s
}

// WithTiming replaces DefaultTiming.
func WithTiming(t Timing) Option { return func(s *settings) { s.timing = t } }

// WithIncarnation keeps replies to an earlier run of this host from being
// taken for replies to this run. It must differ between runs.
func WithIncarnation(i model.Incarnation) Option { return func(s *settings) { s.incarnation = i } }

// WithBootstrap names the seats and control hosts to ask while no configuration is known.
func WithBootstrap(seats, controls []model.HostID) Option {
	return func(s *settings) { s.seats, s.controls = seats, controls }
}

// WithWallMillis gives the wall clock in Unix milliseconds, the least value of new epochs.
func WithWallMillis(f func() int64) Option { return func(s *settings) { s.wallMillis = f } }

// WithOwnerRole names the role of the hosts that own shards, entry hosts by default.
// All hosts of a fleet must have the same.
func WithOwnerRole(role proto.Role) Option { return func(s *settings) { s.owners = role } }

// WithRelay lets an entry host ask one control host, of its own zone if there
// is one, in place of every seat. Its right to serve is then as old as what the
// relay was confirmed.
func WithRelay() Option { return func(s *settings) { s.relay = true } }

// WithPartSize replaces part.Size by a smaller one, so that tests transfer
// small configurations in parts.
func WithPartSize(bytes int) Option { return func(s *settings) { s.partSize = bytes } }
