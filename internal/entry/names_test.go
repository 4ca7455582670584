package entry_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	"github.com/stretchr/testify/require"

	"tarragongauge.example/tarragongauge/internal/entry"
	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// ownNames are header names that differ from the product's own.
func ownNames() entry.HeaderNames {
	return entry.HeaderNames{
		RequestID: "Site-Request-Id", Deadline: "Site-Deadline", Workspace: "Site-Customer", NotRun: "Site-Not-Run",
		Instance: "Site-Instance", KeyScheme: "Token", PassCallerIDs: true,
	}
}

func namedHost(t *testing.T, opts ...entry.Option) *host {
	return newHost(t, append([]entry.Option{entry.WithHeaderNames(ownNames()), entry.WithStatusPromise()}, opts...)...)
}

func (h *host) named(t *testing.T, method, path, id string) answer {
	t.Helper()
	req := h.request(t, method, path, "", "Authorization", "Token "+keyA, "Site-Request-Id", id, "Site-Deadline", "1500")
	a, err := h.do(req)
	require.NoError(t, err)
	return a
}

// Guards against a deployment with header names of its own whose targets see a
// key, the wrong customer, the wrong id, or a caller's forged headers.
func TestOwnHeaderNamesReachTheTarget(t *testing.T) {
	h := namedHost(t)
	var seen http.Header
	h.serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		seen = r.Header.Clone()
		w.Header().Set("Site-Request-Id", r.Header.Get("Site-Request-Id"))
		_, _ = w.Write([]byte("ok"))
	}))
	req := h.request(t, "GET", "/lookup/x", "", "Authorization", "Token "+keyA, "Site-Request-Id", "caller-1",
		"Site-Customer", "forged", "Site-Instance", "forged", "Site-Not-Run", "1")
	a, err := h.do(req)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, a.StatusCode)
	require.Equal(t, "caller-1", a.Header.Get("Site-Request-Id"))
	require.Equal(t, []string{"caller-1"}, seen["Site-Request-Id"])
	require.Equal(t, []string{"shop-a"}, seen["Site-Customer"])
	require.Equal(t, []string{"t0"}, seen["Site-Instance"])
	require.NotEmpty(t, seen.Get("Site-Deadline"))
	require.Empty(t, seen["Site-Not-Run"])
	require.Empty(t, seen["Authorization"])
	for name, values := range seen {
		require.NotContains(t, strings.Join(values, " "), keyA, name)
	}
	require.Equal(t, http.StatusUnauthorized, h.get(t, "GET", "/lookup/x", "").StatusCode, "another scheme is no key")
}

// Guards against an order that is lost although a target said that it did not
// run it, and against one that is sent to another target without that proof.
func TestAnswersThatSayNotRunAreTriedElsewhere(t *testing.T) {
	notRun := map[string]func(http.ResponseWriter){
		"421": func(w http.ResponseWriter) { w.WriteHeader(http.StatusMisdirectedRequest) },
		"503 with the header": func(w http.ResponseWriter) {
			w.Header().Set("Site-Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		},
		"429 with the header": func(w http.ResponseWriter) {
			w.Header().Set("Site-Not-Run", "1")
			w.WriteHeader(http.StatusTooManyRequests)
		},
	}
	echo := func(answer func(http.ResponseWriter)) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Site-Request-Id", r.Header.Get("Site-Request-Id"))
			answer(w)
		})
	}
	for name, refuse := range notRun {
		t.Run(name, func(t *testing.T) {
			h := namedHost(t)
			h.serve(t, echo(refuse))
			h.serve(t, echo(func(w http.ResponseWriter) { _, _ = w.Write([]byte("ran")) }))
			require.Equal(t, "ran", h.named(t, "POST", "/order/x", "o1").body)
			require.True(t, read(h.fake, &h.fake.wanted)[0].AtMostOnce)
		})
	}
	h := namedHost(t)
	h.serve(t, echo(func(w http.ResponseWriter) { w.WriteHeader(http.StatusServiceUnavailable) }))
	h.serve(t, echo(func(w http.ResponseWriter) { _, _ = w.Write([]byte("ran")) }))
	require.Equal(t, http.StatusServiceUnavailable, h.named(t, "POST", "/order/x", "o2").StatusCode)
	require.Len(t, read(h.fake, &h.fake.wanted), 1, "a plain 503 of the target is its answer")
}

// Guards against statuses that promise "not run" for a request that may have
// run, and against those that promise nothing for one that has not: callers
// that read only the status would repeat an order, or give it up.
func TestStatusAloneTellsTheOutcome(t *testing.T) {
	h := namedHost(t)
	h.add("127.0.0.1:1")
	a := h.named(t, "POST", "/order/x", "o1")
	require.Equal(t, "not_run", a.outcome())
	require.Equal(t, http.StatusServiceUnavailable, a.StatusCode, "the target could not be reached")
	require.NotEmpty(t, a.Header.Get("Retry-After"))

	h = namedHost(t)
	h.raw(t, func(conn net.Conn, in *bufio.Reader) { _, _ = http.ReadRequest(in) })
	a = h.named(t, "POST", "/order/x", "o2")
	require.Equal(t, "unknown", a.outcome())
	require.Equal(t, http.StatusBadGateway, a.StatusCode)
	require.Empty(t, a.Header.Get("Retry-After"))

	h = namedHost(t)
	h.fake.refuse = proto.SlotQuarantined
	require.Equal(t, http.StatusServiceUnavailable, h.named(t, "GET", "/lookup/x", "q").StatusCode)
}

// Guards against 404 from a host that knows no configuration yet: the route may exist.
func TestHostWithoutRoutesAnswers503(t *testing.T) {
	h := namedHost(t)
	h.fake.cfg.Routes = model.Routes{}
	require.Equal(t, http.StatusServiceUnavailable, h.named(t, "GET", "/lookup/x", "r").StatusCode)
}

// Guards against an answer without a length that was cut off and looks whole.
func TestAnswersThatEndWithTheirConnection(t *testing.T) {
	for _, whole := range []bool{true, false} {
		t.Run(fmt.Sprint("whole ", whole), func(t *testing.T) {
			h := namedHost(t, entry.WithEndlessAnswers())
			h.raw(t, func(conn net.Conn, in *bufio.Reader) {
				r, err := http.ReadRequest(in)
				if err != nil {
					return
				}
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nSite-Request-Id: %s\r\n\r\nfirst part", r.Header.Get("Site-Request-Id"))
				if !whole {
					time.Sleep(50 * time.Millisecond)
					_ = conn.(*net.TCPConn).SetLinger(0)
				}
			})
			a, err := h.do(h.request(t, "POST", "/order/x", "", "Authorization", "Token "+keyA, "Site-Request-Id", "e"))
			if whole {
				require.NoError(t, err)
				require.Equal(t, "first part", a.body)
				return
			}
			require.Error(t, err)
		})
	}
}

// Guards against a route that sends a request to more targets than it allows.
func TestRouteBoundsAttempts(t *testing.T) {
	h := namedHost(t)
	h.fake.cfg.Routes = model.NewRoutes([]model.Route{{Name: "r", PathPrefix: "/lookup", Service: "stock", Idempotent: true, Attempts: 2}})
	for range 4 {
		h.serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Site-Request-Id", r.Header.Get("Site-Request-Id"))
			w.WriteHeader(http.StatusInternalServerError)
		}))
	}
	require.Equal(t, http.StatusInternalServerError, h.named(t, "GET", "/lookup/x", "a").StatusCode)
	require.Len(t, ends(h.fake), 2)
}

// Guards against a failed request that the log does not explain, and against a
// key in the log.
func TestEachRequestLeavesOneLine(t *testing.T) {
	lines := make(chan string, 8)
	log := funcr.NewJSON(func(obj string) { lines <- obj }, funcr.Options{})
	h := namedHost(t, entry.WithRequestLog(log))
	h.serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Site-Request-Id", r.Header.Get("Site-Request-Id"))
		w.WriteHeader(http.StatusInternalServerError)
	}))
	h.named(t, "POST", "/order/x", "the-id")
	line := <-lines
	for _, want := range []string{`"request_id":"the-id"`, `"status":500`, `"outcome":"ran"`, `"workspace":"shop-a"`, `"route":"order"`, "t0 error"} {
		require.Contains(t, line, want)
	}
	require.NotContains(t, line, keyA)
	require.Empty(t, lines)
}
