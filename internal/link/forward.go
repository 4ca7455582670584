package link

import (
	"sync"
	"time"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// routeLifetime is how long messages to a host take the route of its last
// forwarded message. It is longer than the interval at which a host sends requests.
const routeLifetime = 3 * time.Second

// WithForwarding forwards messages between two other hosts, over one hop, and
// accepts forwarded messages. A host that is cut off from the owners can then
// reach them through another host. Every host with the fleet secret can claim to
// be another sender in such a message, so a fleet that identifies its hosts by
// certificates must not use this option.
func WithForwarding() Option {
	return func(o *options) { o.forward = true }
}

// routeTable holds, for each host whose last message was forwarded, the host that
// forwarded it. It is safe for concurrent use.
type routeTable struct {
	mu sync.RWMutex
	// routes is guarded by mu.
	routes map[model.HostID]route
}

// route is the host via which another host is reached.
type route struct {
	via       model.HostID
	learnedAt time.Time
}

func newRouteTable() *routeTable { return &routeTable{routes: map[model.HostID]route{}} }

// set records that a message of a host was forwarded by the host via, and removes
// expired routes.
func (w *routeTable) set(from, via model.HostID, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for host, old := range w.routes {
		if now.Sub(old.learnedAt) > routeLifetime {
			delete(w.routes, host)
		}
	}
	w.routes[from] = route{via: via, learnedAt: now}
}

// remove removes the route to a host, which has sent a message directly.
func (w *routeTable) remove(from model.HostID) {
	w.mu.RLock()
	_, known := w.routes[from]
	w.mu.RUnlock()
	if !known {
		return
	}
	w.mu.Lock()
	delete(w.routes, from)
	w.mu.Unlock()
}

// lookup returns the host via which a host is reached. It returns false if there
// is no route or if the route has expired.
func (w *routeTable) lookup(host model.HostID, now time.Time) (model.HostID, bool) {
	w.mu.RLock()
	defer w.mu.RUnlock()
	r, ok := w.routes[host]
	return r.via, ok && now.Sub(r.learnedAt) <= routeLifetime
}

// SendVia queues a message that the host via forwards to the host to, and reports
// whether it was queued.
func (m *Mesh) SendVia(via, to model.HostID, msg proto.Message) bool {
	frame, err := m.codec.Encode(proto.Envelope{From: m.self.Host, To: to, Body: msg})
	if err != nil {
		m.opts.log.Error(err, "message dropped", "peer", string(to), "via", string(via))
		return false
	}
	return m.enqueue(via, frame)
}

// enqueue queues a frame for a host and opens a link to it if there is none. It
// reports whether the frame was queued.
func (m *Mesh) enqueue(to model.HostID, frame []byte) bool {
	p := m.peer(to)
	if p == nil {
		p = m.resolvePeer(to)
	}
	if p == nil {
		return false
	}
	queued, dial := p.put(frame, time.Now(), m.opts.timing.MaxQueueAge)
	if !queued {
		p.countDropped(1)
		return false
	}
	if dial {
		m.startDial(p)
	}
	p.wakeWriter()
	return true
}

// dispatch passes a message that arrived on the link to the handler or, with
// WithForwarding, sends it on to another host. It returns an error for a message
// that should not be on this link. The frame is the encoded message.
func (l *link) dispatch(e proto.Envelope, frame []byte) error {
	m := l.mesh
	switch {
	case e.From == l.peer.host && e.To == m.self.Host:
		m.routes.remove(e.From)
		m.handler(e.From, e.Body)
	case !m.opts.forward, e.From != l.peer.host && e.To != m.self.Host:
		return errMisdirected(e, l.peer.host)
	case e.From == l.peer.host:
		if !m.enqueue(e.To, append([]byte(nil), frame...)) {
			l.peer.countDropped(1)
		}
	default:
		m.routes.set(e.From, l.peer.host, time.Now())
		m.handler(e.From, e.Body)
	}
	return nil
}
