package entry

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"tarragongauge.example/tarragongauge/pkg/model"
)

const (
	// lingerTime and lingerBytes bound the reading of input that is thrown away
	// after a refusal: closing a socket with unread input resets it, and the
	// caller may then lose the answer.
	lingerTime  = 250 * time.Millisecond
	lingerBytes = 256 << 10
	readSize    = 4 << 10
	// malformedChunk makes net/http report a malformed body wherever it stands in a
	// chunked one. An error from Read would instead cancel an earlier request.
	malformedChunk = "!\r\n\r\n"
)

// callerListener wraps each accepted connection in a callerConn.
type callerListener struct {
	net.Listener
	limits Limits
}

func (l callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: conn, headerTime: l.limits.HeaderTimeout, framer: framer{limit: l.limits.MaxHeader}}, nil
}

// callerConn hands a request's header to net/http only once it has checked the
// whole of it. Instead of a header that it refuses, it hands over a request
// for a path that only this host knows, so that the refusal is answered in its
// turn and in the same form as other errors.
type callerConn struct {
	net.Conn
	headerTime time.Duration
	framer     framer
	// in holds input; in[:checked] may be handed over.
	in      []byte
	checked int
	// headerSince is when the first byte of a header that is not complete arrived.
	headerSince time.Time

	mu       sync.Mutex
	deadline time.Time

	refusal atomic.Pointer[refusal]
	// stopped is set once input is thrown away.
	stopped atomic.Bool
	linger  sync.Once
	// idle is set while net/http waits for a request on the connection.
	idle atomic.Bool
	// ending is set when a key that this connection presented was withdrawn.
	ending atomic.Bool

	// framed counts the requests whose header arrived, begun those that net/http
	// has handed to the server.
	framed atomic.Int64
	begun  atomic.Int64

	// presented holds the workspaces by the keys this connection presented; the registry guards it.
	presented map[model.KeyHash]model.WorkspaceID
}

// refusal is the answer to the request at a secret path.
type refusal struct {
	path string
	err  *ErrRefused
}

func (c *callerConn) Read(p []byte) (int, error) {
	for {
		if c.checked > 0 {
			return c.handOver(p), nil
		}
		if c.framer.part == partRefused {
			return 0, c.discard()
		}
		if c.framer.part == partFixed && len(c.in) == 0 {
			return c.readBody(p)
		}
		if err := c.fill(); err != nil {
			return 0, err
		}
	}
}

func (c *callerConn) handOver(p []byte) int {
	n := copy(p, c.in[:c.checked])
	c.in = c.in[n:]
	c.checked -= n
	if len(c.in) == 0 {
		c.in = nil
	}
	return n
}

// readBody reads a part of a fixed body without a copy, and nothing beyond it.
func (c *callerConn) readBody(p []byte) (int, error) {
	n, err := c.Conn.Read(p[:min(int64(len(p)), c.framer.left)])
	c.framer.data(p[:n])
	return n, err
}

// fill reads more input and checks what is complete.
func (c *callerConn) fill() error {
	if err := c.arm(); err != nil {
		return err
	}
	buf := make([]byte, readSize)
	n, err := c.Conn.Read(buf)
	c.in = append(c.in, buf[:n]...)
	c.check()
	if c.checked == 0 {
		return err
	}
	return nil // the next read reports the error again
}

func (c *callerConn) check() {
	for {
		header := c.framer.part == partHeader
		n, refused, err := c.framer.next(c.in[c.checked:])
		if err != nil {
			c.stop(malformedChunk)
			return
		}
		if refused != nil {
			c.substitute(refused)
			return
		}
		if n == 0 {
			return
		}
		if header {
			c.framed.Add(1)
		}
		c.checked += n
	}
}

// substitute replaces the refused header by a request for the refusal's path.
func (c *callerConn) substitute(err *ErrRefused) {
	var b [16]byte
	rand.Read(b[:]) // never returns an error
	path := "/" + hex.EncodeToString(b[:])
	c.refusal.Store(&refusal{path: path, err: err})
	c.stop("GET " + path + " HTTP/1.1\r\nHost: refused\r\nConnection: close\r\n\r\n")
}

// stop hands over a last text in place of the input that was not checked.
func (c *callerConn) stop(last string) {
	c.in = append(c.in[:c.checked:c.checked], last...)
	c.checked = len(c.in)
	c.framer.part = partRefused
	c.stopped.Store(true)
}

// discard reads and throws away until the connection ends. An end of input here
// would cancel an earlier request on the connection.
func (c *callerConn) discard() error {
	buf := make([]byte, readSize)
	for {
		if _, err := c.Conn.Read(buf); err != nil {
			return err
		}
	}
}

// arm applies the header's time limit from its first byte. net/http applies
// its own limit only once it has seen the first bytes of the header.
func (c *callerConn) arm() error {
	if c.framer.part != partHeader || len(c.in) == 0 {
		c.headerSince = time.Time{}
		return c.setDeadline(time.Time{})
	}
	if c.headerSince.IsZero() {
		c.headerSince = time.Now()
	}
	return c.setDeadline(c.headerSince.Add(c.headerTime))
}

// setDeadline sets the earlier of net/http's deadline and the given one.
func (c *callerConn) setDeadline(header time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := c.deadline
	if d.IsZero() || (!header.IsZero() && header.Before(d)) {
		d = header
	}
	return c.Conn.SetReadDeadline(d)
}

// SetReadDeadline keeps the deadline for later reads.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	return c.Conn.SetReadDeadline(t)
}

// Close drains refused input for a short time first.
func (c *callerConn) Close() error {
	if c.stopped.Load() {
		c.linger.Do(c.drain)
	}
	return c.Conn.Close()
}

// reset makes the next Close visible as an error: without a length, a caller
// of HTTP/1.0 takes a plain close for the end of the answer.
func (c *callerConn) reset() {
	if c == nil {
		return
	}
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		tcp.SetLinger(0) //nolint:errcheck // The connection is closed in any case.
	}
}

func (c *callerConn) drain() {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	if c.Conn.SetReadDeadline(time.Now().Add(lingerTime)) != nil {
		return
	}
	io.CopyN(io.Discard, c.Conn, lingerBytes) //nolint:errcheck // The connection is closed in any case.
}

// pipelined reports whether requests that have arrived wait behind the present
// one. A connection that ends answers them first: their callers could not tell
// whether they ran.
func (c *callerConn) pipelined() bool { return c != nil && c.framed.Load() > c.begun.Load() }

type connKey struct{}

func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// connOf returns the caller's connection, or nil in tests without one.
func connOf(ctx context.Context) *callerConn {
	c, _ := ctx.Value(connKey{}).(*callerConn)
	return c
}

// refused returns the refusal that stands behind a path.
func (c *callerConn) refused(path string) *ErrRefused {
	if c == nil {
		return nil
	}
	if r := c.refusal.Load(); r != nil && r.path == path {
		return r.err
	}
	return nil
}
