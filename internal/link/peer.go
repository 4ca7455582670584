package link

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// peer is another host with its queue and at most one link in use.
type peer struct {
	host model.HostID
	// wake tells the writer that the queue is not empty.
	wake  chan struct{}
	count counters

	mu   sync.Mutex
	addr string
	// zone is "" until it is learned.
	zone model.ZoneName
	// addrIncarnation is the run of the host that the address belongs to.
	addrIncarnation model.Incarnation
	queue           queue
	link            *link
	dialing         bool
	backoff         time.Duration
	nextDial        time.Time
}

// counters only grow, except roundTrip, which is the newest in nanoseconds.
type counters struct {
	links            atomic.Uint64
	sentMessages     atomic.Uint64
	sentBytes        atomic.Uint64
	receivedMessages atomic.Uint64
	receivedBytes    atomic.Uint64
	dropped          atomic.Uint64
	roundTrip        atomic.Int64
}

// Stats are the figures of one host for the metrics page.
type Stats struct {
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
	// Dropped counts messages that found no room, waited too long, or could not be sent or decoded.
	Dropped   uint64 `json:"dropped"`
	Queued    int    `json:"queued"`
	RoundTrip int64  `json:"round_trip_ns"`
}

func newPeer(host model.HostID, limit int) *peer {
	return &peer{host: host, wake: make(chan struct{}, 1), queue: queue{limit: limit}}
}

func (p *peer) stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := Stats{
		Links:            p.count.links.Load(),
		SentMessages:     p.count.sentMessages.Load(),
		SentBytes:        p.count.sentBytes.Load(),
		ReceivedMessages: p.count.receivedMessages.Load(),
		ReceivedBytes:    p.count.receivedBytes.Load(),
		Dropped:          p.count.dropped.Load(),
		Queued:           len(p.queue.items),
		RoundTrip:        p.count.roundTrip.Load(),
	}
	if p.link != nil {
		s.Linked, s.Link, s.Encrypted = true, p.link.id, p.link.encrypted
	}
	return s
}

// learn sets the address unless a later run of the host has told another.
func (p *peer) learn(addr string, inc model.Incarnation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if addr == "" || inc < p.addrIncarnation {
		return
	}
	if addr != p.addr {
		p.backoff, p.nextDial = 0, time.Time{}
	}
	p.addr, p.addrIncarnation = addr, inc
}

// locate notes the zone of the host.
func (p *peer) locate(zone model.ZoneName) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if zone != "" {
		p.zone = zone
	}
}

func (p *peer) inZone() model.ZoneName {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.zone
}

// put queues a frame. It reports whether there was room and whether a link must be opened.
func (p *peer) put(frame []byte, now time.Time, maxAge time.Duration) (queued, dial bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.link == nil && p.addr == "" {
		return false, false
	}
	if p.link == nil {
		p.drop(p.queue.expire(now, maxAge))
	}
	if !p.queue.put(frame, now) {
		return false, false
	}
	return true, p.startDial()
}

// startDial reports whether the caller must start the dialer. The peer is locked.
func (p *peer) startDial() bool {
	if p.link != nil || p.dialing || p.addr == "" {
		return false
	}
	p.dialing = true
	return true
}

// wantsDial returns the address and the delay before the next attempt. It ends
// the dialing and returns false when no message waits or a link is in use.
func (p *peer) wantsDial(now time.Time, maxAge time.Duration) (string, time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.drop(p.queue.expire(now, maxAge))
	if p.link != nil || len(p.queue.items) == 0 || p.addr == "" {
		p.dialing = false
		return "", 0, false
	}
	return p.addr, max(0, p.nextDial.Sub(now)), true
}

// dialFailed sets the time of the next attempt, later after each failure and jittered.
func (p *peer) dialFailed(now time.Time, t Timing) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.backoff = min(max(2*p.backoff, t.MinBackoff), t.MaxBackoff)
	p.nextDial = now.Add(p.backoff/2 + rand.N(p.backoff/2+1))
}

func (p *peer) stopDial() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dialing = false
}

func (p *peer) take(now time.Time, maxAge time.Duration) ([]byte, int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.drop(p.queue.expire(now, maxAge))
	return p.queue.take()
}

func (p *peer) drop(n int) {
	if n > 0 {
		p.count.dropped.Add(uint64(n))
	}
}

func (p *peer) wakeWriter() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// accepts reports whether l may become the link in use.
func (p *peer) accepts(l *link) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.link == nil || l.replaces(p.link)
}

// use makes l the link in use and returns the one it replaces, or false if l is refused.
func (p *peer) use(l *link) (*link, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.link
	if old != nil && !l.replaces(old) {
		return nil, false
	}
	p.link = l
	p.backoff, p.nextDial = 0, time.Time{}
	p.count.links.Add(1)
	return old, true
}

// unuse forgets l and reports whether a new link must be opened.
func (p *peer) unuse(l *link) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.link != l {
		return false
	}
	p.link = nil
	return len(p.queue.items) > 0 && p.startDial()
}
