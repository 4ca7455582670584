package logs

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/alitto/pond/v2"
)

const (
	// maxQueuedLines is the number of lines that may wait for a slow output, about
	// what a process writes in 10 s within the budgets of this package.
	maxQueuedLines = 512
	// closeTimeout bounds the time for writing the queued lines when a process stops.
	closeTimeout = 500 * time.Millisecond
)

// Writer queues lines for an output that may block. A line that does not fit in
// the queue is dropped and counted, so that no request ever waits for the log.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Uint64
	pool    pond.Pool
	done    chan struct{}
}

// NewWriter returns a writer and a function that closes it, which takes at most
// half a second to write the queued lines.
func NewWriter(out io.Writer) (*Writer, func()) {
	w := &Writer{out: out, lines: make(chan []byte, maxQueuedLines), pool: pond.NewPool(1), done: make(chan struct{})}
	w.pool.Submit(w.run)
	return w, w.close
}

// Write queues a line. It never blocks and never returns an error.
func (w *Writer) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	select {
	case w.lines <- line:
	default:
		w.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped returns the number of lines dropped so far because the queue was full.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// run writes the queued lines until it receives a nil line. Before the next line
// it reports how many lines were dropped since its last report.
func (w *Writer) run() {
	defer close(w.done)
	var reported uint64
	for line := range w.lines {
		if line == nil {
			return
		}
		if n := w.dropped.Load(); n != reported {
			_, _ = fmt.Fprintf(w.out, "{\"level\":\"info\",\"message\":\"log lines dropped: the output is too slow\",\"count\":%d}\n", n-reported)
			reported = n
		}
		_, _ = w.out.Write(line) // an error of the log output cannot be logged
	}
}

// close stops the writer once the queued lines are written, at the latest after
// closeTimeout.
func (w *Writer) close() {
	timer := time.NewTimer(closeTimeout)
	defer timer.Stop()
	select {
	case w.lines <- nil:
	case <-timer.C:
		return
	}
	select {
	case <-w.done:
	case <-timer.C:
	}
}
