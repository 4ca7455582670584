package entry

import (
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// lingerTime and lingerBytes bound how much input is read and discarded before
	// a connection is closed that may have more of it. Closing a socket with unread
	// input resets it, and the caller may then lose answers.
	lingerTime  = 250 * time.Millisecond
	lingerBytes = 256 << 10
	// endNoticeTime is how long a connection is idle before this host ends it. A
	// caller that sends its next request right after an answer, which did not
	// announce the end of the connection, gets an answer that does.
	endNoticeTime = 250 * time.Millisecond
	// endPollInterval is the interval at which a stop looks for idle connections.
	endPollInterval = 5 * time.Millisecond
)

// Close implements net.Conn. If the caller may still send, it reads and discards
// input for a short time first, so that the caller gets the answers.
func (c *callerConn) Close() error {
	if !c.dropInput.Load() && (c.discarding.Load() || c.announced.Load() || c.hasUnreadInput()) {
		c.lingerOnce.Do(c.drainInput)
	}
	return c.Conn.Close()
}

// resetOnClose makes the next Close reset the connection, which the caller sees as
// an error. An HTTP/1.0 caller takes an ordinary close for the end of an answer
// that has no length.
func (c *callerConn) resetOnClose() {
	if c == nil {
		return
	}
	c.dropInput.Store(true)
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		tcp.SetLinger(0) //nolint:errcheck // The connection is closed in any case.
	}
}

// drainInput closes the connection for writing and discards input up to
// lingerTime and lingerBytes.
func (c *callerConn) drainInput() {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	if c.Conn.SetReadDeadline(time.Now().Add(lingerTime)) != nil {
		return
	}
	io.CopyN(io.Discard, c.Conn, lingerBytes) //nolint:errcheck // The connection is closed in any case.
}

// hasPipelinedRequests reports whether further requests, or a part of one, have
// arrived that were not started. A connection that is to be closed answers them
// first, since otherwise the caller could not tell whether they ran.
func (c *callerConn) hasPipelinedRequests() bool {
	if c == nil {
		return false
	}
	c.inputMu.Lock()
	defer c.inputMu.Unlock()
	if c.receivedRequests.Load() > c.startedRequests.Load() || c.partialHeader.Load() {
		return true
	}
	return !c.inBody.Load() && !c.discarding.Load() && c.hasUnreadInput()
}

// setState records a state that net/http reports.
func (c *callerConn) setState(state http.ConnState) {
	idle := state == http.StateNew || state == http.StateIdle
	if idle {
		c.idleSince.Store(int64(time.Since(c.acceptedAt)))
	}
	c.idle.Store(idle)
}

// idleTime returns how long the connection has been idle, or 0 if it is not.
func (c *callerConn) idleTime() time.Duration {
	if !c.idle.Load() {
		return 0
	}
	return time.Since(c.acceptedAt) - time.Duration(c.idleSince.Load())
}

// endAfterNotice ends the connection once it has been idle for endNoticeTime. A
// connection that is in use then ends with its next answer.
func (c *callerConn) endAfterNotice() {
	if !c.idle.Load() {
		return
	}
	time.AfterFunc(max(0, endNoticeTime-c.idleTime()), func() {
		if c.idleTime() >= endNoticeTime {
			c.endIdle()
		}
	})
}

// endIdle ends an idle connection unless a request has arrived on it. Closing it
// here would lose a request that net/http is about to read. Instead, the reading
// goroutine is woken up and decides in resumeInput. Input that it has read but not
// counted cancels the end in cancelEnd.
func (c *callerConn) endIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.idle.Load() || c.hasPipelinedRequests() {
		return
	}
	c.endRequested = true
	c.setReadDeadlineLocked(c.deadline) //nolint:errcheck // The connection may already be closed.
}

// cancelEnd takes back endIdle after input has arrived and was counted. Otherwise
// the rest of the request could not be read.
func (c *callerConn) cancelEnd() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.endRequested {
		c.endRequested = false
		c.setReadDeadlineLocked(c.deadline) //nolint:errcheck // The connection may already be closed.
	}
}

// setReadDeadlineLocked sets the connection's read deadline to d, or to now if the
// connection is to end. The caller must hold mu.
func (c *callerConn) setReadDeadlineLocked(d time.Time) error {
	if c.endRequested {
		d = time.Now()
	}
	return c.Conn.SetReadDeadline(d)
}

// resumeInput is called after a read timed out. It reports whether the time-out
// came from endIdle and a request has arrived, or one runs, so that reading goes on.
func (c *callerConn) resumeInput() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.endRequested || c.idle.Load() && !c.hasPipelinedRequests() {
		return false
	}
	c.endRequested = false
	return c.setReadDeadlineLocked(c.deadline) == nil
}

// connSet holds the connections of callers. It is safe for concurrent use.
type connSet struct {
	mu    sync.Mutex
	conns map[*callerConn]struct{}
}

func newConnSet() *connSet { return &connSet{conns: map[*callerConn]struct{}{}} }

func (s *connSet) add(c *callerConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = struct{}{}
}

func (s *connSet) remove(c *callerConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// endIdle ends the connections that have been idle for endNoticeTime and returns
// the number of all connections.
func (s *connSet) endIdle() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.idleTime() >= endNoticeTime {
			c.endIdle()
		}
	}
	return len(s.conns)
}

// dropInput makes the connections close without waiting for further input.
func (s *connSet) dropInput() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.dropInput.Store(true)
	}
}
