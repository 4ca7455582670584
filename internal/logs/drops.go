package logs

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// dropCounter counts suppressed lines until they are reported. It is safe for concurrent use.
type dropCounter struct {
	// core writes the reports and does not sample them.
	core zapcore.Core

	mu sync.Mutex
	// counts holds the messages with suppressed lines and is guarded by mu.
	counts map[lineKey]dropCount
}

// lineKey identifies the lines that are sampled together: those of one level and message.
type lineKey struct {
	level   zapcore.Level
	message string
}

// dropCount is the number of suppressed lines with one key since the first of them.
type dropCount struct {
	lineKey
	since time.Time
	count int
}

func newDropCounter(core zapcore.Core) *dropCounter {
	return &dropCounter{core: core, counts: map[lineKey]dropCount{}}
}

// record counts a line if the decision is to drop it.
func (d *dropCounter) record(e zapcore.Entry, decision zapcore.SamplingDecision) {
	if decision&zapcore.LogDropped == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	id := lineKey{level: e.Level, message: e.Message}
	c, ok := d.counts[id]
	if !ok {
		c = dropCount{lineKey: id, since: e.Time}
	}
	c.count++
	d.counts[id] = c
}

// report writes one line for each key whose first suppressed line is at least age old.
func (d *dropCounter) report(now time.Time, age time.Duration) {
	for _, e := range d.takeDue(now, age) {
		entry := zapcore.Entry{Level: e.level, Time: now, Message: "repeated log lines suppressed"}
		fields := []zapcore.Field{
			zap.String("suppressed_message", e.message),
			zap.Int("count", e.count),
			zap.Duration("within", now.Sub(e.since)),
		}
		// An error of the log output cannot be logged.
		_ = d.core.Write(entry, fields)
	}
}

// takeDue removes and returns the counts whose first line is at least age old,
// sorted by message.
func (d *dropCounter) takeDue(now time.Time, age time.Duration) []dropCount {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []dropCount
	for id, c := range d.counts {
		if now.Sub(c.since) >= age {
			out = append(out, c)
			delete(d.counts, id)
		}
	}
	slices.SortFunc(out, func(a, b dropCount) int { return cmp.Compare(a.message, b.message) })
	return out
}

// reportingCore reports suppressed lines before it writes the next line.
type reportingCore struct {
	zapcore.Core
	drops *dropCounter
}

// With returns a core with additional fields that shares the counts of r.
func (r reportingCore) With(fields []zapcore.Field) zapcore.Core {
	return reportingCore{Core: r.Core.With(fields), drops: r.drops}
}

// Check reports the counts of ended sampling windows and passes the line to the
// wrapped core.
func (r reportingCore) Check(e zapcore.Entry, ce *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	r.drops.report(e.Time, sampleWindow)
	return r.Core.Check(e, ce)
}
