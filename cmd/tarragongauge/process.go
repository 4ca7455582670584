package main

import (
	"context"
	"io"
	"time"

	"github.com/go-logr/logr"
	"github.com/rotisserie/eris"

	"tarragongauge.example/tarragongauge/internal/conf"
)

// processes holds the functions behind the commands that run a process or a tool
// of their own. Tests replace them. A function that is nil is not included in the
// build.
type processes struct {
	control func(ctx context.Context, c conf.Control, log logr.Logger) error
	entry   func(ctx context.Context, c conf.Entry, log logr.Logger) error
	journal func(ctx context.Context, c conf.Journal, log logr.Logger) error
	seat    func(ctx context.Context, c conf.Seat, log logr.Logger) error
	all     func(ctx context.Context, c conf.All, log logr.Logger) error
	target  func(ctx context.Context, c conf.Target, log logr.Logger) error
	load    func(ctx context.Context, o loadOptions, out io.Writer) error
	// burn writes the burn report for encoded counters as text, json or html and
	// reports whether a burn rate is an alert.
	burn func(data []byte, format string, out io.Writer) (bool, error)
}

// loadOptions holds the arguments of the load generator.
type loadOptions struct {
	URL    string
	Method string
	// Key is the workspace key that each request presents, or empty for none.
	Key string
	// Body is the body of each request.
	Body []byte
	// Rate is the number of requests sent per second, whether or not earlier ones
	// were answered.
	Rate float64
	// Duration is the time for which requests are sent.
	Duration time.Duration
	// Timeout is the time after which a request counts as failed.
	Timeout time.Duration
	// OrderKeys is set to send a new Idempotency-Key with each request.
	OrderKeys bool
	// Output is text or json.
	Output string
}

// errNotIncluded returns the error for a command whose function in processes is nil.
func errNotIncluded(name string) error {
	return eris.Errorf("this build does not include %s; build ./cmd/tarragongauge from a release", name)
}
