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

// hostHeader names the dialing host, so that injected faults apply from the first byte of the answer.
const hostHeader = "X-Link-Host"

// Mesh holds the links of one process. It is safe for concurrent use.
type Mesh struct {
	self    proto.Member
	secret  []byte
	tree    *super.Tree
	handler Handler
	opts    options
	codec   *wire.Codec
	// handshakes holds one token for each connection that has not authenticated yet.
	handshakes chan struct{}
	loop       *loop
	ways       *ways
	traffic    *traffic
	inflaters  *defl.Pool
	// closed is set once the tasks of the mesh have stopped.
	closed atomic.Bool

	mu    sync.RWMutex
	peers map[model.HostID]*peer
}

// New returns a mesh for a host. Its tasks run in a child of the tree. The
// clean-up function closes all links.
func New(self proto.Member, secret []byte, tree *super.Tree, handler Handler, opts ...Option) (*Mesh, func(), error) {
	o := options{log: logr.Discard(), queue: defaultQueue, timing: DefaultTiming()}
	for _, opt := range opts {
		opt(&o)
	}
	if len(secret) < minSecret {
		return nil, nil, ErrSecret{Cause: fmt.Sprintf("%d bytes are too short; use at least %d random bytes", len(secret), minSecret)}
	}
	if self.Host == "" {
		return nil, nil, ErrPeerMismatch{Field: "host name", Want: "the name of this host"}
	}
	codec, err := wire.NewCodec()
	if err != nil {
		return nil, nil, err
	}
	m := &Mesh{
		self:       self,
		secret:     slices.Clone(secret),
		tree:       tree.Child("link"),
		handler:    handler,
		opts:       o,
		codec:      codec,
		handshakes: make(chan struct{}, maxHandshakes),
		loop:       newLoop(o.queue),
		ways:       newWays(),
		traffic:    newTraffic(self.Zone),
		inflaters:  defl.NewPool(),
		peers:      map[model.HostID]*peer{},
	}
	switch {
	case o.tls == nil:
		o.log.Info("links are not encrypted; keep the fleet and operators' ports on a private network, or set [tls]")
	case o.optional:
		o.log.Info("links need no encryption, which gives no protection against an active attacker; set [tls] mode = require once all hosts accept TLS")
	}
	m.tree.Go("self", m.deliverOwn)
	return m, m.tree.Stop, nil
}

// Send queues a message for a host and reports whether it was queued. It never
// blocks. A message to this host itself reaches the handler without a socket.
func (m *Mesh) Send(to model.HostID, msg proto.Message) bool {
	if to == m.self.Host {
		return m.loop.put(msg)
	}
	if via, ok := m.ways.to(to, time.Now()); ok {
		return m.SendVia(via, to, msg)
	}
	return m.SendDirect(to, msg)
}

// SendDirect queues a message that no other host passes on.
func (m *Mesh) SendDirect(to model.HostID, msg proto.Message) bool {
	frame, err := m.codec.Encode(proto.Envelope{From: m.self.Host, To: to, Body: msg})
	if err != nil {
		m.opts.log.Error(err, "message dropped", "peer", string(to))
		return false
	}
	if !m.queue(to, frame) {
		return false
	}
	m.traffic.note(msg, m.zoneOf(to), len(frame))
	return true
}

// zoneOf returns the zone of a host, or "" if it was never learned.
func (m *Mesh) zoneOf(host model.HostID) model.ZoneName {
	p := m.peer(host)
	if p == nil {
		return ""
	}
	return p.inZone()
}

// resolve returns a host that was never learned, if its address can be found.
func (m *Mesh) resolve(host model.HostID) *peer {
	if m.opts.resolve == nil {
		return nil
	}
	addr := m.opts.resolve(host)
	if addr == "" {
		return nil
	}
	p := m.ensure(host)
	p.learn(addr, 0)
	return p
}

// UpdateMembers adds or moves hosts; links to them are opened when first needed.
func (m *Mesh) UpdateMembers(members []proto.Member) {
	for _, member := range members {
		if member.Host != m.self.Host && member.Host != "" {
			p := m.ensure(member.Host)
			p.learn(member.Addr, member.Incarnation)
			p.locate(member.Zone)
		}
	}
}

// Stats returns the figures of each known host and, under the name of this
// host, of messages to itself.
func (m *Mesh) Stats() map[model.HostID]Stats {
	m.mu.RLock()
	defer m.mu.RUnlock()
	all := make(map[model.HostID]Stats, len(m.peers)+1)
	for host, p := range m.peers {
		all[host] = p.stats()
	}
	all[m.self.Host] = m.loop.stats()
	return all
}

func (m *Mesh) peer(host model.HostID) *peer {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.peers[host]
}

func (m *Mesh) ensure(host model.HostID) *peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peers[host]
	if p == nil {
		p = newPeer(host, m.opts.queue)
		m.peers[host] = p
	}
	return p
}

func (m *Mesh) hello() proto.Hello {
	return proto.Hello{Member: m.self, Cluster: m.opts.cluster, Protocol: ProtocolVersion}
}

// deliverOwn is the first task of the mesh, so it stops last.
func (m *Mesh) deliverOwn(ctx context.Context) error {
	defer func() { m.closed.Store(ctx.Err() != nil) }()
	for {
		msg, ok := m.loop.take(ctx)
		if !ok {
			return nil
		}
		m.handler(m.self.Host, msg)
	}
}

// startDial runs the dialer of a peer, which must be marked as dialing.
func (m *Mesh) startDial(p *peer) {
	started := m.tree.Go("dial-"+string(p.host), func(ctx context.Context) error {
		m.dialUntilLinked(ctx, p)
		return nil
	})
	if !started {
		p.stopDial()
	}
}

func (m *Mesh) dialUntilLinked(ctx context.Context, p *peer) {
	for {
		addr, delay, ok := p.wantsDial(time.Now(), m.opts.timing.MaxQueueAge)
		if !ok {
			return
		}
		if !wait(ctx, delay) {
			p.stopDial()
			return
		}
		if err := m.dial(ctx, p, addr); err != nil {
			m.opts.log.V(1).Info("link not opened", "peer", string(p.host), "addr", addr, "cause", err.Error())
			p.dialFailed(time.Now(), m.opts.timing)
		}
	}
}

func wait(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// dial opens a link with the first scheme that the other side speaks.
func (m *Mesh) dial(ctx context.Context, p *peer, addr string) error {
	ctx, cancel := context.WithTimeout(ctx, m.opts.timing.HandshakeTimeout)
	defer cancel()
	var err error
	for _, scheme := range m.schemes() {
		if err = m.dialScheme(ctx, p, scheme, addr); !speaksNoTLS(err) {
			break
		}
	}
	return err
}

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
	ws.SetReadLimit(maxGreeting)
	hello, id, err := m.greetDialed(ctx, ws, resp.TLS, p.host)
	if err != nil {
		_ = ws.CloseNow()
		return err
	}
	l := newLink(m, p, ws, id, m.self.Host, hello.Member.Incarnation)
	l.encrypted = resp.TLS != nil
	return m.use(l, hello)
}

// greetDialed runs the handshake of the dialing side. It returns the Hello of the host and the id of the link.
func (m *Mesh) greetDialed(ctx context.Context, ws *websocket.Conn, state *tls.ConnectionState, host model.HostID) (proto.Hello, string, error) {
	id, err := m.identity(state)
	if err != nil {
		return proto.Hello{}, "", err
	}
	h := &handshake{mesh: m, ws: ws, identity: id}
	hello, err := h.dial(ctx, host)
	return hello, h.id(), err
}

func (m *Mesh) dialTCP(host model.HostID) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return m.opts.faults.wrap(c, host), nil
	}
}

// use starts a link after its handshake unless a better one is in use.
func (m *Mesh) use(l *link, hello proto.Hello) error {
	if m.closed.Load() {
		l.close(nil)
		return ErrClosed{Peer: m.self.Host}
	}
	old, ok := l.peer.use(l)
	if !ok {
		l.close(nil)
		return ErrDuplicateLink{Peer: l.peer.host}
	}
	if old != nil {
		old.close(nil)
	}
	l.peer.learn(hello.Member.Addr, hello.Member.Incarnation)
	l.peer.locate(hello.Member.Zone)
	m.opts.log.V(1).Info("link opened", "peer", string(l.peer.host), "link", l.id, "dialer", string(l.dialer))
	m.handler(l.peer.host, hello)
	l.start()
	return nil
}

// Handler accepts links of other hosts. Serve it at Path on the fleet address.
func (m *Mesh) Handler() http.Handler {
	return http.HandlerFunc(m.serve)
}

func (m *Mesh) serve(w http.ResponseWriter, r *http.Request) {
	if m.closed.Load() {
		http.Error(w, "this host is stopping", http.StatusServiceUnavailable)
		return
	}
	select {
	case m.handshakes <- struct{}{}:
		defer func() { <-m.handshakes }()
	default:
		http.Error(w, "too many links are being opened; try again later", http.StatusServiceUnavailable)
		return
	}
	claimed := model.HostID(r.Header.Get(hostHeader))
	identity, err := m.identity(r.TLS)
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
	ws.SetReadLimit(maxGreeting)
	if err := m.accept(ws, identity); err != nil {
		_ = ws.CloseNow()
		if IsErrDuplicateLink(err) {
			return
		}
		m.opts.log.Info("link refused", "remote", r.RemoteAddr, "peer", string(claimed), "cause", err.Error())
	}
}

func (m *Mesh) accept(ws *websocket.Conn, identity *trust.Identity) error {
	ctx, cancel := context.WithTimeout(context.Background(), m.opts.timing.HandshakeTimeout)
	defer cancel()
	h := &handshake{mesh: m, ws: ws, identity: identity}
	hello, err := h.accept(ctx)
	if err != nil {
		return err
	}
	p := m.ensure(h.peer.Host)
	l := newLink(m, p, ws, h.id(), h.peer.Host, hello.Member.Incarnation)
	l.encrypted = identity != nil
	if !p.accepts(l) {
		l.cancel()
		return ErrDuplicateLink{Peer: p.host}
	}
	if err := h.prove(ctx, labelAcceptor); err != nil {
		l.cancel()
		return err
	}
	return m.use(l, hello)
}
