package burn

import (
	"errors"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// wireSeries is the encoded form of a series. Cells and Windows are flat lists
// of numbers, since CBOR writes small ones in a byte or two.
type wireSeries struct {
	_         struct{} `cbor:",toarray"`
	Service   string
	Workspace string
	// Cells has cellNumbers for each cell; starts are relative to the cell before.
	Cells []uint64
	// Windows has for each window its start, the number of buckets, and for each bucket its number and count.
	Windows []uint64
	// Verdicts has verdictNumbers for each verdict: minute, cause and detection time in milliseconds.
	Verdicts []uint64
}

const (
	cellNumbers    = 6
	verdictNumbers = 3
)

var errCounters = errors.New("service-level counters are malformed; run the same version of tarragongauge everywhere")

// Encode returns a set as CBOR.
func Encode(s SeriesSet) ([]byte, error) {
	out := make([]wireSeries, 0, len(s))
	for _, id := range s.IDs() {
		w := wireSeries{Service: string(id.Service), Workspace: string(id.Workspace)}
		w.Cells = appendCells(w.Cells, s[id].cells)
		w.Windows = appendWindows(w.Windows, s[id].windows)
		for _, v := range s[id].verdicts {
			w.Verdicts = append(w.Verdicts, uint64(v.at), uint64(v.cause), uint64(max(0, v.after.Milliseconds())))
		}
		out = append(out, w)
	}
	data, err := cbor.Marshal(out)
	return data, eris.Wrap(err, "encode service-level counters")
}

func appendCells(to []uint64, cells []timedCell) []uint64 {
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

// Decode returns the set in CBOR data.
func Decode(data []byte) (SeriesSet, error) {
	var in []wireSeries
	if err := cbor.Unmarshal(data, &in); err != nil {
		return nil, eris.Wrap(err, "decode service-level counters")
	}
	set := SeriesSet{}
	for _, w := range in {
		s := set.series(SeriesID{Service: model.ServiceName(w.Service), Workspace: model.WorkspaceID(w.Workspace)})
		if !s.takeCells(w.Cells) || !s.takeWindows(w.Windows) || !s.takeVerdicts(w.Verdicts) {
			return nil, eris.Wrapf(errCounters, "decode the counters of service %q", w.Service)
		}
	}
	return set, nil
}

// Bounds of what is decoded.
const (
	maxMinute  = 1 << 31
	maxCount   = 1 << 32
	maxCells   = CellCount + coarseMinutes
	maxWindows = latencyMinutes
)

func (s *Series) takeCells(numbers []uint64) bool {
	if len(numbers)%cellNumbers != 0 || len(numbers) > maxCells*cellNumbers {
		return false
	}
	var start uint64
	for len(numbers) > 0 {
		n := numbers[:cellNumbers]
		start += n[0]
		if n[0] >= maxMinute || start >= maxMinute || tooLarge(n[1:]) {
			return false
		}
		s.add(Minute(start), Cell{Total: n[1], Failed: n[2], Slow: n[3], Limited: n[4], NoOwner: n[5]})
		numbers = numbers[cellNumbers:]
	}
	return true
}

func tooLarge(counts []uint64) bool {
	for _, n := range counts {
		if n >= maxCount {
			return true
		}
	}
	return false
}

func (s *Series) takeWindows(numbers []uint64) bool {
	for len(numbers) > 0 {
		if len(numbers) < 2 || numbers[0] >= maxMinute || numbers[1] > lastBucket+1 || len(s.windows) == maxWindows {
			return false
		}
		start, buckets := Minute(numbers[0]), numbers[2:]
		n := int(numbers[1]) * 2
		if len(buckets) < n || !s.window(start).take(buckets[:n]) {
			return false
		}
		numbers = buckets[n:]
	}
	return true
}

func (s *Series) takeVerdicts(numbers []uint64) bool {
	if len(numbers)%verdictNumbers != 0 || len(numbers) > maxVerdicts*verdictNumbers {
		return false
	}
	for ; len(numbers) > 0; numbers = numbers[verdictNumbers:] {
		if numbers[0] >= maxMinute || numbers[1] > uint64(model.CauseCrash) || numbers[2] >= maxCount {
			return false
		}
		s.judge(verdict{
			at: Minute(numbers[0]), cause: model.EjectionCause(numbers[1]),
			after: time.Duration(numbers[2]) * time.Millisecond,
		})
	}
	return true
}

func (l *latencies) take(numbers []uint64) bool {
	for i := 0; i < len(numbers); i += 2 {
		if numbers[i] > lastBucket || numbers[i+1] >= maxCount {
			return false
		}
		l.add(uint16(numbers[i]), uint32(numbers[i+1]))
	}
	return true
}
