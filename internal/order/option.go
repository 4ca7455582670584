package order

import (
	"time"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// Timing holds durations that must be the same on all reservers and journals.
type Timing struct {
	// ResendInterval is the interval at which a reserver or a journal asks the
	// other hosts again.
	ResendInterval time.Duration
	// ReservationTimeout bounds the time that a reserver waits for a majority. The
	// deadline of the request may end the wait earlier.
	ReservationTimeout time.Duration
	// AnswerGracePeriod is how long a reserver that can no longer get a majority
	// waits for a journal that has a stored answer.
	AnswerGracePeriod time.Duration
	// VoteTTL is how long a vote counts, from the time at which the reserver sent
	// the query. All votes of a majority must be valid at the same moment.
	VoteTTL time.Duration
	// RecoveryDelay is how long a journal whose disk is empty or was lost waits
	// before it asks the other journals. The delay exceeds VoteTTL by the maximum
	// clock drift. After that time no vote from a lost disk counts any more, so
	// the copy sees the records of every majority that counted such a vote.
	RecoveryDelay time.Duration
	// Retention is the age at which a record expires, counted from the creation
	// time in the record.
	Retention time.Duration
	// SweepInterval is the interval at which expired segments are deleted.
	SweepInterval time.Duration
}

// DefaultTiming returns the durations used in production.
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
	// clockUnixMilli is the wall clock, in Unix milliseconds, at the instant clockAt.
	clockUnixMilli int64
	clockAt        model.Instant
	pageBytes      int
}

func newSettings(opts []Option) settings {
	s := settings{timing: DefaultTiming(), nonce: 1, pageBytes: 256 << 10}
	for _, opt := range opts {
		opt(&s)
	}
	return s
}

// Option changes a setting of a Reserver or a Journal.
type Option func(*settings)

// WithTiming replaces all durations of DefaultTiming.
func WithTiming(t Timing) Option { return func(s *settings) { s.timing = t } }

// WithNonceBase sets the number from which the nonces of queries count up. The
// runtime passes a value that differs between runs of the process, so that a late
// reply to an earlier run matches no query. A Journal also uses the value to
// identify its run.
func WithNonceBase(first uint64) Option { return func(s *settings) { s.nonce = first } }

// WithWallClock sets the wall clock, in Unix milliseconds, at an instant. Creation
// times of records are derived from it.
func WithWallClock(unixMilli int64, at model.Instant) Option {
	return func(s *settings) { s.clockUnixMilli, s.clockAt = unixMilli, at }
}

// WithPageBytes sets the approximate size in bytes of a page of copied records.
func WithPageBytes(n int) Option { return func(s *settings) { s.pageBytes = n } }

func (s *settings) wallUnixMilli(now model.Instant) int64 {
	return s.clockUnixMilli + now.Sub(s.clockAt).Milliseconds()
}

func (s *settings) nextNonce() uint64 {
	s.nonce++
	return s.nonce
}
