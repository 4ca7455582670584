// Package logs makes the structured log of a process. Lines that repeat are
// sampled, so that a storm of one event neither fills the disk nor hides others.
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
	// sampleWindow is the interval in which lines of one message are counted.
	sampleWindow = 10 * time.Second
	// sampleFirst is how many lines of one message and level are written in a window.
	sampleFirst = 10
)

// Option changes how a log is made.
type Option func(*options)

type options struct{ clock zapcore.Clock }

// WithClock sets the time of lines, for tests.
func WithClock(clock zapcore.Clock) Option {
	return func(o *options) { o.clock = clock }
}

// New returns a logger with fields in snake case that writes to w. Level debug
// shows logr's V(1). The clean-up function writes what was suppressed and not
// reported yet.
func New(c conf.Log, w io.Writer, opts ...Option) (logr.Logger, func()) {
	o := options{clock: zapcore.DefaultClock}
	for _, opt := range opts {
		opt(&o)
	}
	core := zapcore.NewCore(encoder(c.Format), zapcore.Lock(zapcore.AddSync(w)), level(c.Level))
	drops := newDrops(core)
	sampled := zapcore.NewSamplerWithOptions(core, sampleWindow, sampleFirst, 0, zapcore.SamplerHook(drops.note))
	log := reported(newBudget(sampled, core, drops), drops, o.clock)
	return zapr.NewLogger(log), func() { drops.report(o.clock.Now(), 0) }
}

func encoder(format string) zapcore.Encoder {
	enc := zap.NewProductionEncoderConfig()
	enc.TimeKey, enc.MessageKey, enc.StacktraceKey = "time", "message", "stack_trace"
	enc.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	enc.EncodeDuration = zapcore.StringDurationEncoder
	if format == "text" {
		return zapcore.NewConsoleEncoder(enc)
	}
	return zapcore.NewJSONEncoder(enc)
}

func level(name string) zapcore.Level {
	switch name {
	case "debug":
		return zapcore.DebugLevel
	case "error":
		return zapcore.ErrorLevel
	default:
		return zapcore.InfoLevel
	}
}
