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
	// settleTime bounds the wait until a reused connection reads again. 5 ms made
	// attempts fail on a busy machine; net/http closes a connection with stray
	// bytes by itself, which ends the wait.
	settleTime = 200 * time.Millisecond
	// settleStep is the interval of looking during that wait.
	settleStep = 20 * time.Microsecond
	// maxTransports bounds the earlier transports that a shutdown still closes;
	// connections of older ones end by their idle time.
	maxTransports = 8
)

var (
	errSealed = errors.New("the attempt on this connection has ended")
	errStray  = errors.New("the target sent bytes that answer no request")
)

// targetConn proves whether a byte of a request was sent, and detects bytes
// that arrive while no request is open. It serves one request at a time.
type targetConn struct {
	net.Conn

	mu sync.Mutex
	// gen numbers the requests on this connection.
	gen uint64
	// written is set before the first byte of the current request is sent.
	written   bool
	firstByte time.Time
	// sealed connections send nothing more.
	sealed bool
	// reading is set while net/http waits for input and so holds none that it did not use.
	reading bool
}

// begin starts a request. It returns false for a reused connection that has
// input left from the request before; that input would pass for the answer.
func (c *targetConn) begin(reused bool) (uint64, bool) {
	for end := time.Now().Add(settleTime); ; time.Sleep(settleStep) {
		gen, state := c.tryBegin(reused)
		if state != connUnsettled {
			return gen, state == connReady
		}
		if time.Now().After(end) {
			return 0, false
		}
	}
}

// connState says whether a connection can take a request.
type connState int

const (
	connReady connState = iota + 1
	connUnsettled
	connUnusable
)

func (c *targetConn) tryBegin(reused bool) (uint64, connState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return 0, connUnusable
	}
	if reused && !c.reading {
		return 0, connUnsettled
	}
	c.gen++
	c.written = false
	c.firstByte = time.Time{}
	return c.gen, connReady
}

// finish marks the end of the answer, after which input is stray. It does
// nothing if the next request has begun.
func (c *targetConn) finish(gen uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.gen == gen {
		c.written = false
	}
}

// sent returns when the first byte of the request was sent, or the zero time.
func (c *targetConn) sent() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.firstByte
}

// seal closes the connection and reports whether a byte of the request may
// have been sent. After a false result none ever will be, even if net/http is
// about to write it.
func (c *targetConn) seal() bool {
	c.Close() //nolint:errcheck // Nothing depends on the close of a broken connection.
	return !c.sent().IsZero()
}

// Close also lets no further byte be sent.
func (c *targetConn) Close() error {
	c.mu.Lock()
	c.sealed = true
	c.mu.Unlock()
	return c.Conn.Close()
}

func (c *targetConn) Write(p []byte) (int, error) {
	if err := c.mark(); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

func (c *targetConn) mark() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return errSealed
	}
	c.written = true
	if c.firstByte.IsZero() {
		c.firstByte = time.Now()
	}
	return nil
}

func (c *targetConn) Read(p []byte) (int, error) {
	c.setReading(true)
	n, err := c.Conn.Read(p)
	if c.setReading(false) || n == 0 {
		return n, err
	}
	c.seal()
	return 0, errStray
}

// setReading reports whether a request is open.
func (c *targetConn) setReading(on bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = on
	return c.written && !c.sealed
}

// transports holds the transport in use and earlier ones, whose last connections end with their requests.
type transports struct {
	mu  sync.Mutex
	all []*http.Transport
	// conns is the bound of the transport in use.
	conns int
}

// set replaces the transport in use if its bound on connections differs: a new
// transport starts without idle connections.
func (t *transports) set(l Limits) {
	if !t.changes(l.MaxTargetConns) {
		return
	}
	t.closeIdle()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.conns = l.MaxTargetConns
	t.all = append(t.all, newTransport(l))
	if len(t.all) > maxTransports {
		t.all = t.all[len(t.all)-maxTransports:]
	}
}

func (t *transports) changes(conns int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.conns != conns
}

func (t *transports) get() *http.Transport {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.all[len(t.all)-1]
}

func (t *transports) closeIdle() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, transport := range t.all {
		transport.CloseIdleConnections()
	}
}

// newTransport returns the transport to targets. Compression, proxies and
// HTTP/2 are off: a target's bytes reach the caller as they are.
func newTransport(l Limits) *http.Transport {
	dialer := &net.Dialer{Timeout: l.DialTimeout}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &targetConn{Conn: conn}, nil
		},
		DisableCompression:     true,
		MaxIdleConns:           0,
		MaxIdleConnsPerHost:    l.MaxTargetConns,
		MaxConnsPerHost:        l.MaxTargetConns,
		IdleConnTimeout:        l.TargetIdleTimeout,
		MaxResponseHeaderBytes: int64(l.MaxHeader),
	}
}
