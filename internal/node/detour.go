package node

import (
	"maps"
	"sync"
	"time"

	"tarragongauge.example/tarragongauge/internal/admit"
	"tarragongauge.example/tarragongauge/internal/lease"
	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// detourHost returns the host that forwards messages to the control hosts, or ""
// if messages are sent directly.
func (h *entryHost) detourHost() model.HostID {
	if via := h.detourVia.Load(); via != nil {
		return *via
	}
	return ""
}

// send sends a message of a core through the detour host, if there is one.
// Otherwise it sends the message directly, even if the last message from the
// receiver came through another host: if both sides replied along that route,
// neither would return to the direct link.
func (h *entryHost) send(to model.HostID, m proto.Message) {
	via := h.detourHost()
	switch {
	case to == h.self.Host:
		h.mesh.Send(to, m)
	case via != "":
		h.mesh.SendVia(via, to, m)
	default:
		h.mesh.SendDirect(to, m)
	}
}

// applyDetour applies an effect of the detour core. Asks of the detour are sent
// directly, so that a reply shows that the other host is reachable without
// forwarding.
func (h *entryHost) applyDetour(f lease.Effect) {
	switch f := f.(type) {
	case lease.Send:
		h.mesh.SendDirect(f.To, f.Msg)
	case lease.DetourChanged:
		h.log.Info("detour to control changed", "via", f.Via, "before", h.detourHost(), "cause", f.Cause)
		h.detourVia.Store(&f.Via)
	default:
	}
}

// notifyDetour passes the effects that the freshness client publishes to the
// detour core.
func (h *entryHost) notifyDetour(f lease.Effect) {
	switch f := f.(type) {
	case lease.ConfigChanged:
		h.detour.post(f)
	case lease.PeersListed:
		h.detour.post(f)
		h.limiter.post(admit.PeersListed{Peers: f.Peers})
	case lease.FreshnessExtended:
		h.detour.post(lease.VersionConfirmed{})
		h.answerPeers()
	default:
	}
}

// peerAsks holds the asks of other hosts that are answered after the next
// confirmation of this host.
type peerAsks struct {
	mu sync.Mutex
	// pendingNonces holds the nonce of each unanswered ask, and answeredAt the
	// time of the last answer to each host. Both are guarded by mu.
	pendingNonces map[model.HostID]uint64
	answeredAt    map[model.HostID]model.Instant
}

const (
	// maxPendingPeerAsks bounds the hosts that wait for an answer.
	maxPendingPeerAsks = 256
	// maxPeersPerConfirmation bounds the hosts answered after one confirmation.
	// Without the bound, the first host that reaches control again would forward
	// for all others.
	maxPeersPerConfirmation = 6
	// maxPeersPerWindow bounds the hosts answered within peerWindow. To forward
	// the messages of one host costs about a tenth of what serving its requests
	// costs that host.
	maxPeersPerWindow = 18
	peerWindow        = 10 * time.Second
)

// add records an ask. A newer ask of the same host replaces an older one. While
// maxPendingPeerAsks hosts wait, asks of further hosts are dropped.
func (p *peerAsks) add(from model.HostID, nonce uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.pendingNonces == nil {
		p.pendingNonces, p.answeredAt = map[model.HostID]uint64{}, map[model.HostID]model.Instant{}
	}
	if len(p.pendingNonces) < maxPendingPeerAsks || p.pendingNonces[from] != 0 {
		p.pendingNonces[from] = nonce
	}
}

// take returns the asks to answer now and discards the others. A host that still
// needs a detour asks again.
func (p *peerAsks) take(now model.Instant) map[model.HostID]uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.answeredAt, func(_ model.HostID, at model.Instant) bool { return now.Sub(at) > peerWindow })
	due := map[model.HostID]uint64{}
	for host, nonce := range p.pendingNonces {
		_, answered := p.answeredAt[host]
		if len(due) == maxPeersPerConfirmation || !answered && len(p.answeredAt) >= maxPeersPerWindow {
			continue
		}
		due[host], p.answeredAt[host] = nonce, now
	}
	clear(p.pendingNonces)
	return due
}

// answerPeers tells the hosts that asked that this host reaches control directly.
// It is called after each confirmation: a confirmation from before an ask would
// prove nothing, because hosts that are cut off together notice it at different
// times.
func (h *entryHost) answerPeers() {
	if h.detourHost() != "" || h.draining.Load() {
		return
	}
	for host, nonce := range h.peerAsks.take(h.clock.now()) {
		h.mesh.SendDirect(host, proto.PeerReply{Nonce: nonce})
	}
}

// confirmedWithin reports whether the ask whose confirmation ends at freshUntil
// was sent at most age before now.
func confirmedWithin(now, freshUntil model.Instant, age time.Duration) bool {
	return freshUntil != 0 && now.Sub(freshUntil.Add(-lease.DefaultTiming().FreshnessDuration)) <= age
}
