// Package gate provides a listener for TLS connections. It limits the number and
// the duration of handshakes in progress, so that connections that are not
// authenticated yet take few resources. It can also accept connections without
// TLS, for the time in which a fleet turns TLS on.
package gate

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/go-logr/logr"
)

const (
	// defaultMaxHandshakes bounds the handshakes of a listener that are in progress.
	// Further connections wait in the kernel's queue.
	defaultMaxHandshakes = 64
	// defaultMaxPerAddress bounds the handshakes in progress from one IP address;
	// further connections are closed. A host of the fleet opens one connection to
	// another at a time.
	defaultMaxPerAddress = 8
	// defaultHandshakeTimeout bounds the duration of one handshake.
	defaultHandshakeTimeout = 5 * time.Second
)

// Stats holds the figures of a listener for the metrics page.
type Stats struct {
	// InProgress counts handshakes that have not ended.
	InProgress int `json:"in_progress"`
	// Refused counts connections closed because their address had too many handshakes in progress.
	Refused uint64 `json:"refused"`
	// Failed counts handshakes that failed or took too long.
	Failed uint64 `json:"failed"`
	// Unencrypted counts connections that were accepted without TLS.
	Unencrypted uint64 `json:"unencrypted"`
}

// Listener is a net.Listener whose Accept returns connections that have finished
// their TLS handshake.
type Listener struct {
	inner net.Listener
	tls   *tls.Config
	opts  options
	pool  pond.Pool
	// slots holds one token for each handshake in progress, and one while acceptLoop
	// waits for a connection.
	slots   chan struct{}
	results chan acceptResult
	// ctx is canceled when the listener is closed, which ends every handshake.
	ctx    context.Context
	cancel context.CancelFunc

	refusedCount, failedCount, unencryptedCount atomic.Uint64

	mu sync.Mutex
	// handshakesByAddr counts handshakes in progress by address and is guarded by
	// mu. Addresses without handshakes are not in it.
	handshakesByAddr map[netip.Addr]int
}

// acceptResult holds what one call of Accept returns.
type acceptResult struct {
	conn net.Conn
	err  error
}

type options struct {
	optionalTLS      bool
	log              logr.Logger
	maxHandshakes    int
	maxPerAddress    int
	handshakeTimeout time.Duration
}

// Option changes what a listener accepts.
type Option func(*options)

// WithOptionalTLS also accepts connections that do not begin with a TLS handshake.
func WithOptionalTLS() Option {
	return func(o *options) { o.optionalTLS = true }
}

// WithLogger logs failed handshakes at the debug level.
func WithLogger(log logr.Logger) Option {
	return func(o *options) { o.log = log }
}

// WithHandshakeLimits replaces the limits on the number of handshakes in progress, in total and from one address.
func WithHandshakeLimits(total, perAddress int) Option {
	return func(o *options) { o.maxHandshakes, o.maxPerAddress = total, perAddress }
}

// WithHandshakeTimeout replaces the limit on the duration of one handshake.
func WithHandshakeTimeout(d time.Duration) Option {
	return func(o *options) { o.handshakeTimeout = d }
}

// New returns a listener that runs TLS handshakes with c on the connections of l.
// Its Close closes l, ends the handshakes in progress and waits for its
// goroutines.
func New(l net.Listener, c *tls.Config, opts ...Option) *Listener {
	o := options{log: logr.Discard(), maxHandshakes: defaultMaxHandshakes, maxPerAddress: defaultMaxPerAddress, handshakeTimeout: defaultHandshakeTimeout}
	for _, opt := range opts {
		opt(&o)
	}
	ctx, cancel := context.WithCancel(context.Background())
	g := &Listener{
		inner: l, tls: c, opts: o,
		pool:    pond.NewPool(o.maxHandshakes + 1),
		slots:   make(chan struct{}, o.maxHandshakes),
		results: make(chan acceptResult),
		ctx:     ctx, cancel: cancel,
		handshakesByAddr: map[netip.Addr]int{},
	}
	g.pool.Submit(g.acceptLoop)
	return g
}

// Accept returns the next connection whose handshake has succeeded, or an error
// of the inner listener.
func (g *Listener) Accept() (net.Conn, error) {
	select {
	case a := <-g.results:
		return a.conn, a.err
	case <-g.ctx.Done():
		return nil, net.ErrClosed
	}
}

// Close closes the listener, ends every handshake in progress and waits for its goroutines.
func (g *Listener) Close() error {
	g.cancel()
	err := g.inner.Close()
	g.pool.StopAndWait()
	return err
}

// Addr returns the address of the inner listener.
func (g *Listener) Addr() net.Addr { return g.inner.Addr() }

// Stats returns the figures of the listener.
func (g *Listener) Stats() Stats {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	for _, c := range g.handshakesByAddr {
		n += c
	}
	return Stats{InProgress: n, Refused: g.refusedCount.Load(), Failed: g.failedCount.Load(), Unencrypted: g.unencryptedCount.Load()}
}

// acceptLoop accepts connections until the listener is closed, and waits while
// the limit of handshakes in progress is reached.
func (g *Listener) acceptLoop() {
	for {
		select {
		case g.slots <- struct{}{}:
		case <-g.ctx.Done():
			return
		}
		conn, err := g.inner.Accept()
		if err != nil {
			<-g.slots
			if !g.deliver(acceptResult{err: err}) || errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		g.startHandshake(conn)
	}
}

// startHandshake runs the handshake of a connection on its own goroutine and
// passes the result to Accept. It closes the connection if its address has too
// many handshakes in progress. It takes over the caller's slot.
func (g *Listener) startHandshake(conn net.Conn) {
	addr := remoteAddr(conn)
	if !g.reserve(addr) {
		g.refusedCount.Add(1)
		<-g.slots
		_ = conn.Close() // an error would not matter: nothing was read or written
		return
	}
	g.pool.Submit(func() {
		secured, err := g.handshake(conn)
		g.release(addr)
		<-g.slots
		if err == nil && g.deliver(acceptResult{conn: secured}) {
			return
		}
		_ = conn.Close() // the handshake's error is the one to report
		if err != nil {
			g.failedCount.Add(1)
			g.opts.log.V(1).Info("handshake failed", "remote", addr.String(), "cause", err.Error())
		}
	})
}

// remoteAddr returns the IP address of the other side of a connection, or the
// zero Addr if it has none.
func remoteAddr(conn net.Conn) netip.Addr {
	ap, err := netip.ParseAddrPort(conn.RemoteAddr().String())
	if err != nil {
		return netip.Addr{}
	}
	return ap.Addr().Unmap()
}

// reserve counts a handshake from an address, or returns false if there are too
// many. The caller releases it when the handshake ends.
func (g *Listener) reserve(addr netip.Addr) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.handshakesByAddr[addr] >= g.opts.maxPerAddress {
		return false
	}
	g.handshakesByAddr[addr]++
	return true
}

// release counts the end of a handshake that reserve has counted.
func (g *Listener) release(addr netip.Addr) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.handshakesByAddr[addr]--
	if g.handshakesByAddr[addr] == 0 {
		delete(g.handshakesByAddr, addr)
	}
}

// deliver passes a result to Accept, or returns false if the listener is closed.
func (g *Listener) deliver(a acceptResult) bool {
	select {
	case g.results <- a:
		return true
	case <-g.ctx.Done():
		return false
	}
}

// handshake runs the TLS handshake of a connection and returns the connection to
// use from then on. With optional TLS it returns connections that begin without
// TLS as they are.
func (g *Listener) handshake(conn net.Conn) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(g.ctx, g.opts.handshakeTimeout)
	defer cancel()
	if g.opts.optionalTLS {
		peeked, isTLS, err := peek(ctx, conn)
		if err != nil {
			return nil, err
		}
		if !isTLS {
			g.unencryptedCount.Add(1)
			return peeked, nil
		}
		conn = peeked
	}
	c := tls.Server(conn, g.tls)
	err := c.HandshakeContext(ctx)
	var header tls.RecordHeaderError
	if errors.As(err, &header) && header.Conn != nil {
		answerPlainHTTP(header.Conn, header.RecordHeader)
	}
	return c, err
}

// answerPlainHTTP sends an answer in plain HTTP to a connection whose first bytes
// are a plain HTTP request, so that its sender learns that TLS is missing.
func answerPlainHTTP(conn net.Conn, first [5]byte) {
	if !startsWithHTTPMethod(first) {
		return
	}
	_ = conn.SetWriteDeadline(time.Now().Add(time.Second))
	// An error does not matter: the caller closes the connection in any case.
	_, _ = io.WriteString(conn, "HTTP/1.1 400 Bad Request\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\nthis port needs TLS; use https\n")
}

// startsWithHTTPMethod reports whether the first bytes of a connection are those of a plain HTTP request.
func startsWithHTTPMethod(first [5]byte) bool {
	for _, method := range []string{"GET /", "HEAD ", "POST ", "PUT /", "DELET", "PATCH", "OPTIO"} {
		if string(first[:]) == method {
			return true
		}
	}
	return false
}
