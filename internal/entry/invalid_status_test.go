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
	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/internal/stub"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// statusLineTarget adds a target that answers each request with head, in which %s is
// replaced by the id of the request. It closes the connection afterwards unless keep
// is set. It returns the number of requests that arrived.
func (h *testHost) statusLineTarget(tb testing.TB, head string, keep bool) *atomic.Int64 {
	tb.Helper()
	var arrived atomic.Int64
	h.addRawTarget(tb, func(conn net.Conn, in *bufio.Reader) {
		for {
			req, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			arrived.Add(1)
			_, _ = fmt.Fprintf(conn, head, req.Header.Get("X-Request-Id"))
			if !keep {
				return
			}
		}
	})
	return &arrived
}

// TestInvalidStatusReachesNoCaller guards against a target's response whose status is
// not a final status of three digits: it must not be passed on, must not end the
// caller's connection without a response, and must not make an order run again.
func TestInvalidStatusReachesNoCaller(t *testing.T) {
	const rest = "\r\nX-Request-Id: %s\r\nContent-Length: 2\r\n\r\nok"
	heads := map[string]string{
		"one digit": "HTTP/1.1 2 x" + rest, "two digits": "HTTP/1.1 20 x" + rest, "four digits": "HTTP/1.1 2000 x" + rest,
		"plus": "HTTP/1.1 +20 x" + rest, "plus and zeros": "HTTP/1.1 +00 x" + rest, "minus zero": "HTTP/1.1 -00 x" + rest,
		"letters": "HTTP/1.1 abc x" + rest, "no status": "HTTP/1.1 " + rest, "200 with a tab": "HTTP/1.1 200\tOK" + rest,
		"two blanks": "HTTP/1.1  200 OK" + rest, "HTTP/0.9": "HTTP/0.9 200 OK" + rest, "HTTP/2.0": "HTTP/2.0 200 OK" + rest,
		"lower case": "http/1.1 200 OK" + rest, "leading blank": " HTTP/1.1 200 OK" + rest, "empty line": "\r\nHTTP/1.1 200 OK" + rest,
		"control byte in the reason": "HTTP/1.1 200 O\x00K" + rest, "CR in the reason": "HTTP/1.1 200 O\rK" + rest, "bare LF": "HTTP/1.1 200 OK" + rest[1:],
		"informational with a body": "HTTP/1.1 199 x" + rest, "informational, then the end": "HTTP/1.1 150 x\r\nX-Request-Id: %s\r\n\r\n",
		"informational without end": "HTTP/1.1 103 x\r\nX-Request-Id: %s\r\n\r\n" + manyInformational(),
	}
	for _, status := range []int{0, 1, 20, 42, 99, 100, 101, 199, 600, 700, 999} {
		heads[fmt.Sprintf("%03d", status)] = fmt.Sprintf("HTTP/1.1 %03d x", status) + rest
	}
	for name, head := range heads {
		for _, keep := range []bool{false, true} {
			if keep && name == "informational, then the end" {
				continue // A final response may still follow.
			}
			t.Run(fmt.Sprint(name, " kept open ", keep), func(t *testing.T) {
				t.Parallel()
				requireNotPassedOn(t, newHost(t), head, keep)
			})
		}
	}
}

// requireNotPassedOn checks that the host passes on no answer of a target that answers
// with head, as statusLineTarget does: an order ends with 502 and is not sent again, a
// lookup is answered by another target.
func requireNotPassedOn(t *testing.T, h *testHost, head string, keep bool) {
	t.Helper()
	arrived := h.statusLineTarget(t, head, keep)
	good := h.addStubTarget(t, stub.Behavior{})
	order, err := h.do(h.newRequest(t, "POST", "/order/x", "b"))
	require.NoError(t, err, "the caller must get a response")
	require.Equal(t, "502 unknown", fmt.Sprint(order.StatusCode, " ", order.outcome()))
	require.Empty(t, good.Journal(), "an order that may have run must not run again")
	require.EqualValues(t, 1, arrived.Load())
	lookup, err := h.do(h.newRequest(t, "GET", "/lookup/x", ""))
	require.NoError(t, err, "the caller must get a response")
	require.Equal(t, "200 ran", fmt.Sprint(lookup.StatusCode, " ", lookup.outcome()))
	require.Len(t, good.Journal(), 1)
	require.Equal(t, []model.AttemptEnd{model.AttemptInvalid, model.AttemptInvalid, model.AttemptOK}, attemptEnds(h.fake))
}

// manyInformational returns more informational responses than any target sends.
func manyInformational() string {
	out := ""
	for range 1000 {
		out += "HTTP/1.1 103 x\r\nLink: </style.css>\r\n\r\n"
	}
	return out
}

// TestValidStatusesReachTheCaller guards against a check that refuses a final status
// from 200 to 599, or a response after an informational one.
func TestValidStatusesReachTheCaller(t *testing.T) {
	const rest = "\r\nX-Request-Id: %s\r\nContent-Length: 2\r\n\r\nok"
	for name, c := range map[string]struct {
		head string
		want int
	}{
		"200": {"HTTP/1.1 200 OK" + rest, 200}, "no reason": {"HTTP/1.1 200" + rest, 200}, "empty reason": {"HTTP/1.1 201 " + rest, 201},
		"499": {"HTTP/1.1 499 x" + rest, 499}, "599": {"HTTP/1.1 599 x" + rest, 599},
		"after 100": {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK" + rest, 200},
		"after 103": {"HTTP/1.1 103 x\r\nLink: </a>\r\n\r\nHTTP/1.1 103 x\r\n\r\nHTTP/1.1 202 OK" + rest, 202},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHost(t)
			h.statusLineTarget(t, c.head, true)
			for range 2 {
				a := h.mustDo(t, "POST", "/order/x", "b")
				require.Equal(t, fmt.Sprint(c.want, " ran ok"), fmt.Sprint(a.StatusCode, " ", a.outcome(), " ", a.body))
			}
		})
	}
}

// TestOrderWithInvalidStatusIsNotStored guards against a response with an invalid
// status that is stored for an order and ends each resend of it without a response.
func TestOrderWithInvalidStatusIsNotStored(t *testing.T) {
	h := newHost(t)
	h.statusLineTarget(t, "HTTP/1.1 000 x\r\nX-Request-Id: %s\r\nContent-Length: 2\r\n\r\nok", true)
	a, err := h.do(h.newRequest(t, "POST", "/strict/x", "b", "Idempotency-Key", "order-1"))
	require.NoError(t, err)
	require.Equal(t, "502 unknown", fmt.Sprint(a.StatusCode, " ", a.outcome()))
	ends := readLocked(h.fake, &h.fake.finishedOrders)
	require.Len(t, ends, 1)
	require.Nil(t, ends[0].Answer)
	require.False(t, ends[0].NotRun)
	require.Eventually(t, func() bool { return h.ActiveRequests() == 0 }, time.Second, time.Millisecond)
}

// TestStoredAnswerWithInvalidStatusIsNotReplayed guards against an answer that an
// earlier version stored with an invalid status: a resend of the order must get a
// response.
func TestStoredAnswerWithInvalidStatusIsNotReplayed(t *testing.T) {
	h := newHost(t)
	h.fake.reservation = entry.Reservation{Answer: &proto.StoredAnswer{Status: 42}}
	a, err := h.do(h.newRequest(t, "POST", "/strict/x", "b", "Idempotency-Key", "order-1"))
	require.NoError(t, err)
	require.Equal(t, "502 unknown", fmt.Sprint(a.StatusCode, " ", a.outcome()))
}
