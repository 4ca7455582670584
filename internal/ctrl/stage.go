package ctrl

import (
	"slices"

	"tarragongauge.example/tarragongauge/internal/codec"
	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

const (
	// probeChanges is how many changes a seat of unknown version is sent first.
	probeChanges = 16
	// maxStageChanges is the number of changes above which a seat gets the whole configuration.
	maxStageChanges = 64
	// idleStageFactor slows staging to seats that are not needed for acceptance.
	idleStageFactor = 5
	// maxAcceptances bounds the acceptance times kept for evidence.
	maxAcceptances = 1024
)

// acceptance is when a version was accepted.
type acceptance struct {
	version model.Version
	at      model.Instant
}

// seat is what a leader knows of a seat.
type seat struct {
	id    model.HostID
	known bool
	have  model.Version
	// round is the staging round of the newest acknowledgement, sentAt its start.
	round       uint64
	sentAt      model.Instant
	incarnation model.Incarnation
	due         model.Instant
	transit     transit
}

// staging hands committed versions to the seats.
type staging struct {
	seats  []*seat
	round  uint64
	rounds []roundStart
	// encoded is the encoded configuration of encodedVersion.
	encoded        []byte
	encodedVersion model.Version
}

func (s *staging) seat(id model.HostID) *seat {
	for _, t := range s.seats {
		if t.id == id {
			return t
		}
	}
	return nil
}

// restage follows the applied state: its seats are asked at once to hold its version.
func (n *Node) restage() {
	st := &n.lead.stage
	var seats []*seat
	for _, set := range n.state.seatSets() {
		for _, id := range set {
			if slices.ContainsFunc(seats, func(s *seat) bool { return s.id == id }) {
				continue
			}
			s := st.seat(id)
			if s == nil {
				s = &seat{id: id}
			}
			if s.have < n.state.cfg.Version {
				s.due = 0
			}
			seats = append(seats, s)
		}
	}
	st.seats = seats
	n.accept()
	n.stageTick()
}

// stageTick sends the newest version to the seats that are due.
func (n *Node) stageTick() {
	st := &n.lead.stage
	started := false
	for _, s := range st.seats {
		if n.now < s.due || !n.mustStage(s) {
			continue
		}
		if !started {
			started = true
			st.round++
			st.rounds = append(st.rounds, roundStart{round: st.round, at: n.now})
			if len(st.rounds) > maxRounds {
				st.rounds = slices.Delete(st.rounds, 0, 1)
			}
		}
		n.sendStage(s)
	}
}

// mustStage reports whether a seat lacks the newest version, or the version
// waits for acceptance and the seat's acknowledgement is about to lose its validity.
func (n *Node) mustStage(s *seat) bool {
	newest := n.state.cfg.Version
	if !s.known || s.have < newest {
		return true
	}
	return n.accepted < newest && n.now.Sub(s.sentAt) >= n.opt.timing.StageValid/2
}

func (n *Node) sendStage(s *seat) {
	s.due = n.now.Add(n.opt.timing.StageEvery)
	if n.accepted >= n.state.cfg.Version {
		s.due = n.now.Add(n.opt.timing.StageEvery * idleStageFactor)
	}
	m := proto.SeatStage{Term: n.term, Newest: n.state.cfg.Version, Round: n.lead.stage.round}
	n.fillStage(s, &m)
	n.send(s.id, m)
}

// fillStage adds what leads from the seat's version to the newest, less what is on its way.
func (n *Node) fillStage(s *seat, m *proto.SeatStage) {
	if !s.known && len(n.history.outcomes) > 0 {
		if !s.transit.underway(n.now, 0) {
			m.Changes = model.WithoutDocuments(n.newestChanges(probeChanges))
			s.transit.sent(n.now, 0, uint64(m.Newest), m.Round)
		}
		return
	}
	from := s.have
	if s.known && s.transit.underway(n.now, uint64(s.have)) {
		from = model.Version(s.transit.to)
	}
	if from == m.Newest {
		return
	}
	s.transit.sent(n.now, uint64(s.have), uint64(m.Newest), m.Round)
	changes, ok := n.history.changes(from, m.Newest)
	if ok && s.known && len(changes) <= maxStageChanges {
		m.Changes = model.WithoutDocuments(changes)
		return
	}
	m.Snapshot, m.Offer = n.sender.Offer(n.now, n.encodedConfig())
}

func (n *Node) newestChanges(most int) []model.Committed {
	var changes []model.Committed
	size := 0
	for i := len(n.history.outcomes) - 1; i >= 0 && len(changes) < most; i-- {
		if size += n.history.outcomes[i].Committed.EstimatedSize(); size > maxChangeBytes {
			break
		}
		if o := n.history.outcomes[i]; o.Result.Kind == model.ResultAccepted && o.Committed.Proposal.Change != nil {
			changes = append(changes, o.Committed)
		}
	}
	slices.Reverse(changes)
	return changes
}

func (n *Node) encodedConfig() []byte {
	st := &n.lead.stage
	if st.encoded != nil && (st.encodedVersion == n.state.cfg.Version || n.mayStageOlder()) {
		return st.encoded
	}
	if n.isLarge() {
		if n.encodes.config == 0 {
			n.encodes.config, n.encodes.configVersion = n.encode(true), n.state.cfg.Version
		}
		return nil
	}
	data, err := codec.EncodeConfig(n.state.cfg.WithoutDocument())
	if err != nil {
		return nil
	}
	st.encoded, st.encodedVersion = data, n.state.cfg.Version
	return data
}

// mayStageOlder reports whether the changes since an older, large
// configuration can follow it.
func (n *Node) mayStageOlder() bool {
	st := &n.lead.stage
	if !n.isLarge() {
		return false
	}
	changes, ok := n.history.changes(st.encodedVersion, n.state.cfg.Version)
	return ok && len(changes) <= maxStageChanges/2
}

func (n *Node) onSeatStageReply(from model.HostID, m proto.SeatStageReply) {
	if n.role != RoleLeader || m.Term != n.term {
		return
	}
	st := &n.lead.stage
	s := st.seat(from)
	if s == nil || m.Round <= s.round || m.Incarnation < s.incarnation {
		return
	}
	i := slices.IndexFunc(st.rounds, func(r roundStart) bool { return r.round == m.Round })
	if i < 0 {
		return
	}
	behind := m.HeldVersion < n.state.cfg.Version && (!s.known || m.HeldVersion != s.have)
	if uint64(m.HeldVersion) < s.transit.to && s.transit.lost(m.Round) || m.Incarnation != s.incarnation {
		s.transit = transit{}
	}
	s.known, s.have, s.incarnation = true, m.HeldVersion, m.Incarnation
	s.round, s.sentAt = m.Round, st.rounds[i].at
	if behind {
		s.due = 0
	}
	n.accept()
	n.settle()
	n.stageTick()
}

// accept notes the newest version that a majority of each set of seats holds
// by acknowledgements that are all valid now.
func (n *Node) accept() {
	version := n.state.cfg.Version
	for _, set := range n.state.seatSets() {
		version = min(version, n.heldBy(set))
	}
	if n.commit < n.lead.first || version <= n.accepted {
		n.markSeats()
		return
	}
	n.accepted = version
	n.acceptedAt = append(n.acceptedAt, acceptance{version: version, at: n.now})
	if len(n.acceptedAt) > maxAcceptances {
		n.acceptedAt = slices.Delete(n.acceptedAt, 0, 1)
	}
	n.markSeats()
}

// heldBy returns the newest version that a majority of a set holds.
func (n *Node) heldBy(set []model.HostID) model.Version {
	have := make([]model.Version, len(set))
	for i, id := range set {
		s := n.lead.stage.seat(id)
		if s != nil && s.known && n.now.Sub(s.sentAt) < n.opt.timing.StageValid {
			have[i] = s.have
		}
	}
	slices.Sort(have)
	return have[len(have)-model.Majority(len(set))]
}

// markSeats appends the entry that puts new seats in force once both sets hold
// the change. It waits for an earlier such entry: a second one could fall
// behind the next change of seats and put that in force too early.
func (n *Node) markSeats() {
	settled := n.accepted >= n.state.cfg.Version && n.commit >= n.lead.first
	if !settled || len(n.state.oldSeats) == 0 || n.marking() {
		return
	}
	n.appendEntry(proto.LogEntry{Index: n.log.last() + 1, Term: n.term, SeatsInForce: true})
	n.replicateAll()
}

func (n *Node) marking() bool {
	for i := n.applied + 1; i <= n.log.last(); i++ {
		if n.log.at(i).SeatsInForce {
			return true
		}
	}
	return false
}

// AcceptedAt returns when this host accepted a version or the first one after it.
func (n *Node) AcceptedAt(v model.Version) (model.Instant, bool) {
	for _, a := range n.acceptedAt {
		if a.version >= v {
			return a.at, true
		}
	}
	return 0, false
}
