package entry_test

import (
	"bufio"
	"context"
	"crypto/sha256"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"tarragongauge.example/tarragongauge/internal/entry"
	"tarragongauge.example/tarragongauge/internal/order"
	"tarragongauge.example/tarragongauge/internal/pool"
	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/internal/stub"
	"tarragongauge.example/tarragongauge/pkg/model"
)

const (
	keyA   = "key-A+secret/value=7f3a"
	keyB   = "key-B-secret-value-91bc"
	secret = "announce-secret"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fake is a Decider that admits everything unless a test says otherwise. It
// hands out the targets in order and skips those already tried.
type fake struct {
	mu      sync.Mutex
	cfg     model.Config
	stale   bool
	targets []pool.Assigned
	refuse  proto.SlotStatus
	noRetry bool
	// ahead makes AdmitAndAssign assign a target.
	ahead bool
	// panicAtEnd makes EndAttempt panic.
	panicAtEnd bool
	admit      entry.Admission
	reserve    entry.Reservation
	started    []order.Requested
	finished   []order.Finished
	ended      []pool.AttemptEnded
	wanted     []pool.TargetRequested
	news       []model.Announcement
	records    []entry.Record
}

func newFake(tb testing.TB) *fake {
	tb.Helper()
	cfg := model.NewConfig(nil, nil)
	cfg.Defaults.Deadline = 2 * time.Second
	for ws, key := range map[model.WorkspaceID]string{"shop-a": keyA, "shop-b": keyB} {
		hash := model.KeyHash(sha256.Sum256([]byte(key)))
		cfg.Workspaces = cfg.Workspaces.With(model.Workspace{ID: ws})
		cfg.Keys = cfg.Keys.With(model.Key{ID: "k", Workspace: ws, Hash: hash})
	}
	cfg.Services = cfg.Services.With("stock", model.Service{Name: "stock", AnnounceHash: sha256.Sum256([]byte(secret))})
	cfg.Routes = model.NewRoutes([]model.Route{
		{Name: "lookup", PathPrefix: "/lookup", Service: "stock", Idempotent: true},
		{Name: "strict", PathPrefix: "/strict", Service: "stock", RequireOrderKey: true},
		{Name: "order", PathPrefix: "/order", Service: "stock"},
		{Name: "open", PathPrefix: "/open", Service: "stock", Open: true, Idempotent: true},
	})
	return &fake{cfg: cfg, admit: entry.Admission{OK: true}, reserve: entry.Reservation{OK: true}}
}

func (f *fake) change(fn func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fn()
}

func read[T any](f *fake, p *T) T {
	f.mu.Lock()
	defer f.mu.Unlock()
	return *p
}

func (f *fake) Config() model.Config { return read(f, &f.cfg) }

func (f *fake) Fresh() bool { return !read(f, &f.stale) }

func (f *fake) Admit(context.Context, model.RequestID, model.WorkspaceID) (entry.Admission, error) {
	return read(f, &f.admit), nil
}

func (f *fake) AdmitAndAssign(ctx context.Context, want pool.TargetRequested) (entry.Admission, *entry.Assignment, error) {
	adm := read(f, &f.admit)
	if !adm.OK || !read(f, &f.ahead) {
		return adm, nil, nil
	}
	got, err := f.AssignTarget(ctx, want)
	return adm, &got, err
}

func (f *fake) ReserveOrder(_ context.Context, start order.Requested) (entry.Reservation, error) {
	f.change(func() { f.started = append(f.started, start) })
	return read(f, &f.reserve), nil
}

func (f *fake) FinishOrder(end order.Finished) {
	f.change(func() { f.finished = append(f.finished, end) })
}

func (f *fake) AssignTarget(_ context.Context, want pool.TargetRequested) (entry.Assignment, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.wanted = append(f.wanted, want)
	switch {
	case f.refuse != 0:
		return entry.Assignment{Refused: pool.Refused{Status: f.refuse}}, nil
	case f.noRetry && len(want.Exclude) > 0:
		return entry.Assignment{Refused: pool.Refused{Status: proto.SlotNoRetry}}, nil
	}
	for _, t := range f.targets {
		if !slices.Contains(want.Exclude, t.Target) {
			t.Request = want.Request
			return entry.Assignment{OK: true, Assigned: t}, nil
		}
	}
	return entry.Assignment{Refused: pool.Refused{Status: proto.SlotNoTarget}}, nil
}

func (f *fake) EndAttempt(end pool.AttemptEnded) {
	f.change(func() { f.ended = append(f.ended, end) })
	if f.panicAtEnd {
		panic("the decider failed")
	}
}

func (f *fake) Announce(a model.Announcement) { f.change(func() { f.news = append(f.news, a) }) }

func (f *fake) Record(r entry.Record) { f.change(func() { f.records = append(f.records, r) }) }

// host is an entry host on a loopback socket.
type host struct {
	*entry.Server
	fake *fake
	addr string
	stop func(context.Context) error
	http *http.Client
}

func newHost(tb testing.TB, opts ...entry.Option) *host {
	tb.Helper()
	h := &host{fake: newFake(tb)}
	var err error
	h.Server, h.stop, err = entry.NewServer(h.fake, h.fake, opts...)
	require.NoError(tb, err)
	l := listen(tb)
	h.addr = l.Addr().String()
	transport := &http.Transport{DisableCompression: true}
	h.http = &http.Client{Transport: transport}
	workers := pond.NewPool(1)
	served := workers.SubmitErr(func() error { return h.ServeCallers(l) })
	tb.Cleanup(func() {
		transport.CloseIdleConnections()
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		require.NoError(tb, h.stop(ctx))
		require.NoError(tb, served.Wait())
		workers.StopAndWait()
	})
	return h
}

func listen(tb testing.TB) net.Listener {
	tb.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(tb, err)
	return l
}

// target adds a stub target to the host.
func (h *host) target(tb testing.TB, b stub.Behavior) *stub.Target {
	tb.Helper()
	t, err := stub.NewTarget("t", stub.WithBehavior(b))
	require.NoError(tb, err)
	h.serve(tb, t)
	return t
}

// serve adds a target with any handler to the host.
func (h *host) serve(tb testing.TB, handler http.Handler) {
	tb.Helper()
	srv := httptest.NewServer(handler)
	tb.Cleanup(srv.Close)
	h.add(srv.Listener.Addr().String())
}

func (h *host) add(addr string) {
	h.fake.change(func() {
		id := model.TargetID("t" + string(rune('0'+len(h.fake.targets))))
		h.fake.targets = append(h.fake.targets, pool.Assigned{Target: id, Addr: addr, Incarnation: 1})
	})
}

// raw adds a target that answers each connection by a function.
func (h *host) raw(tb testing.TB, answer func(conn net.Conn, in *bufio.Reader)) {
	tb.Helper()
	l := listen(tb)
	workers := pond.NewPool(64)
	var mu sync.Mutex
	var conns []net.Conn
	workers.Submit(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			conns = append(conns, conn)
			mu.Unlock()
			workers.Submit(func() {
				defer func() { _ = conn.Close() }()
				answer(conn, bufio.NewReader(conn))
			})
		}
	})
	tb.Cleanup(func() {
		_ = l.Close()
		mu.Lock()
		for _, conn := range conns {
			_ = conn.Close()
		}
		mu.Unlock()
		workers.StopAndWait()
	})
	h.add(l.Addr().String())
}

func (h *host) request(tb testing.TB, method, path, body string, header ...string) *http.Request {
	tb.Helper()
	var r io.Reader
	if body != "" {
		r = strings.NewReader(body)
	}
	req, err := http.NewRequest(method, "http://"+h.addr+path, r)
	require.NoError(tb, err)
	req.Header.Set("Authorization", "Bearer "+keyA)
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	return req
}

// answer is a response that was read whole.
type answer struct {
	*http.Response
	body string
}

func (a answer) outcome() string { return a.Header.Get("X-Outcome") }

func (h *host) do(req *http.Request) (answer, error) {
	res, err := h.http.Do(req)
	if err != nil {
		return answer{}, err
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	return answer{Response: res, body: string(body)}, err
}

func (h *host) get(tb testing.TB, method, path, body string, header ...string) answer {
	tb.Helper()
	a, err := h.do(h.request(tb, method, path, body, header...))
	require.NoError(tb, err)
	return a
}

// dial opens a raw connection that gives up reading after some seconds.
func (h *host) dial(tb testing.TB) net.Conn {
	tb.Helper()
	conn, err := net.Dial("tcp", h.addr)
	require.NoError(tb, err)
	tb.Cleanup(func() { _ = conn.Close() })
	require.NoError(tb, conn.SetDeadline(time.Now().Add(5*time.Second)))
	return conn
}

func ends(f *fake) []model.AttemptEnd {
	var out []model.AttemptEnd
	for _, e := range read(f, &f.ended) {
		out = append(out, e.Attempt.End)
	}
	return out
}
