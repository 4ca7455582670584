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
	keyA           = "key-A+secret/value=7f3a"
	keyB           = "key-B-secret-value-91bc"
	announceSecret = "announce-secret"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeDecider is a Decider and Recorder that keeps what it is told. It admits
// everything unless a test changes its fields, and assigns the first of the targets
// that was not tried.
type fakeDecider struct {
	// mu guards the fields below; see update and readLocked.
	mu       sync.Mutex
	cfg      model.Config
	notFresh bool
	targets  []pool.Assigned
	// refusal is the status with which every request for a target is refused, or 0.
	refusal proto.SlotStatus
	// holdAssignments delays the assignment of targets until it is closed, or is nil.
	holdAssignments chan struct{}
	// refuseRetry refuses requests for a second target.
	refuseRetry bool
	// assignWithToken makes AdmitAndAssign assign a target.
	assignWithToken bool
	// panicInEndAttempt makes EndAttempt panic.
	panicInEndAttempt bool
	// beforeAdmit is called before each admission, unless nil. It reports whether the
	// request is refused for its rate.
	beforeAdmit func(model.WorkspaceID) bool
	// admission and reservation are the answers to all requests for them.
	admission   entry.Admission
	reservation entry.Reservation
	// The fields below hold the arguments of all calls, in their order.
	orders         []order.Requested
	finishedOrders []order.Finished
	endedAttempts  []pool.AttemptEnded
	notices        []pool.TargetNoticed
	targetRequests []pool.TargetRequested
	announcements  []model.Announcement
	records        []entry.Record
}

// newFakeDecider returns a fakeDecider with two workspaces, a key for each, and
// routes of every kind to the service stock, but without targets.
func newFakeDecider(tb testing.TB) *fakeDecider {
	tb.Helper()
	cfg := model.NewConfig(nil, nil)
	cfg.Defaults.Deadline = 2 * time.Second
	for ws, key := range map[model.WorkspaceID]string{"shop-a": keyA, "shop-b": keyB} {
		hash := model.KeyHash(sha256.Sum256([]byte(key)))
		cfg.Workspaces = cfg.Workspaces.With(model.Workspace{ID: ws})
		cfg.Keys = cfg.Keys.With(model.Key{ID: "k", Workspace: ws, Hash: hash})
	}
	cfg.Services = cfg.Services.With("stock", model.Service{Name: "stock", AnnounceHash: sha256.Sum256([]byte(announceSecret))})
	cfg.Routes = model.NewRoutes([]model.Route{
		{Name: "lookup", PathPrefix: "/lookup", Service: "stock", Idempotent: true},
		{Name: "strict", PathPrefix: "/strict", Service: "stock", RequireOrderKey: true},
		{Name: "order", PathPrefix: "/order", Service: "stock"},
		{Name: "open", PathPrefix: "/open", Service: "stock", Open: true, Idempotent: true},
	})
	return &fakeDecider{cfg: cfg, admission: entry.Admission{OK: true}, reservation: entry.Reservation{OK: true}}
}

// update calls fn with the fields locked.
func (f *fakeDecider) update(fn func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fn()
}

// readLocked returns the field of f that p points to.
func readLocked[T any](f *fakeDecider, p *T) T {
	f.mu.Lock()
	defer f.mu.Unlock()
	return *p
}

func (f *fakeDecider) Config() model.Config { return readLocked(f, &f.cfg) }

func (f *fakeDecider) Fresh() bool { return !readLocked(f, &f.notFresh) }

func (f *fakeDecider) Admit(context.Context, model.RequestID, model.WorkspaceID) (entry.Admission, error) {
	return readLocked(f, &f.admission), nil
}

func (f *fakeDecider) AdmitAndAssign(ctx context.Context, want pool.TargetRequested) (entry.Admission, *entry.Assignment, error) {
	if hook := readLocked(f, &f.beforeAdmit); hook != nil && hook(want.Workspace) {
		return entry.Admission{}, nil, nil
	}
	adm := readLocked(f, &f.admission)
	if !adm.OK || !readLocked(f, &f.assignWithToken) {
		return adm, nil, nil
	}
	got, err := f.AssignTarget(ctx, want)
	return adm, &got, err
}

func (f *fakeDecider) ReserveOrder(_ context.Context, start order.Requested) (entry.Reservation, error) {
	f.update(func() { f.orders = append(f.orders, start) })
	return readLocked(f, &f.reservation), nil
}

func (f *fakeDecider) FinishOrder(end order.Finished) {
	f.update(func() { f.finishedOrders = append(f.finishedOrders, end) })
}

func (f *fakeDecider) AssignTarget(ctx context.Context, want pool.TargetRequested) (entry.Assignment, error) {
	if hold := readLocked(f, &f.holdAssignments); hold != nil {
		select {
		case <-hold:
		case <-ctx.Done():
			return entry.Assignment{}, context.Cause(ctx)
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.targetRequests = append(f.targetRequests, want)
	switch {
	case f.refusal != 0:
		return entry.Assignment{Refused: pool.Refused{Status: f.refusal, Reason: pool.ReasonOf(f.refusal)}}, nil
	case f.refuseRetry && len(want.Exclude) > 0:
		return entry.Assignment{Refused: pool.Refused{Status: proto.SlotNoRetry, Reason: pool.ReasonOf(proto.SlotNoRetry)}}, nil
	}
	for _, t := range f.targets {
		if !slices.Contains(want.Exclude, t.Target) {
			t.Request = want.Request
			return entry.Assignment{OK: true, Assigned: t}, nil
		}
	}
	return entry.Assignment{Refused: pool.Refused{Status: proto.SlotNoTarget, Reason: pool.ReasonOf(proto.SlotNoTarget)}}, nil
}

func (f *fakeDecider) EndAttempt(end pool.AttemptEnded) {
	f.update(func() { f.endedAttempts = append(f.endedAttempts, end) })
	if f.panicInEndAttempt {
		panic("the decider failed")
	}
}

func (f *fakeDecider) NoteTarget(n pool.TargetNoticed) {
	f.update(func() { f.notices = append(f.notices, n) })
}

func (f *fakeDecider) Announce(a model.Announcement) {
	f.update(func() { f.announcements = append(f.announcements, a) })
}

func (f *fakeDecider) Record(r entry.Record) { f.update(func() { f.records = append(f.records, r) }) }

// testHost is an entry host that serves callers on a loopback socket.
type testHost struct {
	*entry.Server
	fake *fakeDecider
	// addr is the address for callers.
	addr string
	// stop is the clean-up function of the Server.
	stop func(context.Context) error
	http *http.Client
}

// newHost returns a host without targets, which stops at the end of the test.
func newHost(tb testing.TB, opts ...entry.Option) *testHost {
	tb.Helper()
	h := &testHost{fake: newFakeDecider(tb)}
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

// addStubTarget adds a stub target with a behavior to the host.
func (h *testHost) addStubTarget(tb testing.TB, b stub.Behavior) *stub.Target {
	tb.Helper()
	t, err := stub.NewTarget("t", stub.WithBehavior(b))
	require.NoError(tb, err)
	h.addTarget(tb, t)
	return t
}

// addTarget adds a target that is served by a handler to the host.
func (h *testHost) addTarget(tb testing.TB, handler http.Handler) {
	tb.Helper()
	srv := httptest.NewServer(handler)
	tb.Cleanup(srv.Close)
	h.addTargetAddr(srv.Listener.Addr().String())
}

// addTargetAddr adds a target at an address to the host. Targets are named t0, t1
// and so on.
func (h *testHost) addTargetAddr(addr string) {
	h.fake.update(func() {
		id := model.TargetID("t" + string(rune('0'+len(h.fake.targets))))
		h.fake.targets = append(h.fake.targets, pool.Assigned{Target: id, Addr: addr, Incarnation: 1})
	})
}

// addRawTarget adds a target that handles each connection with a function, for
// answers that an HTTP server would not send.
func (h *testHost) addRawTarget(tb testing.TB, answer func(conn net.Conn, in *bufio.Reader)) {
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
	h.addTargetAddr(l.Addr().String())
}

// newRequest returns a request with the key keyA and further headers, given as
// names and values in turn.
func (h *testHost) newRequest(tb testing.TB, method, path, body string, header ...string) *http.Request {
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

// answer is a response whose body was read.
type answer struct {
	*http.Response
	body string
}

func (a answer) outcome() string { return a.Header.Get("X-Outcome") }

// do sends a request and reads the answer.
func (h *testHost) do(req *http.Request) (answer, error) {
	res, err := h.http.Do(req)
	if err != nil {
		return answer{}, err
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	return answer{Response: res, body: string(body)}, err
}

// mustDo sends a request as newRequest returns it and fails the test without a
// complete answer.
func (h *testHost) mustDo(tb testing.TB, method, path, body string, header ...string) answer {
	tb.Helper()
	a, err := h.do(h.newRequest(tb, method, path, body, header...))
	require.NoError(tb, err)
	return a
}

// dial opens a connection to the host on which reads and writes fail after 5 s.
func (h *testHost) dial(tb testing.TB) net.Conn {
	tb.Helper()
	conn, err := net.Dial("tcp", h.addr)
	require.NoError(tb, err)
	tb.Cleanup(func() { _ = conn.Close() })
	require.NoError(tb, conn.SetDeadline(time.Now().Add(5*time.Second)))
	return conn
}

// attemptEnds returns how the attempts ended, in their order.
func attemptEnds(f *fakeDecider) []model.AttemptEnd {
	var out []model.AttemptEnd
	for _, e := range readLocked(f, &f.endedAttempts) {
		out = append(out, e.Attempt.End)
	}
	return out
}
