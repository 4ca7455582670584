package logs

import (
	"strings"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"golang.org/x/time/rate"
)

// RequestLoggerName is the name of the logger for lines about single requests. They are
// not sampled by message, since each names another request; they have a budget.
const RequestLoggerName = "requests"

const (
	// requestLines is the budget of lines about failed and refused requests in lines per second.
	requestLines = 20
	// requestBurst is how many such lines may be written at once.
	requestBurst = 200
	// successLines and successBurst are the budget of lines about served requests.
	successLines = 1
	successBurst = 5
)

// FieldOutcome is the field of a request line that tells how the request ended.
const FieldOutcome = "outcome"

// OutcomeServed is its value for a request that was served; such lines have a smaller budget.
const OutcomeServed = "served"

// budget passes the lines of the logger for requests on within their budget and
// all others to a sampled core.
type budget struct {
	// sampled takes the other lines.
	sampled zapcore.Core
	// plain writes the lines that are within the budget.
	plain    zapcore.Core
	drops    *drops
	failures *rate.Limiter
	served   *rate.Limiter
}

func newBudget(sampled, plain zapcore.Core, d *drops) budget {
	return budget{
		sampled: sampled, plain: plain, drops: d,
		failures: rate.NewLimiter(requestLines, requestBurst), served: rate.NewLimiter(successLines, successBurst),
	}
}

// Enabled reports whether a level is written at all.
func (b budget) Enabled(l zapcore.Level) bool { return b.plain.Enabled(l) }

// With returns a core with more fields and the same budget.
func (b budget) With(fields []zapcore.Field) zapcore.Core {
	b.sampled, b.plain = b.sampled.With(fields), b.plain.With(fields)
	return b
}

// Check decides on a line. Those of requests are decided on when their fields are known.
func (b budget) Check(e zapcore.Entry, ce *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if !strings.HasSuffix(e.LoggerName, RequestLoggerName) {
		return b.sampled.Check(e, ce)
	}
	if b.Enabled(e.Level) {
		return ce.AddCore(e, b)
	}
	return ce
}

// Write writes a line about a request if it is within the budget.
func (b budget) Write(e zapcore.Entry, fields []zapcore.Field) error {
	limiter := b.failures
	for _, f := range fields {
		if f.Key == FieldOutcome && f.String == OutcomeServed {
			limiter = b.served
		}
	}
	if !limiter.AllowN(e.Time, 1) {
		b.drops.note(e, zapcore.LogDropped)
		return nil
	}
	return b.plain.Write(e, fields)
}

// Sync writes what is buffered.
func (b budget) Sync() error { return b.plain.Sync() }

var _ zapcore.Core = budget{}

// reported wraps a core so that suppressed lines are reported.
func reported(core zapcore.Core, d *drops, clock zapcore.Clock) *zap.Logger {
	return zap.New(reporter{Core: core, drops: d}, zap.WithClock(clock))
}
