package burn

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds of the latency histograms.
const (
	// lowestLatency is in microseconds.
	lowestLatency = 10
	// highestLatency is in microseconds: 10 minutes, the longest deadline.
	highestLatency = 600_000_000
	latencyDigits  = 2
)

// Series holds the cells and the latencies of one service and workspace.
type Series struct {
	// Cells holds at most CellCount minutes.
	Cells map[Minute]Cell
	// Latency holds latencies of answered requests in microseconds since the host started.
	Latency *hdrhistogram.Histogram
}

func newSeries() *Series {
	return &Series{
		Cells:   map[Minute]Cell{},
		Latency: hdrhistogram.New(lowestLatency, highestLatency, latencyDigits),
	}
}

func (s *Series) add(m Minute, c Cell) {
	if _, ok := s.Cells[m]; !ok {
		s.expire(m)
	}
	s.Cells[m] = s.Cells[m].Plus(c)
}

// expire removes cells that are too old for every window.
func (s *Series) expire(newest Minute) {
	maps.DeleteFunc(s.Cells, func(m Minute, _ Cell) bool { return m <= newest-CellCount })
}

func (s *Series) observe(d time.Duration) {
	us := min(max(d.Microseconds(), lowestLatency), highestLatency)
	// The value was clamped to the histogram's range, so recording cannot fail.
	_ = s.Latency.RecordValue(us)
}

func (s *Series) merge(o *Series) {
	for m, c := range o.Cells {
		s.add(m, c)
	}
	s.Latency.Merge(o.Latency)
}

// Window sums the cells of the last length up to and including now.
func (s *Series) Window(now Minute, length time.Duration) Cell {
	first := now - Minute(length/CellLength) + 1
	var sum Cell
	for m, c := range s.Cells {
		if m >= first && m <= now {
			sum = sum.Plus(c)
		}
	}
	return sum
}

// Set holds the series of one host, or of all hosts once merged.
type Set map[SeriesID]*Series

// Merge adds the series of another host.
func (s Set) Merge(o Set) {
	for id, series := range o {
		s.series(id).merge(series)
	}
}

func (s Set) series(id SeriesID) *Series {
	if got, ok := s[id]; ok {
		return got
	}
	made := newSeries()
	s[id] = made
	return made
}

// IDs returns the identifiers in order of service, then workspace.
func (s Set) IDs() []SeriesID {
	return slices.SortedFunc(maps.Keys(s), func(a, b SeriesID) int {
		if n := strings.Compare(string(a.Service), string(b.Service)); n != 0 {
			return n
		}
		return strings.Compare(string(a.Workspace), string(b.Workspace))
	})
}
