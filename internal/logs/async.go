package logs

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/alitto/pond/v2"
)

const (
	// queueLines is how many lines may wait for a slow output: what a process
	// writes in about 10 s at the budgets of this package.
	queueLines = 512
	// closeWait bounds the writing of what waits when a process stops.
	closeWait = 500 * time.Millisecond
)

// Writer hands lines to an output that may block. A line that finds no room is
// dropped and counted, so that no request ever waits for the log.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Uint64
	group   pond.Pool
	done    chan struct{}
}

// NewWriter returns a writer and its clean-up function, which writes what waits
// for at most half a second.
func NewWriter(out io.Writer) (*Writer, func()) {
	w := &Writer{out: out, lines: make(chan []byte, queueLines), group: pond.NewPool(1), done: make(chan struct{})}
	w.group.Submit(w.run)
	return w, w.close
}

// Write queues a line. It never blocks and never fails.
func (w *Writer) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	select {
	case w.lines <- line:
	default:
		w.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped returns the number of lines that found no room so far.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

func (w *Writer) run() {
	defer close(w.done)
	var told uint64
	for line := range w.lines {
		if line == nil {
			return
		}
		if n := w.dropped.Load(); n != told {
			_, _ = fmt.Fprintf(w.out, "{\"level\":\"info\",\"message\":\"log lines dropped: the output is too slow\",\"count\":%d}\n", n-told)
			told = n
		}
		_, _ = w.out.Write(line) // an output that fails has no other place to report to
	}
}

// close ends the writer once what waits is written, or after closeWait.
func (w *Writer) close() {
	timer := time.NewTimer(closeWait)
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
