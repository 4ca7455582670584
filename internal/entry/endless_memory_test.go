package entry_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/stretchr/testify/require"

	"tarragongauge.example/tarragongauge/internal/entry"
)

// TestEndlessAnswersAtOnceFitIntoMemory guards against a host that keeps the bytes
// which a faulty target sends without end, in a head or a body, to many callers at
// once, and ends over its memory with the requests of all callers.
func TestEndlessAnswersAtOnceFitIntoMemory(t *testing.T) {
	const (
		callers    = 40
		maxAnswer  = 2 << 20
		pieceBytes = 64 << 10
		// maxGrowth is half of the 184 MB of the smallest entry hosts.
		maxGrowth = 92 << 20
	)
	for name, c := range endlessAnswers() {
		t.Run(name, func(t *testing.T) {
			limits := entry.DefaultLimits()
			limits.MaxAnswer, limits.MaxTargetConns = maxAnswer, callers
			h := newHost(t, entry.WithEndlessAnswers(), entry.WithLimits(limits))
			h.fake.update(func() { h.fake.cfg.Defaults.Deadline = endlessDeadline })
			h.addRawTarget(t, func(conn net.Conn, in *bufio.Reader) {
				req, err := http.ReadRequest(in)
				if err != nil {
					return
				}
				head := c.head
				if strings.Contains(head, "%s") {
					head = fmt.Sprintf(head, req.Header.Get("X-Request-Id"))
				}
				piece := strings.Repeat(c.repeated, 1+pieceBytes/len(c.repeated))
				_, err = io.WriteString(conn, head)
				for err == nil {
					_, err = io.WriteString(conn, piece)
				}
			})
			var peak atomic.Int64
			before := heapInUse()
			done := make(chan struct{})
			workers := pond.NewPool(callers + 1)
			workers.Submit(func() {
				for {
					select {
					case <-done:
						return
					case <-time.After(5 * time.Millisecond):
						peak.Store(max(peak.Load(), heapInUse()))
					}
				}
			})
			requests := workers.NewGroup()
			for range callers {
				req := h.newRequest(t, "POST", "/order/x", "")
				requests.Submit(func() {
					res, err := h.http.Do(req)
					if err == nil {
						_, _ = io.Copy(io.Discard, res.Body) // it is cut off at maxAnswer
						_ = res.Body.Close()
					}
				})
			}
			require.NoError(t, requests.Wait())
			close(done)
			workers.StopAndWait()
			require.Less(t, peak.Load()-before, int64(maxGrowth), "for %d answers", callers)
		})
	}
}

// heapInUse returns the size of the heap.
func heapInUse() int64 {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapInuse)
}
