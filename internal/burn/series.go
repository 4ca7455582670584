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
	// fineMinutes is how long a series keeps a cell for each minute. It is the
	// longest window that is computed exactly, an hour, plus one coarse cell.
	fineMinutes = 70
	// coarseMinutes is the length of the cells that older minutes are merged into,
	// and of the latency windows.
	coarseMinutes = 10
	// latencyMinutes is how long latencies are kept: an hour plus the window that is being filled.
	latencyMinutes = 60 + coarseMinutes
)

// OtherWorkspaces is the workspace under which a host counts or reports all
// workspaces of a service that have no series of their own. No real workspace can
// have this name.
const OtherWorkspaces model.WorkspaceID = "*"

// compactCell is the stored form of a Cell with its start, which takes 24 bytes instead of 48.
type compactCell struct {
	start                                 int32
	total, failed, slow, limited, noOwner uint32
}

func newCompactCell(m Minute, c Cell) compactCell {
	return compactCell{
		start: int32(m), total: uint32(c.Total), failed: uint32(c.Failed),
		slow: uint32(c.Slow), limited: uint32(c.Limited), noOwner: uint32(c.NoOwner),
	}
}

func (t compactCell) minute() Minute { return Minute(t.start) }

func (t compactCell) cell() Cell {
	return Cell{
		Total: uint64(t.total), Failed: uint64(t.failed), Slow: uint64(t.slow),
		Limited: uint64(t.limited), NoOwner: uint64(t.noOwner),
	}
}

// latencyWindow holds the latencies of the coarseMinutes minutes that begin with start.
type latencyWindow struct {
	start   Minute
	buckets latencies
}

// Series holds the counts and latencies of one service and workspace. It is not
// safe for concurrent use.
type Series struct {
	// cells are in ascending order of their start, and no two have the same start.
	// Cells older than fineMinutes cover coarseMinutes each, the others one minute.
	cells []compactCell
	// windows are in ascending order of their start.
	windows []latencyWindow
	// events holds the ejections of a service in ascending order of time. Only
	// series without a workspace have any.
	events []ejectionEvent
}

// isEmpty reports whether the series has neither cells nor events left.
func (s *Series) isEmpty() bool { return len(s.cells) == 0 && len(s.events) == 0 }

func newSeries() *Series { return &Series{} }

// addCell adds the counts of a cell to those of a minute. If the minute is later
// than all others, old cells are compacted.
func (s *Series) addCell(m Minute, c Cell) {
	n := len(s.cells)
	if n == 0 || m > s.cells[n-1].minute() {
		s.compact(m)
		s.cells = append(s.cells, newCompactCell(m, c))
		return
	}
	i, found := slices.BinarySearchFunc(s.cells, m, func(t compactCell, m Minute) int { return cmp.Compare(t.minute(), m) })
	if !found {
		s.cells = slices.Insert(s.cells, i, newCompactCell(m, c))
		return
	}
	s.cells[i] = newCompactCell(m, s.cells[i].cell().Add(c))
}

// compact merges cells older than fineMinutes into cells of coarseMinutes, and
// drops the cells, latencies and events that are too old for every window.
func (s *Series) compact(now Minute) {
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
			kept[n-1] = newCompactCell(m, kept[n-1].cell().Add(t.cell()))
			continue
		}
		kept = append(kept, newCompactCell(m, t.cell()))
	}
	s.cells = kept
	s.windows = slices.DeleteFunc(s.windows, func(w latencyWindow) bool { return w.start <= now-latencyMinutes })
	s.events = slices.DeleteFunc(s.events, func(v ejectionEvent) bool { return v.at <= now-CellCount })
}

// addLatency counts the latency of a request that was answered in a minute.
func (s *Series) addLatency(m Minute, d time.Duration) {
	s.latencyWindowAt(m-m%coarseMinutes).add(bucketOf(d), 1)
}

// latencyWindowAt returns the latencies of the window with the given start, and creates the window if necessary.
func (s *Series) latencyWindowAt(start Minute) *latencies {
	i, found := slices.BinarySearchFunc(s.windows, start, func(w latencyWindow, m Minute) int { return cmp.Compare(w.start, m) })
	if !found {
		s.windows = slices.Insert(s.windows, i, latencyWindow{start: start})
	}
	return &s.windows[i].buckets
}

// merge adds the counts, latencies and events of o to s.
func (s *Series) merge(o *Series) {
	s.mergeCells(o)
	s.mergeEvents(o)
	for _, w := range o.windows {
		s.latencyWindowAt(w.start).merge(w.buckets)
	}
}

func (s *Series) mergeCells(o *Series) {
	for _, t := range o.cells {
		s.addCell(t.minute(), t.cell())
	}
}

// SumWindow returns the sum of the cells in the window of the given length that
// ends with the minute now. For windows longer than an hour, up to coarseMinutes at
// the beginning may be missing from the sum.
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

// cellAt returns the cell that starts at m, or the zero Cell if there is none. Only
// the last fineMinutes have a cell for each minute.
func (s *Series) cellAt(m Minute) Cell {
	for _, t := range s.cells {
		if t.minute() == m {
			return t.cell()
		}
	}
	return Cell{}
}

// LatencyQuantile returns the latency that a share of the requests answered in
// about the last hour did not exceed, or 0 if there are none.
func (s *Series) LatencyQuantile(now Minute, share float64) time.Duration {
	return s.lastHourLatencies(now).quantile(share)
}

// lastHourLatencies returns the merged latencies of the windows that began within latencyMinutes.
func (s *Series) lastHourLatencies(now Minute) latencies {
	var all latencies
	for _, w := range s.windows {
		if w.start > now-latencyMinutes && w.start <= now {
			all.merge(w.buckets)
		}
	}
	return all
}

// SeriesSet holds the series of one host or, once merged, of all hosts.
type SeriesSet map[SeriesID]*Series

// Merge adds the series of another host to s.
func (s SeriesSet) Merge(o SeriesSet) {
	for id, series := range o {
		s.series(id).merge(series)
	}
}

// series returns the series with an identifier, and creates it if necessary.
func (s SeriesSet) series(id SeriesID) *Series {
	if got, ok := s[id]; ok {
		return got
	}
	made := newSeries()
	s[id] = made
	return made
}

// IDs returns the identifiers of the series, ordered by service, then by workspace.
func (s SeriesSet) IDs() []SeriesID {
	return slices.SortedFunc(maps.Keys(s), func(a, b SeriesID) int {
		return cmp.Or(strings.Compare(string(a.Service), string(b.Service)), strings.Compare(string(a.Workspace), string(b.Workspace)))
	})
}
