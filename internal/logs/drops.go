package logs

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// drops counts suppressed lines until they are reported. It is safe for concurrent use.
type drops struct {
	// core writes the reports; it does not sample.
	core zapcore.Core

	mu sync.Mutex
	// counts is guarded by mu and holds only messages with suppressed lines.
	counts map[line]drop
}

// line identifies lines that are sampled together.
type line struct {
	level   zapcore.Level
	message string
}

type drop struct {
	line
	since time.Time
	count int
}

func newDrops(core zapcore.Core) *drops {
	return &drops{core: core, counts: map[line]drop{}}
}

// note counts a line that the sampler dropped.
func (d *drops) note(e zapcore.Entry, decision zapcore.SamplingDecision) {
	if decision&zapcore.LogDropped == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	id := line{level: e.Level, message: e.Message}
	was, ok := d.counts[id]
	if !ok {
		was = drop{line: id, since: e.Time}
	}
	was.count++
	d.counts[id] = was
}

// report writes one line for each message whose first suppressed line is at least age old.
func (d *drops) report(now time.Time, age time.Duration) {
	for _, e := range d.due(now, age) {
		entry := zapcore.Entry{Level: e.level, Time: now, Message: "repeated log lines suppressed"}
		fields := []zapcore.Field{
			zap.String("suppressed_message", e.message),
			zap.Int("count", e.count),
			zap.Duration("within", now.Sub(e.since)),
		}
		// A log that cannot be written has no other place to report to.
		_ = d.core.Write(entry, fields)
	}
}

// due takes out the counts to report, in a fixed order.
func (d *drops) due(now time.Time, age time.Duration) []drop {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []drop
	for id, c := range d.counts {
		if now.Sub(c.since) >= age {
			out = append(out, c)
			delete(d.counts, id)
		}
	}
	slices.SortFunc(out, func(a, b drop) int { return cmp.Compare(a.message, b.message) })
	return out
}

// reporter writes what was suppressed before the next line that is due.
type reporter struct {
	zapcore.Core
	drops *drops
}

// With returns a core with more fields that reports to the same counts.
func (r reporter) With(fields []zapcore.Field) zapcore.Core {
	return reporter{Core: r.Core.With(fields), drops: r.drops}
}

// Check decides on a line. Counts of windows that have ended are reported first.
func (r reporter) Check(e zapcore.Entry, ce *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	r.drops.report(e.Time, sampleWindow)
	return r.Core.Check(e, ce)
}
