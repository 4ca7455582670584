package sched

import (
	"math/rand/v2"
	"time"
)

// settings holds the thresholds of a Scheduler.
type settings struct {
	minServiceInterval int
	maxRankWait        time.Duration
	objectiveMargin    float64
	jitter             float64
	queueLimit         int
	rankLimit          int
	idleTime           time.Duration
	askMemory          time.Duration
	rng                *rand.Rand
}

func defaultSettings() settings {
	return settings{
		minServiceInterval: 10,
		maxRankWait:        time.Second,
		// Some attempts take longer than the mean, and so do some waits.
		objectiveMargin: 2,
		jitter:          0.25,
		queueLimit:      4096,
		rankLimit:       64,
		idleTime:        10 * time.Second,
		askMemory:       time.Second,
	}
}

// Option changes a threshold of a Scheduler.
type Option func(*settings)

// WithMinServiceInterval makes a waiting rank get at least one of n slots.
func WithMinServiceInterval(n int) Option { return func(s *settings) { s.minServiceInterval = n } }

// WithMaxRankWait bounds the time for which a waiting rank gets no slot while others do.
func WithMaxRankWait(d time.Duration) Option { return func(s *settings) { s.maxRankWait = d } }

// WithQueueLimit bounds the number of queries that wait.
func WithQueueLimit(n int) Option { return func(s *settings) { s.queueLimit = n } }

// WithRandom sets the source of the jitter of retry times. Without one there is no jitter.
func WithRandom(rng *rand.Rand) Option { return func(s *settings) { s.rng = rng } }
