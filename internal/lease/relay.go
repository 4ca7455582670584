package lease

import (
	"cmp"
	"slices"
	"time"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

const (
	// maxUnconfirmedRelayAsks is the number of asks that a relay may leave without a
	// sufficiently recent confirmation before another relay is chosen.
	maxUnconfirmedRelayAsks = 2
	// failedRelayCooldown is how long a host does not return to a relay of its own
	// zone after it failed.
	failedRelayCooldown = 10 * time.Second
)

// relayState holds the relay of an entry host, which is the control host that the
// entry host asks instead of every seat.
type relayState struct {
	host model.HostID
	// chosenAt is when host was chosen. confirmedAskAt is when the newest ask was sent
	// that host answered with a recent confirmation.
	chosenAt       model.Instant
	confirmedAskAt model.Instant
	// newestNonce is the nonce of the newest reply of host, or 0.
	newestNonce uint64
	// listSource is the relay whose lists are in use: host, or the relay before it
	// until host has reported its own lists.
	listSource model.HostID
	// failedAt holds when each host last failed as a relay.
	failedAt map[model.HostID]model.Instant
	// zones holds the zones of control hosts according to replies.
	zones map[model.HostID]model.ZoneName
}

// chooseRelay returns the control host to ask. It replaces a relay without recent
// confirmations, which may be cut off from the other control hosts, and returns to
// the own zone when possible.
func (f *FreshnessClient) chooseRelay(now model.Instant) model.HostID {
	r := &f.relay
	hosts := f.knownControls()
	if len(hosts) == 0 {
		return ""
	}
	// With a quarter of an interval less, a failure is noticed when the second ask
	// after the last answered one, or after the choice of the relay, is due. The new
	// relay then learns of this host before MemberTimeout removes it.
	timeout := maxUnconfirmedRelayAsks*f.timing.AskInterval - f.timing.AskInterval/4
	waited := now.Sub(max(r.chosenAt, r.confirmedAskAt))
	switch {
	case r.host == "":
	case waited > timeout:
		r.failedAt[r.host] = now
	case !f.inOwnZone(r.host) && f.canReturnToZone(now, hosts):
	default:
		return r.host
	}
	r.host, r.chosenAt, r.newestNonce = f.bestRelay(now, hosts), now, 0
	return r.host
}

// canReturnToZone reports whether a control host of the own zone can replace a relay
// of another zone. A starting host learns only from its first relay which control hosts
// are in its zone.
func (f *FreshnessClient) canReturnToZone(now model.Instant, hosts []model.HostID) bool {
	return slices.ContainsFunc(hosts, func(h model.HostID) bool {
		failed, ok := f.relay.failedAt[h]
		return f.inOwnZone(h) && (!ok || now.Sub(failed) > failedRelayCooldown)
	})
}

// knownControls returns the known control hosts, sorted by name. It includes the
// bootstrap hosts while the others are unknown, unconfirmed or have all failed.
func (f *FreshnessClient) knownControls() []model.HostID {
	hosts := addHosts(nil, f.hist.cfg.Controls)
	if len(hosts) == 0 || f.freshUntil == 0 || len(f.relay.failedAt) >= len(hosts) {
		hosts = addHosts(hosts, f.controls)
	}
	slices.Sort(hosts)
	return hosts
}

// bestRelay returns the preferred relay: a host that did not fail recently, and of
// these one of the own zone. A hash spreads the entry hosts over hosts of equal rank.
func (f *FreshnessClient) bestRelay(now model.Instant, hosts []model.HostID) model.HostID {
	rank := func(h model.HostID) int {
		failed, ok := f.relay.failedAt[h]
		switch {
		case ok && now.Sub(failed) < f.timing.MemberTimeout:
			return 2
		case f.inOwnZone(h):
			return 0
		default:
			return 1
		}
	}
	self := hashString(string(f.self.Host))
	return slices.MinFunc(hosts, func(a, b model.HostID) int {
		return cmp.Or(
			cmp.Compare(rank(a), rank(b)),
			cmp.Compare(f.relay.failedAt[a], f.relay.failedAt[b]),
			cmp.Compare(mix(self^hashString(string(a))), mix(self^hashString(string(b)))),
		)
	})
}

// inOwnZone reports whether a control host is known to be in the zone of this host.
func (f *FreshnessClient) inOwnZone(h model.HostID) bool { return f.relay.zones[h] == f.self.Zone }

// recordRelayReply records from a reply of the relay whether its confirmation is
// recent, and the zones of the control hosts. A host without a configuration also
// learns the control hosts.
func (f *FreshnessClient) recordRelayReply(from model.HostID, sent model.Instant, m proto.FreshReply) {
	r := &f.relay
	if from != r.host {
		return
	}
	r.newestNonce = max(r.newestNonce, m.Nonce)
	if m.Age <= maxUnconfirmedRelayAsks*f.timing.AskInterval {
		r.confirmedAskAt = max(r.confirmedAskAt, sent)
	}
	for _, member := range m.Members {
		r.zones[member.Host] = member.Zone
		if !f.hist.known && member.Role == proto.RoleControl {
			f.controls = addHosts(f.controls, []model.HostID{member.Host})
		}
	}
}

// seeksZoneRelay reports whether this host has no configuration yet and knows no
// control host of its zone.
func (f *FreshnessClient) seeksZoneRelay() bool {
	return !f.hist.known && !slices.ContainsFunc(f.knownControls(), f.inOwnZone)
}

// redirectControls returns the live control hosts if a starting host should ask one
// of its own zone instead, since the configuration and the lists are large. Otherwise
// it returns nil.
func (f *FreshnessClient) redirectControls(ask proto.FreshAsk) []proto.Member {
	if !ask.Starting || ask.Member.Zone == f.self.Zone {
		return nil
	}
	var controls []proto.Member
	near := false
	for _, m := range f.members {
		if m.Role == proto.RoleControl && !m.Draining {
			controls = append(controls, m)
			near = near || m.Zone == ask.Member.Zone
		}
	}
	if !near {
		return nil
	}
	return controls
}

// RelayReply returns the reply of this host, as a relay, to the ask of an entry host.
// It reports the version that was last confirmed to this host and the age of that
// confirmation, so the asker stays fresh no longer than if it had asked the seats
// itself. The second result is false while this host has no confirmation.
func (f *FreshnessClient) RelayReply(now model.Instant, ask proto.FreshAsk) (proto.FreshReply, bool) {
	if !f.hist.known || f.freshUntil == 0 {
		return proto.FreshReply{}, false
	}
	if controls := f.redirectControls(ask); controls != nil {
		return proto.FreshReply{Nonce: ask.Nonce, Redirect: true, Members: controls}, true
	}
	confirmed := f.freshUntil.Add(-f.timing.localAtMost(f.timing.FreshnessDuration))
	reply := proto.FreshReply{Nonce: ask.Nonce, Newest: f.hist.version(), FromControl: true, Age: max(0, now.Sub(confirmed)), SeatsSettled: f.seatsSettled}
	changes, held := f.hist.changesFor(ask.HeldVersion)
	if held {
		reply.Changes = changes
	} else {
		reply.Snapshot = f.hist.snapshot()
	}
	var controls []proto.Member
	for _, m := range f.members {
		switch m.Role {
		case proto.RoleControl:
			controls = append(controls, m)
		case proto.RoleEntry:
			reply.EntryHostCount++
		default:
		}
	}
	if peers := f.peersFor(now, ask.Member.Zone); peers.digest != ask.PeersDigest {
		reply.Peers, reply.PeersDigest = peers.hosts, peers.digest
	} else {
		reply.PeersDigest = peers.digest
	}
	if reply.MembersDigest = MembersDigest(controls); reply.MembersDigest != ask.MembersDigest {
		reply.Members = controls
	}
	if reply.OwnersDigest = ownersDigest(f.owners); reply.OwnersDigest != ask.OwnersDigest {
		reply.Owners = f.owners
	}
	return reply, true
}

const (
	// peerListInterval is how long a relay reports the same list of entry hosts.
	peerListInterval = 5 * time.Second
	// maxZonePeers and maxOtherZonePeers limit the entry hosts that a relay reports,
	// of the asker's zone and of other zones.
	maxZonePeers      = 48
	maxOtherZonePeers = 16
)

// peerList holds the entry hosts that a relay reports to the entry hosts of one zone.
type peerList struct {
	hosts   []model.HostID
	digest  uint64
	builtAt model.Instant
}

// peersFor returns a list of entry hosts for an asker in a zone, most of them of the
// same zone.
func (f *FreshnessClient) peersFor(now model.Instant, zone model.ZoneName) peerList {
	list, ok := f.peerLists[zone]
	if ok && now.Sub(list.builtAt) < peerListInterval {
		return list
	}
	var near, far []model.HostID
	for _, m := range f.members {
		switch {
		case m.Role != proto.RoleEntry:
		case m.Zone == zone:
			near = append(near, m.Host)
		default:
			far = append(far, m.Host)
		}
	}
	list = peerList{hosts: append(sampleHosts(near, maxZonePeers), sampleHosts(far, maxOtherZonePeers)...), builtAt: now}
	for _, h := range list.hosts {
		list.digest += mix(hashString(string(h)))
	}
	f.peerLists[zone] = list
	return list
}

// sampleHosts returns up to n hosts. A hash selects them, so that the selection
// changes little when the list does.
func sampleHosts(hosts []model.HostID, n int) []model.HostID {
	if len(hosts) <= n {
		return hosts
	}
	slices.SortFunc(hosts, func(a, b model.HostID) int {
		return cmp.Compare(mix(hashString(string(a))), mix(hashString(string(b))))
	})
	return hosts[:n]
}

// ownersDigest identifies a list of owners in any order, as FreshAsk and FreshReply
// carry it.
func ownersDigest(owners []proto.Owner) uint64 {
	var sum uint64
	for _, o := range owners {
		sum += hashOwner(o)
	}
	return digest(sum)
}

// takeRelayLists publishes the targets, failed targets, peers and number of entry
// hosts that a relay reports.
func (f *FreshnessClient) takeRelayLists(m proto.FreshReply) []Effect {
	out := f.takeTargets(m)
	if len(m.FailedTargets) > 0 {
		out = append(out, FailedTargetsReported{Targets: m.FailedTargets})
	}
	if m.PeersDigest != f.peersDigest && len(m.Peers) > 0 {
		f.peersDigest = m.PeersDigest
		out = append(out, PeersListed{Peers: m.Peers})
	}
	if m.EntryHostCount > 0 {
		out = append(out, EntryHostCountChanged{Count: m.EntryHostCount})
	}
	return out
}

// takeTargets publishes the list of targets of a relay, or that it is unchanged.
func (f *FreshnessClient) takeTargets(m proto.FreshReply) []Effect {
	switch {
	case m.TargetsDigest == 0:
		return nil
	case m.TargetsDigest == f.targetList.digest:
		return []Effect{TargetsListed{}}
	case !f.targetList.update(m):
		return nil
	}
	return []Effect{TargetsListed{Targets: f.targetList.all()}}
}
