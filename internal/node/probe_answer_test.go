package node

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/stretchr/testify/require"

	"tarragongauge.example/tarragongauge/internal/pool"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// startRawTarget returns the address of a target that answers each connection by
// send, which gets the request's first bytes read.
func startRawTarget(t *testing.T, send func(c net.Conn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	group := pond.NewPool(0)
	group.Submit(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			group.Submit(func() {
				defer c.Close() //nolint:errcheck // the prober has closed it
				_, _ = c.Read(make([]byte, 4096))
				send(c)
			})
		}
	})
	t.Cleanup(func() {
		_ = l.Close()
		group.StopAndWait()
	})
	return l.Addr().String()
}

// sendForever writes text until the other side closes, and pauses after each write.
func sendForever(c net.Conn, text string, pause time.Duration) {
	for {
		if _, err := c.Write([]byte(text)); err != nil {
			return
		}
		time.Sleep(pause)
	}
}

// probeAll runs probes of an address at once and returns how many succeeded.
func probeAll(t *testing.T, addr string, count int) int {
	t.Helper()
	results := make(chan pool.Probed, count)
	p, stop := newProber(context.Background(), func(model.ServiceName) string { return "/health" }, func(r pool.Probed) { results <- r })
	defer stop()
	healthy := 0
	for range count {
		p.start(pool.Probe{Service: "s", Target: "t", Addr: addr})
	}
	for range count {
		select {
		case r := <-results:
			if r.OK {
				healthy++
			}
		case <-time.After(10 * probeTimeout):
			require.Fail(t, "a probe has no result")
		}
	}
	return healthy
}

// peakHeap runs a function and returns by how much the heap grew at its peak.
func peakHeap(run func()) int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	before := int64(stats.HeapInuse)
	var peak atomic.Int64
	done := make(chan struct{})
	group := pond.NewPool(1)
	group.Submit(func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(5 * time.Millisecond):
				var stats runtime.MemStats
				runtime.ReadMemStats(&stats)
				peak.Store(max(peak.Load(), int64(stats.HeapInuse)))
			}
		}
	})
	run()
	close(done)
	group.StopAndWait()
	return peak.Load() - before
}

// Guards against a health check that keeps the bytes that a target sends without
// end, in a head or a body, until its timeout: 125 MB a second from one target
// ended one control process after the other. All probe workers are busy at once.
func TestProbesKeepNothingOfEndlessAnswers(t *testing.T) {
	// Each target sends about 50 MB a second.
	const partPause = 5 * time.Millisecond
	part := strings.Repeat("x", 256<<10)
	line := "X-Part: " + strings.Repeat("x", 1000) + "\r\n"
	for name, send := range map[string]func(net.Conn){
		"body without length": func(c net.Conn) {
			_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\n\r\n"))
			sendForever(c, part, partPause)
		},
		"body of a huge length": func(c net.Conn) {
			_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n"))
			sendForever(c, part, partPause)
		},
		"body in chunks": func(c net.Conn) {
			_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"))
			sendForever(c, fmt.Sprintf("%x\r\n%s\r\n", len(part), part), partPause)
		},
		"body of a failure": func(c net.Conn) {
			_, _ = c.Write([]byte("HTTP/1.1 503 Service Unavailable\r\n\r\n"))
			sendForever(c, part, partPause)
		},
		"slow body": func(c net.Conn) {
			_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\n\r\n"))
			sendForever(c, "x", 10*time.Millisecond)
		},
		"head": func(c net.Conn) {
			_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\n"))
			sendForever(c, strings.Repeat(line, 256), partPause)
		},
		"status line":         func(c net.Conn) { sendForever(c, part, partPause) },
		"line of the head":    func(c net.Conn) { _, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nX: ")); sendForever(c, part, partPause) },
		"provisional answers": func(c net.Conn) { sendForever(c, "HTTP/1.1 103 Early Hints\r\n"+line+"\r\n", 0) },
		"trailers": func(c net.Conn) {
			_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n"))
			sendForever(c, strings.Repeat(line, 256), partPause)
		},
	} {
		t.Run(name, func(t *testing.T) {
			addr, healthy := startRawTarget(t, send), -1
			grown := peakHeap(func() { healthy = probeAll(t, addr, probeWorkers) })
			require.Zero(t, healthy)
			require.Less(t, grown, int64(16<<20), "of 280 MB that a control host may use")
		})
	}
}

// Guards against cookies of health checks that are kept, one more with each probe,
// and against a probe that decides by a part of an answer.
func TestProbesAreDecidedByWholeAnswers(t *testing.T) {
	var cookies, conns atomic.Int64
	target := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Cookie") != "" {
			cookies.Add(1)
		}
		w.Header().Set("Set-Cookie", "a=b")
		_, _ = w.Write(make([]byte, maxProbeBody))
	}))
	target.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		if s == http.StateNew {
			conns.Add(1)
		}
	}
	target.Start()
	t.Cleanup(target.Close)
	p, stop := newProber(context.Background(), func(model.ServiceName) string { return "/" }, func(pool.Probed) {})
	t.Cleanup(stop)
	for range 5 {
		ok, _ := p.get(target.URL)
		require.True(t, ok)
	}
	require.Equal(t, int64(1), conns.Load(), "the connection is used again")
	require.Zero(t, cookies.Load())

	cut := startRawTarget(t, func(c net.Conn) { _, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf")) })
	ok, _ := p.get("http://" + cut)
	require.False(t, ok)
}

// Guards against a health check that takes a malformed answer for a healthy one: the
// entry hosts refuse such answers, so that the target can serve no caller.
func TestProbesFailOnMalformedAnswers(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	healthy := map[string]string{
		"length": ok + "Content-Length: 2\r\n\r\nok", "chunks": ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"no length": ok + "\r\nok", "HTTP/1.0": "HTTP/1.0 200 OK\r\n\r\nok", "no reason": "HTTP/1.1 200\r\nContent-Length: 0\r\n\r\n",
	}
	malformed := map[string]string{
		"status": "HTTP/1.1 000 x\r\nContent-Length: 0\r\n\r\n", "version": "HTTP/2.0 200 OK\r\nContent-Length: 0\r\n\r\n",
		"two blanks in the status line": "HTTP/1.1  200 OK\r\nContent-Length: 0\r\n\r\n", "control byte in the reason": "HTTP/1.1 200 \x00\r\nContent-Length: 0\r\n\r\n",
		"blank in a name": ok + "X A: b\r\nContent-Length: 0\r\n\r\n", "blank after a name": ok + "Content-Length : 0\r\n\r\n", "control byte in a name": ok + "X\x00A: b\r\n\r\n",
		"folded line": ok + "X-A: b\r\n Content-Length: 0\r\n\r\n", "length and chunks": ok + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"chunks in HTTP/1.0": "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"blank in a trailer": ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX A: b\r\n\r\n",
	}
	probe := func(text string) int {
		return probeAll(t, startRawTarget(t, func(c net.Conn) { _, _ = c.Write([]byte(text)) }), 1)
	}
	for name, text := range healthy {
		t.Run(name, func(t *testing.T) { require.Equal(t, 1, probe(text)) })
	}
	for name, text := range malformed {
		t.Run(name, func(t *testing.T) { require.Zero(t, probe(text)) })
	}
}
