package burn

import (
	"bytes"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tarragongauge.example/tarragongauge/internal/entry"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// host returns a recorder whose clock is read from *at.
func host(at *time.Time) *Recorder {
	objective := model.DefaultDefaults().Objective
	return NewRecorder(func() time.Time { return *at }, func(model.ServiceName) model.Objective { return objective })
}

func record(r *Recorder, n int, rec entry.Record) {
	rec.Service, rec.Workspace = "stockbook", "shop-7"
	for range n {
		r.Record(rec)
	}
}

func merged(t *testing.T, hosts ...*Recorder) Set {
	t.Helper()
	all := Set{}
	for _, h := range hosts {
		data, err := h.Encode()
		require.NoError(t, err)
		set, err := Decode(data)
		require.NoError(t, err)
		all.Merge(set)
	}
	return all
}

// Guards against burn rates that are computed on one host's share of the
// traffic instead of the sum of all hosts.
func TestReportMergesHosts(t *testing.T) {
	at := time.UnixMilli(1_800_000_000_000)
	a, b := host(&at), host(&at)
	record(a, 980, entry.Record{Status: 200, Outcome: model.OutcomeRan, Latency: time.Millisecond})
	record(b, 20, entry.Record{Status: 502, Outcome: model.OutcomeUnknown})
	cfg := model.NewConfig(nil, nil)

	r := New(MinuteOf(at), cfg, merged(t, a, b), 2, nil)

	require.Len(t, r.Workspaces, 1)
	line := r.Workspaces[0]
	require.EqualValues(t, 1000, line.Total)
	require.InDelta(t, 0.98, line.SuccessShare, 1e-9)
	// 2 % failures against a budget of 0.1 % burn 20 times too fast.
	require.InDelta(t, 20, line.Availability[0].Short, 1e-6)
	require.True(t, r.Alert())
}

// Guards against an alert that stays on after a short outage has ended: the
// short window must clear it.
func TestAlertClearsAfterShortWindow(t *testing.T) {
	at := time.UnixMilli(1_800_000_000_000)
	h := host(&at)
	record(h, 100, entry.Record{Status: 500, Outcome: model.OutcomeRan})
	require.True(t, New(MinuteOf(at), model.NewConfig(nil, nil), merged(t, h), 1, nil).Alert())

	at = at.Add(40 * time.Minute)
	record(h, 100, entry.Record{Status: 200, Outcome: model.OutcomeRan})
	r := New(MinuteOf(at), model.NewConfig(nil, nil), merged(t, h), 1, nil)
	require.Greater(t, r.Workspaces[0].Availability[0].Long, 14.4)
	require.False(t, r.Alert())
}

// Guards against refusals of an over-limit workspace being shown as wrong ones.
func TestLimitedWithinRateNeedsDemandWithinRate(t *testing.T) {
	at := time.UnixMilli(1_800_000_000_000)
	h := host(&at)
	limited := entry.Record{Status: 429, Outcome: model.OutcomeNotRun, Limited: true}
	record(h, 10, limited)
	at = at.Add(time.Minute)
	record(h, 3001, limited)

	r := New(MinuteOf(at), model.NewConfig(nil, nil), merged(t, h), 1, nil)

	require.EqualValues(t, 3011, r.Workspaces[0].Limited)
	require.EqualValues(t, 10, r.Workspaces[0].LimitedInRate, "the default rate allows 3,000 a minute")
}

func TestFormats(t *testing.T) {
	at := time.UnixMilli(1_800_000_000_000)
	h := host(&at)
	record(h, 5, entry.Record{Status: 200, Outcome: model.OutcomeRan, Latency: 3 * time.Millisecond})
	r := New(MinuteOf(at), model.NewConfig(nil, nil), merged(t, h), 1, []model.HostID{"entry-9"})
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

func FuzzDecode(f *testing.F) {
	data, err := Encode(Set{{Service: "s"}: newSeries()})
	require.NoError(f, err)
	f.Add(data)
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = Decode(data)
	})
}
