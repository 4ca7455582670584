package entry_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tarragongauge.example/tarragongauge/internal/entry"
)

// TestRepeatedRefusalIsNotTakenForTheNextAnswer guards against a target that writes
// an earlier refusal once more on a kept connection: the next caller must not be told
// that its request was not run, and an order must not run at a second target.
func TestRepeatedRefusalIsNotTakenForTheNextAnswer(t *testing.T) {
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nSite-Request-Id: %s\r\nSite-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
	const success = "HTTP/1.1 200 OK\r\nSite-Request-Id: %s\r\nContent-Length: 2\r\n\r\nok"
	for name, pause := range map[string]time.Duration{"at once": 0, "later": 20 * time.Millisecond, "with the next request": -1} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newCustomHeaderHost(t)
			var ranElsewhere atomic.Bool
			h.addRawTarget(t, func(conn net.Conn, in *bufio.Reader) {
				refused := ""
				for {
					req, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					id := req.Header.Get("Site-Request-Id")
					if refused != "" && pause < 0 {
						_, _ = fmt.Fprintf(conn, refusal, refused)
					}
					if refused != "" {
						_, _ = fmt.Fprintf(conn, success, id)
						continue
					}
					refused = id
					_, _ = fmt.Fprintf(conn, refusal, id)
					if pause >= 0 {
						time.Sleep(pause)
						_, _ = fmt.Fprintf(conn, refusal, id)
					}
				}
			})
			require.Equal(t, http.StatusServiceUnavailable, h.mustDoCustom(t, "GET", "/order/x", "first").StatusCode)
			time.Sleep(2 * max(0, pause))
			h.addTarget(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				ranElsewhere.Store(true)
				w.Header().Set("Site-Request-Id", r.Header.Get("Site-Request-Id"))
			}))
			second := h.mustDoCustom(t, "GET", "/order/x", "second")
			if pause < 0 {
				require.Equal(t, "502 unknown", fmt.Sprint(second.StatusCode, " ", second.outcome()))
				require.False(t, ranElsewhere.Load(), "the first target may run it")
				return
			}
			// The refused connection is closed, and a new one refuses this request too.
			require.Equal(t, http.StatusOK, second.StatusCode)
			require.True(t, ranElsewhere.Load())
		})
	}
}

// TestAnswerCutInItsHeadIsNotTakenForComplete guards against a target that closes the
// connection in the middle of the head of its answer: the caller must get no success
// with an empty or short body.
func TestAnswerCutInItsHeadIsNotTakenForComplete(t *testing.T) {
	for name, framing := range map[string]string{
		"length": "Content-Length: 12\r\n", "chunks": "Transfer-Encoding: chunked\r\n", "no length": "", "no length, to be closed": "Connection: close\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const id = "cut-request"
			head := "HTTP/1.1 200 OK\r\n" + "X-Request-Id: " + id + "\r\n" + framing + "X-Signature: abc\r\n\r\n"
			for cut := 1; cut < len(head); cut++ {
				h := newHost(t, entry.WithEndlessAnswers(), entry.WithHeaderNames(passingNames()))
				h.addRawTarget(t, func(conn net.Conn, in *bufio.Reader) {
					if _, err := http.ReadRequest(in); err == nil {
						_, _ = io.WriteString(conn, head[:cut])
					}
				})
				req := h.newRequest(t, "GET", "/order/x", "", "Authorization", "Bearer "+keyA, "X-Request-Id", id)
				got, err := h.do(req)
				if err == nil {
					require.NotEqual(t, http.StatusOK, got.StatusCode, "cut after %q", head[:cut])
				}
			}
		})
	}
}

// passingNames returns the default header names, with which callers set request ids.
func passingNames() entry.HeaderNames {
	n := entry.DefaultHeaderNames()
	n.PassCallerIDs = true
	return n
}
