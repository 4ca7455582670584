package load_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"tarragongauge.example/tarragongauge/internal/load"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Guards against coordinated omission: a stall of the service must increase the
// latency of all requests planned during the stall.
func TestLatencyCountsFromThePlannedTime(t *testing.T) {
	busy := make(chan struct{}, 1)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		busy <- struct{}{}
		defer func() { <-busy }()
		time.Sleep(10 * time.Millisecond) // 100 requests per second at most
		w.Header().Set("X-Outcome", "ran")
	}))
	defer srv.Close()
	rep, err := load.Run(context.Background(), load.Plan{
		URLs: []string{srv.URL}, Duration: 300 * time.Millisecond, Timeout: 10 * time.Second, Connections: 2,
		Streams: []load.Stream{{Workspace: "a", Rate: 200, Path: "/x"}},
	})
	require.NoError(t, err)
	require.Equal(t, 60, rep.Total.Sent)
	require.Equal(t, map[string]int{"ran": 60}, rep.Total.Outcomes)
	// 60 requests of 10 ms take at least 600 ms, but the last is planned before 300 ms.
	require.Greater(t, rep.Total.Latency.Max, 250.0)
}

// Guards against results that are counted for the wrong workspace, against
// outcomes and errors that are not counted, and against missing keys.
func TestCountsByWorkspace(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.Header.Get("Authorization") {
		case "Bearer good":
			w.Header().Set("X-Outcome", "ran")
		case "Bearer over":
			w.Header().Set("X-Outcome", "not_run")
			w.WriteHeader(http.StatusTooManyRequests)
		default:
			if r.Header.Get("Idempotency-Key") == "" {
				t.Error("an order without an order key")
			}
			panic(http.ErrAbortHandler)
		}
	}))
	defer srv.Close()
	plan := load.Plan{
		URLs: []string{srv.URL}, Duration: 100 * time.Millisecond, Timeout: time.Second, Connections: 10, Poisson: true, Seed: 3,
		Streams: []load.Stream{
			{Workspace: "a", Key: "good", Rate: 200, Path: "/x"},
			{Workspace: "b", Key: "over", Rate: 300, Path: "/x"},
			{Workspace: "c", Key: "bad", Rate: 100, Method: "POST", Path: "/x", OrderKeys: true, Body: []byte("b")},
		},
	}
	rep, err := load.Run(context.Background(), plan)
	require.NoError(t, err)
	a, b, c := rep.Streams[0], rep.Streams[1], rep.Streams[2]
	require.Equal(t, a.Sent, a.Outcomes["ran"])
	require.Equal(t, b.Sent, b.Outcomes["not_run"])
	require.Equal(t, b.Sent, b.Statuses[429])
	require.Equal(t, c.Sent, c.Errors)
	require.Equal(t, a.Sent+b.Sent+c.Sent, rep.Total.Sent)
	require.Equal(t, []float64{0, 1, 1}, []float64{a.FailedShare, b.FailedShare, c.FailedShare})
	again, err := load.Run(context.Background(), plan)
	require.NoError(t, err)
	require.Equal(t, rep.Total.Sent, again.Total.Sent, "the seed gives the same planned times")
	var text bytes.Buffer
	require.NoError(t, rep.WriteText(&text))
	require.Contains(t, text.String(), "not_run:")
	data, err := json.Marshal(rep)
	require.NoError(t, err)
	require.Contains(t, string(data), `"p999":`)
}

// Guards against plans that would run forever or send nothing but pass the check.
func TestCheckRejectsInvalidPlans(t *testing.T) {
	good := load.Plan{
		URLs: []string{"http://127.0.0.1:1"}, Duration: time.Second, Timeout: time.Second, Connections: 1,
		Streams: []load.Stream{{Rate: 1, Path: "/"}},
	}
	require.NoError(t, good.Check())
	for name, change := range map[string]func(*load.Plan){
		"no url":         func(p *load.Plan) { p.URLs = nil },
		"no scheme":      func(p *load.Plan) { p.URLs = []string{"127.0.0.1:1"} },
		"no duration":    func(p *load.Plan) { p.Duration = 0 },
		"no connections": func(p *load.Plan) { p.Connections = 0 },
		"no rate":        func(p *load.Plan) { p.Streams = []load.Stream{{Path: "/"}} },
		"no path":        func(p *load.Plan) { p.Streams = []load.Stream{{Rate: 1}} },
	} {
		p := good
		change(&p)
		require.ErrorAs(t, p.Check(), &load.ErrPlan{}, name)
	}
}
