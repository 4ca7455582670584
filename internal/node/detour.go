package node

import (
	"maps"
	"sync"
	"time"

	"tarragongauge.example/tarragongauge/internal/lease"
	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// via returns the host that passes messages on to control hosts, or "".
func (h *entryHost) via() model.HostID {
	if via := h.detourVia.Load(); via != nil {
		return *via
	}
	return ""
}

// send sends a message of a core. On a host that asks control hosts only, it
// goes through the detour while there is one. Without one it goes directly, even
// if the last message came through another host: else no side would return.
func (h *entryHost) send(to model.HostID, m proto.Message) {
	via := h.via()
	switch {
	case to == h.self.Host:
		h.mesh.Send(to, m)
	case via != "":
		h.mesh.SendVia(via, to, m)
	default:
		h.mesh.SendDirect(to, m)
	}
}

// applyDetour carries out what the detour decides. Its asks are sent directly:
// an answer shows that the other host is reached without help.
func (h *entryHost) applyDetour(f lease.Effect) {
	switch f := f.(type) {
	case lease.Send:
		h.mesh.SendDirect(f.To, f.Msg)
	case lease.DetourChanged:
		h.log.Info("detour to control changed", "via", f.Via, "before", h.via(), "cause", f.Cause)
		h.detourVia.Store(&f.Via)
	default:
	}
}

// followDetour tells the detour what the freshness client publishes.
func (h *entryHost) followDetour(f lease.Effect) {
	switch f := f.(type) {
	case lease.ConfigChanged:
		h.detour.post(f)
	case lease.PeersListed:
		h.detour.post(f)
	case lease.FreshnessExtended:
		h.detour.post(lease.VersionConfirmed{})
		h.answerPeers()
	default:
	}
}

// peerAsks are asks of other hosts that wait for the next confirmation of this one.
type peerAsks struct {
	mu sync.Mutex
	// nonces and helped are guarded by mu. helped holds when each host was last answered.
	nonces map[model.HostID]uint64
	helped map[model.HostID]model.Instant
}

const (
	// maxPeerAsks bounds the hosts that wait for an answer.
	maxPeerAsks = 256
	// helpAtOnce bounds the hosts answered after one confirmation: the first host
	// that reaches control again would get all others.
	helpAtOnce = 6
	// helpMost bounds the hosts answered within helpFor. Passing on the messages
	// of one host costs about a tenth of what its requests cost there.
	helpMost = 18
	helpFor  = 10 * time.Second
)

func (p *peerAsks) add(from model.HostID, nonce uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.nonces == nil {
		p.nonces, p.helped = map[model.HostID]uint64{}, map[model.HostID]model.Instant{}
	}
	if len(p.nonces) < maxPeerAsks || p.nonces[from] != 0 {
		p.nonces[from] = nonce
	}
}

// take returns the asks to answer now and forgets the others: who still needs
// help asks again.
func (p *peerAsks) take(now model.Instant) map[model.HostID]uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.helped, func(_ model.HostID, at model.Instant) bool { return now.Sub(at) > helpFor })
	taken := map[model.HostID]uint64{}
	for host, nonce := range p.nonces {
		_, again := p.helped[host]
		if len(taken) == helpAtOnce || !again && len(p.helped) >= helpMost {
			continue
		}
		taken[host], p.helped[host] = nonce, now
	}
	clear(p.nonces)
	return taken
}

// answerPeers tells the hosts that asked that this one reaches control by
// itself. A confirmation from before an ask would not show it: hosts that are
// cut off together notice it at different times.
func (h *entryHost) answerPeers() {
	if h.via() != "" || h.draining.Load() {
		return
	}
	for host, nonce := range h.peerAsks.take(h.clock.now()) {
		h.mesh.SendDirect(host, proto.PeerReply{Nonce: nonce})
	}
}

// confirmedWithin reports whether the confirmation that ends at an instant is
// no older than an age.
func confirmedWithin(now, freshUntil model.Instant, age time.Duration) bool {
	return freshUntil != 0 && now.Sub(freshUntil.Add(-lease.DefaultTiming().FreshnessDuration)) <= age
}
