package link

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/go-logr/logr"

	"tarragongauge.example/tarragongauge/internal/defl"
	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/internal/super"
	"tarragongauge.example/tarragongauge/internal/trust"
	"tarragongauge.example/tarragongauge/internal/wire"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// hostHeader is the HTTP header with the name of the dialing host, so that injected faults apply from the first byte of the answer.
const hostHeader = "X-Link-Host"

// Mesh holds the links of one process. It is safe for concurrent use.
type Mesh struct {
	self    proto.Member
	secret  []byte
	tree    *super.Tree
	handler Handler
	opts    options
	codec   *wire.Codec
	// handshakeSlots holds one token for each connection that has not authenticated yet.
	handshakeSlots chan struct{}
	loopback       *loopback
	routes         *routeTable
	traffic        *traffic
	compressors    *defl.Pool
	// closed is set once the tasks of the mesh have stopped.
	closed atomic.Bool

	// mu guards peers, which holds all hosts that are known, except this one.
	mu    sync.RWMutex
	peers map[model.HostID]*peer
}

// New returns a mesh for the host self. Its tasks run in a child of the tree. The
// returned function closes all links.
func New(self proto.Member, secret []byte, tree *super.Tree, handler Handler, opts ...Option) (*Mesh, func(), error) {
	o := options{log: logr.Discard(), queueLimit: defaultQueueLimit, timing: DefaultTiming()}
	for _, opt := range opts {
		opt(&o)
	}
	if len(secret) < minSecretBytes {
		return nil, nil, ErrSecret{Cause: fmt.Sprintf("%d bytes are too short; use at least %d random bytes", len(secret), minSecretBytes)}
	}
	if self.Host == "" {
		return nil, nil, ErrPeerMismatch{Field: "host name", Want: "the name of this host"}
	}
	codec, err := wire.NewCodec()
	if err != nil {
		return nil, nil, err
	}
	m := &Mesh{
		self:           self,
		secret:         slices.Clone(secret),
		tree:           tree.Child("link"),
		handler:        handler,
		opts:           o,
		codec:          codec,
		handshakeSlots: make(chan struct{}, maxHandshakes),
		loopback:       newLoopback(o.queueLimit),
		routes:         newRouteTable(),
		traffic:        newTraffic(self.Zone),
		compressors:    defl.NewPool(),
		peers:          map[model.HostID]*peer{},
	}
	switch {
	case o.tls == nil:
		o.log.Info("links are not encrypted; keep the fleet and operators' ports on a private network, or set [tls]")
	case o.optionalTLS:
		o.log.Info("links need no encryption, which gives no protection against an active attacker; set [tls] mode = require once all hosts accept TLS")
	}
	m.tree.Go("self", m.deliverLoopback)
	return m, m.tree.Stop, nil
}

// Send queues a message for a host and reports whether it was queued. It never
// blocks. A message to this host itself reaches the handler without a socket. A
// message to a host whose last message was forwarded goes back via the same host.
func (m *Mesh) Send(to model.HostID, msg proto.Message) bool {
	if to == m.self.Host {
		return m.loopback.put(msg)
	}
	if via, ok := m.routes.lookup(to, time.Now()); ok {
		return m.SendVia(via, to, msg)
	}
	return m.SendDirect(to, msg)
}

// SendDirect queues a message that is sent on the link to the host itself, and
// reports whether it was queued.
func (m *Mesh) SendDirect(to model.HostID, msg proto.Message) bool {
	frame, err := m.codec.Encode(proto.Envelope{From: m.self.Host, To: to, Body: msg})
	if err != nil {
		m.opts.log.Error(err, "message dropped", "peer", string(to))
		return false
	}
	if !m.enqueue(to, frame) {
		return false
	}
	m.traffic.countMessage(msg, m.zoneOf(to), len(frame))
	return true
}

// zoneOf returns the zone of a host, or "" if it is unknown.
func (m *Mesh) zoneOf(host model.HostID) model.ZoneName {
	p := m.peer(host)
	if p == nil {
		return ""
	}
	return p.zoneName()
}

// resolvePeer adds a host whose address the resolver of WithResolver finds. It
// returns nil if there is none.
func (m *Mesh) resolvePeer(host model.HostID) *peer {
	if m.opts.resolveAddr == nil {
		return nil
	}
	addr := m.opts.resolveAddr(host)
	if addr == "" {
		return nil
	}
	p := m.ensurePeer(host)
	p.updateAddr(addr, 0)
	return p
}

// UpdateMembers adds hosts or updates their addresses and zones. Links to them are
// opened when first needed.
func (m *Mesh) UpdateMembers(members []proto.Member) {
	for _, member := range members {
		if member.Host != m.self.Host && member.Host != "" {
			p := m.ensurePeer(member.Host)
			p.updateAddr(member.Addr, member.Incarnation)
			p.setZone(member.Zone)
		}
	}
}

// Stats returns the figures of the links to each known host and, under the name of
// this host, those of its messages to itself.
func (m *Mesh) Stats() map[model.HostID]Stats {
	m.mu.RLock()
	defer m.mu.RUnlock()
	all := make(map[model.HostID]Stats, len(m.peers)+1)
	for host, p := range m.peers {
		all[host] = p.stats()
	}
	all[m.self.Host] = m.loopback.stats()
	return all
}

// peer returns the peer of a host, or nil if the host is unknown.
func (m *Mesh) peer(host model.HostID) *peer {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.peers[host]
}

// ensurePeer returns the peer of a host and adds it if the host is unknown.
func (m *Mesh) ensurePeer(host model.HostID) *peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peers[host]
	if p == nil {
		p = newPeer(host, m.opts.queueLimit)
		m.peers[host] = p
	}
	return p
}

// hello returns the Hello that this host sends when a link is opened.
func (m *Mesh) hello() proto.Hello {
	return proto.Hello{Member: m.self, Fleet: m.opts.fleet, Protocol: ProtocolVersion}
}

// deliverLoopback passes messages of the host to itself to the handler. It is the
// first task of the mesh and so the last one to stop; it then marks the mesh as
// closed.
func (m *Mesh) deliverLoopback(ctx context.Context) error {
	defer func() { m.closed.Store(ctx.Err() != nil) }()
	for {
		msg, ok := m.loopback.take(ctx)
		if !ok {
			return nil
		}
		m.handler(m.self.Host, msg)
	}
}

// startDial starts a task that opens a link to a peer. The peer must have been
// marked by markDialing.
func (m *Mesh) startDial(p *peer) {
	started := m.tree.Go("dial-"+string(p.host), func(ctx context.Context) error {
		m.dialUntilLinked(ctx, p)
		return nil
	})
	if !started {
		p.clearDialing()
	}
}

// dialUntilLinked tries to open a link to a peer, with delays, until a link is in
// use or no message waits any more.
func (m *Mesh) dialUntilLinked(ctx context.Context, p *peer) {
	for {
		addr, delay, ok := p.nextDialAttempt(time.Now(), m.opts.timing.MaxQueueAge)
		if !ok {
			return
		}
		if !sleep(ctx, delay) {
			p.clearDialing()
			return
		}
		if err := m.dial(ctx, p, addr); err != nil {
			m.opts.log.V(1).Info("link not opened", "peer", string(p.host), "addr", addr, "cause", err.Error())
			p.scheduleRedial(time.Now(), m.opts.timing)
		}
	}
}

// sleep waits for d. It returns false if ctx is canceled before.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// dial opens a link to a peer with the first URL scheme that the other side supports.
func (m *Mesh) dial(ctx context.Context, p *peer, addr string) error {
	ctx, cancel := context.WithTimeout(ctx, m.opts.timing.HandshakeTimeout)
	defer cancel()
	var err error
	for _, scheme := range m.schemes() {
		if err = m.dialScheme(ctx, p, scheme, addr); !isPlainHTTPError(err) {
			break
		}
	}
	return err
}

// dialScheme opens a link to a peer with a URL scheme and starts to use it.
func (m *Mesh) dialScheme(ctx context.Context, p *peer, scheme, addr string) error {
	transport := m.transport(p.host)
	defer transport.CloseIdleConnections()
	u := url.URL{Scheme: scheme, Host: addr, Path: Path}
	ws, resp, err := websocket.Dial(ctx, u.String(), &websocket.DialOptions{
		Subprotocols: m.opts.subprotocols(),
		HTTPClient:   &http.Client{Transport: transport},
		HTTPHeader:   http.Header{hostHeader: {string(m.self.Host)}},
	})
	if err != nil {
		return err
	}
	if resp.Body != nil {
		_ = resp.Body.Close() // the upgraded connection belongs to ws
	}
	ws.SetReadLimit(maxHandshakeFrame)
	hello, id, err := m.dialerHandshake(ctx, ws, resp.TLS, p.host)
	if err != nil {
		_ = ws.CloseNow()
		return err
	}
	l := newLink(m, p, ws, id, m.self.Host, hello.Member.Incarnation)
	l.encrypted = resp.TLS != nil
	return m.useLink(l, hello)
}

// dialerHandshake runs the handshake of the dialing side on a connection to a
// host. It returns the Hello of the host and the id of the link.
func (m *Mesh) dialerHandshake(ctx context.Context, ws *websocket.Conn, state *tls.ConnectionState, host model.HostID) (proto.Hello, string, error) {
	id, err := m.peerIdentity(state)
	if err != nil {
		return proto.Hello{}, "", err
	}
	h := &handshake{mesh: m, ws: ws, identity: id}
	hello, err := h.dial(ctx, host)
	return hello, h.id(), err
}

// dialTCP returns a function that opens TCP connections to a host, with injected faults if there are any.
func (m *Mesh) dialTCP(host model.HostID) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return m.opts.faults.wrap(c, host), nil
	}
}

// useLink makes a link whose handshake has succeeded the one in use, closes the
// one before and starts the tasks of the link. It closes the link and returns an
// ErrDuplicateLink if the one in use is to be kept.
func (m *Mesh) useLink(l *link, hello proto.Hello) error {
	if m.closed.Load() {
		l.close(nil)
		return ErrClosed{Peer: m.self.Host}
	}
	old, ok := l.peer.setLink(l)
	if !ok {
		l.close(nil)
		return ErrDuplicateLink{Peer: l.peer.host}
	}
	if old != nil {
		old.close(nil)
	}
	l.peer.updateAddr(hello.Member.Addr, hello.Member.Incarnation)
	l.peer.setZone(hello.Member.Zone)
	m.opts.log.V(1).Info("link opened", "peer", string(l.peer.host), "link", l.id, "dialer", string(l.dialer))
	m.handler(l.peer.host, hello)
	l.start()
	return nil
}

// Handler returns the HTTP handler that accepts links of other hosts. It must be
// served at Path on the fleet address.
func (m *Mesh) Handler() http.Handler {
	return http.HandlerFunc(m.serve)
}

// serve accepts a link of another host as an HTTP request for a WebSocket.
func (m *Mesh) serve(w http.ResponseWriter, r *http.Request) {
	if m.closed.Load() {
		http.Error(w, "this host is stopping", http.StatusServiceUnavailable)
		return
	}
	select {
	case m.handshakeSlots <- struct{}{}:
		defer func() { <-m.handshakeSlots }()
	default:
		http.Error(w, "too many links are being opened; try again later", http.StatusServiceUnavailable)
		return
	}
	claimed := model.HostID(r.Header.Get(hostHeader))
	identity, err := m.peerIdentity(r.TLS)
	if err != nil {
		m.opts.log.Info("link refused", "remote", r.RemoteAddr, "peer", string(claimed), "cause", err.Error())
		http.Error(w, "links to this host need TLS and a certificate of the fleet", http.StatusForbidden)
		return
	}
	if m.opts.faults != nil {
		w = faultyWriter{ResponseWriter: w, faults: m.opts.faults, host: claimed}
	}
	ws, err := websocket.Accept(w, r, &websocket.AcceptOptions{Subprotocols: m.opts.subprotocols()})
	if err != nil {
		m.opts.log.V(1).Info("link refused", "remote", r.RemoteAddr, "cause", err.Error())
		return
	}
	ws.SetReadLimit(maxHandshakeFrame)
	if err := m.accept(ws, identity); err != nil {
		_ = ws.CloseNow()
		if IsErrDuplicateLink(err) {
			return
		}
		m.opts.log.Info("link refused", "remote", r.RemoteAddr, "peer", string(claimed), "cause", err.Error())
	}
}

// accept runs the handshake of the accepting side and starts to use the link. It
// sends its proof only if the link may be used, so that a dialer whose link is
// refused does not use it.
func (m *Mesh) accept(ws *websocket.Conn, identity *trust.Identity) error {
	ctx, cancel := context.WithTimeout(context.Background(), m.opts.timing.HandshakeTimeout)
	defer cancel()
	h := &handshake{mesh: m, ws: ws, identity: identity}
	hello, err := h.accept(ctx)
	if err != nil {
		return err
	}
	p := m.ensurePeer(h.peerGreeting.Host)
	l := newLink(m, p, ws, h.id(), h.peerGreeting.Host, hello.Member.Incarnation)
	l.encrypted = identity != nil
	if !p.canUse(l) {
		l.cancel()
		return ErrDuplicateLink{Peer: p.host}
	}
	if err := h.sendProof(ctx, labelAcceptor); err != nil {
		l.cancel()
		return err
	}
	return m.useLink(l, hello)
}
