package lease

import (
	"slices"
	"time"

	"tarragongauge.example/tarragongauge/internal/part"
	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

const (
	// fastAskDivisor divides AskInterval while a shard has no owner, so that the
	// next candidate and the new owner become known sooner, and on a starting host
	// until a configuration was confirmed.
	fastAskDivisor = 4
	// maxFastAskDuration limits how long asks are sent faster, since a shard may
	// stay without an owner.
	maxFastAskDuration = 3 * time.Second
)

// FreshnessClient decides up to when its host may admit keyed requests and
// publishes the newest configuration, the live members and the owners of shards.
//
// After a version was accepted, a majority of the seats answer with it, and so
// does the leader of control. A confirmation of an older version therefore
// belongs to an ask that was sent before the acceptance.
type FreshnessClient struct {
	settings
	self       proto.Member
	hist       history
	rounds     rounds
	nextAsk    model.Instant
	responders map[model.HostID]*responder
	// freshUntil is the instant up to which keyed requests may be admitted, or 0
	// before the first confirmation. It never moves back.
	freshUntil model.Instant
	// quorums holds the lists of seats from the last settled one to the newest, or
	// nil if a list may be missing.
	quorums [][]model.HostID
	// seatsSettled is set when the newest list of seats is in force on all hosts.
	seatsSettled bool
	// newestSeatListAt is when the last of several lists in quorums was learned.
	newestSeatListAt model.Instant
	// seatsSettleAt is when the newest list of seats settles, or 0 while it is not
	// known to be accepted.
	seatsSettleAt model.Instant
	draining      bool
	// members and owners are the lists published last.
	members []proto.Member
	owners  []proto.Owner
	// allShardsOwned is set while every shard has an owner.
	allShardsOwned bool
	fastAskUntil   model.Instant
	// mergedKey identifies the reported lists that were merged last.
	mergedKey uint64
	receiver  part.Receiver
	// decoding is set while the runtime decodes a snapshot.
	decoding bool
	relay    relayState
	// targetList holds the targets published last.
	targetList targetList
	// peersDigest is the digest of the entry hosts published last.
	peersDigest uint64
	// peerLists holds what this host, as a relay, reports to the entry hosts of each zone.
	peerLists  map[model.ZoneName]peerList
	deliveries deliveries
	// restorePending is set until the configuration from the disk is published.
	restorePending bool
	// startedAt is the instant of the first tick, or 0 before it.
	startedAt model.Instant
}

// responder holds the last confirmation and lists of one host that answers asks: a
// seat, a control host or a relay.
type responder struct {
	hasConfirmed bool
	// confirmedAskAt is when the newest confirmed ask was sent.
	confirmedAskAt model.Instant
	// listsReceivedAt is when the last reply that vouches for lists arrived.
	listsReceivedAt model.Instant
	lists           reportedLists
}

// NewFreshnessClient returns a client that may not admit keyed requests yet.
func NewFreshnessClient(self proto.Member, opts ...Option) *FreshnessClient {
	s := newSettings(opts)
	s.incarnation = self.Incarnation
	f := &FreshnessClient{
		settings:   s,
		self:       self,
		rounds:     newRounds("fresh", self.Host, self.Incarnation),
		responders: map[model.HostID]*responder{},

		peerLists:  map[model.ZoneName]peerList{},
		deliveries: deliveries{hosts: map[model.HostID]delivery{}},
		relay:      relayState{failedAt: map[model.HostID]model.Instant{}, zones: map[model.HostID]model.ZoneName{}},
	}
	f.restoreConfig()
	return f
}

// Step handles one event and returns the resulting effects.
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
			return f.handleReply(now, ev.From, m)
		case proto.Part:
			return f.takePart(now, ev.From, m)
		}
	case HostsLocated:
		f.seats, f.controls = addHosts(f.seats, ev.Seats), addHosts(f.controls, ev.Controls)
	case SnapshotDecoded:
		return f.takeDecoded(ev)
	}
	return nil
}

func (f *FreshnessClient) tick(now model.Instant) []Effect {
	if f.startedAt == 0 {
		f.startedAt = now
	}
	out := append(f.publishRestored(), f.settleSeats(now)...)
	out = append(out, f.tickTransfer(now)...)
	if now < f.nextAsk {
		return out
	}
	out = append(out, f.publishLists(now)...)
	f.nextAsk = now.Add(f.askInterval(now))
	nonce := f.rounds.next(now)
	for _, host := range f.hostsToAsk(now) {
		out = append(out, Send{To: host, Msg: f.ask(now, host, nonce)})
	}
	return out
}

// askInterval returns the time until the next ask.
func (f *FreshnessClient) askInterval(now model.Instant) time.Duration {
	starting := f.freshUntil == 0 || !f.allShardsOwned && now.Sub(f.startedAt) < maxFastAskDuration
	if now < f.fastAskUntil || !f.hist.known || starting {
		return f.timing.AskInterval / fastAskDivisor
	}
	return f.timing.AskInterval
}

// adjustAskRate sends asks faster when a shard has lost its owner, and at the usual
// interval again when all shards have owners.
func (f *FreshnessClient) adjustAskRate(now model.Instant, owners []proto.Owner) {
	complete := len(owners) == model.Shards
	switch {
	case complete:
		f.fastAskUntil = 0
	case f.allShardsOwned:
		f.fastAskUntil = now.Add(maxFastAskDuration)
		f.nextAsk = min(f.nextAsk, now.Add(f.askInterval(now)))
	}
	f.allShardsOwned = complete
}

// ask returns the request to a host, with the digests of the lists that the host
// has reported already.
func (f *FreshnessClient) ask(now model.Instant, host model.HostID, nonce uint64) proto.FreshAsk {
	m := f.self
	m.Draining = f.draining || !f.canOwn(now)
	ask := proto.FreshAsk{Nonce: nonce, HeldVersion: f.hist.version(), Member: m, TargetsDigest: f.targetList.digest, PeersDigest: f.peersDigest, Starting: f.usesRelay && f.seeksZoneRelay(), LastReplyNonce: f.relay.newestNonce}
	if p, ok := f.responders[host]; ok {
		ask.MembersDigest, ask.OwnersDigest = p.lists.membersDigest, p.lists.ownersDigest
	}
	return ask
}

// canOwn reports whether a majority of each list of seats answers this host. A
// host whose requests arrive but that gets no replies announces itself as
// draining; otherwise it would stay the candidate for its shards without ever
// gaining them. The seats of a list that is new to this host are not counted for
// one LeaseDuration, since they have had no time to answer.
func (f *FreshnessClient) canOwn(now model.Instant) bool {
	for i, list := range f.quorums {
		if i > 0 && i == len(f.quorums)-1 && now.Sub(f.newestSeatListAt) <= f.timing.LeaseDuration {
			continue
		}
		at, ok := majorityInstant(list, f.confirmedAskAt)
		if !ok || now.Sub(at) > f.timing.LeaseDuration {
			return false
		}
	}
	return len(f.quorums) > 0
}

// confirmedAskAt returns when the newest ask that a host confirmed was sent, or false
// if it confirmed none.
func (f *FreshnessClient) confirmedAskAt(host model.HostID) (model.Instant, bool) {
	p, ok := f.responders[host]
	if !ok || !p.hasConfirmed {
		return 0, false
	}
	return p.confirmedAskAt, true
}

// hostsToAsk returns the hosts to ask. It includes the bootstrap hosts while this
// host is not fresh, since all hosts of a known list may have been replaced.
func (f *FreshnessClient) hostsToAsk(now model.Instant) []model.HostID {
	if f.usesRelay {
		if host := f.chooseRelay(now); host != "" {
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
	if !f.hist.known || now >= f.freshUntil {
		hosts = addHosts(hosts, f.seats)
		hosts = addHosts(hosts, f.controls)
	}
	return hosts
}

// addHosts appends the hosts of more that hosts does not contain.
func addHosts(hosts, more []model.HostID) []model.HostID {
	for _, h := range more {
		if !slices.Contains(hosts, h) {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

// handleReply takes the configuration, the confirmation and the lists of a reply.
func (f *FreshnessClient) handleReply(now model.Instant, from model.HostID, m proto.FreshReply) []Effect {
	sent, ok := f.rounds.sentAt(m.Nonce)
	if !ok || m.Age < 0 {
		return nil
	}
	if f.usesRelay {
		f.recordRelayReply(from, sent, m)
	}
	if m.Redirect {
		return nil
	}
	quorumCount := len(f.quorums)
	out := append(f.advance(m), f.takeOffer(now, from, m)...)
	if len(f.quorums) > quorumCount {
		f.newestSeatListAt = now
	}
	if !f.hist.known {
		return out
	}
	fromControl := m.FromControl && slices.Contains(f.hist.cfg.Controls, from)
	if m.Newest <= f.hist.version() {
		at := sent.Add(-f.timing.localForRemote(m.Age))
		out = append(out, f.recordConfirmation(now, from, at, fromControl)...)
	}
	f.recordAcceptance(now, from, fromControl, m)
	switch {
	case f.usesRelay && from != f.relay.host:
		// A late reply of an earlier relay has older lists than the current relay.
	case f.usesRelay:
		f.relay.listSource = from
		out = append(out, f.takeSeatLists(now, from, m)...)
		out = append(out, f.takeRelayLists(m)...)
	case fromControl:
		out = append(out, f.takeSeatAddresses(from, m)...)
	default:
		out = append(out, f.takeSeatLists(now, from, m)...)
	}
	return append(out, f.settleSeats(now)...)
}

// advance applies the newer configuration of a reply, if it carries one.
func (f *FreshnessClient) advance(m proto.FreshReply) []Effect {
	if f.hist.known && m.Newest <= f.hist.version() {
		return nil
	}
	if !f.hist.advance(m.Changes, m.Snapshot) {
		return nil
	}
	return f.publishConfig()
}

// publishConfig publishes the configuration that hist just took.
func (f *FreshnessClient) publishConfig() []Effect {
	f.updateQuorums()
	return []Effect{ConfigChanged{Config: f.hist.cfg}, f.quorumsChanged()}
}

// updateQuorums updates the lists of seats of which an owner needs a majority each.
// Each list since the last settled one counts. When one of them may have been
// skipped, this host owns nothing until the newest list has settled.
func (f *FreshnessClient) updateQuorums() {
	switch {
	case f.hist.seatsSince == 0:
		// No list was in force before the list of version 0.
		f.seatsSettled = true
		f.quorums = [][]model.HostID{f.hist.cfg.Seats}
	case f.hist.tookSnapshot || f.hist.seatChanges > 1:
		f.quorums, f.seatsSettled, f.seatsSettleAt = nil, false, 0
	case f.hist.seatChanges == 1:
		f.seatsSettled, f.seatsSettleAt = false, 0
		if f.quorums != nil {
			f.quorums = append(slices.Clone(f.quorums), f.hist.cfg.Seats)
		}
	}
}

func (f *FreshnessClient) quorumsChanged() Effect {
	return QuorumsChanged{Version: f.hist.version(), Lists: f.quorums}
}

// recordAcceptance determines from a reply when the newest list of seats settles.
// Hosts with an older list stay fresh, and thus keep their shards, for at most
// FreshnessDuration after the acceptance of the newest list.
func (f *FreshnessClient) recordAcceptance(now model.Instant, from model.HostID, fromControl bool, m proto.FreshReply) {
	if f.seatsSettled {
		return
	}
	knownSender := fromControl || slices.Contains(f.hist.cfg.Seats, from)
	if knownSender && m.SeatsSettled && m.Newest == f.hist.version() {
		f.seatsSettleAt = now
		return
	}
	if fromControl && m.Newest >= f.hist.seatsSince && f.seatsSettleAt == 0 {
		f.seatsSettleAt = now.Add(f.timing.localAtLeast(f.timing.FreshnessDuration))
	}
}

// settleSeats reduces the quorums to the newest list of seats at seatsSettleAt.
func (f *FreshnessClient) settleSeats(now model.Instant) []Effect {
	if f.seatsSettled || f.seatsSettleAt == 0 || now < f.seatsSettleAt {
		return nil
	}
	f.seatsSettled = true
	f.quorums = [][]model.HostID{f.hist.cfg.Seats}
	return []Effect{f.quorumsChanged()}
}

// recordConfirmation counts a confirmation of an ask sent at the instant at. The
// confirmation of a control host counts alone, those of seats by majority.
func (f *FreshnessClient) recordConfirmation(now model.Instant, from model.HostID, at model.Instant, fromControl bool) []Effect {
	if fromControl {
		return f.extendFreshness(now, at)
	}
	p := f.responder(from)
	if !p.hasConfirmed || at > p.confirmedAskAt {
		p.hasConfirmed, p.confirmedAskAt = true, at
	}
	majority, ok := majorityInstant(f.hist.cfg.Seats, f.confirmedAskAt)
	if !ok {
		return nil
	}
	return f.extendFreshness(now, majority)
}

// extendFreshness moves freshUntil to FreshnessDuration after a confirmed ask.
func (f *FreshnessClient) extendFreshness(now, confirmedAskAt model.Instant) []Effect {
	until := confirmedAskAt.Add(f.timing.localAtMost(f.timing.FreshnessDuration))
	if until <= f.freshUntil || until <= now {
		return nil
	}
	f.freshUntil = until
	return []Effect{FreshnessExtended{Until: until}}
}

func (f *FreshnessClient) responder(host model.HostID) *responder {
	p, ok := f.responders[host]
	if !ok {
		p = &responder{}
		f.responders[host] = p
	}
	return p
}

// takeSeatLists takes the members and owners from the reply of a host whose lists count.
func (f *FreshnessClient) takeSeatLists(now model.Instant, from model.HostID, m proto.FreshReply) []Effect {
	if !slices.Contains(f.listSources(), from) {
		return nil
	}
	p := f.responder(from)
	p.listsReceivedAt = now
	if !p.lists.take(m) {
		return nil
	}
	return f.publishLists(now)
}

// takeSeatAddresses takes the addresses of the seats from the reply of a control host.
// They are the only source for a host that learns of new seats before it has their
// addresses, or that starts with settings that name earlier seats.
func (f *FreshnessClient) takeSeatAddresses(from model.HostID, m proto.FreshReply) []Effect {
	if slices.Contains(f.listSources(), from) {
		// The seat on the same host reports all members. The control host's list,
		// which has only the seats, must not replace it.
		return nil
	}
	p := f.responder(from)
	if m.MembersDigest == 0 || !p.lists.take(m) {
		return nil
	}
	return []Effect{SeatsLocated{Seats: p.lists.members}}
}

// listSources returns the hosts whose members and owners count: the seats of the
// configuration and, until a change of the seats has settled, the earlier seats.
// New seats know only the hosts that have already asked them.
func (f *FreshnessClient) listSources() []model.HostID {
	if f.usesRelay {
		// A relay reports the lists that it merged from all seats.
		return []model.HostID{f.relay.listSource}
	}
	seats := addHosts(nil, f.hist.cfg.Seats)
	for _, list := range f.quorums {
		seats = addHosts(seats, list)
	}
	return seats
}

// publishLists merges the lists that were received within MemberTimeout and publishes
// the members and owners if they changed.
func (f *FreshnessClient) publishLists(now model.Instant) []Effect {
	seats := f.listSources()
	all := make([]*reportedLists, 0, len(seats))
	for _, seat := range seats {
		p, ok := f.responders[seat]
		if ok && p.lists.membersDigest != 0 && now.Sub(p.listsReceivedAt) <= f.timing.MemberTimeout {
			all = append(all, &p.lists)
		}
	}
	key := mergeKey(all)
	if key == f.mergedKey {
		return nil
	}
	f.mergedKey = key
	var out []Effect
	if members := mergeMembers(all, f.ownerRole); !slices.Equal(members, f.members) {
		f.members = members
		out = append(out, MembersChanged{Members: members})
	}
	if owners := mergeOwners(all); !slices.Equal(owners, f.owners) {
		f.owners = owners
		f.adjustAskRate(now, owners)
		out = append(out, OwnersChanged{Owners: owners})
	}
	return out
}

// mergeKey returns a hash of the digests of all lists, so that unchanged lists are
// not merged again.
func mergeKey(all []*reportedLists) uint64 {
	key := uint64(len(all))
	for _, l := range all {
		key = mix(mix(key^l.membersDigest) ^ l.ownersDigest)
	}
	return key
}

// Config returns the newest configuration and whether one is known.
func (f *FreshnessClient) Config() (model.Config, bool) { return f.hist.cfg, f.hist.known }

// FreshUntil returns the instant up to which keyed requests may be admitted, or 0
// before the first confirmation.
func (f *FreshnessClient) FreshUntil() model.Instant { return f.freshUntil }

// SeatsSettled reports whether the newest list of seats is known to be in force on
// all hosts.
func (f *FreshnessClient) SeatsSettled() bool { return f.seatsSettled }
