package burn

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"tarragongauge.example/tarragongauge/internal/entry"
	"tarragongauge.example/tarragongauge/pkg/model"
)

const (
	// maxSeries bounds the series of a host; further workspaces are counted together.
	maxSeries = 4096
	// maxReported bounds the series of a reply to control, which merges those of
	// all hosts; the other workspaces of each service are reported together.
	maxReported = 256
)

// Recorder counts the requests of one entry host. It implements entry.Recorder.
type Recorder struct {
	now       func() time.Time
	objective func(model.ServiceName) model.Objective

	mu sync.Mutex
	// set is guarded by mu.
	set SeriesSet
	// swept is the minute in which unused series were last dropped.
	swept Minute
}

// NewRecorder returns an empty recorder. The objective of a service is looked
// up for each request, so that a change of configuration takes effect at once.
func NewRecorder(now func() time.Time, objective func(model.ServiceName) model.Objective) *Recorder {
	return &Recorder{now: now, objective: objective, set: SeriesSet{}}
}

// Record counts one ended request.
func (r *Recorder) Record(rec entry.Record) {
	cell := r.cell(rec)
	minute := MinuteOf(r.now())
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sweep(minute)
	series := r.series(SeriesID{Service: rec.Service, Workspace: rec.Workspace})
	series.add(minute, cell)
	if answered(rec) {
		series.observe(minute, rec.Latency)
	}
}

func (r *Recorder) series(id SeriesID) *Series {
	s, ok := r.set[id]
	if ok {
		return s
	}
	if len(r.set) >= maxSeries {
		id.Workspace = OtherWorkspaces
	}
	return r.set.series(id)
}

// sweep drops the series that no window reaches, once each coarseMinutes.
func (r *Recorder) sweep(now Minute) {
	if now-r.swept < coarseMinutes {
		return
	}
	r.swept = now
	for id, s := range r.set {
		s.age(now)
		if s.empty() {
			delete(r.set, id)
		}
	}
}

func (r *Recorder) cell(rec entry.Record) Cell {
	switch {
	case rec.RateLimited:
		return Cell{Limited: 1}
	case rec.NoOwner:
		return Cell{Total: 1, Failed: 1, NoOwner: 1}
	case !answered(rec):
		return Cell{Total: 1, Failed: 1}
	case rec.Latency > r.objective(rec.Service).Latency:
		return Cell{Total: 1, Slow: 1}
	default:
		return Cell{Total: 1}
	}
}

// answered reports whether a target's answer below 500 reached the caller.
func answered(rec entry.Record) bool {
	return rec.Outcome == model.OutcomeRan && rec.Status < 500
}

// Encode returns the counts for a BurnReply: the worst-served workspaces by
// themselves, the others of each service together.
func (r *Recorder) Encode() ([]byte, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Encode(r.set.summary(MinuteOf(r.now()), maxReported))
}

// summary returns what a report needs at a minute: the n worst-served series by
// themselves and the others merged into one for each service, with the
// latencies of the last hour in one window.
func (s SeriesSet) summary(now Minute, n int) SeriesSet {
	out := SeriesSet{}
	for i, id := range s.worstFirst(now) {
		from := s[id]
		if i >= n {
			id.Workspace = OtherWorkspaces
		}
		to := out.series(id)
		to.mergeCells(from)
		to.mergeVerdicts(from)
		to.window(now - now%coarseMinutes).merge(from.lastHour(now))
	}
	return out
}

// worstFirst orders series by the requests that failed, were slow or were
// limited in the longest window, then by all requests.
func (s SeriesSet) worstFirst(now Minute) []SeriesID {
	ids := s.IDs()
	sums := make(map[SeriesID]Cell, len(ids))
	for _, id := range ids {
		sums[id] = s[id].SumWindow(now, CellCount*CellLength)
	}
	bad := func(c Cell) uint64 { return c.Failed + c.Slow + c.Limited }
	slices.SortStableFunc(ids, func(a, b SeriesID) int {
		x, y := sums[a], sums[b]
		return cmp.Or(cmp.Compare(bad(y), bad(x)), cmp.Compare(y.Total, x.Total))
	})
	return ids
}
