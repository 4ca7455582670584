package burn

import (
	"errors"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// wireSeries is the encoded form of a series. Its lists are flat lists of numbers,
// since CBOR encodes a small number in one or two bytes.
type wireSeries struct {
	_         struct{} `cbor:",toarray"`
	Service   string
	Workspace string
	// Cells has numbersPerCell numbers for each cell: its start in minutes, as the
	// difference from the previous cell's, then the counts in the order of Cell.
	Cells []uint64
	// Windows has for each latency window its start, the number of buckets, and then
	// the index and the count of each bucket.
	Windows []uint64
	// Events has numbersPerEvent numbers for each ejection event: minute, cause and
	// detection time in milliseconds.
	Events []uint64
}

// Lengths of the entries in the lists of wireSeries.
const (
	numbersPerCell  = 6
	numbersPerEvent = 3
)

var errMalformedCounters = errors.New("service-level counters are malformed; run the same version of tarragongauge everywhere")

// Encode returns a set of series encoded as CBOR.
func Encode(s SeriesSet) ([]byte, error) {
	out := make([]wireSeries, 0, len(s))
	for _, id := range s.IDs() {
		w := wireSeries{Service: string(id.Service), Workspace: string(id.Workspace)}
		w.Cells = appendCells(w.Cells, s[id].cells)
		w.Windows = appendWindows(w.Windows, s[id].windows)
		for _, v := range s[id].events {
			w.Events = append(w.Events, uint64(v.at), uint64(v.cause), uint64(max(0, v.detectionTime.Milliseconds())))
		}
		out = append(out, w)
	}
	data, err := cbor.Marshal(out)
	return data, eris.Wrap(err, "encode service-level counters")
}

func appendCells(to []uint64, cells []compactCell) []uint64 {
	var before Minute
	for _, t := range cells {
		c := t.cell()
		to = append(to, uint64(t.minute()-before), c.Total, c.Failed, c.Slow, c.Limited, c.NoOwner)
		before = t.minute()
	}
	return to
}

func appendWindows(to []uint64, windows []latencyWindow) []uint64 {
	for _, w := range windows {
		to = append(to, uint64(w.start), uint64(len(w.buckets)))
		for _, b := range w.buckets {
			to = append(to, uint64(b.bucket), uint64(b.count))
		}
	}
	return to
}

// Decode returns the set of series that Encode encoded. It returns an error for
// malformed data and for values beyond the bounds of a series.
func Decode(data []byte) (SeriesSet, error) {
	var in []wireSeries
	if err := cbor.Unmarshal(data, &in); err != nil {
		return nil, eris.Wrap(err, "decode service-level counters")
	}
	set := SeriesSet{}
	for _, w := range in {
		s := set.series(SeriesID{Service: model.ServiceName(w.Service), Workspace: model.WorkspaceID(w.Workspace)})
		if !s.addEncodedCells(w.Cells) || !s.addEncodedWindows(w.Windows) || !s.addEncodedEvents(w.Events) {
			return nil, eris.Wrapf(errMalformedCounters, "decode the counters of service %q", w.Service)
		}
	}
	return set, nil
}

// Bounds of decoded values, which keep malformed data from overflowing the
// integers of a series or filling the memory.
const (
	maxMinute  = 1 << 31
	maxCount   = 1 << 32
	maxCells   = CellCount + coarseMinutes
	maxWindows = latencyMinutes
)

// addEncodedCells adds the cells in the form of wireSeries.Cells and reports whether they are valid.
func (s *Series) addEncodedCells(numbers []uint64) bool {
	if len(numbers)%numbersPerCell != 0 || len(numbers) > maxCells*numbersPerCell {
		return false
	}
	var start uint64
	for len(numbers) > 0 {
		n := numbers[:numbersPerCell]
		start += n[0]
		if n[0] >= maxMinute || start >= maxMinute || exceedsMaxCount(n[1:]) {
			return false
		}
		s.addCell(Minute(start), Cell{Total: n[1], Failed: n[2], Slow: n[3], Limited: n[4], NoOwner: n[5]})
		numbers = numbers[numbersPerCell:]
	}
	return true
}

func exceedsMaxCount(counts []uint64) bool {
	for _, n := range counts {
		if n >= maxCount {
			return true
		}
	}
	return false
}

// addEncodedWindows adds the latencies in the form of wireSeries.Windows and reports whether they are valid.
func (s *Series) addEncodedWindows(numbers []uint64) bool {
	for len(numbers) > 0 {
		if len(numbers) < 2 || numbers[0] >= maxMinute || numbers[1] > lastBucket+1 || len(s.windows) == maxWindows {
			return false
		}
		start, buckets := Minute(numbers[0]), numbers[2:]
		n := int(numbers[1]) * 2
		if len(buckets) < n || !s.latencyWindowAt(start).addEncoded(buckets[:n]) {
			return false
		}
		numbers = buckets[n:]
	}
	return true
}

// addEncodedEvents adds the events in the form of wireSeries.Events and reports whether they are valid.
func (s *Series) addEncodedEvents(numbers []uint64) bool {
	if len(numbers)%numbersPerEvent != 0 || len(numbers) > maxEjectionEvents*numbersPerEvent {
		return false
	}
	for ; len(numbers) > 0; numbers = numbers[numbersPerEvent:] {
		if numbers[0] >= maxMinute || numbers[1] > uint64(model.CauseCrash) || numbers[2] >= maxCount {
			return false
		}
		s.addEvent(ejectionEvent{
			at: Minute(numbers[0]), cause: model.EjectionCause(numbers[1]),
			detectionTime: time.Duration(numbers[2]) * time.Millisecond,
		})
	}
	return true
}

// addEncoded adds pairs of a bucket index and a count and reports whether they are valid.
func (l *latencies) addEncoded(numbers []uint64) bool {
	for i := 0; i < len(numbers); i += 2 {
		if numbers[i] > lastBucket || numbers[i+1] >= maxCount {
			return false
		}
		l.add(uint16(numbers[i]), uint32(numbers[i+1]))
	}
	return true
}
