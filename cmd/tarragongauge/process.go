package main

import (
	"context"
	"io"
	"time"

	"github.com/go-logr/logr"
	"github.com/rotisserie/eris"

	"tarragongauge.example/tarragongauge/internal/conf"
)

// processes are the parts of the binary that run rather than ask. A part that
// is nil is not included in this build.
type processes struct {
	control func(ctx context.Context, c conf.Control, log logr.Logger) error
	entry   func(ctx context.Context, c conf.Entry, log logr.Logger) error
	journal func(ctx context.Context, c conf.Journal, log logr.Logger) error
	seat    func(ctx context.Context, c conf.Seat, log logr.Logger) error
	all     func(ctx context.Context, c conf.All, log logr.Logger) error
	target  func(ctx context.Context, c conf.Target, log logr.Logger) error
	load    func(ctx context.Context, o loadOptions, out io.Writer) error
	// burn writes the report on encoded counters as text, json or html and reports whether it is an alert.
	burn func(data []byte, format string, out io.Writer) (bool, error)
}

// loadOptions says what load the generator offers.
type loadOptions struct {
	URL    string
	Method string
	// Key is presented with each request, or empty.
	Key  string
	Body []byte
	// Rate is in requests per second, sent whether or not earlier ones were answered.
	Rate     float64
	Duration time.Duration
	Timeout  time.Duration
	// OrderKeys sends a new Idempotency-Key with each request.
	OrderKeys bool
	// Output is text or json.
	Output string
}

func errNotIncluded(name string) error {
	return eris.Errorf("this build does not include %s; build ./cmd/tarragongauge from a release", name)
}
