package soak

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tarragongauge.example/tarragongauge/internal/super"
)

// proxyFault is a fault that a proxy injects into its connections.
type proxyFault int32

const (
	faultNone proxyFault = iota
	// faultDelay delays each chunk by proxyDelay.
	faultDelay
	// faultDropToServer and faultDropToClient discard the bytes of one direction.
	faultDropToServer
	faultDropToClient
	// faultDropAll discards the bytes of both directions. New connections are still
	// accepted, but get no answer.
	faultDropAll
)

// proxyDelay is the delay of each chunk under faultDelay.
const proxyDelay = 150 * time.Millisecond

// proxy forwards TCP connections to an address and injects faults into them. fault
// holds the current proxyFault.
type proxy struct {
	listener     net.Listener
	upstreamAddr string
	tree         *super.Tree
	fault        atomic.Int32

	mu    sync.Mutex
	conns map[net.Conn]bool
}

// newProxy starts a proxy that listens on one address and forwards to another. The
// proxy stops when the test ends.
func newProxy(t *testing.T, tree *super.Tree, listen, to string) *proxy {
	t.Helper()
	l, err := net.Listen("tcp", listen)
	require.NoError(t, err)
	p := &proxy{listener: l, upstreamAddr: to, tree: tree, conns: map[net.Conn]bool{}}
	t.Cleanup(func() { _ = l.Close(); p.resetAll() })
	tree.Go("proxy "+listen, func(context.Context) error { p.accept(); return nil })
	return p
}

// accept serves connections until the listener is closed.
func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.tree.Go("connection", func(context.Context) error { p.serve(c); return nil })
	}
}

// serve forwards the bytes of one connection in both directions until it ends.
func (p *proxy) serve(c net.Conn) {
	p.trackConn(c)
	defer p.closeConn(c)
	s, err := net.DialTimeout("tcp", p.upstreamAddr, time.Second)
	if err != nil {
		return
	}
	p.trackConn(s)
	defer p.closeConn(s)
	done := make(chan struct{})
	p.tree.Go("copy", func(context.Context) error {
		defer close(done)
		p.copy(c, s, faultDropToClient)
		return nil
	})
	p.copy(s, c, faultDropToServer)
	<-done
}

// copy forwards bytes until one side ends, and then closes both. Bytes are discarded
// under dropFault and faultDropAll. A reset is passed on as a reset.
func (p *proxy) copy(to, from net.Conn, dropFault proxyFault) {
	defer func() { _ = to.Close(); _ = from.Close() }()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		switch proxyFault(p.fault.Load()) {
		case dropFault, faultDropAll:
			n = 0
		case faultDelay:
			time.Sleep(proxyDelay)
		default:
		}
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			if !errors.Is(err, io.EOF) {
				resetConn(to)
			}
			return
		}
	}
}

// trackConn adds a connection to those that resetAll resets.
func (p *proxy) trackConn(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[c] = true
}

// closeConn closes a connection and stops tracking it.
func (p *proxy) closeConn(c net.Conn) {
	_ = c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

// resetAll resets all connections of the proxy.
func (p *proxy) resetAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		resetConn(c)
	}
}

// resetConn closes a connection with a TCP reset.
func resetConn(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
