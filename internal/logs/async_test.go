package logs

import (
	"bytes"
	"io"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tarragongauge.example/tarragongauge/internal/conf"
)

// Guards against a request that blocks on a log whose reader has stopped: once
// the pipe and the queue are full, every further line must be dropped at once.
func TestBlockedPipeDropsLines(t *testing.T) {
	r, out, err := os.Pipe()
	require.NoError(t, err)
	w, stop := NewWriter(out)
	log, _ := New(conf.Log{Level: "info", Format: "json"}, w)
	requests := log.WithName(RequestLoggerName)
	line := strings.Repeat("x", 4096)
	begin := time.Now()
	for range requestBurst {
		requests.Info("request ended", FieldOutcome, "unknown", "text", line)
	}
	for range 2 * maxQueuedLines {
		_, _ = w.Write([]byte(line))
	}
	require.Less(t, time.Since(begin), 5*time.Second, "the writer does not block")
	require.NotZero(t, w.Dropped())

	var read bytes.Buffer
	var group sync.WaitGroup
	group.Go(func() { _, _ = io.Copy(&read, r) })
	require.Eventually(t, func() bool { _, _ = w.Write([]byte("more\n")); return len(w.lines) < maxQueuedLines/2 }, 5*time.Second, 5*time.Millisecond)
	stop()
	require.NoError(t, out.Close())
	group.Wait()
	require.Contains(t, read.String(), "log lines dropped")
}

// Guards against queued lines that are lost when a process stops.
func TestWriterFlushesQueueOnClose(t *testing.T) {
	var out bytes.Buffer
	w, stop := NewWriter(&out)
	for range 100 {
		_, _ = w.Write([]byte("line\n"))
	}
	stop()
	require.Equal(t, 100, strings.Count(out.String(), "line\n"))
}
