package burn

import (
	"cmp"
	"slices"
	"time"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// maxVerdicts bounds the verdicts of a series. An owner of a service ejects a
// target of a large service some times an hour at most.
const maxVerdicts = 512

// verdict is an ejection, or with cause 0 the discovery that an earlier one was
// unconfirmed: its target returned to its full share without a further failure.
type verdict struct {
	at    Minute
	cause model.EjectionCause
	// after is the detection time, from the first outcome that counted against the target.
	after time.Duration
}

// unconfirmed is the cause of a verdict that takes an ejection back.
const unconfirmed model.EjectionCause = 0

// Ejections sums up the verdicts on the targets of a service in the last 6 hours.
type Ejections struct {
	Total int
	// ByCause counts the ejections by cause.
	ByCause map[model.EjectionCause]int
	// Unconfirmed counts ejections whose target returned to its full share
	// without a further failure. It is the nearest observable figure to the
	// number of false ejections.
	Unconfirmed int
	// Median and Worst are detection times, or 0 without an ejection.
	Median time.Duration
	Worst  time.Duration
}

// RecordEjection counts an ejection that this host, as the owner of a service, has decided.
func (r *Recorder) RecordEjection(service model.ServiceName, cause model.EjectionCause, after time.Duration) {
	r.judge(service, verdict{cause: cause, after: after})
}

// RecordUnconfirmedEjection counts an ejection that turned out to be unconfirmed.
func (r *Recorder) RecordUnconfirmedEjection(service model.ServiceName) {
	r.judge(service, verdict{cause: unconfirmed})
}

func (r *Recorder) judge(service model.ServiceName, v verdict) {
	v.at = MinuteOf(r.now())
	r.mu.Lock()
	defer r.mu.Unlock()
	r.set.series(SeriesID{Service: service}).judge(v)
}

// judge adds a verdict in the order of time and drops the oldest beyond the bound.
func (s *Series) judge(v verdict) {
	i, _ := slices.BinarySearchFunc(s.verdicts, v.at+1, func(o verdict, m Minute) int { return cmp.Compare(o.at, m) })
	s.verdicts = slices.Insert(s.verdicts, i, v)
	if len(s.verdicts) > maxVerdicts {
		s.verdicts = slices.Delete(s.verdicts, 0, len(s.verdicts)-maxVerdicts)
	}
}

func (s *Series) mergeVerdicts(o *Series) {
	for _, v := range o.verdicts {
		s.judge(v)
	}
}

// ejections sums up the verdicts of the longest window.
func (s *Series) ejections(now Minute) Ejections {
	sum := Ejections{ByCause: map[model.EjectionCause]int{}}
	var times []time.Duration
	for _, v := range s.verdicts {
		switch {
		case v.at <= now-CellCount || v.at > now:
		case v.cause == unconfirmed:
			sum.Unconfirmed++
		default:
			sum.Total++
			sum.ByCause[v.cause]++
			times = append(times, v.after)
		}
	}
	if len(times) > 0 {
		slices.Sort(times)
		sum.Median, sum.Worst = times[(len(times)-1)/2], times[len(times)-1]
	}
	return sum
}
