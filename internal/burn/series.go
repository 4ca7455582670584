package burn

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"tarragongauge.example/tarragongauge/pkg/model"
)

const (
	// fineMinutes is how long a series keeps single minutes: the longest window
	// that is computed exactly, and one coarse cell more.
	fineMinutes = 70
	// coarseMinutes is the length of the cells that older minutes are folded into.
	coarseMinutes = 10
	// latencyMinutes is how long latencies are kept: an hour and the window that is being filled.
	latencyMinutes = 60 + coarseMinutes
)

// OtherWorkspaces stands for the workspaces of a service that a host does not
// count or report by themselves. No workspace can have this name.
const OtherWorkspaces model.WorkspaceID = "*"

// timedCell is a Cell as it is kept: 24 bytes in place of 48.
type timedCell struct {
	start                                 int32
	total, failed, slow, limited, noOwner uint32
}

func newTimedCell(m Minute, c Cell) timedCell {
	return timedCell{
		start: int32(m), total: uint32(c.Total), failed: uint32(c.Failed),
		slow: uint32(c.Slow), limited: uint32(c.Limited), noOwner: uint32(c.NoOwner),
	}
}

func (t timedCell) minute() Minute { return Minute(t.start) }

func (t timedCell) cell() Cell {
	return Cell{
		Total: uint64(t.total), Failed: uint64(t.failed), Slow: uint64(t.slow),
		Limited: uint64(t.limited), NoOwner: uint64(t.noOwner),
	}
}

// latencyWindow holds the latencies of the minutes from start to start + coarseMinutes.
type latencyWindow struct {
	start   Minute
	buckets latencies
}

// Series holds the counts and the latencies of one service and workspace.
type Series struct {
	// cells are in ascending order of their start, at most one for each. Cells
	// older than fineMinutes cover coarseMinutes each, the others one minute.
	cells []timedCell
	// windows are in ascending order of their start.
	windows []latencyWindow
	// verdicts are in ascending order of time, on series without a workspace.
	verdicts []verdict
}

// empty reports whether no window reaches anything that was counted.
func (s *Series) empty() bool { return len(s.cells) == 0 && len(s.verdicts) == 0 }

func newSeries() *Series { return &Series{} }

// add counts in a minute. A later minute than any before folds and drops old cells.
func (s *Series) add(m Minute, c Cell) {
	n := len(s.cells)
	if n == 0 || m > s.cells[n-1].minute() {
		s.age(m)
		s.cells = append(s.cells, newTimedCell(m, c))
		return
	}
	i, found := slices.BinarySearchFunc(s.cells, m, func(t timedCell, m Minute) int { return cmp.Compare(t.minute(), m) })
	if !found {
		s.cells = slices.Insert(s.cells, i, newTimedCell(m, c))
		return
	}
	s.cells[i] = newTimedCell(m, s.cells[i].cell().Add(c))
}

// age folds the cells before the last fineMinutes and drops those that are too old for every window.
func (s *Series) age(now Minute) {
	kept := s.cells[:0]
	for _, t := range s.cells {
		m := t.minute()
		if m <= now-CellCount {
			continue
		}
		if m <= now-fineMinutes {
			m -= m % coarseMinutes
		}
		if n := len(kept); n > 0 && kept[n-1].minute() == m {
			kept[n-1] = newTimedCell(m, kept[n-1].cell().Add(t.cell()))
			continue
		}
		kept = append(kept, newTimedCell(m, t.cell()))
	}
	s.cells = kept
	s.windows = slices.DeleteFunc(s.windows, func(w latencyWindow) bool { return w.start <= now-latencyMinutes })
	s.verdicts = slices.DeleteFunc(s.verdicts, func(v verdict) bool { return v.at <= now-CellCount })
}

// observe counts the latency of an answered request.
func (s *Series) observe(m Minute, d time.Duration) {
	s.window(m-m%coarseMinutes).add(bucketOf(d), 1)
}

func (s *Series) window(start Minute) *latencies {
	i, found := slices.BinarySearchFunc(s.windows, start, func(w latencyWindow, m Minute) int { return cmp.Compare(w.start, m) })
	if !found {
		s.windows = slices.Insert(s.windows, i, latencyWindow{start: start})
	}
	return &s.windows[i].buckets
}

func (s *Series) merge(o *Series) {
	s.mergeCells(o)
	s.mergeVerdicts(o)
	for _, w := range o.windows {
		s.window(w.start).merge(w.buckets)
	}
}

func (s *Series) mergeCells(o *Series) {
	for _, t := range o.cells {
		s.add(t.minute(), t.cell())
	}
}

// SumWindow sums the cells of the last length up to and including now. Windows
// longer than an hour may miss up to coarseMinutes at their beginning.
func (s *Series) SumWindow(now Minute, length time.Duration) Cell {
	first := now - Minute(length/CellLength) + 1
	var sum Cell
	for _, t := range s.cells {
		if m := t.minute(); m >= first && m <= now {
			sum = sum.Add(t.cell())
		}
	}
	return sum
}

// at returns the cell of one of the last minutes.
func (s *Series) at(m Minute) Cell {
	for _, t := range s.cells {
		if t.minute() == m {
			return t.cell()
		}
	}
	return Cell{}
}

// LatencyQuantile returns a quantile of the latencies of about the last hour, or 0 without any.
func (s *Series) LatencyQuantile(now Minute, share float64) time.Duration {
	return s.lastHour(now).quantile(share)
}

func (s *Series) lastHour(now Minute) latencies {
	var all latencies
	for _, w := range s.windows {
		if w.start > now-latencyMinutes && w.start <= now {
			all.merge(w.buckets)
		}
	}
	return all
}

// SeriesSet holds the series of one host, or of all hosts once merged.
type SeriesSet map[SeriesID]*Series

// Merge adds the series of another host.
func (s SeriesSet) Merge(o SeriesSet) {
	for id, series := range o {
		s.series(id).merge(series)
	}
}

func (s SeriesSet) series(id SeriesID) *Series {
	if got, ok := s[id]; ok {
		return got
	}
	made := newSeries()
	s[id] = made
	return made
}

// IDs returns the identifiers in order of service, then workspace.
func (s SeriesSet) IDs() []SeriesID {
	return slices.SortedFunc(maps.Keys(s), func(a, b SeriesID) int {
		return cmp.Or(strings.Compare(string(a.Service), string(b.Service)), strings.Compare(string(a.Workspace), string(b.Workspace)))
	})
}
