package entry_test

import (
	"bufio"
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	hdrhistogram "github.com/HdrHistogram/hdrhistogram-go"
	"github.com/alitto/pond/v2"
	"github.com/go-logr/logr/funcr"
	"github.com/stretchr/testify/require"

	"tarragongauge.example/tarragongauge/internal/entry"
	"tarragongauge.example/tarragongauge/internal/order"
	"tarragongauge.example/tarragongauge/internal/pool"
	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/internal/stub"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// TestCancelRequestsInFlight guards against requests that continue after the
// withdrawal of their workspace or key, or on a host that cannot confirm its
// configuration any more, and against cancelling other requests.
func TestCancelRequestsInFlight(t *testing.T) {
	hash := model.KeyHash(sha256.Sum256([]byte(keyA)))
	cases := map[string]struct {
		cancel   func(*testHost) int
		want     string
		allKeyed bool
	}{
		"workspace": {func(h *testHost) int { return h.CancelWorkspace("shop-a") }, "401 unknown key_withdrawn", false},
		"key":       {func(h *testHost) int { return h.CancelKey(hash) }, "401 unknown key_withdrawn", false},
		"all keyed": {func(h *testHost) int { return h.CancelAllKeyed() }, "503 unknown not_fresh", true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHost(t)
			target := h.addStubTarget(t, stub.Behavior{DelayMS: 600})
			workers := pond.NewPool(3)
			defer workers.StopAndWait()
			start := func(path, key string) pond.ResultTask[string] {
				sub := pond.NewResultPool[string](1)
				return sub.SubmitErr(func() (string, error) {
					a, err := h.do(h.newRequest(t, "POST", path, "b", "Authorization", "Bearer "+key))
					if err != nil {
						return "", err
					}
					code, _, _ := strings.Cut(strings.TrimPrefix(a.body, `{"code":"`), `"`)
					return fmt.Sprint(a.StatusCode, " ", a.outcome(), " ", code), nil
				})
			}
			a, b, open := start("/order/x", keyA), start("/order/x", keyB), start("/open/x", keyA)
			require.Eventually(t, func() bool { return len(target.Journal()) == 3 }, time.Second, time.Millisecond)
			require.Equal(t, 1, h.Evidence("shop-a").InFlight)
			require.True(t, h.Evidence("shop-a").Admitted)
			require.False(t, h.Evidence("shop-c").Admitted)
			require.Equal(t, 2, h.KeyedInFlight())
			require.Equal(t, 3, h.ActiveRequests())
			ended := 1
			if c.allKeyed {
				ended = 2
			}
			require.Equal(t, ended, c.cancel(h))
			got, err := a.Wait()
			require.NoError(t, err)
			require.Equal(t, c.want, got)
			got, err = b.Wait()
			require.NoError(t, err)
			require.Equal(t, c.allKeyed, strings.HasPrefix(got, "503"), got)
			got, err = open.Wait()
			require.NoError(t, err)
			require.True(t, strings.HasPrefix(got, "200 ran"), got)
			require.Zero(t, h.Evidence("shop-a").InFlight)
		})
	}
}

// TestAnswerConcurrentWithWithdrawalIsRefused guards against an answer that arrives
// at the same moment as the withdrawal of its key and is sent after the withdrawal,
// with 200 instead of 401.
func TestAnswerConcurrentWithWithdrawalIsRefused(t *testing.T) {
	for _, body := range []string{"", strings.Repeat("x", 200<<10)} {
		for range 300 {
			h := newHost(t)
			working, finish := make(chan struct{}), make(chan struct{})
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				close(working)
				<-finish
				w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
				_, _ = io.WriteString(w, body)
			}))
			h.fake.targets = append(h.fake.targets, pool.Assigned{Target: "t", Addr: srv.Listener.Addr().String(), Incarnation: 1})
			caller := pond.NewResultPool[answer](1)
			inFlight := caller.SubmitErr(func() (answer, error) { return h.do(h.newRequest(t, "GET", "/lookup/x", "")) })
			<-working
			require.Equal(t, 1, h.CancelWorkspace("shop-a"))
			close(finish)
			got, err := inFlight.Wait()
			require.NoError(t, err)
			require.Equal(t, "401 unknown", fmt.Sprint(got.StatusCode, " ", got.outcome()))
			caller.StopAndWait()
			srv.Close()
		}
	}
}

// TestStartedAnswersMayFinishAfterWithdrawal guards against an answer that is broken
// off because its key is withdrawn after the caller got the first part (a download
// was once cut off 0.4 s after a change of the configuration), and against an answer
// that continues after the host has cancelled it.
func TestStartedAnswersMayFinishAfterWithdrawal(t *testing.T) {
	const part, rest = 100 << 10, 64 << 10
	for _, endless := range []bool{false, true} {
		h := newHost(t)
		begun, finish := make(chan struct{}), make(chan struct{})
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
			_, _ = io.WriteString(w, strings.Repeat("x", part))
			_ = http.NewResponseController(w).Flush()
			close(begun)
			select {
			case <-finish:
			case <-r.Context().Done():
				return
			}
			_, _ = io.WriteString(w, strings.Repeat("y", rest))
		}))
		h.fake.targets = append(h.fake.targets, pool.Assigned{Target: "t", Addr: srv.Listener.Addr().String(), Incarnation: 1})
		conn := h.dial(t)
		in := bufio.NewReader(conn)
		_, err := io.WriteString(conn, "GET /lookup/x HTTP/1.1\r\nHost: h\r\nX-Api-Key: "+keyA+"\r\n\r\n")
		require.NoError(t, err)
		res, err := http.ReadResponse(in, nil)
		require.NoError(t, err)
		<-begun
		require.Equal(t, 1, h.WithdrawKey(sha256.Sum256([]byte(keyA))))
		time.Sleep(1200 * time.Millisecond)
		ended := time.Now()
		if endless {
			require.Equal(t, 1, h.CancelKey(sha256.Sum256([]byte(keyA))))
		} else {
			close(finish)
		}
		n, err := io.Copy(io.Discard, res.Body)
		if endless {
			require.Error(t, err, "the caller must see that the answer was broken off")
		} else {
			require.NoError(t, err)
			require.EqualValues(t, part+rest, n)
		}
		require.Less(t, time.Since(ended), time.Second)
		require.Eventually(t, func() bool { return h.Evidence("shop-a").InFlight == 0 }, time.Second, time.Millisecond)
		_, err = in.ReadByte()
		require.Error(t, err, "the connection of a withdrawn key must close")
		srv.Close()
	}
}

// TestClosingConnectionAnswersPipelinedRequests guards against a connection that is
// closed with pipelined requests unanswered. It closes after the answer to a request
// whose key was withdrawn, or while the host drains.
func TestClosingConnectionAnswersPipelinedRequests(t *testing.T) {
	for name, c := range map[string]struct {
		end  func(*testHost)
		want []int
	}{
		"withdrawn": {func(h *testHost) { h.WithdrawKey(sha256.Sum256([]byte(keyA))) }, []int{200, 200}},
		"draining":  {func(h *testHost) { h.Drain() }, []int{200, 503}},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHost(t)
			target := h.addStubTarget(t, stub.Behavior{DelayMS: 300})
			conn := h.dial(t)
			request := func(path string) string {
				return "GET " + path + " HTTP/1.1\r\nHost: h\r\nX-Api-Key: " + keyA + "\r\n\r\n"
			}
			_, err := io.WriteString(conn, request("/lookup/1")+request("/open/2"))
			require.NoError(t, err)
			require.Eventually(t, func() bool { return target.Running() == 1 }, time.Second, time.Millisecond)
			time.Sleep(20 * time.Millisecond)
			c.end(h)
			in := bufio.NewReader(conn)
			for _, want := range c.want {
				res, err := http.ReadResponse(in, nil)
				require.NoError(t, err)
				_, err = io.Copy(io.Discard, res.Body)
				require.NoError(t, err)
				require.Equal(t, want, res.StatusCode)
			}
			_, err = in.ReadByte()
			require.ErrorIs(t, err, io.EOF, "the connection must close after the answers")
		})
	}
}

// TestWithdrawalClosesIdleConnections guards against an idle connection that stays
// open after its key was withdrawn, and against closing connections of other keys.
func TestWithdrawalClosesIdleConnections(t *testing.T) {
	h := newHost(t)
	h.addStubTarget(t, stub.Behavior{})
	use := func(key string) (net.Conn, *bufio.Reader) {
		conn := h.dial(t)
		in := bufio.NewReader(conn)
		_, err := io.WriteString(conn, "GET /lookup/x HTTP/1.1\r\nHost: h\r\nX-Api-Key: "+key+"\r\n\r\n")
		require.NoError(t, err)
		res, err := http.ReadResponse(in, nil)
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, res.Body)
		require.NoError(t, err)
		return conn, in
	}
	_, first := use(keyA)
	second, in := use(keyB)
	require.Zero(t, h.WithdrawKey(sha256.Sum256([]byte(keyA))))
	_, err := first.ReadByte()
	require.ErrorIs(t, err, io.EOF)
	_, err = io.WriteString(second, "GET /lookup/x HTTP/1.1\r\nHost: h\r\nX-Api-Key: "+keyB+"\r\n\r\n")
	require.NoError(t, err)
	res, err := http.ReadResponse(in, nil)
	require.NoError(t, err)
	require.Equal(t, 200, res.StatusCode)
}

// TestNoRequestRunsAfterWithdrawal guards against a request whose key is withdrawn
// between the check of the key and the registration of the request, so that neither
// notices it.
func TestNoRequestRunsAfterWithdrawal(t *testing.T) {
	h := newHost(t)
	target := h.addStubTarget(t, stub.Behavior{DelayMS: 1})
	workers := pond.NewPool(8)
	group := workers.NewGroup()
	stop := make(chan struct{})
	for range 8 {
		group.Submit(func() {
			for {
				select {
				case <-stop:
					return
				default:
					_, _ = h.do(h.newRequest(t, "GET", "/lookup/x", ""))
				}
			}
		})
	}
	time.Sleep(30 * time.Millisecond)
	h.fake.update(func() {
		cfg := h.fake.cfg
		cfg.Keys = model.Keys{}
		h.fake.cfg = cfg
	})
	h.WithdrawWorkspace("shop-a")
	require.Eventually(t, func() bool { return h.Evidence("shop-a").InFlight == 0 && target.Running() == 0 }, time.Second, time.Millisecond)
	asked := len(readLocked(h.fake, &h.fake.targetRequests))
	time.Sleep(50 * time.Millisecond) // The target may still read what was sent before.
	ran := len(target.Journal())
	time.Sleep(50 * time.Millisecond)
	require.Len(t, target.Journal(), ran, "nothing runs after the withdrawal")
	require.Len(t, readLocked(h.fake, &h.fake.targetRequests), asked, "nothing asks for a target after the withdrawal")
	close(stop)
	require.NoError(t, group.Wait())
	workers.StopAndWait()
}

// TestDrainFinishesRequestsInFlight guards against requests that a shutdown
// interrupts, and against those that start during it.
func TestDrainFinishesRequestsInFlight(t *testing.T) {
	h := newHost(t)
	target := h.addStubTarget(t, stub.Behavior{DelayMS: 200})
	workers := pond.NewResultPool[answer](1)
	inFlight := workers.SubmitErr(func() (answer, error) { return h.do(h.newRequest(t, "POST", "/order/x", "b")) })
	require.Eventually(t, func() bool { return target.Running() == 1 }, time.Second, time.Millisecond)
	h.Drain()
	a := h.mustDo(t, "POST", "/order/x", "b")
	require.Equal(t, "503 not_run", fmt.Sprint(a.StatusCode, " ", a.outcome()))
	require.True(t, a.Close)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	require.NoError(t, h.stop(ctx))
	got, err := inFlight.Wait()
	require.NoError(t, err)
	require.Equal(t, "200 ran", fmt.Sprint(got.StatusCode, " ", got.outcome()))
}

// TestReservationEndsWithOutcomeOfOrder guards against the reservation of an order
// that is freed although the order may have run, and against one that is kept
// although the order did not run.
func TestReservationEndsWithOutcomeOfOrder(t *testing.T) {
	stored := &proto.StoredAnswer{Status: 201, Header: map[string][]string{"X-Order": {"7"}}, Body: []byte("stored")}
	cases := map[string]struct {
		reservation entry.Reservation
		behavior    stub.Behavior
		refusal     proto.SlotStatus
		want        string
		// wantEnd is how the reservation ends, or empty if the order was not reserved.
		wantEnd string
	}{
		"runs":         {entry.Reservation{OK: true}, stub.Behavior{}, 0, "200 ran", "answer 200"},
		"fails":        {entry.Reservation{OK: true}, stub.Behavior{ErrorShare: 1}, 0, "500 ran", "answer 500"},
		"breaks":       {entry.Reservation{OK: true}, stub.Behavior{DropShare: 1}, 0, "502 unknown", "unknown"},
		"shed":         {entry.Reservation{OK: true}, stub.Behavior{ShedShare: 1}, 0, "503 not_run", "not run"},
		"no target":    {entry.Reservation{OK: true}, stub.Behavior{}, proto.SlotNoTarget, "503 not_run", "not run"},
		"quarantined":  {entry.Reservation{OK: true}, stub.Behavior{}, proto.SlotQuarantined, "422 not_run", "not run"},
		"stored":       {entry.Reservation{Answer: stored}, stub.Behavior{}, 0, "201 ran", ""},
		"in flight":    {entry.Reservation{Reason: order.StopInFlight}, stub.Behavior{}, 0, "409 unknown", ""},
		"other body":   {entry.Reservation{Reason: order.StopBodyDiffers}, stub.Behavior{}, 0, "409 not_run", ""},
		"no majority":  {entry.Reservation{Reason: order.StopNoMajority}, stub.Behavior{}, 0, "503 not_run", ""},
		"wrong answer": {entry.Reservation{OK: true}, stub.Behavior{WrongShare: 1, Wrong: stub.WrongID}, 0, "502 unknown", "unknown"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHost(t)
			h.fake.reservation, h.fake.refusal, h.fake.refuseRetry = c.reservation, c.refusal, true
			target := h.addStubTarget(t, c.behavior)
			a := h.mustDo(t, "POST", "/strict/x?a=1", "body", "Idempotency-Key", "order-7")
			require.Equal(t, c.want, fmt.Sprint(a.StatusCode, " ", a.outcome()))
			require.Len(t, readLocked(h.fake, &h.fake.orders), 1)
			start := h.fake.orders[0]
			require.Equal(t, "shop-a order-7", fmt.Sprint(start.Workspace, " ", start.OrderKey))
			var got []string
			for _, end := range readLocked(h.fake, &h.fake.finishedOrders) {
				switch {
				case end.Answer != nil:
					got = append(got, "answer "+strconv.Itoa(end.Answer.Status))
				case end.NotRun:
					got = append(got, "not run")
				default:
					got = append(got, "unknown")
				}
			}
			require.Equal(t, c.wantEnd, strings.Join(got, ", "))
			if name == "stored" {
				require.Equal(t, "stored 7 true", a.body+" "+a.Header.Get("X-Order")+" "+a.Header.Get("Idempotency-Replayed"))
			}
			if c.wantEnd == "" {
				require.Empty(t, target.Journal())
			}
			if name == "runs" {
				require.Equal(t, "order-7", target.Journal()[0].OrderKey)
				require.Equal(t, a.body, string(readLocked(h.fake, &h.fake.finishedOrders)[0].Answer.Body))
			}
		})
	}
}

// TestInvalidAnnouncementsAreRefused guards against malformed announcements, and
// against those that add a target to a service without its secret.
func TestInvalidAnnouncementsAreRefused(t *testing.T) {
	const good = `{"service":"stock","target":"t1","addr":"10.0.0.7:80","zone":"z1","slots":3,"incarnation":5,"state":"ready","load":0.5,"cold_ms":250}`
	with := func(old, now string) string { return strings.Replace(good, old, now, 1) }
	cases := map[string]struct {
		body, secret string
		status       int
	}{
		"good":            {good, announceSecret, 204},
		"wrong secret":    {good, "guess", 403},
		"no secret":       {good, "", 403},
		"unknown service": {with("stock", "other"), announceSecret, 403},
		"host name":       {with("10.0.0.7:80", "example.org:80"), announceSecret, 400},
		"no port":         {with("10.0.0.7:80", "10.0.0.7"), announceSecret, 400},
		"port 0":          {with(":80", ":0"), announceSecret, 400},
		"any address":     {with("10.0.0.7", "0.0.0.0"), announceSecret, 400},
		"unknown state":   {with("ready", "asleep"), announceSecret, 400},
		"negative slots":  {with(`"slots":3`, `"slots":-1`), announceSecret, 400},
		"no incarnation":  {with(`"incarnation":5`, `"incarnation":0`), announceSecret, 400},
		"negative load":   {with("0.5", "-1"), announceSecret, 400},
		"negative time":   {with("250", "-1"), announceSecret, 400},
		"no target":       {with("t1", ""), announceSecret, 400},
		"not JSON":        {"ready", announceSecret, 400},
		"too large":       {with("t1", strings.Repeat("t", 20<<10)), announceSecret, 413},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFakeDecider(t)
			s, _, err := entry.NewServer(f, f)
			require.NoError(t, err)
			req := httptest.NewRequest(http.MethodPost, "/v1/announce", strings.NewReader(c.body))
			req.Header.Set("Authorization", "Bearer "+c.secret)
			w := httptest.NewRecorder()
			s.AnnouncementHandler().ServeHTTP(w, req)
			require.Equal(t, c.status, w.Code, w.Body.String())
			if c.status != http.StatusNoContent {
				require.Empty(t, f.announcements)
				require.Contains(t, w.Body.String(), `"code":`)
				return
			}
			require.Equal(t, []model.Announcement{{
				Service: "stock", Target: "t1", Addr: "10.0.0.7:80", Zone: "z1", Slots: 3, Incarnation: 5, State: model.TargetReady, Load: 0.5, ColdRemaining: 250 * time.Millisecond,
			}}, f.announcements)
		})
	}
}

// TestPanicKeepsTheReservation guards against a panic that frees the reservation of
// an order that may have run, and against one that is not logged.
func TestPanicKeepsTheReservation(t *testing.T) {
	var logged []string
	h := newHost(t, entry.WithLog(funcr.New(func(_, args string) { logged = append(logged, args) }, funcr.Options{})))
	h.addStubTarget(t, stub.Behavior{})
	h.fake.panicInEndAttempt = true
	_, err := h.do(h.newRequest(t, "POST", "/strict/x", "b", "Idempotency-Key", "o"))
	require.Error(t, err)
	require.Eventually(t, func() bool { return h.ActiveRequests() == 0 }, time.Second, time.Millisecond)
	require.Len(t, h.fake.finishedOrders, 1)
	require.False(t, h.fake.finishedOrders[0].NotRun)
	require.Len(t, logged, 1)
	require.Contains(t, logged[0], "the decider failed")
	require.Zero(t, h.KeyedInFlight())
}

// TestSetMaxTargetConnsKeepsRequestsInFlight guards against a change of the maximum
// that breaks requests in flight.
func TestSetMaxTargetConnsKeepsRequestsInFlight(t *testing.T) {
	h := newHost(t)
	target := h.addStubTarget(t, stub.Behavior{DelayMS: 100})
	workers := pond.NewResultPool[answer](1)
	defer workers.StopAndWait()
	inFlight := workers.SubmitErr(func() (answer, error) { return h.do(h.newRequest(t, "POST", "/order/x", "b")) })
	require.Eventually(t, func() bool { return target.Running() == 1 }, time.Second, time.Millisecond)
	h.SetMaxTargetConns(1)
	require.Equal(t, 200, h.mustDo(t, "POST", "/order/x", "b").StatusCode)
	got, err := inFlight.Wait()
	require.NoError(t, err)
	require.Equal(t, 200, got.StatusCode)
}

// TestSetMaxTargetConnsKeepsIdleConnections guards against closing all idle
// connections to targets at each change of the configuration or of the entry hosts,
// which calls SetMaxTargetConns also if the maximum stays the same.
func TestSetMaxTargetConnsKeepsIdleConnections(t *testing.T) {
	h := newHost(t)
	opened := map[string]bool{}
	h.addTarget(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		opened[r.RemoteAddr] = true
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	}))
	for range 5 {
		h.SetMaxTargetConns(5)
		require.Equal(t, 200, h.mustDo(t, "POST", "/order/x", "b").StatusCode)
	}
	require.Len(t, opened, 1)
}

// TestRateLimitedRequestsAreRecorded guards against records that do not say that a
// request was refused for its rate.
func TestRateLimitedRequestsAreRecorded(t *testing.T) {
	h := newHost(t)
	h.addStubTarget(t, stub.Behavior{})
	h.mustDo(t, "GET", "/lookup/x", "")
	h.fake.update(func() { h.fake.admission = entry.Admission{} })
	h.mustDo(t, "GET", "/lookup/x", "")
	require.Eventually(t, func() bool { return len(readLocked(h.fake, &h.fake.records)) == 2 }, time.Second, time.Millisecond)
	got := h.fake.records
	require.Equal(t, entry.Record{Service: "stock", Workspace: "shop-a", Status: 200, Outcome: model.OutcomeRan, Latency: got[0].Latency}, got[0])
	require.Equal(t, entry.Record{Service: "stock", Workspace: "shop-a", Status: 429, Outcome: model.OutcomeNotRun, Latency: got[1].Latency, RateLimited: true}, got[1])
}

// BenchmarkAddedLatency compares the latency of a request through the host with that
// of one sent directly to the target.
func BenchmarkAddedLatency(b *testing.B) {
	h := newHost(b)
	h.addStubTarget(b, stub.Behavior{})
	for name, addr := range map[string]string{"direct": h.fake.targets[0].Addr, "through": h.addr} {
		b.Run(name, func(b *testing.B) {
			req := h.newRequest(b, "GET", "/lookup/x", "")
			req.URL.Host = addr
			hist := hdrhistogram.New(1, int64(time.Minute), 3)
			for b.Loop() {
				start := time.Now()
				if a, err := h.do(req); err != nil || a.StatusCode != http.StatusOK {
					b.Fatal(err)
				}
				if err := hist.RecordValue(time.Since(start).Nanoseconds()); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(hist.ValueAtQuantile(99)), "p99-ns")
		})
	}
}
