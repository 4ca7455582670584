package lease

import (
	"cmp"
	"slices"
	"time"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

const (
	// isolationTimeout is the time without a confirmation after which a host looks
	// for a detour. By then two relays have left requests unanswered.
	isolationTimeout = 1200 * time.Millisecond
	// searchInterval is the interval at which hostsPerSearch further hosts are asked.
	searchInterval = 200 * time.Millisecond
	hostsPerSearch = 3
	// maxFastSearches is the number of searches after which slowSearchInterval
	// applies: a new link costs some milliseconds of processor time on both sides,
	// and while control is unavailable no host can help.
	maxFastSearches    = 8
	slowSearchInterval = time.Second
	// directProbeInterval is the interval at which a host on a detour tries to reach
	// a control host directly.
	directProbeInterval = time.Second
	// failedHostCooldown is how long a host is not asked again after it failed as a
	// detour.
	failedHostCooldown = 5 * time.Second
)

// Detour finds another entry host that forwards messages to the control hosts
// when an entry host reaches none of them directly.
//
// It keeps entry hosts working during a partition between many of them and
// control. Without a detour each of them admits only its own small share of every
// token bucket and learns of no configuration changes.
type Detour struct {
	settings
	self proto.Member
	// peers are the other entry hosts in the order in which they are asked.
	peers []model.HostID
	// controls are the control hosts to probe directly.
	controls []model.HostID
	// confirmedAt is when a reply last confirmed a version to this host, or the
	// first event if none did.
	confirmedAt model.Instant
	// via is the host that forwards messages since viaAt, or "" for none.
	via   model.HostID
	viaAt model.Instant
	// failedAt holds when each host last failed as a detour.
	failedAt map[model.HostID]model.Instant
	// nextPeer is the index of the next peer to ask, modulo their number.
	// failedSearches counts the searches since the last detour or confirmation.
	nextPeer       int
	failedSearches int
	nextControl    int
	nextAsk        model.Instant
	nonce          uint64
}

type (
	// PeersListed lists entry hosts that may serve as a detour.
	PeersListed struct{ Peers []model.HostID }
	// VersionConfirmed reports that a reply confirmed a configuration version.
	VersionConfirmed struct{}
	// DetourChanged publishes the host that forwards messages, or "" for none.
	DetourChanged struct {
		Via model.HostID
		// Cause is the reason for the change, for the log.
		Cause string
	}
)

func (PeersListed) isEvent()      {}
func (PeersListed) isEffect()     {}
func (VersionConfirmed) isEvent() {}
func (DetourChanged) isEffect()   {}

// NewDetour returns a Detour that uses no other host.
func NewDetour(self proto.Member, opts ...Option) *Detour {
	return &Detour{settings: newSettings(opts), self: self, failedAt: map[model.HostID]model.Instant{}}
}

// Step handles one event and returns the resulting effects.
func (d *Detour) Step(now model.Instant, ev Event) []Effect {
	if d.confirmedAt == 0 {
		d.confirmedAt = now
	}
	switch ev := ev.(type) {
	case PeersListed:
		d.setPeers(ev.Peers)
	case ConfigChanged:
		d.controls = addHosts(nil, ev.Config.Controls)
	case VersionConfirmed:
		d.confirmedAt = now
	case Received:
		if m, ok := ev.Msg.(proto.PeerReply); ok {
			return d.handleReply(now, ev.From, m)
		}
	case Tick:
		return d.tick(now)
	}
	return nil
}

// setPeers orders the peers by a hash that differs between hosts, so that hosts
// that are cut off together do not all ask the same peer.
func (d *Detour) setPeers(peers []model.HostID) {
	self := hashString(string(d.self.Host))
	d.peers = slices.DeleteFunc(slices.Clone(peers), func(h model.HostID) bool { return h == d.self.Host })
	slices.SortStableFunc(d.peers, func(a, b model.HostID) int {
		return cmp.Compare(mix(self^hashString(string(a))), mix(self^hashString(string(b))))
	})
}

// isIsolated reports whether neither a confirmation nor a new detour came within
// isolationTimeout.
func (d *Detour) isIsolated(now model.Instant) bool {
	return now.Sub(max(d.confirmedAt, d.viaAt)) > isolationTimeout
}

func (d *Detour) tick(now model.Instant) []Effect {
	var out []Effect
	if d.via != "" && d.isIsolated(now) {
		d.failedAt[d.via] = now
		out = append(out, d.setVia(now, "", "no confirmation through the other host")...)
	}
	if now < d.nextAsk {
		return out
	}
	switch {
	case d.via != "":
		d.nextAsk = now.Add(directProbeInterval)
		return append(out, d.probeControl()...)
	case d.isIsolated(now):
		d.nextAsk = now.Add(searchInterval)
		if d.failedSearches++; d.failedSearches > maxFastSearches {
			d.nextAsk = now.Add(slowSearchInterval)
		}
		return append(out, d.searchPeers(now)...)
	default:
		d.failedSearches = 0
		return out
	}
}

// probeControl asks the next control host directly, in rotation.
func (d *Detour) probeControl() []Effect {
	if len(d.controls) == 0 {
		return nil
	}
	d.nextControl++
	d.nonce++
	return []Effect{Send{To: d.controls[d.nextControl%len(d.controls)], Msg: proto.PeerAsk{Nonce: d.nonce}}}
}

// searchPeers asks the next peers whether they reach control, except those that
// failed recently.
func (d *Detour) searchPeers(now model.Instant) []Effect {
	var out []Effect
	d.nonce++
	for range min(hostsPerSearch, len(d.peers)) {
		host := d.peers[d.nextPeer%len(d.peers)]
		d.nextPeer++
		if at, ok := d.failedAt[host]; ok && now.Sub(at) < failedHostCooldown {
			continue
		}
		out = append(out, Send{To: host, Msg: proto.PeerAsk{Nonce: d.nonce}})
	}
	return out
}

// handleReply uses the first peer that answers while this host is isolated, and ends
// the detour when a control host answers directly.
func (d *Detour) handleReply(now model.Instant, from model.HostID, m proto.PeerReply) []Effect {
	control := slices.Contains(d.controls, from)
	switch {
	case m.Nonce == 0 || m.Nonce > d.nonce:
		return nil
	case control && d.via != "":
		return d.setVia(now, "", "a control host answered directly")
	case control || d.via != "" || !d.isIsolated(now):
		return nil
	default:
		return d.setVia(now, from, "no control host confirmed a version in time")
	}
}

// setVia changes the host that forwards messages, or ends the detour for "".
func (d *Detour) setVia(now model.Instant, via model.HostID, cause string) []Effect {
	d.via, d.viaAt, d.nextAsk, d.failedSearches = via, now, now.Add(directProbeInterval), 0
	if via == "" {
		d.nextAsk = now
	}
	return []Effect{DetourChanged{Via: via, Cause: cause}}
}
