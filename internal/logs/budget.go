package logs

import (
	"strings"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"golang.org/x/time/rate"
)

// RequestLoggerName is the name of the logger for lines about single requests.
// These lines share one message but each is about another request, so a rate
// budget limits them instead of sampling by message.
const RequestLoggerName = "requests"

const (
	// requestLinesPerSecond is the rate at which lines about failed and refused requests are written.
	requestLinesPerSecond = 20
	// requestBurst is the maximum number of such lines written at once.
	requestBurst = 200
	// servedLinesPerSecond and servedBurst are the rate and the burst of lines about served requests.
	servedLinesPerSecond = 1
	servedBurst          = 5
)

// FieldOutcome is the name of the field of a request line that holds the outcome
// of the request.
const FieldOutcome = "outcome"

// OutcomeServed is the value of FieldOutcome for a served request. Lines with it
// have a smaller budget.
const OutcomeServed = "served"

// budgetCore writes the lines of the request logger within their budget and
// passes all other lines to a sampled core.
type budgetCore struct {
	// sampled receives the lines of all other loggers.
	sampled zapcore.Core
	// unsampled writes the request lines that are within the budget.
	unsampled zapcore.Core
	drops     *dropCounter
	// failureLimiter limits lines about failed and refused requests.
	failureLimiter *rate.Limiter
	servedLimiter  *rate.Limiter
}

func newBudgetCore(sampled, unsampled zapcore.Core, d *dropCounter) budgetCore {
	return budgetCore{
		sampled: sampled, unsampled: unsampled, drops: d,
		failureLimiter: rate.NewLimiter(requestLinesPerSecond, requestBurst), servedLimiter: rate.NewLimiter(servedLinesPerSecond, servedBurst),
	}
}

// Enabled reports whether lines of a level are written.
func (b budgetCore) Enabled(l zapcore.Level) bool { return b.unsampled.Enabled(l) }

// With returns a core with additional fields that shares the budget of b.
func (b budgetCore) With(fields []zapcore.Field) zapcore.Core {
	b.sampled, b.unsampled = b.sampled.With(fields), b.unsampled.With(fields)
	return b
}

// Check passes a line of another logger to the sampled core. A request line is
// accepted here and counted in Write, where its outcome field is known.
func (b budgetCore) Check(e zapcore.Entry, ce *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if !strings.HasSuffix(e.LoggerName, RequestLoggerName) {
		return b.sampled.Check(e, ce)
	}
	if b.Enabled(e.Level) {
		return ce.AddCore(e, b)
	}
	return ce
}

// Write writes a line about a request if it is within the budget.
func (b budgetCore) Write(e zapcore.Entry, fields []zapcore.Field) error {
	limiter := b.failureLimiter
	for _, f := range fields {
		if f.Key == FieldOutcome && f.String == OutcomeServed {
			limiter = b.servedLimiter
		}
	}
	if !limiter.AllowN(e.Time, 1) {
		b.drops.record(e, zapcore.LogDropped)
		return nil
	}
	return b.unsampled.Write(e, fields)
}

// Sync flushes buffered lines.
func (b budgetCore) Sync() error { return b.unsampled.Sync() }

var _ zapcore.Core = budgetCore{}

// newLogger returns a logger on core that reports the suppressed lines counted in d.
func newLogger(core zapcore.Core, d *dropCounter, clock zapcore.Clock) *zap.Logger {
	return zap.New(reportingCore{Core: core, drops: d}, zap.WithClock(clock))
}
