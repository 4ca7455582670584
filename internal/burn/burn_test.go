package burn

import (
	"bytes"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"tarragongauge.example/tarragongauge/internal/entry"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// newTestRecorder returns a recorder with the default objective, whose clock returns *at.
func newTestRecorder(at *time.Time) *Recorder {
	objective := model.InitialDefaults().Objective
	return NewRecorder(func() time.Time { return *at }, func(model.ServiceName) model.Objective { return objective })
}

// recordRequests records n requests of the workspace shop-7 of the service stockbook.
func recordRequests(r *Recorder, n int, rec entry.Record) {
	rec.Service, rec.Workspace = "stockbook", "shop-7"
	for range n {
		r.Record(rec)
	}
}

// mergeHosts returns the merged series of the hosts after encoding and decoding them.
func mergeHosts(t *testing.T, hosts ...*Recorder) SeriesSet {
	t.Helper()
	all := SeriesSet{}
	for _, h := range hosts {
		data, err := h.Encode()
		require.NoError(t, err)
		set, err := Decode(data)
		require.NoError(t, err)
		all.Merge(set)
	}
	return all
}

// Guards against burn rates that are computed from the traffic of a single host
// instead of the sum over all hosts.
func TestReportMergesHosts(t *testing.T) {
	at := time.UnixMilli(1_800_000_000_000)
	a, b := newTestRecorder(&at), newTestRecorder(&at)
	recordRequests(a, 980, entry.Record{Status: 200, Outcome: model.OutcomeRan, Latency: time.Millisecond})
	recordRequests(b, 20, entry.Record{Status: 502, Outcome: model.OutcomeUnknown})
	cfg := model.NewConfig(nil, nil)

	r := NewReport(MinuteOf(at), cfg, mergeHosts(t, a, b), 2, nil)

	require.Len(t, r.Workspaces, 1)
	line := r.Workspaces[0]
	require.EqualValues(t, 1000, line.Total)
	require.InDelta(t, 0.98, line.SuccessShare, 1e-9)
	// 2 % failures against a budget of 0.1 % burn 20 times too fast.
	require.InDelta(t, 20, line.Availability[0].Short, 1e-6)
	require.True(t, r.Alert())
}

// Guards against an alert that continues after a short outage has ended, while the
// long window still contains it. The short window must end the alert.
func TestAlertClearsAfterShortWindow(t *testing.T) {
	at := time.UnixMilli(1_800_000_000_000)
	h := newTestRecorder(&at)
	recordRequests(h, 100, entry.Record{Status: 500, Outcome: model.OutcomeRan})
	require.True(t, NewReport(MinuteOf(at), model.NewConfig(nil, nil), mergeHosts(t, h), 1, nil).Alert())

	at = at.Add(40 * time.Minute)
	recordRequests(h, 100, entry.Record{Status: 200, Outcome: model.OutcomeRan})
	r := NewReport(MinuteOf(at), model.NewConfig(nil, nil), mergeHosts(t, h), 1, nil)
	require.Greater(t, r.Workspaces[0].Availability[0].Long, 14.4)
	require.False(t, r.Alert())
}

// Guards against counting the refusals of a workspace above its rate limit as
// wrong refusals. A refusal is wrong only in a minute whose demand was within the rate.
func TestLimitedWithinRateNeedsDemandWithinRate(t *testing.T) {
	at := time.UnixMilli(1_800_000_000_000)
	h := newTestRecorder(&at)
	limited := entry.Record{Status: 429, Outcome: model.OutcomeNotRun, RateLimited: true}
	recordRequests(h, 10, limited)
	at = at.Add(time.Minute)
	recordRequests(h, 3001, limited)

	r := NewReport(MinuteOf(at), model.NewConfig(nil, nil), mergeHosts(t, h), 1, nil)

	require.EqualValues(t, 3011, r.Workspaces[0].Limited)
	require.EqualValues(t, 10, r.Workspaces[0].LimitedInRate, "the default rate allows 3,000 a minute")
}

// Guards against an output format that omits the counts, the alert state or the
// hosts that did not reply.
func TestReportFormats(t *testing.T) {
	at := time.UnixMilli(1_800_000_000_000)
	h := newTestRecorder(&at)
	recordRequests(h, 5, entry.Record{Status: 200, Outcome: model.OutcomeRan, Latency: 3 * time.Millisecond})
	r := NewReport(MinuteOf(at), model.NewConfig(nil, nil), mergeHosts(t, h), 1, []model.HostID{"entry-9"})
	tests := []struct {
		name  string
		write func(*bytes.Buffer) error
		want  []string
	}{
		{"text", func(b *bytes.Buffer) error { return WriteText(b, r) }, []string{"stockbook", "shop-7", "missing: host entry-9"}},
		{"json", func(b *bytes.Buffer) error { return WriteJSON(b, r) }, []string{`"requests_1h": 5`, `"entry-9"`}},
		{"html", func(b *bytes.Buffer) error { return WriteHTML(b, r) }, []string{"<svg", "entry-9", "No alert"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var buf bytes.Buffer
			require.NoError(t, tt.write(&buf))
			for _, want := range tt.want {
				require.Contains(t, buf.String(), want)
			}
		})
	}
}

// Guards against counts that are lost or counted twice when old cells are
// compacted, encoded and merged. The plain sum over all requests is the reference.
func TestWindowsAgreeWithPlainSums(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base := time.UnixMilli(1_800_000_000_000)
		at := base
		hosts := []*Recorder{newTestRecorder(&at), newTestRecorder(&at)}
		var minutes []Minute
		for range rapid.IntRange(1, 60).Draw(t, "requests") {
			at = at.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "pause")) * time.Minute)
			recordRequests(hosts[rapid.IntRange(0, 1).Draw(t, "host")], 1, entry.Record{Status: 200, Outcome: model.OutcomeRan, Latency: time.Millisecond})
			minutes = append(minutes, MinuteOf(at))
		}
		now := MinuteOf(at)
		set := SeriesSet{}
		for _, h := range hosts {
			data, err := h.Encode()
			require.NoError(t, err)
			one, err := Decode(data)
			require.NoError(t, err)
			set.Merge(one)
		}
		count := func(length Minute) (n uint64) {
			for _, m := range minutes {
				if m > now-length {
					n++
				}
			}
			return n
		}
		s := set[SeriesID{Service: "stockbook", Workspace: "shop-7"}]
		for _, length := range []Minute{5, 30, 60} {
			require.Equal(t, count(length), s.SumWindow(now, time.Duration(length)*CellLength).Total, length)
		}
		whole := s.SumWindow(now, CellCount*CellLength).Total
		require.LessOrEqual(t, whole, count(CellCount))
		require.GreaterOrEqual(t, whole, count(CellCount-coarseMinutes))
	})
}

// Guards against latencies that are off by more than the width of a bucket, and
// against quantiles that include latencies older than about an hour.
func TestLatencyQuantilesAreAccurateAndRecent(t *testing.T) {
	for _, d := range []time.Duration{0, 31 * time.Microsecond, 64 * time.Microsecond, 12345 * time.Microsecond, 3 * time.Second, 10 * time.Minute} {
		require.InDelta(t, float64(d), float64(bucketMiddle(bucketOf(d))), float64(d)/50, d)
	}
	require.LessOrEqual(t, bucketOf(time.Hour), uint16(lastBucket))
	at := time.UnixMilli(1_800_000_000_000)
	h := newTestRecorder(&at)
	recordRequests(h, 100, entry.Record{Status: 200, Outcome: model.OutcomeRan, Latency: time.Second})
	at = at.Add(2 * time.Hour)
	recordRequests(h, 99, entry.Record{Status: 200, Outcome: model.OutcomeRan, Latency: time.Millisecond})
	recordRequests(h, 1, entry.Record{Status: 200, Outcome: model.OutcomeRan, Latency: 2 * time.Second})
	line := NewReport(MinuteOf(at), model.NewConfig(nil, nil), mergeHosts(t, h), 1, nil).Workspaces[0]
	require.InDelta(t, float64(time.Millisecond), float64(line.P50), float64(time.Millisecond)/50)
	require.InDelta(t, float64(time.Millisecond), float64(line.P99), float64(time.Millisecond)/50)
	require.InDelta(t, float64(2*time.Second), float64(mergeHosts(t, h)[SeriesID{"stockbook", "shop-7"}].LatencyQuantile(MinuteOf(at), 1)), float64(2*time.Second)/50)
}

// Guards against memory that grows with every workspace ever seen, and against a
// reply to control that omits one of the worst-served workspaces or loses counts.
func TestManyWorkspacesKeepMemoryBoundedAndWorstReported(t *testing.T) {
	at := time.UnixMilli(1_800_000_000_000)
	h := newTestRecorder(&at)
	for i := range 2 * maxSeries {
		id := model.WorkspaceID(fmt.Sprintf("w%d", i))
		h.Record(entry.Record{Service: "stockbook", Workspace: id, Status: 200, Outcome: model.OutcomeRan})
	}
	h.Record(entry.Record{Service: "stockbook", Workspace: "w7", Status: 502, Outcome: model.OutcomeUnknown})
	require.LessOrEqual(t, len(h.set), maxSeries+1)
	r := NewReport(MinuteOf(at), model.NewConfig(nil, nil), mergeHosts(t, h), 1, nil)
	require.Equal(t, maxReported, len(r.Workspaces), "the worst-served one, the largest, and the others together")
	require.Equal(t, model.WorkspaceID("w7"), r.Workspaces[0].ID.Workspace)
	require.EqualValues(t, 2*maxSeries+1, r.Services[0].Total)
	at = at.Add(7 * time.Hour)
	recordRequests(h, 1, entry.Record{Status: 200, Outcome: model.OutcomeRan})
	require.Equal(t, 1, len(h.set))
}

// Guards against ejections that are lost when a service moves to another owner, and
// against a detection time or an unconfirmed ejection that is missing from a report.
func TestEjectionsOfSeveralOwnersAreMerged(t *testing.T) {
	at := time.UnixMilli(1_800_000_000_000)
	a, b := newTestRecorder(&at), newTestRecorder(&at)
	a.RecordEjection("stockbook", model.CauseSlow, 9*time.Second)
	at = at.Add(6 * time.Hour)
	a.RecordEjection("stockbook", model.CauseSlow, 700*time.Millisecond)
	a.RecordUnconfirmedEjection("stockbook")
	b.RecordEjection("stockbook", model.CauseCrash, 0)
	b.RecordEjection("stockbook", model.CauseErrors, 2*time.Second)
	r := NewReport(MinuteOf(at), model.NewConfig(nil, nil), mergeHosts(t, a, b), 2, nil)
	require.Empty(t, r.Workspaces)
	require.Equal(t, Ejections{
		Total: 3, ByCause: map[model.EjectionCause]int{model.CauseSlow: 1, model.CauseCrash: 1, model.CauseErrors: 1},
		Unconfirmed: 1, Median: 700 * time.Millisecond, Worst: 2 * time.Second,
	}, r.Services[0].Ejections)
	for form, write := range map[string]func(io.Writer, Report) error{
		"errors 1, slow 1, crash 1":  WriteText,
		`"detection_worst_ms": 2000`: WriteJSON,
		"<td>700ms</td><td>2s</td>":  WriteHTML,
	} {
		var buf bytes.Buffer
		require.NoError(t, write(&buf, r))
		require.Contains(t, buf.String(), form)
	}
}

// Guards against a panic while decoding malformed counters.
func FuzzDecode(f *testing.F) {
	data, err := Encode(SeriesSet{{Service: "s"}: newSeries()})
	require.NoError(f, err)
	f.Add(data)
	at := time.UnixMilli(1_800_000_000_000)
	h := newTestRecorder(&at)
	recordRequests(h, 3, entry.Record{Status: 200, Outcome: model.OutcomeRan, Latency: time.Second})
	h.RecordEjection("stockbook", model.CauseSlow, time.Second)
	data, err = h.Encode()
	require.NoError(f, err)
	f.Add(data)
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = Decode(data)
	})
}
