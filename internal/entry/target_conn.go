package entry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// settleTimeout bounds the wait until net/http reads again on a reused
	// connection. 5 ms made attempts fail on a busy machine. A connection with stray
	// bytes does not use up the time: net/http closes it, which ends the wait.
	settleTimeout = 200 * time.Millisecond
	// settlePollInterval is the interval at which that wait checks the connection.
	settlePollInterval = 20 * time.Microsecond
	// maxTransports bounds how many transports are kept so that a shutdown can close
	// their connections. Those of older transports close by their idle timeout.
	maxTransports = 8
)

var (
	errConnAborted = errors.New("the attempt on this connection has ended")
	errStrayInput  = errors.New("the target sent bytes that answer no request")
)

// targetConn is a connection to a target. It proves whether a byte of a request
// was sent, which decides whether the request may be retried, and it detects stray
// bytes, which arrive while no request is open, and malformed answers. It serves one
// request at a time.
type targetConn struct {
	net.Conn

	mu sync.Mutex
	// generation is the number of the current request on this connection, from 1.
	generation uint64
	// requestOpen is set from before the first byte of the current request is sent
	// until the end of its answer.
	requestOpen bool
	// firstByteAt is when the first byte of the current request was sent, or zero.
	firstByteAt time.Time
	// aborted is set once nothing more may be sent.
	aborted bool
	// reading is set while net/http waits for input, which it does only when it has
	// processed all earlier input.
	reading bool
	// answer checks the answer to the current request.
	answer answerChecker
	// answerErr is why that answer is malformed, or nil.
	answerErr error
}

// newTargetConn returns a connection to a target whose answers may have a header of
// up to maxHeader bytes.
func newTargetConn(conn net.Conn, maxHeader int) *targetConn {
	return &targetConn{Conn: &resetConn{Conn: conn}, answer: answerChecker{limit: maxHeader}}
}

// beginRequest starts a request and returns its number on the connection. It
// returns false if the connection cannot take one, because it was aborted or, when
// reused, has input left from an earlier request. That input would be taken for
// the answer.
func (c *targetConn) beginRequest(reused, noBody bool) (uint64, bool) {
	for end := time.Now().Add(settleTimeout); ; time.Sleep(settlePollInterval) {
		gen, state := c.tryBeginRequest(reused, noBody)
		if state != connUnsettled {
			return gen, state == connReady
		}
		if time.Now().After(end) {
			return 0, false
		}
	}
}

// connState is whether a connection can take a request.
type connState int

const (
	connReady connState = iota + 1
	// connUnsettled means that net/http does not yet wait for input on a reused
	// connection, so that it may hold input from an earlier request.
	connUnsettled
	// connUnusable means that the connection was aborted.
	connUnusable
)

// tryBeginRequest starts a request if the connection is ready for one.
func (c *targetConn) tryBeginRequest(reused, noBody bool) (uint64, connState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.aborted {
		return 0, connUnusable
	}
	if reused && !c.reading {
		return 0, connUnsettled
	}
	c.generation++
	c.requestOpen = false
	c.firstByteAt = time.Time{}
	c.answer.begin(noBody)
	c.answerErr = nil
	return c.generation, connReady
}

// endRequest marks the end of the answer to request gen, after which input is
// stray. It does nothing if the next request has begun.
func (c *targetConn) endRequest(gen uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.generation == gen {
		c.requestOpen = false
	}
}

// firstByteSentAt returns when the first byte of the current request was sent, or
// the zero time.
func (c *targetConn) firstByteSentAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.firstByteAt
}

// abort closes the connection and reports whether a byte of the request may have
// been sent. After it returned false, no byte will be sent, even if net/http is
// about to write one.
func (c *targetConn) abort() bool {
	c.Close() //nolint:errcheck // The connection is not used any more.
	return !c.firstByteSentAt().IsZero()
}

// Close implements net.Conn. Once it was called, Write fails.
func (c *targetConn) Close() error {
	c.mu.Lock()
	c.aborted = true
	c.mu.Unlock()
	return c.Conn.Close()
}

// Write implements net.Conn. It fails with errConnAborted if the connection was aborted.
func (c *targetConn) Write(p []byte) (int, error) {
	if err := c.markSent(); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// markSent records that a byte of the current request is about to be sent. It fails
// if the connection was aborted.
func (c *targetConn) markSent() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.aborted {
		return errConnAborted
	}
	c.requestOpen = true
	if c.firstByteAt.IsZero() {
		c.firstByteAt = time.Now()
	}
	return nil
}

// Read implements net.Conn. On stray bytes and on bytes that make an answer malformed
// it aborts the connection and returns none of them.
func (c *targetConn) Read(p []byte) (int, error) {
	c.startReading()
	n, err := c.Conn.Read(p)
	if invalid := c.checkInput(p[:n]); invalid != nil {
		c.abort()
		return 0, invalid
	}
	return n, err
}

// startReading records that net/http waits for input.
func (c *targetConn) startReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = true
}

// checkInput ends the wait for input. It returns an error if the input answers no
// request or makes the answer malformed.
func (c *targetConn) checkInput(in []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
	if len(in) == 0 {
		return nil
	}
	if !c.requestOpen || c.aborted {
		return errStrayInput
	}
	c.answerErr = c.answer.check(in)
	return c.answerErr
}

// answerError returns why the answer to the current request is malformed, or nil.
func (c *targetConn) answerError() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answerErr
}

// transports holds the transport to targets that is in use and earlier ones, which
// may still have connections of requests in flight. It is safe for concurrent use.
type transports struct {
	mu sync.Mutex
	// all ends with the transport in use.
	all []*http.Transport
	// maxConns is the maximum number of connections to one target of the transport in use.
	maxConns int
}

// set replaces the transport in use if MaxTargetConns differs. Otherwise it keeps
// it, since a new transport starts without idle connections.
func (t *transports) set(l Limits) {
	if !t.differs(l.MaxTargetConns) {
		return
	}
	t.closeIdle()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.maxConns = l.MaxTargetConns
	t.all = append(t.all, newTransport(l))
	if len(t.all) > maxTransports {
		t.all = t.all[len(t.all)-maxTransports:]
	}
}

// differs reports whether conns differs from the maximum of the transport in use.
func (t *transports) differs(conns int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.maxConns != conns
}

// current returns the transport in use.
func (t *transports) current() *http.Transport {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.all[len(t.all)-1]
}

// closeIdle closes the idle connections of all transports.
func (t *transports) closeIdle() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, transport := range t.all {
		transport.CloseIdleConnections()
	}
}

// newTransport returns a transport to targets. Compression, proxies and HTTP/2 are
// off, so that a target's bytes reach the caller unchanged.
func newTransport(l Limits) *http.Transport {
	dialer := &net.Dialer{Timeout: l.DialTimeout}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return newTargetConn(conn, l.MaxHeader), nil
		},
		DisableCompression:     true,
		MaxIdleConns:           0,
		MaxIdleConnsPerHost:    l.MaxTargetConns,
		MaxConnsPerHost:        l.MaxTargetConns,
		IdleConnTimeout:        l.TargetIdleTimeout,
		MaxResponseHeaderBytes: int64(l.MaxHeader),
	}
}
