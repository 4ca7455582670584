// Package burn counts requests against service-level objectives on each entry
// host, merges the counts of all hosts and reports the burn rates of the error
// budgets.
package burn

import (
	"time"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// CellLength is the duration that one cell covers.
const CellLength = time.Minute

// CellCount is the age in minutes at which a series drops a cell. It equals the
// longest window of a burn rate, 6 hours.
const CellCount = 360

// SeriesID identifies a series by the service and workspace whose requests it
// counts. Workspace is empty for the ejections of a service and for the sum over
// its workspaces.
type SeriesID struct {
	Service   model.ServiceName
	Workspace model.WorkspaceID
}

// Cell holds the numbers of requests that ended within a minute or, as a sum, within a longer time.
type Cell struct {
	// Total is the number of requests, except those refused by the rate limit.
	Total uint64
	// Failed is the number of requests in Total that got no answer, a 5xx answer or a refusal by the fleet.
	Failed uint64
	// Slow is the number of answered requests in Total that took longer than the objective's latency.
	Slow uint64
	// Limited is the number of requests refused by the rate limit.
	Limited uint64
	// NoOwner is the number of requests in Failed that were refused because their shard had no owner.
	NoOwner uint64
}

// Add returns the sum of c and o.
func (c Cell) Add(o Cell) Cell {
	return Cell{
		Total:   c.Total + o.Total,
		Failed:  c.Failed + o.Failed,
		Slow:    c.Slow + o.Slow,
		Limited: c.Limited + o.Limited,
		NoOwner: c.NoOwner + o.NoOwner,
	}
}

// Minute is a wall-clock time in whole minutes since the Unix epoch. It identifies
// a cell, so that cells of different hosts can be merged. If the clocks of hosts
// differ by seconds, a request may be counted in an adjacent cell, which the
// windows tolerate.
type Minute int64

// MinuteOf returns the minute that contains t.
func MinuteOf(t time.Time) Minute {
	return Minute(t.UnixMilli() / CellLength.Milliseconds())
}
