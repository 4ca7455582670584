package burn

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"tarragongauge.example/tarragongauge/internal/entry"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// BenchmarkRecorderSize measures the memory of the counters of one entry host and
// the size of its reply to control, after 6 hours at 85 requests per second that
// are spread unevenly over the workspaces. docs/CAPACITY.md describes a fleet with
// this load.
func BenchmarkRecorderSize(b *testing.B) {
	for _, workspaces := range []int{24, 300, 3000} {
		b.Run(fmt.Sprintf("series=%d", workspaces), func(b *testing.B) {
			for b.Loop() {
				before := heapBytes()
				r := recordSixHours(workspaces, 85)
				used := heapBytes() - before
				data, err := r.Encode()
				if err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(float64(used)/float64(workspaces), "heap-B/series")
				b.ReportMetric(float64(used)/1e6, "heap-MB")
				b.ReportMetric(float64(len(data))/1e3, "reply-KB")
			}
		})
	}
}

// recordSixHours returns a recorder that has counted six hours of requests at a rate per second.
func recordSixHours(workspaces, perSecond int) *Recorder {
	rng := rand.New(rand.NewPCG(1, 2))
	at := time.UnixMilli(1_800_000_000_000)
	objective := model.InitialDefaults().Objective
	r := NewRecorder(func() time.Time { return at }, func(model.ServiceName) model.Objective { return objective })
	names := make([]model.WorkspaceID, workspaces)
	for i := range names {
		names[i] = model.WorkspaceID(fmt.Sprintf("workspace-%06d", i))
	}
	for range 6 * 3600 {
		at = at.Add(time.Second)
		for range perSecond {
			// A squared uniform number makes a few workspaces large.
			x := rng.Float64()
			r.Record(entry.Record{
				Service: "stockbook", Workspace: names[int(x*x*float64(workspaces))], Status: 200,
				Outcome: model.OutcomeRan, Latency: time.Duration(float64(20*time.Millisecond) * rng.ExpFloat64()),
			})
		}
	}
	return r
}

// heapBytes returns the size of the live heap after a garbage collection.
func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// BenchmarkRecord measures the time and the allocations of recording one request.
func BenchmarkRecord(b *testing.B) {
	r := NewRecorder(time.Now, func(model.ServiceName) model.Objective { return model.InitialDefaults().Objective })
	rec := entry.Record{Service: "stockbook", Workspace: "shop-7", Status: 200, Outcome: model.OutcomeRan, Latency: 20 * time.Millisecond}
	b.ReportAllocs()
	for b.Loop() {
		r.Record(rec)
	}
}
