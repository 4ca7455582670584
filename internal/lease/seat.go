package lease

import (
	"tarragongauge.example/tarragongauge/internal/part"
	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// Seat keeps the newest staged version in memory, confirms it to entry hosts
// and grants leases on shards.
//
// After a start it relearns the newest version before it confirms any. The
// leader of control may tell it at once, since it names each version that was
// ever staged. Other seats may tell it after Silence only, when every
// acknowledgement of the run before has ceased to count.
//
// It grants leases after Silence, when those of the run before have expired, or
// before to the hosts that hold them according to its Memory.
type Seat struct {
	settings
	self    model.HostID
	started bool
	// startedAt is when the seat started, wakeAt when Silence ends.
	startedAt model.Instant
	wakeAt    model.Instant
	active    bool
	// activeAt is when the seat became active and its grants became complete.
	activeAt model.Instant
	keeper   keeper
	hist     history
	rounds   rounds
	nextAsk  model.Instant
	learned  map[model.HostID]model.Version
	members  roster
	grants   grants
	// settledAt is a version whose list of seats has settled, or 0.
	settledAt model.Version
	settled   bool
	sender    part.Sender
	receiver  part.Receiver
	// encoding is set while the runtime encodes the configuration, decoding while it decodes one.
	encoding bool
	decoding bool
	// encodedUntil is when the encoded large configuration is freed unless it is requested, or 0.
	encodedUntil model.Instant
}

// NewSeat returns a seat without memory.
func NewSeat(self model.HostID, opts ...Option) *Seat {
	s := newSettings(opts)
	seat := &Seat{
		settings: s,
		self:     self,
		rounds:   newRounds("seat", self, s.incarnation),
		learned:  map[model.HostID]model.Version{},
		members:  newRoster(),
		grants:   newGrants(),
		sender:   part.NewSender(s.partSize),
	}
	seat.restoreGrants()
	return seat
}

// Step takes one event.
func (s *Seat) Step(now model.Instant, ev Event) []Effect {
	if !s.started {
		s.started, s.startedAt = true, now
		s.wakeAt = now.Add(s.timing.SilencePeriod)
	}
	switch ev := ev.(type) {
	case Tick:
		return s.tick(now)
	case QuorumsChanged:
		s.settledAt, s.settled = ev.Version, len(ev.Lists) == 1
	case Received:
		return s.receive(now, ev)
	case HostsLocated:
		s.seats, s.controls = addHosts(s.seats, ev.Seats), addHosts(s.controls, ev.Controls)
	case HeartbeatReceived:
		s.members.heard(now, ev.Member)
	case GrantsPersisted:
		s.keeper.kept = max(s.keeper.kept, ev.Number)
	case ConfigEncoded:
		s.encoded(ev)
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
	out := s.partTick(now)
	if s.active || now < s.nextAsk {
		return out
	}
	return append(out, s.relearn(now)...)
}

// receive takes a message. Until it is active a seat keeps what it is told, but confirms nothing.
func (s *Seat) receive(now model.Instant, ev Received) []Effect {
	switch m := ev.Msg.(type) {
	case proto.SeatStage:
		s.hist.advance(m.Changes, m.Snapshot)
		return append(s.staged(ev.From, m), s.offered(now, ev.From, m.Newest, m.Offer)...)
	case proto.FreshAsk:
		return s.fresh(now, ev.From, m)
	case proto.LeaseAsk:
		return s.lease(now, ev.From, m)
	case proto.SeatLearn:
		return s.teach(now, ev.From, m)
	case proto.SeatLearnReply:
		return s.learn(now, ev.From, m)
	case proto.FreshReply:
		return s.learnFromControl(now, ev.From, m)
	case proto.PartAsk:
		return []Effect{Send{To: ev.From, Msg: s.sender.Answer(now, m)}}
	case proto.Part:
		asks, data := s.receiver.Part(now, ev.From, m)
		return append(sendAsks(asks), decode(data, &s.decoding)...)
	}
	return nil
}

func (s *Seat) staged(from model.HostID, m proto.SeatStage) []Effect {
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

func (s *Seat) fresh(now model.Instant, from model.HostID, m proto.FreshAsk) []Effect {
	if m.Member.Host == from {
		s.members.heard(now, m.Member)
	}
	if !s.active {
		return nil
	}
	reply := proto.FreshReply{Nonce: m.Nonce, Newest: s.hist.version()}
	var ok bool
	var out []Effect
	if reply.Changes, ok = s.hist.update(m.HeldVersion); !ok {
		reply.Snapshot, reply.Offer, out = s.snapshot(now)
	}
	// A seat that has left the list goes on telling members and owners: owners
	// need a majority of the earlier seats until the change has settled. It names
	// the version without it, by which no host counts it as a seat.
	reply.SeatsSettled = s.settled && s.settledAt >= s.hist.listSince && s.settledAt <= s.hist.version()
	s.members.tell(&reply, m.MembersDigest)
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

// catchUp asks the other seats for a version that an entry host has and this
// seat lacks, so that versions outlive the seats that were staged first.
func (s *Seat) catchUp(now model.Instant) []Effect {
	if now < s.nextAsk {
		return nil
	}
	return s.askSeats(now)
}

func (s *Seat) askSeats(now model.Instant) []Effect {
	s.nextAsk = now.Add(s.timing.AskInterval)
	nonce := s.rounds.next(now)
	var out []Effect
	for _, h := range s.otherSeats() {
		out = append(out, Send{To: h, Msg: proto.SeatLearn{Nonce: nonce, HeldVersion: s.hist.version()}})
	}
	return out
}

// remembers reports whether the epochs that this seat knows tell the owner
// before a claim. A restarted seat may have forgotten an owner and then granted
// an older epoch to a claim that came to nothing. Once it has been active for
// ReserveValid, every reserve of an owner before the forgotten one has expired.
func (s *Seat) remembers(now model.Instant) bool {
	return now.Sub(s.activeAt) >= s.timing.atLeast(model.ReserveValid)
}

func (s *Seat) lease(now model.Instant, from model.HostID, m proto.LeaseAsk) []Effect {
	if !s.answersLeases(now) {
		return nil
	}
	for _, c := range m.Released {
		s.grants.release(from, c)
	}
	reply := proto.LeaseReply{Nonce: m.Nonce}
	until := now.Add(s.timing.atLeast(s.timing.LeaseDuration))
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
		if previous := s.grants.shards[c.Shard].previous; previous != 0 && s.remembers(now) {
			reply.PreviousGrants = append(reply.PreviousGrants, proto.Claim{Shard: c.Shard, Epoch: previous})
		}
	}
	return s.answer(from, reply, fresh)
}

func (s *Seat) teach(now model.Instant, from model.HostID, m proto.SeatLearn) []Effect {
	if !s.active {
		return nil
	}
	reply := proto.SeatLearnReply{Nonce: m.Nonce, Newest: s.hist.version()}
	var ok bool
	var out []Effect
	if reply.Changes, ok = s.hist.update(m.HeldVersion); !ok {
		reply.Snapshot, reply.Offer, out = s.snapshot(now)
	}
	return append(out, Send{To: from, Msg: reply})
}
