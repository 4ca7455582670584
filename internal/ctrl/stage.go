package ctrl

import (
	"slices"

	"tarragongauge.example/tarragongauge/internal/codec"
	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

const (
	// maxProbeChanges is the number of changes sent first to a seat whose
	// version is not known.
	maxProbeChanges = 16
	// maxStageChanges is the number of changes above which a seat is sent the
	// whole configuration.
	maxStageChanges = 64
	// idleStageFactor multiplies the staging interval once the newest version
	// is accepted.
	idleStageFactor = 5
	// maxAcceptances is the number of versions whose time of acceptance is kept
	// for evidence reports.
	maxAcceptances = 1024
)

// acceptance is the time at which a version was accepted.
type acceptance struct {
	version    model.Version
	acceptedAt model.Instant
}

// seat is a leader's staging state for one seat. Its version is the one that the
// seat acknowledged last, and is valid only if versionKnown is set.
type seat struct {
	id           model.HostID
	versionKnown bool
	version      model.Version
	// ackedRound is the staging round of the newest acknowledgement,
	// ackedRoundAt the start of that round.
	ackedRound   uint64
	ackedRoundAt model.Instant
	incarnation  model.Incarnation
	nextSendAt   model.Instant
	inflight     inflight
}

// staging is the state of sending committed versions to the seats.
type staging struct {
	seats        []*seat
	round        uint64
	recentRounds []roundStart
	// encodedConfig is the encoded configuration of encodedVersion.
	encodedConfig  []byte
	encodedVersion model.Version
}

// seat returns the seat on the host id, or nil.
func (s *staging) seat(id model.HostID) *seat {
	for _, t := range s.seats {
		if t.id == id {
			return t
		}
	}
	return nil
}

// updateSeats sets the seats to those of the applied state. It accepts the
// newest version if they hold it already, and stages it to those that lack it.
func (n *Node) updateSeats() {
	st := &n.leadership.staging
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
			if s.version < n.state.cfg.Version {
				s.nextSendAt = 0
			}
			seats = append(seats, s)
		}
	}
	st.seats = seats
	n.advanceAccepted()
	n.stageTick()
}

// stageTick sends the newest version to the seats that are due for it.
func (n *Node) stageTick() {
	st := &n.leadership.staging
	started := false
	for _, s := range st.seats {
		if n.now < s.nextSendAt || !n.needsStage(s) {
			continue
		}
		if !started {
			started = true
			st.round++
			st.recentRounds = append(st.recentRounds, roundStart{round: st.round, startedAt: n.now})
			if len(st.recentRounds) > maxRounds {
				st.recentRounds = slices.Delete(st.recentRounds, 0, 1)
			}
		}
		n.sendStage(s)
	}
}

// needsStage reports whether a seat lacks the newest version. While that
// version is not accepted, it also reports true for a seat whose
// acknowledgement is about to expire.
func (n *Node) needsStage(s *seat) bool {
	newest := n.state.cfg.Version
	if !s.versionKnown || s.version < newest {
		return true
	}
	return n.acceptedVersion < newest && n.now.Sub(s.ackedRoundAt) >= n.opts.timing.StageValid/2
}

// sendStage sends a staging message of the current round to a seat and
// schedules the next one.
func (n *Node) sendStage(s *seat) {
	s.nextSendAt = n.now.Add(n.opts.timing.StageEvery)
	if n.acceptedVersion >= n.state.cfg.Version {
		s.nextSendAt = n.now.Add(n.opts.timing.StageEvery * idleStageFactor)
	}
	m := proto.SeatStage{Term: n.term, Newest: n.state.cfg.Version, Round: n.leadership.staging.round}
	n.addChanges(s, &m)
	n.send(s.id, m)
}

// addChanges adds to a staging message what leads from the seat's version to
// the newest one, except for what is in flight.
func (n *Node) addChanges(s *seat, m *proto.SeatStage) {
	if !s.versionKnown && len(n.history.outcomes) > 0 {
		if !s.inflight.isPending(n.now, 0) {
			m.Changes = model.WithoutDocuments(n.newestChanges(maxProbeChanges))
			s.inflight.recordSend(n.now, 0, uint64(m.Newest), m.Round)
		}
		return
	}
	from := s.version
	if s.versionKnown && s.inflight.isPending(n.now, uint64(s.version)) {
		from = model.Version(s.inflight.sentUpTo)
	}
	if from == m.Newest {
		return
	}
	s.inflight.recordSend(n.now, uint64(s.version), uint64(m.Newest), m.Round)
	changes, ok := n.history.changes(from, m.Newest)
	if ok && s.versionKnown && len(changes) <= maxStageChanges {
		m.Changes = model.WithoutDocuments(changes)
		return
	}
	m.Snapshot, m.Offer = n.sender.Offer(n.now, n.encodedConfig())
}

// newestChanges returns the newest accepted changes, oldest first: at most
// limit of them, with an estimated length of at most maxChangeBytes.
func (n *Node) newestChanges(limit int) []model.Committed {
	var changes []model.Committed
	size := 0
	for i := len(n.history.outcomes) - 1; i >= 0 && len(changes) < limit; i-- {
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

// encodedConfig returns the encoded configuration for seats, or nil while the
// runtime encodes it. A large one may be older than the newest version.
func (n *Node) encodedConfig() []byte {
	st := &n.leadership.staging
	if st.encodedConfig != nil && (st.encodedVersion == n.state.cfg.Version || n.canStageOlder()) {
		return st.encodedConfig
	}
	if n.hasLargeState() {
		if n.encodeJobs.configID == 0 {
			n.encodeJobs.configID, n.encodeJobs.configVersion = n.requestEncode(true), n.state.cfg.Version
		}
		return nil
	}
	data, err := codec.EncodeConfig(n.state.cfg.WithoutDocument())
	if err != nil {
		return nil
	}
	st.encodedConfig, st.encodedVersion = data, n.state.cfg.Version
	return data
}

// canStageOlder reports whether a large configuration that was encoded earlier
// can still be staged, because the changes since then can follow it.
func (n *Node) canStageOlder() bool {
	st := &n.leadership.staging
	if !n.hasLargeState() {
		return false
	}
	changes, ok := n.history.changes(st.encodedVersion, n.state.cfg.Version)
	return ok && len(changes) <= maxStageChanges/2
}

// onSeatStageReply records which version a seat holds and accepts that version
// once a majority holds it.
func (n *Node) onSeatStageReply(from model.HostID, m proto.SeatStageReply) {
	if n.role != RoleLeader || m.Term != n.term {
		return
	}
	st := &n.leadership.staging
	s := st.seat(from)
	if s == nil || m.Round <= s.ackedRound || m.Incarnation < s.incarnation {
		return
	}
	i := slices.IndexFunc(st.recentRounds, func(r roundStart) bool { return r.round == m.Round })
	if i < 0 {
		return
	}
	behind := m.HeldVersion < n.state.cfg.Version && (!s.versionKnown || m.HeldVersion != s.version)
	if uint64(m.HeldVersion) < s.inflight.sentUpTo && s.inflight.isLost(m.Round) || m.Incarnation != s.incarnation {
		s.inflight = inflight{}
	}
	s.versionKnown, s.version, s.incarnation = true, m.HeldVersion, m.Incarnation
	s.ackedRound, s.ackedRoundAt = m.Round, st.recentRounds[i].startedAt
	if behind {
		s.nextSendAt = 0
	}
	n.advanceAccepted()
	n.answerFinalResults()
	n.stageTick()
}

// advanceAccepted accepts the newest version that a majority of each set of
// seats holds, by acknowledgements that are all valid now.
func (n *Node) advanceAccepted() {
	version := n.state.cfg.Version
	for _, set := range n.state.seatSets() {
		version = min(version, n.majorityVersion(set))
	}
	if n.commitIndex < n.leadership.firstIndex || version <= n.acceptedVersion {
		n.appendSeatsInForce()
		return
	}
	n.acceptedVersion = version
	n.acceptances = append(n.acceptances, acceptance{version: version, acceptedAt: n.now})
	if len(n.acceptances) > maxAcceptances {
		n.acceptances = slices.Delete(n.acceptances, 0, 1)
	}
	n.appendSeatsInForce()
}

// majorityVersion returns the newest version that a majority of a set of seats
// holds.
func (n *Node) majorityVersion(set []model.HostID) model.Version {
	versions := make([]model.Version, len(set))
	for i, id := range set {
		s := n.leadership.staging.seat(id)
		if s != nil && s.versionKnown && n.now.Sub(s.ackedRoundAt) < n.opts.timing.StageValid {
			versions[i] = s.version
		}
	}
	slices.Sort(versions)
	return versions[len(versions)-model.Majority(len(set))]
}

// appendSeatsInForce appends the entry that puts new seats in force, once the
// old and the new seats have accepted the change. It waits for an earlier such
// entry: a second one could be committed after the next change of seats, and
// put that in force too early.
func (n *Node) appendSeatsInForce() {
	settled := n.acceptedVersion >= n.state.cfg.Version && n.commitIndex >= n.leadership.firstIndex
	if !settled || len(n.state.oldSeats) == 0 || n.hasPendingSeatsInForce() {
		return
	}
	n.appendEntry(proto.LogEntry{Index: n.log.lastIndex() + 1, Term: n.term, SeatsInForce: true})
	n.replicateAll()
}

// hasPendingSeatsInForce reports whether the log holds an entry that puts seats
// in force and is not applied yet.
func (n *Node) hasPendingSeatsInForce() bool {
	for i := n.appliedIndex + 1; i <= n.log.lastIndex(); i++ {
		if n.log.entry(i).SeatsInForce {
			return true
		}
	}
	return false
}

// AcceptedAt returns when this host accepted a version or the first one after
// it, and false if it has not or the time is no longer kept.
func (n *Node) AcceptedAt(v model.Version) (model.Instant, bool) {
	for _, a := range n.acceptances {
		if a.version >= v {
			return a.acceptedAt, true
		}
	}
	return 0, false
}
