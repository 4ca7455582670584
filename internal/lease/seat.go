package lease

import (
	"tarragongauge.example/tarragongauge/internal/part"
	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// Seat keeps the newest staged version in memory, confirms it to entry hosts
// and grants leases on shards.
//
// After a start, a seat relearns the newest version before it confirms any. An
// answer of the leader of control counts at once, since the leader knows every
// version that was ever staged. Answers of other seats count only after
// SilencePeriod, when no acknowledgement from the seat's earlier run counts any more.
//
// A seat grants leases after SilencePeriod, when those of its earlier run have
// expired. Before that it grants a shard only to the host that holds it according to
// the PersistedState.
type Seat struct {
	settings
	self    model.HostID
	started bool
	// startedAt is when the seat started, silenceUntil when its SilencePeriod ends.
	startedAt    model.Instant
	silenceUntil model.Instant
	// active is set once the newest version is known and may be confirmed.
	active bool
	// activeAt is the first instant at which the seat was active and its
	// SilencePeriod had ended.
	activeAt     model.Instant
	writes       grantWrites
	hist         history
	rounds       rounds
	nextAsk      model.Instant
	newestBySeat map[model.HostID]model.Version
	members      roster
	grants       grants
	// settledVersion is the version of the last QuorumsChanged, or 0. seatsSettled
	// is set if the list of seats of that version had settled.
	settledVersion model.Version
	seatsSettled   bool
	sender         part.Sender
	receiver       part.Receiver
	// encoding is set while the runtime encodes the configuration, decoding while it
	// decodes one.
	encoding bool
	decoding bool
	// freeEncodedAt is when the encoded large configuration is freed unless a host
	// requests it before, or 0.
	freeEncodedAt model.Instant
}

// NewSeat returns a seat that knows no version. WithPersistedState restores its grants.
func NewSeat(self model.HostID, opts ...Option) *Seat {
	s := newSettings(opts)
	seat := &Seat{
		settings:     s,
		self:         self,
		rounds:       newRounds("seat", self, s.incarnation),
		newestBySeat: map[model.HostID]model.Version{},
		members:      newRoster(),
		grants:       newGrants(),
		sender:       part.NewSender(s.partSize),
	}
	seat.restoreGrants()
	return seat
}

// Step handles one event and returns the resulting effects.
func (s *Seat) Step(now model.Instant, ev Event) []Effect {
	if !s.started {
		s.started, s.startedAt = true, now
		s.silenceUntil = now.Add(s.timing.SilencePeriod)
	}
	switch ev := ev.(type) {
	case Tick:
		return s.tick(now)
	case QuorumsChanged:
		s.settledVersion, s.seatsSettled = ev.Version, len(ev.Lists) == 1
	case Received:
		return s.receive(now, ev)
	case HostsLocated:
		s.seats, s.controls = addHosts(s.seats, ev.Seats), addHosts(s.controls, ev.Controls)
	case HeartbeatReceived:
		s.members.refresh(now, ev.Member)
	case GrantsPersisted:
		s.writes.lastCompleted = max(s.writes.lastCompleted, ev.Number)
	case ConfigEncoded:
		s.takeEncoded(ev)
	case SnapshotDecoded:
		s.decoding = false
		if ev.OK {
			s.hist.advanceTo(ev.Config)
		}
	}
	return nil
}

func (s *Seat) tick(now model.Instant) []Effect {
	s.members.expire(now, s.timing.MemberTimeout)
	s.grants.expire(now)
	out := s.tickTransfer(now)
	if s.active || now < s.nextAsk {
		return out
	}
	return append(out, s.relearn(now)...)
}

// receive handles a message. A seat that is not active stores the configurations
// that it receives but confirms none.
func (s *Seat) receive(now model.Instant, ev Received) []Effect {
	switch m := ev.Msg.(type) {
	case proto.SeatStage:
		s.hist.advance(m.Changes, m.Snapshot)
		return append(s.acknowledgeStage(ev.From, m), s.takeOffer(now, ev.From, m.Newest, m.Offer)...)
	case proto.FreshAsk:
		return s.answerFreshAsk(now, ev.From, m)
	case proto.LeaseAsk:
		return s.answerLeaseAsk(now, ev.From, m)
	case proto.SeatLearn:
		return s.answerSeatLearn(now, ev.From, m)
	case proto.SeatLearnReply:
		return s.handleSeatReply(now, ev.From, m)
	case proto.FreshReply:
		return s.handleControlReply(now, ev.From, m)
	case proto.PartAsk:
		return []Effect{Send{To: ev.From, Msg: s.sender.Answer(now, m)}}
	case proto.Part:
		asks, data := s.receiver.Part(now, ev.From, m)
		return append(sendAsks(asks), decode(data, &s.decoding)...)
	}
	return nil
}

// acknowledgeStage answers a SeatStage with the version that the seat holds.
func (s *Seat) acknowledgeStage(from model.HostID, m proto.SeatStage) []Effect {
	if !s.active {
		return nil
	}
	return []Effect{Send{To: from, Msg: proto.SeatStageReply{
		Term:        m.Term,
		HeldVersion: s.hist.version(),
		Incarnation: s.incarnation,
		Round:       m.Round,
	}}}
}

// answerFreshAsk records the heartbeat of a host and answers with the newest version,
// the members and the owners.
func (s *Seat) answerFreshAsk(now model.Instant, from model.HostID, m proto.FreshAsk) []Effect {
	if m.Member.Host == from {
		s.members.refresh(now, m.Member)
	}
	if !s.active {
		return nil
	}
	reply := proto.FreshReply{Nonce: m.Nonce, Newest: s.hist.version()}
	var ok bool
	var out []Effect
	if reply.Changes, ok = s.hist.changesFor(m.HeldVersion); !ok {
		reply.Snapshot, reply.Offer, out = s.snapshot(now)
	}
	// A seat that has left the list still reports members and owners, since owners
	// need a majority of the earlier seats until the change has settled. The version
	// that it reports no longer lists it, so no host counts its confirmation.
	reply.SeatsSettled = s.seatsSettled && s.settledVersion >= s.hist.seatsSince && s.settledVersion <= s.hist.version()
	s.members.addMembers(&reply, m.MembersDigest)
	reply.OwnersDigest = s.grants.digest()
	if reply.OwnersDigest != m.OwnersDigest {
		reply.Owners = s.grants.list()
	}
	out = append(out, Send{To: from, Msg: reply})
	if m.HeldVersion > s.hist.version() {
		out = append(out, s.catchUp(now)...)
	}
	return out
}

// catchUp asks the other seats for a version that an entry host has and this seat
// lacks, so that a version survives the loss of the seats that first acknowledged it.
func (s *Seat) catchUp(now model.Instant) []Effect {
	if now < s.nextAsk {
		return nil
	}
	return s.askSeats(now)
}

// askSeats asks the other seats for versions newer than the one held.
func (s *Seat) askSeats(now model.Instant) []Effect {
	s.nextAsk = now.Add(s.timing.AskInterval)
	nonce := s.rounds.next(now)
	var out []Effect
	for _, h := range s.otherSeats() {
		out = append(out, Send{To: h, Msg: proto.SeatLearn{Nonce: nonce, HeldVersion: s.hist.version()}})
	}
	return out
}

// knowsPreviousEpochs reports whether the epoch that this seat granted before a claim
// can be used as that of the previous owner. A restarted seat may have lost the grant
// of an owner and then granted an older epoch to a claim without a majority. Once it
// has been active for ReserveValidity, every reserve of an owner before the lost one has
// expired.
func (s *Seat) knowsPreviousEpochs(now model.Instant) bool {
	return now.Sub(s.activeAt) >= s.timing.localAtLeast(model.ReserveValidity)
}

// answerLeaseAsk applies the releases and claims of a host and answers with the grants
// and denials.
func (s *Seat) answerLeaseAsk(now model.Instant, from model.HostID, m proto.LeaseAsk) []Effect {
	if !s.answersLeases(now) {
		return nil
	}
	for _, c := range m.Released {
		s.grants.release(from, c)
	}
	reply := proto.LeaseReply{Nonce: m.Nonce}
	until := now.Add(s.timing.localAtLeast(s.timing.LeaseDuration))
	var fresh []proto.Owner
	for _, c := range m.Claims {
		if c.Shard >= model.Shards || !s.mayGrant(now, from, c) {
			continue
		}
		before := s.grants.shards[c.Shard]
		if denial, ok := s.grants.claim(now, from, c, until); !ok {
			reply.Denied = append(reply.Denied, denial)
			continue
		}
		if before.host != from || before.epoch != c.Epoch {
			fresh = append(fresh, proto.Owner{Shard: c.Shard, Host: from, Epoch: c.Epoch})
		}
		reply.Granted = append(reply.Granted, c)
		if previous := s.grants.shards[c.Shard].previous; previous != 0 && s.knowsPreviousEpochs(now) {
			reply.PreviousGrants = append(reply.PreviousGrants, proto.Claim{Shard: c.Shard, Epoch: previous})
		}
	}
	return s.replyAfterWrite(from, reply, fresh)
}

// answerSeatLearn sends the newest version to another seat.
func (s *Seat) answerSeatLearn(now model.Instant, from model.HostID, m proto.SeatLearn) []Effect {
	if !s.active {
		return nil
	}
	reply := proto.SeatLearnReply{Nonce: m.Nonce, Newest: s.hist.version()}
	var ok bool
	var out []Effect
	if reply.Changes, ok = s.hist.changesFor(m.HeldVersion); !ok {
		reply.Snapshot, reply.Offer, out = s.snapshot(now)
	}
	return append(out, Send{To: from, Msg: reply})
}
