package link

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// Faults injects network faults into links: delays, and the loss of all bytes in
// one direction of the links to chosen hosts, as in a one-way partition. Once a
// connection has lost bytes, it loses all later bytes of that direction too, so
// that the other side never sees a corrupt stream. It is safe for concurrent use.
type Faults struct {
	// mu guards dropTo and dropFrom, which hold true for the hosts whose bytes are
	// dropped.
	mu       sync.Mutex
	dropTo   map[model.HostID]bool
	dropFrom map[model.HostID]bool
	// delayNanos is the delay of each write in nanoseconds.
	delayNanos atomic.Int64
}

// NewFaults returns a Faults without any fault.
func NewFaults() *Faults {
	return &Faults{dropTo: map[model.HostID]bool{}, dropFrom: map[model.HostID]bool{}}
}

// DropTo starts or stops dropping everything that is sent to a host.
func (f *Faults) DropTo(host model.HostID, drop bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dropTo[host] = drop
}

// DropFrom starts or stops dropping everything that is received from a host.
func (f *Faults) DropFrom(host model.HostID, drop bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dropFrom[host] = drop
}

// SetDelay delays every write of this process to a link by d. Writes to a link are
// made one after another, so this also limits a link to one write in that time.
func (f *Faults) SetDelay(d time.Duration) { f.delayNanos.Store(int64(d)) }

func (f *Faults) dropsTo(host model.HostID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.dropTo[host]
}

func (f *Faults) dropsFrom(host model.HostID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.dropFrom[host]
}

// wrap returns a connection to a host with the faults injected. A nil Faults
// returns c itself.
func (f *Faults) wrap(c net.Conn, host model.HostID) net.Conn {
	if f == nil {
		return c
	}
	return &faultyConn{Conn: c, faults: f, host: host}
}

// faultyConn is a connection to a host with injected faults.
type faultyConn struct {
	net.Conn
	faults *Faults
	host   model.HostID
	// dropsWrites and dropsReads are set once bytes of that direction were dropped.
	dropsWrites atomic.Bool
	dropsReads  atomic.Bool
}

func (c *faultyConn) Write(p []byte) (int, error) {
	if c.dropsWrites.Load() || c.faults.dropsTo(c.host) {
		c.dropsWrites.Store(true)
		return len(p), nil
	}
	if d := time.Duration(c.faults.delayNanos.Load()); d > 0 {
		sleepPrecisely(d)
	}
	return c.Conn.Write(p)
}

func (c *faultyConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil {
			return n, err
		}
		if !c.dropsReads.Load() && !c.faults.dropsFrom(c.host) {
			return n, nil
		}
		c.dropsReads.Store(true)
	}
}

// maxSleepOvershoot bounds how late time.Sleep returns. A sleep of 0.5 ms took 1.1 ms.
const maxSleepOvershoot = 1500 * time.Microsecond

// sleepPrecisely waits for d. It sleeps for most of that time and polls the clock
// for the rest, since time.Sleep may return late.
func sleepPrecisely(d time.Duration) {
	begin := time.Now()
	if d > maxSleepOvershoot {
		time.Sleep(d - maxSleepOvershoot)
	}
	for time.Since(begin) < d {
		runtime.Gosched()
	}
}

// faultyWriter is the ResponseWriter of an accepted link. It injects faults into
// the connection that it hands over to the WebSocket.
type faultyWriter struct {
	http.ResponseWriter
	faults *Faults
	host   model.HostID
}

// Hijack implements http.Hijacker. Its connection has the faults injected.
func (w faultyWriter) Hijack() (net.Conn, *bufio.ReadWriter, error) {
	h, ok := w.ResponseWriter.(http.Hijacker)
	if !ok {
		return nil, nil, errors.New("the server cannot hand over its connection; serve links over HTTP/1.1")
	}
	c, rw, err := h.Hijack()
	if err != nil {
		return nil, nil, fmt.Errorf("hand over connection: %w", err)
	}
	if err := rw.Flush(); err != nil {
		return nil, nil, fmt.Errorf("hand over connection: %w", err)
	}
	faulty := w.faults.wrap(c, w.host)
	return faulty, bufio.NewReadWriter(rw.Reader, bufio.NewWriter(faulty)), nil
}
