package lease

import (
	"cmp"
	"slices"
	"time"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

const (
	// detourAfter is the time without a confirmation after which a host looks for
	// a detour: by then two relays have been asked without an answer.
	detourAfter = 1200 * time.Millisecond
	// searchEvery is the interval at which searchWidth further hosts are asked.
	searchEvery = 200 * time.Millisecond
	searchWidth = 3
	// searchFast is the number of searches after which the interval is searchSlow:
	// a new link costs some milliseconds of processor time on both sides, and
	// without control no host can help.
	searchFast = 8
	searchSlow = time.Second
	// returnEvery is the interval at which a host on a detour asks a control host directly.
	returnEvery = time.Second
	// avoidFor is how long a host that failed as a detour is not used again.
	avoidFor = 5 * time.Second
)

// Detour finds another entry host that passes messages on to control hosts when
// an entry host reaches none of them itself.
//
// It answers a partition between many entry hosts and control: without it each
// of them uses its own small share of every bucket and hears nothing of changes.
type Detour struct {
	settings
	self proto.Member
	// peers are other entry hosts, in the order in which they are asked.
	peers []model.HostID
	// controls are the control hosts to try directly.
	controls []model.HostID
	// confirmedAt is when this host was last confirmed a version, or started.
	confirmedAt model.Instant
	// via is the host in use, or "". It is used since viaAt.
	via   model.HostID
	viaAt model.Instant
	// failed holds when a host was last given up.
	failed map[model.HostID]model.Instant
	// next is the index of the next host to ask, searches counts those without success.
	next        int
	searches    int
	nextControl int
	askAt       model.Instant
	nonce       uint64
}

type (
	// PeersListed tells the detour which other entry hosts there are.
	PeersListed struct{ Peers []model.HostID }
	// VersionConfirmed tells the detour that a reply confirmed a version.
	VersionConfirmed struct{}
	// DetourChanged publishes the host that passes messages on, or "" for none.
	DetourChanged struct {
		Via model.HostID
		// Cause is for the log.
		Cause string
	}
)

func (PeersListed) isEvent()      {}
func (PeersListed) isEffect()     {}
func (VersionConfirmed) isEvent() {}
func (DetourChanged) isEffect()   {}

// NewDetour returns a detour that is not in use.
func NewDetour(self proto.Member, opts ...Option) *Detour {
	return &Detour{settings: newSettings(opts), self: self, failed: map[model.HostID]model.Instant{}}
}

// Step takes one event.
func (d *Detour) Step(now model.Instant, ev Event) []Effect {
	if d.confirmedAt == 0 {
		d.confirmedAt = now
	}
	switch ev := ev.(type) {
	case PeersListed:
		d.list(ev.Peers)
	case ConfigChanged:
		d.controls = addHosts(nil, ev.Config.Controls)
	case VersionConfirmed:
		d.confirmedAt = now
	case Received:
		if m, ok := ev.Msg.(proto.PeerReply); ok {
			return d.reply(now, ev.From, m)
		}
	case Tick:
		return d.tick(now)
	}
	return nil
}

// list orders the peers by a hash that differs between hosts, so that those
// that are cut off together do not all ask the same one.
func (d *Detour) list(peers []model.HostID) {
	self := hashString(string(d.self.Host))
	d.peers = slices.DeleteFunc(slices.Clone(peers), func(h model.HostID) bool { return h == d.self.Host })
	slices.SortStableFunc(d.peers, func(a, b model.HostID) int {
		return cmp.Compare(mix(self^hashString(string(a))), mix(self^hashString(string(b))))
	})
}

// isolated reports whether nothing was confirmed for too long.
func (d *Detour) isolated(now model.Instant) bool {
	return now.Sub(max(d.confirmedAt, d.viaAt)) > detourAfter
}

func (d *Detour) tick(now model.Instant) []Effect {
	var out []Effect
	if d.via != "" && d.isolated(now) {
		d.failed[d.via] = now
		out = append(out, d.use(now, "", "no confirmation through the other host")...)
	}
	if now < d.askAt {
		return out
	}
	switch {
	case d.via != "":
		d.askAt = now.Add(returnEvery)
		return append(out, d.askControl()...)
	case d.isolated(now):
		d.askAt = now.Add(searchEvery)
		if d.searches++; d.searches > searchFast {
			d.askAt = now.Add(searchSlow)
		}
		return append(out, d.search(now)...)
	default:
		d.searches = 0
		return out
	}
}

// askControl asks a control host directly, each time another one.
func (d *Detour) askControl() []Effect {
	if len(d.controls) == 0 {
		return nil
	}
	d.nextControl++
	d.nonce++
	return []Effect{Send{To: d.controls[d.nextControl%len(d.controls)], Msg: proto.PeerAsk{Nonce: d.nonce}}}
}

func (d *Detour) search(now model.Instant) []Effect {
	var out []Effect
	d.nonce++
	for range min(searchWidth, len(d.peers)) {
		host := d.peers[d.next%len(d.peers)]
		d.next++
		if at, ok := d.failed[host]; ok && now.Sub(at) < avoidFor {
			continue
		}
		out = append(out, Send{To: host, Msg: proto.PeerAsk{Nonce: d.nonce}})
	}
	return out
}

// reply takes the first host that can pass messages on while there is none, and
// ends the detour when a control host answers directly.
func (d *Detour) reply(now model.Instant, from model.HostID, m proto.PeerReply) []Effect {
	control := slices.Contains(d.controls, from)
	switch {
	case m.Nonce == 0 || m.Nonce > d.nonce:
		return nil
	case control && d.via != "":
		return d.use(now, "", "a control host answered directly")
	case control || d.via != "" || !d.isolated(now):
		return nil
	default:
		return d.use(now, from, "no control host confirmed a version in time")
	}
}

func (d *Detour) use(now model.Instant, via model.HostID, cause string) []Effect {
	d.via, d.viaAt, d.askAt, d.searches = via, now, now.Add(returnEvery), 0
	if via == "" {
		d.askAt = now
	}
	return []Effect{DetourChanged{Via: via, Cause: cause}}
}
