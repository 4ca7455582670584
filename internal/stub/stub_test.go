package stub_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"tarragongauge.example/tarragongauge/internal/stub"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// announcementRecorder is an announcement endpoint that records what it accepts.
type announcementRecorder struct {
	mu            sync.Mutex
	announcements []map[string]any
}

func (b *announcementRecorder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var a map[string]any
	if err := json.NewDecoder(r.Body).Decode(&a); err != nil || r.Header.Get("Authorization") != "Bearer s" || r.URL.Path != "/v1/announce" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.announcements = append(b.announcements, a)
	w.WriteHeader(http.StatusNoContent)
}

// states returns the announced states in order, without repetitions.
func (b *announcementRecorder) states() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []string
	for _, a := range b.announcements {
		if s := a["state"].(string); len(out) == 0 || out[len(out)-1] != s {
			out = append(out, s)
		}
	}
	return out
}

// Guards against a runner that stops without announcing it or that aborts its
// requests in flight, also when one of the entry hosts is down.
func TestRunnerAnnouncesDrainsAndLeaves(t *testing.T) {
	b := &announcementRecorder{}
	srv := httptest.NewServer(b)
	defer srv.Close()
	target, err := stub.NewTarget("t1", stub.WithBehavior(stub.Behavior{DelayMS: 150}))
	require.NoError(t, err)
	run, err := stub.NewRunner(target, stub.Registration{
		EntryURLs: []string{"http://127.0.0.1:1", srv.URL}, Service: "stock", Target: "t1", Zone: "z1", Secret: "s",
		Slots: 3, Incarnation: 7, Interval: 20 * time.Millisecond, DrainTime: 50 * time.Millisecond,
	})
	require.NoError(t, err)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	workers := pond.NewPool(2)
	ended := workers.SubmitErr(func() error { return run.Run(ctx, l) })
	status := 0
	asked := workers.SubmitErr(func() error {
		res, err := http.Post("http://"+l.Addr().String()+"/x", "text/plain", strings.NewReader("b"))
		if err != nil {
			return err
		}
		status = res.StatusCode
		return res.Body.Close()
	})
	require.Eventually(t, func() bool { return target.Running() == 1 && len(b.states()) == 1 }, 2*time.Second, time.Millisecond)
	cancel()
	require.NoError(t, asked.Wait())
	require.NoError(t, ended.Wait())
	workers.StopAndWait()
	http.DefaultClient.CloseIdleConnections()
	require.Equal(t, 200, status)
	require.Equal(t, []string{"ready", "draining", "leaving"}, b.states())
	require.Equal(t, "stock t1 z1", b.announcements[0]["service"].(string)+" "+b.announcements[0]["target"].(string)+" "+b.announcements[0]["zone"].(string))
	require.Equal(t, l.Addr().String(), b.announcements[0]["addr"])
}

// Guards against failure modes whose answers, health, load or journal entries
// differ from what the mode describes, and against invalid modes that are accepted.
func TestFailureModesOverHTTP(t *testing.T) {
	exits := 0
	target, err := stub.NewTarget("t1", stub.WithExit(func() { exits++ }))
	require.NoError(t, err)
	srv := httptest.NewServer(target)
	defer srv.Close()
	call := func(method, path, body string) (int, string) {
		req, err := http.NewRequest(method, srv.URL+path, strings.NewReader(body))
		require.NoError(t, err)
		req.Header.Set("X-Request-Id", "r1")
		res, err := srv.Client().Do(req)
		if err != nil {
			return 0, ""
		}
		defer func() { _ = res.Body.Close() }()
		data, err := io.ReadAll(res.Body)
		if err != nil {
			return -1, ""
		}
		return res.StatusCode, string(data)
	}
	cases := []struct {
		mode   string
		status int
		ran    bool
		health int
		load   string
	}{
		{`{}`, 200, true, 200, `{"load":0}`},
		{`{"error_share":1}`, 500, true, 503, `{"load":0}`},
		{`{"error_share":1,"health":"healthy","load":0.1}`, 500, true, 200, `{"load":0.1}`},
		{`{"health":"failing","load":0.9}`, 200, true, 503, `{"load":0.9}`},
		{`{"shed_share":1}`, 503, false, 503, `{"load":0}`},
		{`{"drop_share":1}`, 0, true, 503, `{"load":0}`},
		{`{"crash_pattern":"boom"}`, 0, true, 503, `{"load":0}`},
		{`{"wrong_share":1,"wrong":"truncated"}`, -1, true, 503, `{"load":0}`},
		{`{"wrong_share":1,"wrong":"garbage"}`, 0, true, 503, `{"load":0}`},
		{`{"wrong_share":1,"wrong":"body"}`, 200, true, 503, `{"load":0}`},
		{`{"cold_ms":60000,"cold_delay_ms":20}`, 200, true, 200, `{"load":0}`},
	}
	for _, c := range cases {
		status, _ := call("POST", stub.PathMode, c.mode)
		require.Equal(t, 204, status, c.mode)
		before := len(target.Journal())
		start := time.Now()
		status, _ = call("POST", "/x?boom", "b")
		require.Equal(t, c.status, status, c.mode)
		if strings.Contains(c.mode, "cold") {
			require.GreaterOrEqual(t, time.Since(start), 15*time.Millisecond)
		}
		status, _ = call("GET", stub.PathHealth, "")
		require.Equal(t, c.health, status, c.mode)
		_, text := call("GET", stub.PathLoad, "")
		require.Equal(t, c.load, text, c.mode)
		_, text = call("GET", stub.PathJournal, "")
		var entries []stub.JournalEntry
		require.NoError(t, json.NewDecoder(bytes.NewReader([]byte(text))).Decode(&entries))
		require.Len(t, entries, before+1, c.mode)
		require.Equal(t, c.ran, entries[before].Ran, c.mode)
		require.Equal(t, "r1", entries[before].RequestID)
	}
	require.Equal(t, 1, exits)
	for _, bad := range []string{`{"error_share":2}`, `{"wrong":"unknown"}`, `{"delay_ms":-1}`, `{"health":"maybe"}`, `x`} {
		status, _ := call("POST", stub.PathMode, bad)
		require.Equal(t, 400, status, bad)
	}
}

// Guards against a flapping target that always fails or never fails.
func TestFlappingAlternatesFailureAndSuccess(t *testing.T) {
	target, err := stub.NewTarget("t1", stub.WithBehavior(stub.Behavior{ErrorShare: 1, FlapMS: 40}))
	require.NoError(t, err)
	seen := map[int]bool{}
	require.Eventually(t, func() bool {
		w := httptest.NewRecorder()
		target.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/x", nil))
		seen[w.Code] = true
		return seen[200] && seen[500]
	}, 2*time.Second, time.Millisecond)
}

// hijackableRecorder is a response recorder whose Hijack returns conn, so that a
// handler writes to one end of a pipe.
type hijackableRecorder struct {
	*httptest.ResponseRecorder
	conn net.Conn
}

func (h hijackableRecorder) Hijack() (net.Conn, *bufio.ReadWriter, error) {
	return h.conn, bufio.NewReadWriter(bufio.NewReader(h.conn), bufio.NewWriter(h.conn)), nil
}

// Guards against a load that includes a request whose answer the caller already
// has. The pipe blocks the handler while it writes the answer, so that the test
// reads the load at that moment.
func TestLoadExcludesAnsweredRequests(t *testing.T) {
	for _, kind := range []stub.Wrong{stub.WrongGarbage, stub.WrongTruncated, stub.WrongStray} {
		target, err := stub.NewTarget("t1", stub.WithBehavior(stub.Behavior{WrongShare: 1, Wrong: kind}))
		require.NoError(t, err)
		near, far := net.Pipe()
		workers := pond.NewPool(1)
		workers.Submit(func() {
			target.ServeHTTP(hijackableRecorder{httptest.NewRecorder(), near}, httptest.NewRequest(http.MethodGet, "/x", nil))
		})
		_, err = io.ReadFull(far, make([]byte, 1))
		require.NoError(t, err, kind)
		require.Zero(t, target.Load(), kind)
		require.NoError(t, far.Close())
		workers.StopAndWait()
	}
}
