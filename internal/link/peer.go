package link

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// peer is another host with the queue of messages to it and at most one link in
// use.
type peer struct {
	host model.HostID
	// wake has a token if messages were queued since the writing task last looked.
	wake     chan struct{}
	counters counters

	// mu guards the fields that follow.
	mu sync.Mutex
	// addr is the fleet address of the host, or "" if it is unknown.
	addr string
	// zone is the availability zone of the host, or "" if it is unknown.
	zone model.ZoneName
	// addrIncarnation is the incarnation of the host that announced addr.
	addrIncarnation model.Incarnation
	queue           queue
	// link is the link in use, or nil.
	link *link
	// isDialing is set while a task opens a link to the host.
	isDialing bool
	// backoff is the longest delay before the next attempt to open a link.
	backoff    time.Duration
	nextDialAt time.Time
}

// counters holds the figures of a peer that its links update. All but roundTrip
// only grow.
type counters struct {
	links            atomic.Uint64
	sentMessages     atomic.Uint64
	sentBytes        atomic.Uint64
	receivedMessages atomic.Uint64
	receivedBytes    atomic.Uint64
	dropped          atomic.Uint64
	// roundTrip is the time of the latest ping and its pong in nanoseconds.
	roundTrip atomic.Int64
}

// Stats holds the figures of the links to one host for the metrics page.
type Stats struct {
	// Linked is set if a link is in use.
	Linked bool `json:"linked"`
	// Link identifies the link in use; both hosts show the same value.
	Link string `json:"link,omitempty"`
	// Encrypted is set if the link in use is over TLS.
	Encrypted bool `json:"encrypted"`
	// Links counts the links opened so far.
	Links            uint64 `json:"links"`
	SentMessages     uint64 `json:"sent_messages"`
	SentBytes        uint64 `json:"sent_bytes"`
	ReceivedMessages uint64 `json:"received_messages"`
	ReceivedBytes    uint64 `json:"received_bytes"`
	// Dropped counts messages that found the queue full, waited too long, or could
	// not be sent, forwarded or decoded.
	Dropped uint64 `json:"dropped"`
	// Queued is the number of messages that wait for the link.
	Queued int `json:"queued"`
	// RoundTrip is the time of the latest ping and its pong in nanoseconds.
	RoundTrip int64 `json:"round_trip_ns"`
}

// newPeer returns a peer without an address, whose queue holds at most limit messages.
func newPeer(host model.HostID, limit int) *peer {
	return &peer{host: host, wake: make(chan struct{}, 1), queue: queue{limit: limit}}
}

func (p *peer) stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := Stats{
		Links:            p.counters.links.Load(),
		SentMessages:     p.counters.sentMessages.Load(),
		SentBytes:        p.counters.sentBytes.Load(),
		ReceivedMessages: p.counters.receivedMessages.Load(),
		ReceivedBytes:    p.counters.receivedBytes.Load(),
		Dropped:          p.counters.dropped.Load(),
		Queued:           len(p.queue.items),
		RoundTrip:        p.counters.roundTrip.Load(),
	}
	if p.link != nil {
		s.Linked, s.Link, s.Encrypted = true, p.link.id, p.link.encrypted
	}
	return s
}

// updateAddr sets the address that an incarnation of the host announced, unless a
// later incarnation has announced one. A new address is tried without a delay.
func (p *peer) updateAddr(addr string, inc model.Incarnation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if addr == "" || inc < p.addrIncarnation {
		return
	}
	if addr != p.addr {
		p.backoff, p.nextDialAt = 0, time.Time{}
	}
	p.addr, p.addrIncarnation = addr, inc
}

// setZone sets the zone of the host unless zone is "".
func (p *peer) setZone(zone model.ZoneName) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if zone != "" {
		p.zone = zone
	}
}

// zoneName returns the zone of the host, or "" if it is unknown.
func (p *peer) zoneName() model.ZoneName {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.zone
}

// put queues a frame. It reports whether the frame was queued, which needs room
// and a link or an address, and whether the caller must open a link by Mesh.startDial.
func (p *peer) put(frame []byte, now time.Time, maxAge time.Duration) (queued, dial bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.link == nil && p.addr == "" {
		return false, false
	}
	if p.link == nil {
		p.countDropped(p.queue.expire(now, maxAge))
	}
	if !p.queue.put(frame, now) {
		return false, false
	}
	return true, p.markDialing()
}

// markDialing reports whether a link must be opened, and then marks the peer, so
// that only one caller calls Mesh.startDial. The caller holds mu.
func (p *peer) markDialing() bool {
	if p.link != nil || p.isDialing || p.addr == "" {
		return false
	}
	p.isDialing = true
	return true
}

// nextDialAttempt returns the address of the host and the delay before the next
// attempt to open a link. If no message waits or a link is in use, it unmarks the
// peer as dialing and returns false.
func (p *peer) nextDialAttempt(now time.Time, maxAge time.Duration) (string, time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.countDropped(p.queue.expire(now, maxAge))
	if p.link != nil || len(p.queue.items) == 0 || p.addr == "" {
		p.isDialing = false
		return "", 0, false
	}
	return p.addr, max(0, p.nextDialAt.Sub(now)), true
}

// scheduleRedial sets the time of the next attempt to open a link. The delay
// doubles with each failure and has a random part.
func (p *peer) scheduleRedial(now time.Time, t Timing) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.backoff = min(max(2*p.backoff, t.MinBackoff), t.MaxBackoff)
	p.nextDialAt = now.Add(p.backoff/2 + rand.N(p.backoff/2+1))
}

// clearDialing unmarks the peer as dialing.
func (p *peer) clearDialing() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isDialing = false
}

// takeBatch drops messages older than maxAge and returns the next ones as one
// frame, with their number.
func (p *peer) takeBatch(now time.Time, maxAge time.Duration) ([]byte, int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.countDropped(p.queue.expire(now, maxAge))
	return p.queue.takeBatch()
}

// countDropped counts n dropped messages.
func (p *peer) countDropped(n int) {
	if n > 0 {
		p.counters.dropped.Add(uint64(n))
	}
}

// wakeWriter wakes the writing task of the link.
func (p *peer) wakeWriter() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// canUse reports whether setLink would accept l now.
func (p *peer) canUse(l *link) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.link == nil || l.replaces(p.link)
}

// setLink makes l the link in use and returns the replaced link, or nil if there
// was none. It returns false if l must not replace the link in use.
func (p *peer) setLink(l *link) (*link, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.link
	if old != nil && !l.replaces(old) {
		return nil, false
	}
	p.link = l
	p.backoff, p.nextDialAt = 0, time.Time{}
	p.counters.links.Add(1)
	return old, true
}

// clearLink removes l as the link in use. It reports whether the caller must open
// a new link by Mesh.startDial, since messages wait.
func (p *peer) clearLink(l *link) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.link != l {
		return false
	}
	p.link = nil
	return len(p.queue.items) > 0 && p.markDialing()
}
