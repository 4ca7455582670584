// Package burn counts requests against service-level objectives on each entry
// host, merges the counts of all hosts and reports how fast the error budgets
// burn.
package burn

import (
	"time"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// CellLength is the time that one cell covers.
const CellLength = time.Minute

// CellCount is how many cells a series keeps: the longest window of a burn rate, 6 hours.
const CellCount = 360

// SeriesID names the requests that a series counts.
type SeriesID struct {
	Service   model.ServiceName
	Workspace model.WorkspaceID
}

// Cell counts the requests that ended within one minute.
type Cell struct {
	// Total counts every request except those refused for their rate.
	Total uint64
	// Failed counts requests of Total that got no answer, an answer of 5xx or a refusal by the fleet.
	Failed uint64
	// Slow counts answered requests of Total that took longer than the objective's latency.
	Slow uint64
	// Limited counts requests refused for their rate.
	Limited uint64
	// NoOwner counts requests of Failed that were refused because their shard had no owner.
	NoOwner uint64
}

// Add returns the sum of two cells.
func (c Cell) Add(o Cell) Cell {
	return Cell{
		Total:   c.Total + o.Total,
		Failed:  c.Failed + o.Failed,
		Slow:    c.Slow + o.Slow,
		Limited: c.Limited + o.Limited,
		NoOwner: c.NoOwner + o.NoOwner,
	}
}

// Minute numbers a cell by its wall-clock minute since the Unix epoch, so that
// cells of different hosts can be merged. Clocks that differ by seconds move a
// request to a neighbouring cell, which the windows tolerate.
type Minute int64

// MinuteOf returns the minute that contains t.
func MinuteOf(t time.Time) Minute {
	return Minute(t.UnixMilli() / CellLength.Milliseconds())
}
