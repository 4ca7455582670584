// Package logs creates the structured log of a process. Repeated lines are
// sampled, so that a flood of one event neither fills the disk nor hides others.
package logs

import (
	"io"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/zapr"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"tarragongauge.example/tarragongauge/internal/conf"
)

const (
	// sampleWindow is the interval for which lines of one message and level are counted.
	sampleWindow = 10 * time.Second
	// linesPerWindow is the number of lines of one message and level written in a window.
	linesPerWindow = 10
)

// Option configures a log.
type Option func(*options)

type options struct{ clock zapcore.Clock }

// WithClock sets the clock that gives the time of lines and of sampling windows.
// It is meant for tests.
func WithClock(clock zapcore.Clock) Option {
	return func(o *options) { o.clock = clock }
}

// New returns a logger that writes to w, with its own fields named in snake case.
// Level debug includes the lines of logr's V(1). The returned function reports the
// suppressed lines that have not been reported yet; the caller calls that function
// when the process stops.
func New(c conf.Log, w io.Writer, opts ...Option) (logr.Logger, func()) {
	o := options{clock: zapcore.DefaultClock}
	for _, opt := range opts {
		opt(&o)
	}
	core := zapcore.NewCore(newEncoder(c.Format), zapcore.Lock(zapcore.AddSync(w)), parseLevel(c.Level))
	drops := newDropCounter(core)
	sampled := zapcore.NewSamplerWithOptions(core, sampleWindow, linesPerWindow, 0, zapcore.SamplerHook(drops.record))
	log := newLogger(newBudgetCore(sampled, core, drops), drops, o.clock)
	return zapr.NewLogger(log), func() { drops.report(o.clock.Now(), 0) }
}

func newEncoder(format string) zapcore.Encoder {
	enc := zap.NewProductionEncoderConfig()
	enc.TimeKey, enc.MessageKey, enc.StacktraceKey = "time", "message", "stack_trace"
	enc.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	enc.EncodeDuration = zapcore.StringDurationEncoder
	if format == "text" {
		return zapcore.NewConsoleEncoder(enc)
	}
	return zapcore.NewJSONEncoder(enc)
}

func parseLevel(name string) zapcore.Level {
	switch name {
	case "debug":
		return zapcore.DebugLevel
	case "error":
		return zapcore.ErrorLevel
	default:
		return zapcore.InfoLevel
	}
}
