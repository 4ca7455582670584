package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	hdrhistogram "github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// The latency histogram covers 1 µs to 10 minutes with three significant digits.
	minLatencyMicros  = 1
	maxLatencyMicros  = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// Summary is the result of one stream, or of all streams together.
type Summary struct {
	Workspace string `json:"workspace"`
	Sent      int    `json:"sent"`
	// Rate is the number of requests sent per second during the run.
	Rate float64 `json:"rate"`
	// Outcomes counts answers by X-Outcome; answers without it are counted as "none".
	Outcomes map[string]int `json:"outcomes"`
	// Statuses counts answers by HTTP status.
	Statuses map[int]int `json:"statuses"`
	// Errors counts requests without a complete answer.
	Errors int `json:"errors"`
	// FailedShare is the share of requests that got no complete answer or one of
	// status 400 or above.
	FailedShare float64 `json:"failed_share"`
	Latency     Latency `json:"latency_ms"`
}

// Latency holds the mean and percentiles of the latency in milliseconds, measured
// from the planned time of a request to the end of its answer.
type Latency struct {
	Mean float64 `json:"mean"`
	P50  float64 `json:"p50"`
	P90  float64 `json:"p90"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p999"`
	Max  float64 `json:"max"`
}

// Report is the result of a run.
type Report struct {
	Seconds float64   `json:"seconds"`
	Total   Summary   `json:"total"`
	Streams []Summary `json:"streams"`
}

// WriteText writes the report as a text table, one line for each stream and one
// for the total.
func (r Report) WriteText(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "workspace\tsent\tper s\tfailed\terrors\tp50 ms\tp99 ms\tp99.9 ms\tmax ms\toutcomes\tstatuses") //nolint:errcheck // Flush reports the error.
	for _, s := range append(slices.Clone(r.Streams), r.Total) {
		fmt.Fprintf(t, "%s\t%d\t%.1f\t%.3f %%\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t%s\t%s\n", //nolint:errcheck // Flush reports the error.
			s.Workspace, s.Sent, s.Rate, 100*s.FailedShare, s.Errors, s.Latency.P50, s.Latency.P99, s.Latency.P999, s.Latency.Max,
			formatCounts(s.Outcomes), formatCounts(s.Statuses))
	}
	return t.Flush()
}

// formatCounts lists the counts as key:count, sorted by key.
func formatCounts[K string | int](m map[K]int) string {
	var parts []string
	for _, k := range slices.Sorted(maps.Keys(m)) {
		parts = append(parts, fmt.Sprintf("%v:%d", k, m[k]))
	}
	return strings.Join(parts, " ")
}

// tally accumulates the results of one stream. Its method add is safe for concurrent use.
type tally struct {
	mu        sync.Mutex
	sent      int
	errors    int
	succeeded int
	outcomes  map[string]int
	statuses  map[int]int
	hist      *hdrhistogram.Histogram
}

func newTally() *tally {
	return &tally{
		outcomes: map[string]int{}, statuses: map[int]int{},
		hist: hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantDigits),
	}
}

// result is the result of one request.
type result struct {
	status  int
	outcome string
	latency time.Duration
	err     error
}

func (t *tally) add(r result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent++
	t.hist.RecordValue(min(max(minLatencyMicros, r.latency.Microseconds()), maxLatencyMicros)) //nolint:errcheck // The value is within the range.
	if r.err != nil {
		t.errors++
		return
	}
	t.outcomes[r.outcome]++
	t.statuses[r.status]++
	if r.status < 400 {
		t.succeeded++
	}
}

// merge adds the results of another stream that has ended. It takes no lock.
func (t *tally) merge(o *tally) {
	t.sent += o.sent
	t.errors += o.errors
	t.succeeded += o.succeeded
	for k, n := range o.outcomes {
		t.outcomes[k] += n
	}
	for k, n := range o.statuses {
		t.statuses[k] += n
	}
	t.hist.Merge(o.hist)
}

// summary returns the results as those of a workspace after a run of the given length.
func (t *tally) summary(name string, elapsed time.Duration) Summary {
	s := Summary{Workspace: name, Sent: t.sent, Errors: t.errors, Outcomes: t.outcomes, Statuses: t.statuses}
	if t.sent == 0 {
		return s
	}
	s.Rate = float64(t.sent) / elapsed.Seconds()
	s.FailedShare = 1 - float64(t.succeeded)/float64(t.sent)
	ms := func(percentile float64) float64 { return float64(t.hist.ValueAtQuantile(percentile)) / 1000 }
	s.Latency = Latency{Mean: t.hist.Mean() / 1000, P50: ms(50), P90: ms(90), P99: ms(99), P999: ms(99.9), Max: float64(t.hist.Max()) / 1000}
	return s
}
