package lease

import (
	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// Option sets a parameter of a core of this package.
type Option func(*settings)

// settings holds the parameters of a core. Each core embeds it.
type settings struct {
	timing      Timing
	incarnation model.Incarnation
	seats       []model.HostID
	controls    []model.HostID
	wallMillis  func() int64
	partSize    int
	// ownerRole is the role of the hosts that own shards.
	ownerRole proto.Role
	// usesRelay is set on hosts that ask one control host instead of every seat.
	usesRelay bool
	// persisted is the state read from the disk, or nil on hosts without a disk.
	persisted *PersistedState
}

func newSettings(opts []Option) settings {
	s := settings{
		timing:     DefaultTiming(),
		wallMillis: func() int64 { return 0 },
		ownerRole:  proto.RoleEntry,
	}
	for _, opt := range opts {
		opt(&s)
	}
	return s
}

// WithTiming sets the durations. DefaultTiming applies without this option.
func WithTiming(t Timing) Option { return func(s *settings) { s.timing = t } }

// WithIncarnation sets the incarnation of this host, which must differ between
// runs. Replies to an earlier run are not mistaken for replies to this one.
func WithIncarnation(i model.Incarnation) Option { return func(s *settings) { s.incarnation = i } }

// WithBootstrap sets the seats and control hosts to ask while no configuration is known.
func WithBootstrap(seats, controls []model.HostID) Option {
	return func(s *settings) { s.seats, s.controls = seats, controls }
}

// WithWallMillis sets the wall clock, which returns Unix milliseconds. Its value is
// the minimum of new epochs.
func WithWallMillis(f func() int64) Option { return func(s *settings) { s.wallMillis = f } }

// WithOwnerRole sets the role of the hosts that own shards, proto.RoleEntry by
// default. All hosts of a fleet must use the same role.
func WithOwnerRole(role proto.Role) Option { return func(s *settings) { s.ownerRole = role } }

// WithRelay makes an entry host ask one control host, of its own zone if there is
// one, instead of every seat. Freshness then counts from the confirmation that
// the relay itself got, not from the reply of the relay.
func WithRelay() Option { return func(s *settings) { s.usesRelay = true } }

// WithPartSize replaces part.Size, so that tests transfer small configurations
// in parts.
func WithPartSize(bytes int) Option { return func(s *settings) { s.partSize = bytes } }
