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
	// maxSeries is the number of series of a host beyond which new workspaces of a
	// service are counted together as OtherWorkspaces.
	maxSeries = 4096
	// maxReported is the number of separate series that a reply to control contains.
	// The number is limited, since control merges the replies of all hosts. The other
	// workspaces of each service are reported together as OtherWorkspaces.
	maxReported = 256
)

// Recorder counts the requests and ejections of one entry host. It implements
// entry.Recorder and is safe for concurrent use.
type Recorder struct {
	now       func() time.Time
	objective func(model.ServiceName) model.Objective

	mu sync.Mutex
	// set is guarded by mu.
	set SeriesSet
	// lastSweep is the minute in which empty series were last removed. It is guarded by mu.
	lastSweep Minute
}

// NewRecorder returns an empty recorder. It calls objective for each answered
// request, so that a change of configuration takes effect immediately.
func NewRecorder(now func() time.Time, objective func(model.ServiceName) model.Objective) *Recorder {
	return &Recorder{now: now, objective: objective, set: SeriesSet{}}
}

// Record counts a request that has ended.
func (r *Recorder) Record(rec entry.Record) {
	cell := r.cell(rec)
	minute := MinuteOf(r.now())
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sweep(minute)
	series := r.series(SeriesID{Service: rec.Service, Workspace: rec.Workspace})
	series.addCell(minute, cell)
	if answered(rec) {
		series.addLatency(minute, rec.Latency)
	}
}

// series returns the series to count a request in, which is that of
// OtherWorkspaces for a new workspace once there are maxSeries. The caller holds mu.
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

// sweep removes the series whose counts are too old for every window. It does so
// at most once every coarseMinutes. The caller holds mu.
func (r *Recorder) sweep(now Minute) {
	if now-r.lastSweep < coarseMinutes {
		return
	}
	r.lastSweep = now
	for id, s := range r.set {
		s.compact(now)
		if s.isEmpty() {
			delete(r.set, id)
		}
	}
}

// cell returns the counts of a single request.
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

// answered reports whether the caller received a target's answer with a status below 500.
func answered(rec entry.Record) bool {
	return rec.Outcome == model.OutcomeRan && rec.Status < 500
}

// Encode returns the encoded counts for a BurnReply: the maxReported worst-served
// series by themselves, and the other workspaces of each service together.
func (r *Recorder) Encode() ([]byte, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Encode(r.set.summary(MinuteOf(r.now()), maxReported))
}

// summary returns the series that a report at a minute needs: the n worst-served
// series as separate series and the others merged into one series per service. The latencies of
// the last hour are merged into one window.
func (s SeriesSet) summary(now Minute, n int) SeriesSet {
	out := SeriesSet{}
	for i, id := range s.worstFirst(now) {
		from := s[id]
		if i >= n {
			id.Workspace = OtherWorkspaces
		}
		to := out.series(id)
		to.mergeCells(from)
		to.mergeEvents(from)
		to.latencyWindowAt(now - now%coarseMinutes).merge(from.lastHourLatencies(now))
	}
	return out
}

// worstFirst returns the identifiers of the series in descending order of the
// requests that failed, were slow or were limited in the longest window, then of
// all requests.
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
