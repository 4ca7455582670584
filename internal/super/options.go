package super

import (
	"time"

	"github.com/go-logr/logr"
)

type options struct {
	// log receives failures, panics and restarts.
	log         logr.Logger
	minDelay    time.Duration
	maxDelay    time.Duration
	maxRestarts int
	// restartWindow is the time within which a task may be restarted maxRestarts times.
	restartWindow time.Duration
	stopTimeout   time.Duration
}

func defaultOptions() options {
	return options{
		log:           logr.Discard(),
		minDelay:      100 * time.Millisecond,
		maxDelay:      5 * time.Second,
		maxRestarts:   10,
		restartWindow: time.Minute,
		stopTimeout:   10 * time.Second,
	}
}

// Option configures how a tree supervises its tasks. A child tree inherits the
// options of its parent.
type Option func(*options)

// WithLogger sets the logger for failures, panics and restarts. The default discards them.
func WithLogger(log logr.Logger) Option {
	return func(o *options) { o.log = log }
}

// WithRestartDelay sets the delay before the first restart and the maximum
// delay. The delay doubles with each failure within the restart window.
func WithRestartDelay(minDelay, maxDelay time.Duration) Option {
	return func(o *options) {
		o.minDelay = minDelay
		o.maxDelay = max(minDelay, maxDelay)
	}
}

// WithRestartLimit sets how often a task may be restarted within a window before its tree fails.
func WithRestartLimit(maxRestarts int, window time.Duration) Option {
	return func(o *options) {
		o.maxRestarts = maxRestarts
		o.restartWindow = window
	}
}

// WithStopTimeout sets how long a stopping tree waits for each task. A task that
// does not return in time is logged and left running.
func WithStopTimeout(d time.Duration) Option {
	return func(o *options) { o.stopTimeout = d }
}
