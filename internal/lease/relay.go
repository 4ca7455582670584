package lease

import (
	"cmp"
	"slices"
	"time"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

const (
	// relayPatience is how many asks a relay may leave without a confirmation
	// that is recent enough before another one is asked.
	relayPatience = 2
	// relayReturn is how long a host does not return to a relay of its own zone
	// that has failed.
	relayReturn = 10 * time.Second
)

// relayChoice is which control host an entry host asks on behalf of all.
type relayChoice struct {
	host model.HostID
	// since is when the host was chosen, goodAt when its last usable reply was asked for.
	since  model.Instant
	goodAt model.Instant
	// heard is the nonce of its newest reply, or 0.
	heard uint64
	// lists is the relay whose lists are in use: this one, or the one before until this one has told its own.
	lists model.HostID
	// failed holds when a host was last given up.
	failed map[model.HostID]model.Instant
	// zones holds the zones of control hosts as replies tell them.
	zones map[model.HostID]model.ZoneName
}

// relay returns the control host to ask, and changes it if it does not confirm
// recent versions: it may be cut off from the others.
func (f *FreshnessClient) relay(now model.Instant) model.HostID {
	r := &f.relays
	hosts := f.relayHosts()
	if len(hosts) == 0 {
		return ""
	}
	// An ask without an answer is noticed when the next but one is due, early
	// enough for the new relay to hear of this host before it counts as lost.
	patience := relayPatience*f.timing.AskInterval - f.timing.AskInterval/4
	waited := now.Sub(max(r.since, r.goodAt))
	switch {
	case r.host == "":
	case waited > patience:
		r.failed[r.host] = now
	case !f.inOwnZone(r.host) && f.returns(now, hosts):
	default:
		return r.host
	}
	r.host, r.since, r.heard = f.bestRelay(now, hosts), now, 0
	return r.host
}

// returns reports whether a control host of the own zone can be tried instead of
// one of another zone: a host that starts learns of it from its first relay only.
func (f *FreshnessClient) returns(now model.Instant, hosts []model.HostID) bool {
	return slices.ContainsFunc(hosts, func(h model.HostID) bool {
		failed, ok := f.relays.failed[h]
		return f.inOwnZone(h) && (!ok || now.Sub(failed) > relayReturn)
	})
}

// relayHosts returns the control hosts that are known, in the order of their names.
func (f *FreshnessClient) relayHosts() []model.HostID {
	hosts := addHosts(nil, f.hist.cfg.Controls)
	if len(hosts) == 0 || f.until == 0 || len(f.relays.failed) >= len(hosts) {
		hosts = addHosts(hosts, f.controls)
	}
	slices.Sort(hosts)
	return hosts
}

// bestRelay prefers hosts that did not fail lately, then those of this zone.
// Hosts of equal rank are spread over the entry hosts by a hash.
func (f *FreshnessClient) bestRelay(now model.Instant, hosts []model.HostID) model.HostID {
	rank := func(h model.HostID) int {
		failed, ok := f.relays.failed[h]
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
			cmp.Compare(f.relays.failed[a], f.relays.failed[b]),
			cmp.Compare(mix(self^hashString(string(a))), mix(self^hashString(string(b)))),
		)
	})
}

func (f *FreshnessClient) inOwnZone(h model.HostID) bool { return f.relays.zones[h] == f.self.Zone }

// relayed notes a reply of the relay: whether it is recent enough, and where control hosts are.
func (f *FreshnessClient) relayed(from model.HostID, sent model.Instant, m proto.FreshReply) {
	r := &f.relays
	if from != r.host {
		return
	}
	r.heard = max(r.heard, m.Nonce)
	if m.Age <= relayPatience*f.timing.AskInterval {
		r.goodAt = max(r.goodAt, sent)
	}
	for _, member := range m.Members {
		r.zones[member.Host] = member.Zone
		if !f.hist.known && member.Role == proto.RoleControl {
			f.controls = addHosts(f.controls, []model.HostID{member.Host})
		}
	}
}

// seeksZone reports whether this host has no configuration yet and knows of no
// control host of its zone.
func (f *FreshnessClient) seeksZone() bool {
	return !f.hist.known && !slices.ContainsFunc(f.relayHosts(), f.inOwnZone)
}

// elsewhere returns the live control hosts if a starting host should ask one of
// its own zone for the configuration and the lists, which are large.
func (f *FreshnessClient) elsewhere(ask proto.FreshAsk) []proto.Member {
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

// RelayReply answers the ask of an entry host on behalf of all control hosts, from
// what this host was confirmed last. The age of that confirmation is part of
// the answer, so the asker's right to serve ends as if it had asked itself.
// The second result is false while this host knows nothing that it could tell.
func (f *FreshnessClient) RelayReply(now model.Instant, ask proto.FreshAsk) (proto.FreshReply, bool) {
	if !f.hist.known || f.until == 0 {
		return proto.FreshReply{}, false
	}
	if controls := f.elsewhere(ask); controls != nil {
		return proto.FreshReply{Nonce: ask.Nonce, Redirect: true, Members: controls}, true
	}
	confirmed := f.until.Add(-f.timing.atMost(f.timing.FreshnessDuration))
	reply := proto.FreshReply{Nonce: ask.Nonce, Newest: f.hist.version(), FromControl: true, Age: max(0, now.Sub(confirmed)), SeatsSettled: f.settled}
	changes, held := f.hist.update(ask.HeldVersion)
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
	// peersEvery is how often a relay lists the entry hosts anew.
	peersEvery = 5 * time.Second
	// peersNear and peersFar bound the entry hosts told, of the asker's zone and of others.
	peersNear = 48
	peersFar  = 16
)

// peerList is what a relay tells the entry hosts of one zone.
type peerList struct {
	hosts  []model.HostID
	digest uint64
	at     model.Instant
}

// peersFor returns some entry hosts, most of them of the asker's zone.
func (f *FreshnessClient) peersFor(now model.Instant, zone model.ZoneName) peerList {
	list, ok := f.peerLists[zone]
	if ok && now.Sub(list.at) < peersEvery {
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
	list = peerList{hosts: append(someOf(near, peersNear), someOf(far, peersFar)...), at: now}
	for _, h := range list.hosts {
		list.digest += mix(hashString(string(h)))
	}
	f.peerLists[zone] = list
	return list
}

// someOf returns up to n hosts, chosen by a hash so that the choice changes little with the list.
func someOf(hosts []model.HostID, n int) []model.HostID {
	if len(hosts) <= n {
		return hosts
	}
	slices.SortFunc(hosts, func(a, b model.HostID) int {
		return cmp.Compare(mix(hashString(string(a))), mix(hashString(string(b))))
	})
	return hosts[:n]
}

func ownersDigest(owners []proto.Owner) uint64 {
	var sum uint64
	for _, o := range owners {
		sum += hashOwner(o)
	}
	return digest(sum)
}

// takeLists takes what a relay tells beside a confirmation.
func (f *FreshnessClient) takeLists(m proto.FreshReply) []Effect {
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

// takeTargets takes the list of targets from the reply of a relay.
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
