package order

import (
	"time"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// Timing holds the durations that reservers and journals must agree on.
type Timing struct {
	// ResendInterval is the interval at which a reserver asks again.
	ResendInterval time.Duration
	// ReservationTimeout bounds a reservation; the deadline of the request may end it earlier.
	ReservationTimeout time.Duration
	// AnswerGracePeriod is how long a reserver that has lost waits for a stored answer from the other journals.
	AnswerGracePeriod time.Duration
	// VoteTTL is how long after the sending of its question a vote counts. All
	// votes of a majority must be valid at the same moment.
	VoteTTL time.Duration
	// RecoveryDelay is how long a journal whose disk was lost waits before it copies.
	// It exceeds VoteTTL by the drift margin: every majority that counts a
	// vote from the lost disk is then complete, so the copy sees its records.
	RecoveryDelay time.Duration
	// Retention is the age at which records expire, by the time in the record.
	Retention time.Duration
	// SweepInterval is the interval at which expired segments are deleted.
	SweepInterval time.Duration
}

// DefaultTiming keeps records for 24 hours.
func DefaultTiming() Timing {
	return Timing{
		ResendInterval:     100 * time.Millisecond,
		ReservationTimeout: 1500 * time.Millisecond,
		AnswerGracePeriod:  50 * time.Millisecond,
		VoteTTL:            2 * time.Second,
		RecoveryDelay:      2200 * time.Millisecond,
		Retention:          24 * time.Hour,
		SweepInterval:      time.Minute,
	}
}

type settings struct {
	timing Timing
	nonce  uint64
	// unixMilli is the wall clock at the instant clockAt.
	unixMilli int64
	clockAt   model.Instant
	pageBytes int
}

func newSettings(opts []Option) settings {
	s := settings{timing: DefaultTiming(), nonce: 1, pageBytes: 256 << 10}
	for _, opt := range opts {
		opt(&s)
	}
	return s
}

// Option changes a setting of a Reserver or Journal.
type Option func(*settings)

// WithTiming replaces all durations.
func WithTiming(t Timing) Option { return func(s *settings) { s.timing = t } }

// WithNonceBase sets the first number of queries. The runtime passes a value that
// differs between runs, so that a late reply to an earlier run matches no query.
func WithNonceBase(first uint64) Option { return func(s *settings) { s.nonce = first } }

// WithWallClock relates instants to the wall clock, from which records take their time.
func WithWallClock(unixMilli int64, at model.Instant) Option {
	return func(s *settings) { s.unixMilli, s.clockAt = unixMilli, at }
}

// WithPageBytes sets about how many bytes a page of copied records has.
func WithPageBytes(n int) Option { return func(s *settings) { s.pageBytes = n } }

func (s *settings) wall(now model.Instant) int64 {
	return s.unixMilli + now.Sub(s.clockAt).Milliseconds()
}

func (s *settings) nextNonce() uint64 {
	s.nonce++
	return s.nonce
}
