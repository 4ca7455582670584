// Package gate accepts TLS connections and bounds what connections that have
// not finished their handshake can cost. It can also let connections without
// TLS through, for the time in which a fleet turns TLS on.
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
	// maxHandshakes bounds the handshakes of a listener that are in progress.
	// Further connections wait in the kernel's queue.
	maxHandshakes = 64
	// maxPerAddress bounds those from one IP address; further ones are closed.
	// A host of the fleet opens one connection to another at a time.
	maxPerAddress = 8
	// handshakeTime bounds one handshake.
	handshakeTime = 5 * time.Second
)

// Stats are the figures of a listener for the metrics page.
type Stats struct {
	// InProgress counts handshakes that have not ended.
	InProgress int `json:"in_progress"`
	// Refused counts connections closed because their address had too many handshakes in progress.
	Refused uint64 `json:"refused"`
	// Failed counts handshakes that failed or took too long.
	Failed uint64 `json:"failed"`
	// Unencrypted counts connections that were let through without TLS.
	Unencrypted uint64 `json:"unencrypted"`
}

// Listener is a net.Listener whose connections have finished their handshake.
type Listener struct {
	inner net.Listener
	tls   *tls.Config
	opts  options
	pool  pond.Pool
	// slots holds one token for each handshake in progress, and one for the accept in progress.
	slots chan struct{}
	ready chan accepted
	// ctx ends when the listener is closed, and with it every handshake.
	ctx    context.Context
	cancel context.CancelFunc

	refused, failed, unencrypted atomic.Uint64

	mu sync.Mutex
	// pending counts handshakes in progress by address and is guarded by mu. No count is 0.
	pending map[netip.Addr]int
}

// accepted is what Accept returns next.
type accepted struct {
	conn net.Conn
	err  error
}

type options struct {
	optional   bool
	log        logr.Logger
	handshakes int
	perAddress int
	timeout    time.Duration
}

// Option changes what a listener accepts.
type Option func(*options)

// WithOptionalTLS also lets connections through that do not begin with a TLS handshake.
func WithOptionalTLS() Option {
	return func(o *options) { o.optional = true }
}

// WithLogger logs failed handshakes at the debug level.
func WithLogger(log logr.Logger) Option {
	return func(o *options) { o.log = log }
}

// WithHandshakeLimits replaces the bounds on handshakes in progress, in all and from one address.
func WithHandshakeLimits(all, perAddress int) Option {
	return func(o *options) { o.handshakes, o.perAddress = all, perAddress }
}

// WithHandshakeTimeout replaces the bound on the time of one handshake.
func WithHandshakeTimeout(d time.Duration) Option {
	return func(o *options) { o.timeout = d }
}

// New returns a listener over l. Its Close closes l, ends the handshakes in
// progress and waits for its goroutines.
func New(l net.Listener, c *tls.Config, opts ...Option) *Listener {
	o := options{log: logr.Discard(), handshakes: maxHandshakes, perAddress: maxPerAddress, timeout: handshakeTime}
	for _, opt := range opts {
		opt(&o)
	}
	ctx, cancel := context.WithCancel(context.Background())
	g := &Listener{
		inner: l, tls: c, opts: o,
		pool:  pond.NewPool(o.handshakes + 1),
		slots: make(chan struct{}, o.handshakes),
		ready: make(chan accepted),
		ctx:   ctx, cancel: cancel,
		pending: map[netip.Addr]int{},
	}
	g.pool.Submit(g.acceptAll)
	return g
}

// Accept returns the next connection whose handshake has succeeded.
func (g *Listener) Accept() (net.Conn, error) {
	select {
	case a := <-g.ready:
		return a.conn, a.err
	case <-g.ctx.Done():
		return nil, net.ErrClosed
	}
}

// Close ends the listener and every handshake in progress.
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
	for _, c := range g.pending {
		n += c
	}
	return Stats{InProgress: n, Refused: g.refused.Load(), Failed: g.failed.Load(), Unencrypted: g.unencrypted.Load()}
}

// acceptAll accepts connections while fewer than the bound are in their handshake.
func (g *Listener) acceptAll() {
	for {
		select {
		case g.slots <- struct{}{}:
		case <-g.ctx.Done():
			return
		}
		conn, err := g.inner.Accept()
		if err != nil {
			<-g.slots
			if !g.deliver(accepted{err: err}) || errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		g.start(conn)
	}
}

func (g *Listener) start(conn net.Conn) {
	addr := addressOf(conn)
	if !g.begin(addr) {
		g.refused.Add(1)
		<-g.slots
		_ = conn.Close() // nothing was read from it
		return
	}
	g.pool.Submit(func() {
		secured, err := g.secure(conn)
		g.end(addr)
		<-g.slots
		if err == nil && g.deliver(accepted{conn: secured}) {
			return
		}
		_ = conn.Close() // the handshake's error is the one to report
		if err != nil {
			g.failed.Add(1)
			g.opts.log.V(1).Info("handshake failed", "remote", addr.String(), "cause", err.Error())
		}
	})
}

// addressOf returns the IP address of the other side, or the zero address if it has none.
func addressOf(conn net.Conn) netip.Addr {
	ap, err := netip.ParseAddrPort(conn.RemoteAddr().String())
	if err != nil {
		return netip.Addr{}
	}
	return ap.Addr().Unmap()
}

func (g *Listener) begin(addr netip.Addr) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.pending[addr] >= g.opts.perAddress {
		return false
	}
	g.pending[addr]++
	return true
}

func (g *Listener) end(addr netip.Addr) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pending[addr]--
	if g.pending[addr] == 0 {
		delete(g.pending, addr)
	}
}

func (g *Listener) deliver(a accepted) bool {
	select {
	case g.ready <- a:
		return true
	case <-g.ctx.Done():
		return false
	}
}

// secure runs the handshake of a connection.
func (g *Listener) secure(conn net.Conn) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(g.ctx, g.opts.timeout)
	defer cancel()
	if g.opts.optional {
		peeked, isTLS, err := peek(ctx, conn)
		if err != nil {
			return nil, err
		}
		if !isTLS {
			g.unencrypted.Add(1)
			return peeked, nil
		}
		conn = peeked
	}
	c := tls.Server(conn, g.tls)
	err := c.HandshakeContext(ctx)
	var header tls.RecordHeaderError
	if errors.As(err, &header) && header.Conn != nil {
		explain(header.Conn, header.RecordHeader)
	}
	return c, err
}

// explain answers a request in plain HTTP, so that its sender learns what is wrong.
func explain(conn net.Conn, first [5]byte) {
	if !startsLikeHTTP(first) {
		return
	}
	_ = conn.SetWriteDeadline(time.Now().Add(time.Second))
	// The connection is closed next, whether or not the sender reads this.
	_, _ = io.WriteString(conn, "HTTP/1.1 400 Bad Request\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\nthis port needs TLS; use https\n")
}

func startsLikeHTTP(first [5]byte) bool {
	for _, method := range []string{"GET /", "HEAD ", "POST ", "PUT /", "DELET", "PATCH", "OPTIO"} {
		if string(first[:]) == method {
			return true
		}
	}
	return false
}
