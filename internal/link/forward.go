package link

import (
	"sync"
	"time"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// routeFor is how long the last message that came through another host tells
// the way back: longer than the interval of a host's asks.
const routeFor = 3 * time.Second

// WithForwarding passes messages on between two other hosts, one hop far, and
// takes messages that were passed on. A host that is cut off from the owners can
// then reach them through another one. Every host with the fleet's secret can
// name another sender in such a message, so a fleet that tells its hosts apart
// by certificates leaves this off.
func WithForwarding() Option {
	return func(o *options) { o.forward = true }
}

// ways holds the hosts through which others were heard last. It is safe for
// concurrent use.
type ways struct {
	mu sync.RWMutex
	// via is guarded by mu.
	via map[model.HostID]way
}

type way struct {
	host model.HostID
	at   time.Time
}

func newWays() *ways { return &ways{via: map[model.HostID]way{}} }

func (w *ways) note(from, via model.HostID, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for host, old := range w.via {
		if now.Sub(old.at) > routeFor {
			delete(w.via, host)
		}
	}
	w.via[from] = way{host: via, at: now}
}

// direct forgets the way to a host that was heard without another one.
func (w *ways) direct(from model.HostID) {
	w.mu.RLock()
	_, known := w.via[from]
	w.mu.RUnlock()
	if !known {
		return
	}
	w.mu.Lock()
	delete(w.via, from)
	w.mu.Unlock()
}

func (w *ways) to(host model.HostID, now time.Time) (model.HostID, bool) {
	w.mu.RLock()
	defer w.mu.RUnlock()
	found, ok := w.via[host]
	return found.host, ok && now.Sub(found.at) <= routeFor
}

// SendVia queues a message for a host with another one that passes it on. It
// reports whether the message was queued.
func (m *Mesh) SendVia(via, to model.HostID, msg proto.Message) bool {
	frame, err := m.codec.Encode(proto.Envelope{From: m.self.Host, To: to, Body: msg})
	if err != nil {
		m.opts.log.Error(err, "message dropped", "peer", string(to), "via", string(via))
		return false
	}
	return m.queue(via, frame)
}

// queue queues a frame for a host.
func (m *Mesh) queue(to model.HostID, frame []byte) bool {
	p := m.peer(to)
	if p == nil {
		p = m.resolve(to)
	}
	if p == nil {
		return false
	}
	queued, dial := p.put(frame, time.Now(), m.opts.timing.MaxQueueAge)
	if !queued {
		p.drop(1)
		return false
	}
	if dial {
		m.startDial(p)
	}
	p.wakeWriter()
	return true
}

// accept takes an envelope from a link: it is for this host or, where messages
// are passed on, from the peer to another host or from another host to this one.
func (l *link) accept(e proto.Envelope, frame []byte) error {
	m := l.mesh
	switch {
	case e.From == l.peer.host && e.To == m.self.Host:
		m.ways.direct(e.From)
		m.handler(e.From, e.Body)
	case !m.opts.forward, e.From != l.peer.host && e.To != m.self.Host:
		return errMisdirected(e, l.peer.host)
	case e.From == l.peer.host:
		if !m.queue(e.To, append([]byte(nil), frame...)) {
			l.peer.drop(1)
		}
	default:
		m.ways.note(e.From, l.peer.host, time.Now())
		m.handler(e.From, e.Body)
	}
	return nil
}
