package super

import (
	"time"

	"github.com/go-logr/logr"
)

type options struct {
	log         logr.Logger
	minDelay    time.Duration
	maxDelay    time.Duration
	restarts    int
	window      time.Duration
	stopTimeout time.Duration
}

func defaultOptions() options {
	return options{
		log:         logr.Discard(),
		minDelay:    100 * time.Millisecond,
		maxDelay:    5 * time.Second,
		restarts:    10,
		window:      time.Minute,
		stopTimeout: 10 * time.Second,
	}
}

// Option changes how a tree supervises its tasks. A child inherits the options of its parent.
type Option func(*options)

// WithLogger logs failures, panics and restarts.
func WithLogger(log logr.Logger) Option {
	return func(o *options) { o.log = log }
}

// WithRestartDelay sets the delay before the first restart and its upper bound. The
// delay doubles with each failure inside the window.
func WithRestartDelay(least, most time.Duration) Option {
	return func(o *options) {
		o.minDelay = least
		o.maxDelay = max(least, most)
	}
}

// WithRestartLimit sets how often one task may be started again within a window before its tree fails.
func WithRestartLimit(restarts int, window time.Duration) Option {
	return func(o *options) {
		o.restarts = restarts
		o.window = window
	}
}

// WithStopTimeout bounds the wait for each task when the tree stops. A task
// that does not return in time is logged and left behind.
func WithStopTimeout(d time.Duration) Option {
	return func(o *options) { o.stopTimeout = d }
}
