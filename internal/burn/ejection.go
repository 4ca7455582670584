package burn

import (
	"cmp"
	"slices"
	"time"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// maxEjectionEvents is the largest number of ejection events in a series. The
// owner of a large service ejects at most a few targets per hour.
const maxEjectionEvents = 512

// ejectionEvent records the ejection of a target. With the cause unconfirmed, it
// records instead that an earlier ejection was unconfirmed: the target returned to
// its full share without a further failure.
type ejectionEvent struct {
	at    Minute
	cause model.EjectionCause
	// detectionTime is the time from the first outcome that counted against the target to its ejection.
	detectionTime time.Duration
}

// unconfirmed is the cause of an event that marks an earlier ejection as unconfirmed.
const unconfirmed model.EjectionCause = 0

// Ejections summarizes the ejections of the targets of a service in the last 6 hours.
type Ejections struct {
	// Total is the number of ejections, whether unconfirmed or not.
	Total int
	// ByCause is the number of ejections by cause.
	ByCause map[model.EjectionCause]int
	// Unconfirmed is the number of ejections whose target returned to its full
	// share without a further failure. No observable figure is closer to the number
	// of false ejections.
	Unconfirmed int
	// Median and Worst are the median and the longest detection time, or 0 without an ejection.
	Median time.Duration
	Worst  time.Duration
}

// RecordEjection counts an ejection that this host decided as the owner of a
// service. The detection time is the time from the first outcome that counted
// against the target.
func (r *Recorder) RecordEjection(service model.ServiceName, cause model.EjectionCause, detectionTime time.Duration) {
	r.recordEvent(service, ejectionEvent{cause: cause, detectionTime: detectionTime})
}

// RecordUnconfirmedEjection counts an earlier ejection as unconfirmed, since its
// target returned to its full share without a further failure.
func (r *Recorder) RecordUnconfirmedEjection(service model.ServiceName) {
	r.recordEvent(service, ejectionEvent{cause: unconfirmed})
}

func (r *Recorder) recordEvent(service model.ServiceName, v ejectionEvent) {
	v.at = MinuteOf(r.now())
	r.mu.Lock()
	defer r.mu.Unlock()
	r.set.series(SeriesID{Service: service}).addEvent(v)
}

// addEvent inserts an event in order of time and drops the oldest beyond maxEjectionEvents.
func (s *Series) addEvent(v ejectionEvent) {
	i, _ := slices.BinarySearchFunc(s.events, v.at+1, func(o ejectionEvent, m Minute) int { return cmp.Compare(o.at, m) })
	s.events = slices.Insert(s.events, i, v)
	if len(s.events) > maxEjectionEvents {
		s.events = slices.Delete(s.events, 0, len(s.events)-maxEjectionEvents)
	}
}

func (s *Series) mergeEvents(o *Series) {
	for _, v := range o.events {
		s.addEvent(v)
	}
}

// ejections summarizes the events of the last CellCount minutes up to and including now.
func (s *Series) ejections(now Minute) Ejections {
	sum := Ejections{ByCause: map[model.EjectionCause]int{}}
	var times []time.Duration
	for _, v := range s.events {
		switch {
		case v.at <= now-CellCount || v.at > now:
		case v.cause == unconfirmed:
			sum.Unconfirmed++
		default:
			sum.Total++
			sum.ByCause[v.cause]++
			times = append(times, v.detectionTime)
		}
	}
	if len(times) > 0 {
		slices.Sort(times)
		sum.Median, sum.Worst = times[(len(times)-1)/2], times[len(times)-1]
	}
	return sum
}
