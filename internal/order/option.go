package order

import (
	"time"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// Timing holds the durations that reservers and journals must agree on.
type Timing struct {
	// Resend is the interval at which a reserver asks again.
	Resend time.Duration
	// Wait bounds a reservation; the deadline of the request may end it earlier.
	Wait time.Duration
	// Settle is how long a reserver that has lost waits for a stored answer from the other journals.
	Settle time.Duration
	// VoteValid is how long after the sending of its question a vote counts. All
	// votes of a majority must be valid at the same moment.
	VoteValid time.Duration
	// Silence is how long a journal whose disk was lost waits before it copies.
	// It exceeds VoteValid by the drift margin: every majority that counts a
	// vote from the lost disk is then complete, so the copy sees its records.
	Silence time.Duration
	// Keep is the age at which records expire, by the time in the record.
	Keep time.Duration
	// Sweep is the interval at which expired segments are deleted.
	Sweep time.Duration
}

// DefaultTiming keeps records for 24 hours.
func DefaultTiming() Timing {
	return Timing{
		Resend:    100 * time.Millisecond,
		Wait:      1500 * time.Millisecond,
		Settle:    50 * time.Millisecond,
		VoteValid: 2 * time.Second,
		Silence:   2200 * time.Millisecond,
		Keep:      24 * time.Hour,
		Sweep:     time.Minute,
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

// WithNonces sets the first number of queries. The runtime passes a value that
// differs between runs, so that a late reply to an earlier run matches no query.
func WithNonces(first uint64) Option { return func(s *settings) { s.nonce = first } }

// WithClock relates instants to the wall clock, from which records take their time.
func WithClock(unixMilli int64, at model.Instant) Option {
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
