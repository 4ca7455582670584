package lease

import (
	"slices"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// allSeats returns the seats of the newest known configuration, or the bootstrap
// seats if none is known.
func (s *Seat) allSeats() []model.HostID {
	if s.hist.known {
		return s.hist.cfg.Seats
	}
	return s.seats
}

// otherSeats returns allSeats without this one.
func (s *Seat) otherSeats() []model.HostID {
	return slices.DeleteFunc(slices.Clone(s.allSeats()), func(h model.HostID) bool { return h == s.self })
}

// controlHosts returns the control hosts of the configuration and the bootstrap ones.
func (s *Seat) controlHosts() []model.HostID {
	return addHosts(addHosts(nil, s.hist.cfg.Controls), s.controls)
}

// relearnMember returns the member that a relearning seat names in its asks. It has no
// role, so that the ask is not taken for the heartbeat of an entry host.
func (s *Seat) relearnMember() proto.Member {
	return proto.Member{Host: s.self, Incarnation: s.incarnation, Draining: true}
}

// relearn asks control for the newest version and, once SilencePeriod has ended and
// their answers count, also the other seats.
func (s *Seat) relearn(now model.Instant) []Effect {
	var out []Effect
	if now >= s.silenceUntil {
		out = s.askSeats(now)
	} else {
		s.nextAsk = now.Add(s.timing.AskInterval / fastAskDivisor)
	}
	nonce := s.rounds.next(now)
	for _, h := range s.controlHosts() {
		ask := proto.FreshAsk{Nonce: nonce, HeldVersion: s.hist.version(), Member: s.relearnMember()}
		out = append(out, Send{To: h, Msg: ask})
	}
	return out
}

// handleSeatReply counts the answer of another seat. This seat becomes active once
// other seats that make up a majority of all seats report no version newer than the
// one held. At least one of them holds the newest accepted version, even if this
// seat's own acknowledgement counted when that version was accepted.
func (s *Seat) handleSeatReply(now model.Instant, from model.HostID, m proto.SeatLearnReply) []Effect {
	sent, ok := s.rounds.sentAt(m.Nonce)
	if !ok || sent < s.silenceUntil {
		return nil
	}
	s.hist.advance(m.Changes, m.Snapshot)
	out := s.takeOffer(now, from, m.Newest, m.Offer)
	if s.active || !s.hist.known || now < s.silenceUntil {
		return out
	}
	s.newestBySeat[from] = max(s.newestBySeat[from], m.Newest)
	n := 0
	for _, h := range s.otherSeats() {
		if newest, ok := s.newestBySeat[h]; ok && newest <= s.hist.version() {
			n++
		}
	}
	if n >= model.Majority(len(s.allSeats())) {
		s.activate(now)
	}
	return out
}

// handleControlReply takes the answer of the leader of control. The leader reports the
// newest committed version, and only committed versions are staged. If that was
// confirmed after this seat started, it is no older than any version that this seat
// acknowledged in an earlier run, and the seat becomes active.
func (s *Seat) handleControlReply(now model.Instant, from model.HostID, m proto.FreshReply) []Effect {
	sent, ok := s.rounds.sentAt(m.Nonce)
	if !ok || !m.FromControl || m.Age < 0 || !slices.Contains(s.controlHosts(), from) {
		return nil
	}
	s.hist.advance(m.Changes, m.Snapshot)
	out := s.takeOffer(now, from, m.Newest, m.Offer)
	if s.active || sent.Add(-s.timing.localForRemote(m.Age)) < s.startedAt {
		return out
	}
	if s.hist.known && slices.Contains(s.hist.cfg.Controls, from) && m.Newest <= s.hist.version() {
		s.activate(now)
	}
	return out
}

// activate lets the seat confirm versions, and grant leases after SilencePeriod.
func (s *Seat) activate(now model.Instant) {
	s.active, s.activeAt = true, max(now, s.silenceUntil)
	s.newestBySeat = nil
}
