package entry_test

import (
	"bufio"
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/stretchr/testify/require"

	"tarragongauge.example/tarragongauge/internal/entry"
	"tarragongauge.example/tarragongauge/internal/stub"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// rawRequest returns a request with keyA as it is sent on a connection.
func rawRequest(path string) string {
	return "GET " + path + " HTTP/1.1\r\nHost: h\r\nX-Api-Key: " + keyA + "\r\n\r\n"
}

// readStatuses reads n complete responses and returns their statuses, and whether the
// last one announced that the connection closes.
func readStatuses(t *testing.T, in *bufio.Reader, n int) (statuses []int, announced bool) {
	t.Helper()
	for i := range n {
		res, err := http.ReadResponse(in, nil)
		require.NoError(t, err, "request %d ended without a response", i+1)
		_, err = io.Copy(io.Discard, res.Body)
		require.NoError(t, err, "request %d ended without a complete response", i+1)
		statuses, announced = append(statuses, res.StatusCode), res.Close
	}
	return statuses, announced
}

func write(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	_, err := io.WriteString(conn, text)
	require.NoError(t, err)
}

// stopInBackground stops the host within two seconds while the test goes on.
func (h *testHost) stopInBackground(t *testing.T) pond.Task {
	t.Helper()
	workers := pond.NewPool(1)
	t.Cleanup(workers.StopAndWait)
	return workers.SubmitErr(func() error {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		return h.stop(ctx)
	})
}

// TestStopAnswersWhatHasArrived guards against a stop that closes a connection with
// requests that have arrived, or whose header arrives in part, without a response.
func TestStopAnswersWhatHasArrived(t *testing.T) {
	for name, c := range map[string]struct {
		// before is sent first and answered with 200, unless it is empty.
		before string
		// early arrives before the stop, late 100 ms after it has begun.
		early, late string
		want        []int
	}{
		"pipelined behind a running request":    {"", rawRequest("/lookup/1") + rawRequest("/lookup/2"), "", []int{200, 503}},
		"pipelined in three pieces":             {"", rawRequest("/lookup/1"), rawRequest("/lookup/2") + rawRequest("/lookup/3"), []int{200, 503, 503}},
		"first header in part":                  {"", rawRequest("/lookup/1")[:30], rawRequest("/lookup/1")[30:], []int{503}},
		"header in part on a kept connection":   {rawRequest("/lookup/0"), rawRequest("/lookup/1")[:30], rawRequest("/lookup/1")[30:], []int{503}},
		"request on a connection just used":     {rawRequest("/lookup/0"), "", rawRequest("/lookup/1"), []int{503}},
		"request on a connection just accepted": {"", "", rawRequest("/lookup/1"), []int{503}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHost(t)
			h.addStubTarget(t, stub.Behavior{DelayMS: 300})
			conn := h.dial(t)
			in := bufio.NewReader(conn)
			if c.before != "" {
				write(t, conn, c.before)
				readStatuses(t, in, 1)
			}
			write(t, conn, c.early)
			time.Sleep(50 * time.Millisecond)
			stopped := h.stopInBackground(t)
			time.Sleep(100 * time.Millisecond)
			write(t, conn, c.late)
			got, announced := readStatuses(t, in, len(c.want))
			require.Equal(t, c.want, got)
			require.True(t, announced, "the last response announces the end of the connection")
			_, err := in.ReadByte()
			require.ErrorIs(t, err, io.EOF, "the connection ends without a reset")
			require.NoError(t, stopped.Wait())
		})
	}
}

// TestStopAcceptsWaitingConnections guards against a stop that resets connections
// which the kernel has accepted and the server has not.
func TestStopAcceptsWaitingConnections(t *testing.T) {
	for range 6 {
		h := newHost(t)
		h.mustDo(t, "GET", "/nowhere", "") // The host has begun to accept.
		var conns []net.Conn
		for range 16 {
			conn := h.dial(t)
			write(t, conn, rawRequest("/lookup/1"))
			conns = append(conns, conn)
		}
		stopped := h.stopInBackground(t)
		for _, conn := range conns {
			res, err := http.ReadResponse(bufio.NewReader(conn), nil)
			require.NoError(t, err, "a connection was reset")
			require.Equal(t, http.StatusServiceUnavailable, res.StatusCode)
			require.NoError(t, conn.Close())
		}
		require.NoError(t, stopped.Wait())
	}
}

// TestWithdrawnKeyAnswersWhatHasArrived guards against a connection that is closed,
// because its key was withdrawn, with requests unread: the reset also destroys the
// responses that the caller has not read yet.
func TestWithdrawnKeyAnswersWhatHasArrived(t *testing.T) {
	for name, c := range map[string]struct {
		pieces []string
		want   []int
	}{
		"three pieces":    {[]string{rawRequest("/lookup/1"), rawRequest("/lookup/2"), rawRequest("/open/3")}, []int{200, 401, 200}},
		"last in part":    {[]string{rawRequest("/lookup/1"), rawRequest("/lookup/2"), rawRequest("/open/3")[:20], rawRequest("/open/3")[20:]}, []int{200, 401, 200}},
		"a malformed one": {[]string{rawRequest("/lookup/1"), "GET /x HTTP/1.1\r\n\r\n"}, []int{200, 400}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHost(t)
			target := h.addStubTarget(t, stub.Behavior{DelayMS: 150})
			conn := h.dial(t)
			for i, piece := range c.pieces {
				write(t, conn, piece)
				time.Sleep(20 * time.Millisecond)
				if i == 2 {
					require.Equal(t, 1, target.Running())
				}
				if i == min(2, len(c.pieces)-1) {
					h.fake.update(func() { h.fake.cfg.Keys = model.Keys{} })
					h.WithdrawKey(sha256.Sum256([]byte(keyA)))
				}
			}
			time.Sleep(50 * time.Millisecond) // what would be reset has left the host
			in := bufio.NewReader(conn)
			got, _ := readStatuses(t, in, len(c.want))
			require.Equal(t, c.want, got)
			_, err := in.ReadByte()
			require.ErrorIs(t, err, io.EOF, "the connection ends without a reset")
		})
	}
}

// TestNextRequestAfterWithdrawalIsAnswered guards against a connection that closes
// right after a response that did not announce it: a caller that sends its next
// request then gets no response.
func TestNextRequestAfterWithdrawalIsAnswered(t *testing.T) {
	for name, wait := range map[string]time.Duration{"at once": 0, "after 50 ms": 50 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			h := newHost(t)
			part, finish := make(chan struct{}), make(chan struct{})
			h.addTarget(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
				if r.URL.Path != "/lookup/1" {
					return
				}
				_, _ = io.WriteString(w, strings.Repeat("x", 100<<10))
				_ = http.NewResponseController(w).Flush()
				close(part)
				<-finish
			}))
			conn := h.dial(t)
			in := bufio.NewReader(conn)
			write(t, conn, rawRequest("/lookup/1"))
			<-part
			res, err := http.ReadResponse(in, nil)
			require.NoError(t, err)
			h.WithdrawKey(sha256.Sum256([]byte(keyA)))
			close(finish)
			_, err = io.Copy(io.Discard, res.Body)
			require.NoError(t, err)
			require.False(t, res.Close)
			time.Sleep(wait)
			write(t, conn, rawRequest("/open/2"))
			next, err := http.ReadResponse(in, nil)
			require.NoError(t, err, "the next request ended without a response")
			require.True(t, next.Close)
		})
	}
}

// TestPartOfAHeaderDoesNotEndARunningRequest guards against a request that is
// canceled because the header of a pipelined one does not arrive in time.
func TestPartOfAHeaderDoesNotEndARunningRequest(t *testing.T) {
	limits := entry.DefaultLimits()
	limits.HeaderTimeout = 100 * time.Millisecond
	h := newHost(t, entry.WithLimits(limits))
	h.addStubTarget(t, stub.Behavior{DelayMS: 400})
	conn := h.dial(t)
	write(t, conn, rawRequest("/lookup/1")+rawRequest("/lookup/2")[:30])
	in := bufio.NewReader(conn)
	got, _ := readStatuses(t, in, 1)
	require.Equal(t, "[200]", fmt.Sprint(got))
	began := time.Now()
	_, err := in.ReadByte()
	require.ErrorIs(t, err, io.EOF, "the time for the rest of the header is bounded")
	require.Less(t, time.Since(began), time.Second)
}

// TestRequestsThatMeetTheEndOfAnIdleConnection guards against a request that arrives
// while its connection is about to end, and whose body is then not read.
func TestRequestsThatMeetTheEndOfAnIdleConnection(t *testing.T) {
	h := newHost(t)
	h.addStubTarget(t, stub.Behavior{})
	for i := range 30 {
		conn := h.dial(t)
		in := bufio.NewReader(conn)
		write(t, conn, rawRequest("/lookup/0"))
		readStatuses(t, in, 1)
		withdrawnAt := time.Now()
		h.WithdrawKey(sha256.Sum256([]byte(keyA)))
		// The connection ends 250 ms after its last response.
		time.Sleep(time.Until(withdrawnAt.Add(248*time.Millisecond + time.Duration(i)*200*time.Microsecond)))
		if _, err := io.WriteString(conn, "POST /open/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbo"); err != nil {
			continue
		}
		time.Sleep(2 * time.Millisecond)
		if _, err := io.WriteString(conn, "dy"); err != nil {
			continue
		}
		res, err := http.ReadResponse(in, nil)
		if err == nil {
			require.Equal(t, http.StatusOK, res.StatusCode, "a request that was taken is read completely")
		}
		require.NoError(t, conn.Close())
	}
}
