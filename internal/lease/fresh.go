package lease

import (
	"slices"
	"time"

	"tarragongauge.example/tarragongauge/internal/part"
	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

const (
	// hurryShare divides the ask interval while a shard has no owner, so that the
	// next candidate and the new owner are known sooner, and on a host that
	// started until it was confirmed a configuration.
	hurryShare = 4
	// hurryFor bounds that time: a shard may stay without an owner.
	hurryFor = 3 * time.Second
)

// FreshnessClient is the freshness client of an entry host. It decides up to when the
// host may admit keyed requests and publishes the newest configuration, the
// live members and the owners of shards.
//
// After a version was accepted, a majority of the seats answer with it, and so
// does the leader of control. A confirmation of an older version therefore
// belongs to an ask sent before the acceptance.
type FreshnessClient struct {
	settings
	self    proto.Member
	hist    history
	rounds  rounds
	nextAsk model.Instant
	peers   map[model.HostID]*peer
	// until never moves back; 0 means that nothing was confirmed yet.
	until model.Instant
	// quorums are the lists of seats since the last settled one, or nil if that is not known.
	quorums [][]model.HostID
	settled bool
	// listedAt is when the newest of several lists of seats was learned.
	listedAt model.Instant
	// settleAt is when the current list settles, or 0 while it is not known to be accepted.
	settleAt model.Instant
	draining bool
	// members and owners are those published last.
	members []proto.Member
	owners  []proto.Owner
	// complete is set while every shard has an owner.
	complete   bool
	hurryUntil model.Instant
	// merged identifies the lists that were merged last.
	merged   uint64
	receiver part.Receiver
	// decoding is set while the runtime decodes a snapshot.
	decoding bool
	relays   relayChoice
	// targetList holds the targets published last.
	targetList targetList
	// peersDigest is that of the entry hosts published last.
	peersDigest uint64
	// peerLists are told to the entry hosts of each zone.
	peerLists map[model.ZoneName]peerList
	tellings  tellings
	// resumed is set until the configuration of the disk was published.
	resumed bool
	// startedAt is when the first event arrived, or 0.
	startedAt model.Instant
}

// peer is what one seat said last.
type peer struct {
	confirmed bool
	// at is when the newest confirmed ask was sent.
	at    model.Instant
	heard model.Instant
	lists lists
}

// NewFreshnessClient returns a client without a configuration and without the right to serve.
func NewFreshnessClient(self proto.Member, opts ...Option) *FreshnessClient {
	s := newSettings(opts)
	s.incarnation = self.Incarnation
	f := &FreshnessClient{
		settings: s,
		self:     self,
		rounds:   newRounds("fresh", self.Host, self.Incarnation),
		peers:    map[model.HostID]*peer{},

		peerLists: map[model.ZoneName]peerList{},
		tellings:  tellings{hosts: map[model.HostID]told{}},
		relays:    relayChoice{failed: map[model.HostID]model.Instant{}, zones: map[model.HostID]model.ZoneName{}},
	}
	f.resume()
	return f
}

// Step takes one event.
func (f *FreshnessClient) Step(now model.Instant, ev Event) []Effect {
	switch ev := ev.(type) {
	case Tick:
		return f.tick(now)
	case Handover:
		f.draining = true
		f.nextAsk = now
		return f.tick(now)
	case Received:
		switch m := ev.Msg.(type) {
		case proto.FreshReply:
			return f.reply(now, ev.From, m)
		case proto.Part:
			return f.part(now, ev.From, m)
		}
	case HostsLocated:
		f.seats, f.controls = addHosts(f.seats, ev.Seats), addHosts(f.controls, ev.Controls)
	case SnapshotDecoded:
		return f.decoded(ev)
	}
	return nil
}

func (f *FreshnessClient) tick(now model.Instant) []Effect {
	if f.startedAt == 0 {
		f.startedAt = now
	}
	out := append(f.publishResumed(), f.settle(now)...)
	out = append(out, f.partTick(now)...)
	if now < f.nextAsk {
		return out
	}
	out = append(out, f.publish(now)...)
	f.nextAsk = now.Add(f.interval(now))
	nonce := f.rounds.next(now)
	for _, host := range f.targets(now) {
		out = append(out, Send{To: host, Msg: f.ask(now, host, nonce)})
	}
	return out
}

func (f *FreshnessClient) interval(now model.Instant) time.Duration {
	starting := f.until == 0 || !f.complete && now.Sub(f.startedAt) < hurryFor
	if now < f.hurryUntil || !f.hist.known || starting {
		return f.timing.AskInterval / hurryShare
	}
	return f.timing.AskInterval
}

// missing starts asking faster when a shard lost its owner.
func (f *FreshnessClient) missing(now model.Instant, owners []proto.Owner) {
	complete := len(owners) == model.Shards
	switch {
	case complete:
		f.hurryUntil = 0
	case f.complete:
		f.hurryUntil = now.Add(hurryFor)
		f.nextAsk = min(f.nextAsk, now.Add(f.interval(now)))
	}
	f.complete = complete
}

func (f *FreshnessClient) ask(now model.Instant, host model.HostID, nonce uint64) proto.FreshAsk {
	m := f.self
	m.Draining = f.draining || !f.canOwn(now)
	ask := proto.FreshAsk{Nonce: nonce, HeldVersion: f.hist.version(), Member: m, TargetsDigest: f.targetList.digest, PeersDigest: f.peersDigest, Starting: f.settings.relay && f.seeksZone(), LastReplyNonce: f.relays.heard}
	if p, ok := f.peers[host]; ok {
		ask.MembersDigest, ask.OwnersDigest = p.lists.membersDigest, p.lists.ownersDigest
	}
	return ask
}

// canOwn reports whether this host hears a majority of each list of seats. A
// host that is heard but does not hear announces itself as draining:
// otherwise it stays the candidate for its shards without ever gaining them. A
// list that is new to this host has had no time to answer yet.
func (f *FreshnessClient) canOwn(now model.Instant) bool {
	for i, list := range f.quorums {
		if i > 0 && i == len(f.quorums)-1 && now.Sub(f.listedAt) <= f.timing.LeaseDuration {
			continue
		}
		at, ok := majorityInstant(list, f.confirmedAt)
		if !ok || now.Sub(at) > f.timing.LeaseDuration {
			return false
		}
	}
	return len(f.quorums) > 0
}

func (f *FreshnessClient) confirmedAt(host model.HostID) (model.Instant, bool) {
	p, ok := f.peers[host]
	if !ok || !p.confirmed {
		return 0, false
	}
	return p.at, true
}

// targets returns the hosts to ask. The bootstrap lists are used while the
// right to serve is missing, since all hosts of a known list may have been replaced.
func (f *FreshnessClient) targets(now model.Instant) []model.HostID {
	if f.settings.relay {
		if host := f.relay(now); host != "" {
			return []model.HostID{host}
		}
		return nil
	}
	var hosts []model.HostID
	hosts = addHosts(hosts, f.hist.cfg.Seats)
	hosts = addHosts(hosts, f.hist.cfg.Controls)
	for _, list := range f.quorums {
		hosts = addHosts(hosts, list)
	}
	if !f.hist.known || now >= f.until {
		hosts = addHosts(hosts, f.seats)
		hosts = addHosts(hosts, f.controls)
	}
	return hosts
}

func addHosts(hosts, more []model.HostID) []model.HostID {
	for _, h := range more {
		if !slices.Contains(hosts, h) {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

func (f *FreshnessClient) reply(now model.Instant, from model.HostID, m proto.FreshReply) []Effect {
	sent, ok := f.rounds.sentAt(m.Nonce)
	if !ok || m.Age < 0 {
		return nil
	}
	if f.settings.relay {
		f.relayed(from, sent, m)
	}
	if m.Redirect {
		return nil
	}
	known := len(f.quorums)
	out := append(f.advance(m), f.offered(now, from, m)...)
	if len(f.quorums) > known {
		f.listedAt = now
	}
	if !f.hist.known {
		return out
	}
	control := m.FromControl && slices.Contains(f.hist.cfg.Controls, from)
	if m.Newest <= f.hist.version() {
		at := sent.Add(-f.timing.longest(m.Age))
		out = append(out, f.confirm(now, from, at, control)...)
	}
	f.evidence(now, from, control, m)
	switch {
	case f.settings.relay && from != f.relays.host:
		// A late reply of an earlier relay tells older lists than the present one.
	case f.settings.relay:
		f.relays.lists = from
		out = append(out, f.listed(now, from, m)...)
		out = append(out, f.takeLists(m)...)
	case control:
		out = append(out, f.located(from, m)...)
	default:
		out = append(out, f.listed(now, from, m)...)
	}
	return append(out, f.settle(now)...)
}

// advance takes a newer configuration from a reply.
func (f *FreshnessClient) advance(m proto.FreshReply) []Effect {
	if f.hist.known && m.Newest <= f.hist.version() {
		return nil
	}
	if !f.hist.advance(m.Changes, m.Snapshot) {
		return nil
	}
	return f.changed()
}

// changed publishes the configuration that the last call of advance took.
func (f *FreshnessClient) changed() []Effect {
	f.trackSeats()
	return []Effect{ConfigChanged{Config: f.hist.cfg}, f.quorumsChanged()}
}

// trackSeats keeps the lists of seats in whose majorities an owner must be.
// Each list since the last settled one counts; when one of them may have been
// skipped, no lease is counted until the newest list has settled.
func (f *FreshnessClient) trackSeats() {
	switch {
	case f.hist.listSince == 0:
		// No list was in force before that of version 0.
		f.settled = true
		f.quorums = [][]model.HostID{f.hist.cfg.Seats}
	case f.hist.jumped || f.hist.listSteps > 1:
		f.quorums, f.settled, f.settleAt = nil, false, 0
	case f.hist.listSteps == 1:
		f.settled, f.settleAt = false, 0
		if f.quorums != nil {
			f.quorums = append(slices.Clone(f.quorums), f.hist.cfg.Seats)
		}
	}
}

func (f *FreshnessClient) quorumsChanged() Effect {
	return QuorumsChanged{Version: f.hist.version(), Lists: f.quorums}
}

// evidence notes that the current list of seats was accepted. Hosts with an
// older list keep their right to serve, and with it their shards, for Fresh
// after the acceptance at most.
func (f *FreshnessClient) evidence(now model.Instant, from model.HostID, control bool, m proto.FreshReply) {
	if f.settled {
		return
	}
	known := control || slices.Contains(f.hist.cfg.Seats, from)
	if known && m.SeatsSettled && m.Newest == f.hist.version() {
		f.settleAt = now
		return
	}
	if control && m.Newest >= f.hist.listSince && f.settleAt == 0 {
		f.settleAt = now.Add(f.timing.atLeast(f.timing.FreshnessDuration))
	}
}

func (f *FreshnessClient) settle(now model.Instant) []Effect {
	if f.settled || f.settleAt == 0 || now < f.settleAt {
		return nil
	}
	f.settled = true
	f.quorums = [][]model.HostID{f.hist.cfg.Seats}
	return []Effect{f.quorumsChanged()}
}

// confirm counts a confirmation of an ask sent at an instant.
func (f *FreshnessClient) confirm(now model.Instant, from model.HostID, at model.Instant, control bool) []Effect {
	if control {
		return f.extend(now, at)
	}
	p := f.peer(from)
	if !p.confirmed || at > p.at {
		p.confirmed, p.at = true, at
	}
	majority, ok := majorityInstant(f.hist.cfg.Seats, f.confirmedAt)
	if !ok {
		return nil
	}
	return f.extend(now, majority)
}

func (f *FreshnessClient) extend(now, confirmed model.Instant) []Effect {
	until := confirmed.Add(f.timing.atMost(f.timing.FreshnessDuration))
	if until <= f.until || until <= now {
		return nil
	}
	f.until = until
	return []Effect{FreshnessExtended{Until: until}}
}

func (f *FreshnessClient) peer(host model.HostID) *peer {
	p, ok := f.peers[host]
	if !ok {
		p = &peer{}
		f.peers[host] = p
	}
	return p
}

// listed takes members and owners from the reply of a seat.
func (f *FreshnessClient) listed(now model.Instant, from model.HostID, m proto.FreshReply) []Effect {
	if !slices.Contains(f.listing(), from) {
		return nil
	}
	p := f.peer(from)
	p.heard = now
	if !p.lists.take(m) {
		return nil
	}
	return f.publish(now)
}

// located takes the addresses of the seats from control. A host that learns of
// a change of seats before it heard of the new ones, or starts with settings
// that name earlier ones, cannot ask them otherwise.
func (f *FreshnessClient) located(from model.HostID, m proto.FreshReply) []Effect {
	if slices.Contains(f.listing(), from) {
		// The seat on the same host tells all members; its list must not be replaced by that of the seats.
		return nil
	}
	p := f.peer(from)
	if m.MembersDigest == 0 || !p.lists.take(m) {
		return nil
	}
	return []Effect{SeatsLocated{Seats: p.lists.members}}
}

// listing returns the seats whose members and owners count: those of the
// configuration, and earlier ones while leases of theirs do. New seats know
// only the hosts that have asked them already.
func (f *FreshnessClient) listing() []model.HostID {
	if f.settings.relay {
		// A relay tells what it merged from all seats.
		return []model.HostID{f.relays.lists}
	}
	seats := addHosts(nil, f.hist.cfg.Seats)
	for _, list := range f.quorums {
		seats = addHosts(seats, list)
	}
	return seats
}

// publish merges the lists of the seats heard lately.
func (f *FreshnessClient) publish(now model.Instant) []Effect {
	seats := f.listing()
	all := make([]*lists, 0, len(seats))
	for _, seat := range seats {
		p, ok := f.peers[seat]
		if ok && p.lists.membersDigest != 0 && now.Sub(p.heard) <= f.timing.MemberTimeout {
			all = append(all, &p.lists)
		}
	}
	key := mergeKey(all)
	if key == f.merged {
		return nil
	}
	f.merged = key
	var out []Effect
	if members := mergeMembers(all, f.settings.owners); !slices.Equal(members, f.members) {
		f.members = members
		out = append(out, MembersChanged{Members: members})
	}
	if owners := mergeOwners(all); !slices.Equal(owners, f.owners) {
		f.owners = owners
		f.missing(now, owners)
		out = append(out, OwnersChanged{Owners: owners})
	}
	return out
}

// mergeKey identifies a set of lists, so that unchanged ones are not merged again.
func mergeKey(all []*lists) uint64 {
	key := uint64(len(all))
	for _, l := range all {
		key = mix(mix(key^l.membersDigest) ^ l.ownersDigest)
	}
	return key
}

// Config returns the newest configuration and whether one is known.
func (f *FreshnessClient) Config() (model.Config, bool) { return f.hist.cfg, f.hist.known }

// FreshUntil returns the instant up to which keyed requests may be admitted.
func (f *FreshnessClient) FreshUntil() model.Instant { return f.until }

// SeatsSettled reports whether the list of seats is known to be in force everywhere.
func (f *FreshnessClient) SeatsSettled() bool { return f.settled }
