package burn

import (
	"sync"
	"time"

	"tarragongauge.example/tarragongauge/internal/entry"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// Recorder counts the requests of one entry host. It implements entry.Recorder.
type Recorder struct {
	now       func() time.Time
	objective func(model.ServiceName) model.Objective

	mu sync.Mutex
	// set is guarded by mu.
	set Set
}

// NewRecorder returns an empty recorder. The objective of a service is looked
// up for each request, so that a change of configuration takes effect at once.
func NewRecorder(now func() time.Time, objective func(model.ServiceName) model.Objective) *Recorder {
	return &Recorder{now: now, objective: objective, set: Set{}}
}

// Record counts one ended request.
func (r *Recorder) Record(rec entry.Record) {
	cell := r.cell(rec)
	minute := MinuteOf(r.now())
	r.mu.Lock()
	defer r.mu.Unlock()
	series := r.set.series(SeriesID{Service: rec.Service, Workspace: rec.Workspace})
	series.add(minute, cell)
	if answered(rec) {
		series.observe(rec.Latency)
	}
}

func (r *Recorder) cell(rec entry.Record) Cell {
	switch {
	case rec.Limited:
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

// Encode returns the counts for a BurnReply.
func (r *Recorder) Encode() ([]byte, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Encode(r.set)
}
