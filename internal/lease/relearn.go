package lease

import (
	"slices"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// allSeats returns the seats of the newest known configuration, or the bootstrap list.
func (s *Seat) allSeats() []model.HostID {
	if s.hist.known {
		return s.hist.cfg.Seats
	}
	return s.seats
}

func (s *Seat) otherSeats() []model.HostID {
	return slices.DeleteFunc(slices.Clone(s.allSeats()), func(h model.HostID) bool { return h == s.self })
}

func (s *Seat) controlHosts() []model.HostID {
	return addHosts(addHosts(nil, s.hist.cfg.Controls), s.controls)
}

// relearnMember describes a relearning seat; without a role it is no heartbeat of an entry host.
func (s *Seat) relearnMember() proto.Member {
	return proto.Member{Host: s.self, Incarnation: s.incarnation, Draining: true}
}

// relearn asks control and, once their answers count, the other seats for the newest version.
func (s *Seat) relearn(now model.Instant) []Effect {
	var out []Effect
	if now >= s.wakeAt {
		out = s.askSeats(now)
	} else {
		s.nextAsk = now.Add(s.timing.AskInterval / hurryShare)
	}
	nonce := s.rounds.next(now)
	for _, h := range s.controlHosts() {
		ask := proto.FreshAsk{Nonce: nonce, HeldVersion: s.hist.version(), Member: s.relearnMember()}
		out = append(out, Send{To: h, Msg: ask})
	}
	return out
}

// learn counts the answer of another seat. The newest version is known once as
// many other seats as make a majority of all seats name none newer than the
// one held: among them is one that holds the newest accepted version, even if
// this seat was counted when that version was accepted.
func (s *Seat) learn(now model.Instant, from model.HostID, m proto.SeatLearnReply) []Effect {
	sent, ok := s.rounds.sentAt(m.Nonce)
	if !ok || sent < s.wakeAt {
		return nil
	}
	s.hist.advance(m.Changes, m.Snapshot)
	out := s.offered(now, from, m.Newest, m.Offer)
	if s.active || !s.hist.known || now < s.wakeAt {
		return out
	}
	s.learned[from] = max(s.learned[from], m.Newest)
	n := 0
	for _, h := range s.otherSeats() {
		if newest, ok := s.learned[h]; ok && newest <= s.hist.version() {
			n++
		}
	}
	if n >= model.Majority(len(s.allSeats())) {
		s.activate(now)
	}
	return out
}

// learnFromControl takes the answer of the leader of control. It names the
// newest committed version, and only committed versions are staged. If it held
// after this seat started, it is no older than any version that this seat
// acknowledged in an earlier run.
func (s *Seat) learnFromControl(now model.Instant, from model.HostID, m proto.FreshReply) []Effect {
	sent, ok := s.rounds.sentAt(m.Nonce)
	if !ok || !m.FromControl || m.Age < 0 || !slices.Contains(s.controlHosts(), from) {
		return nil
	}
	s.hist.advance(m.Changes, m.Snapshot)
	out := s.offered(now, from, m.Newest, m.Offer)
	if s.active || sent.Add(-s.timing.longest(m.Age)) < s.startedAt {
		return out
	}
	if s.hist.known && slices.Contains(s.hist.cfg.Controls, from) && m.Newest <= s.hist.version() {
		s.activate(now)
	}
	return out
}

func (s *Seat) activate(now model.Instant) {
	s.active, s.activeAt = true, max(now, s.wakeAt)
	s.learned = nil
}
