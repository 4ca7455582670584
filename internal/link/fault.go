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

// Faults delays links, and drops the bytes of one direction of the links to chosen hosts, as a
// one-way partition does. A connection that lost bytes stays without them, so
// that the far side never sees a corrupt stream. It is safe for concurrent use.
type Faults struct {
	mu   sync.Mutex
	to   map[model.HostID]bool
	from map[model.HostID]bool
	// delay is a time.Duration.
	delay atomic.Int64
}

// NewFaults returns a Faults that drops nothing.
func NewFaults() *Faults {
	return &Faults{to: map[model.HostID]bool{}, from: map[model.HostID]bool{}}
}

// DropTo drops, or no longer drops, everything sent to a host.
func (f *Faults) DropTo(host model.HostID, drop bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.to[host] = drop
}

// DropFrom drops, or no longer drops, everything received from a host.
func (f *Faults) DropFrom(host model.HostID, drop bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.from[host] = drop
}

// SetDelay holds back everything that this process sends. Writes to a link follow
// each other, so it also limits a link to one write in that time.
func (f *Faults) SetDelay(d time.Duration) { f.delay.Store(int64(d)) }

func (f *Faults) dropsTo(host model.HostID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.to[host]
}

func (f *Faults) dropsFrom(host model.HostID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.from[host]
}

// wrap applies the faults of a host to a connection. A nil Faults changes nothing.
func (f *Faults) wrap(c net.Conn, host model.HostID) net.Conn {
	if f == nil {
		return c
	}
	return &faultyConn{Conn: c, faults: f, host: host}
}

type faultyConn struct {
	net.Conn
	faults *Faults
	host   model.HostID
	// lostOut and lostIn are set once a byte of that direction was dropped.
	lostOut atomic.Bool
	lostIn  atomic.Bool
}

func (c *faultyConn) Write(p []byte) (int, error) {
	if c.lostOut.Load() || c.faults.dropsTo(c.host) {
		c.lostOut.Store(true)
		return len(p), nil
	}
	if d := time.Duration(c.faults.delay.Load()); d > 0 {
		hold(d)
	}
	return c.Conn.Write(p)
}

func (c *faultyConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil {
			return n, err
		}
		if !c.lostIn.Load() && !c.faults.dropsFrom(c.host) {
			return n, nil
		}
		c.lostIn.Store(true)
	}
}

// sleepError is by how much time.Sleep may be late: 0.5 ms took 1.1 ms.
const sleepError = 1500 * time.Microsecond

// hold waits for d without that error.
func hold(d time.Duration) {
	begin := time.Now()
	if d > sleepError {
		time.Sleep(d - sleepError)
	}
	for time.Since(begin) < d {
		runtime.Gosched()
	}
}

// faultyWriter applies faults to the connection of an accepted link.
type faultyWriter struct {
	http.ResponseWriter
	faults *Faults
	host   model.HostID
}

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
