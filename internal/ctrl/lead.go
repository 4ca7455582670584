package ctrl

import (
	"slices"
	"time"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

const (
	// maxAppendEntries and maxAppendBytes bound the number of the entries of
	// one message and their estimated length. Together with maxProposalBytes
	// they keep a message below the frame limit of 8 MiB.
	maxAppendEntries = 16
	maxAppendBytes   = 1 << 20
	// maxProbeEntries is the number of entries sent before it is known where
	// the follower's log agrees. Usually the follower lacks only the entry that
	// starts the term.
	maxProbeEntries = 1
	// maxRounds is the number of rounds whose start time is kept. A heartbeat
	// round older than ElectionMin confirms nothing.
	maxRounds = 64
	// snapshotResendInterval is the interval at which a snapshot is sent again
	// to a follower that has not acknowledged it.
	snapshotResendInterval = time.Second
)

// peer is a leader's replication state for another control host.
type peer struct {
	id model.HostID
	// matchIndex is the last index known to be durable on the peer, nextIndex
	// the first one to send.
	matchIndex uint64
	nextIndex  uint64
	// matchKnown is set once the peer accepted a message of this term.
	matchKnown bool
	// needsSnapshot is set for a host without any state.
	needsSnapshot  bool
	snapshotSentAt model.Instant
	// lastReplyAt is when the peer last replied, or became a peer if hasReplied
	// is not set.
	lastReplyAt model.Instant
	hasReplied  bool
	ackedRound  uint64
	// learnerID is the learner ID of a follower that counts in no majority, or
	// 0. To be admitted, the follower must hold the entry barrierIndex.
	// minVoterRound is the first heartbeat round that began after the learner
	// ID was received.
	learnerID     uint64
	barrierIndex  uint64
	minVoterRound uint64
	// admittedLearnerID is the learner ID that the peer had before its last
	// admission.
	admittedLearnerID uint64
	inflight          inflight
}

// roundStart is the start time of a heartbeat round or a staging round.
type roundStart struct {
	round     uint64
	startedAt model.Instant
}

// leadership is the state that a host has only while it is the leader.
type leadership struct {
	peers []*peer
	// firstIndex is the index of the entry that started the term. Entries of
	// earlier terms are committed only through it, and reads are confirmed only
	// after it.
	firstIndex uint64
	// round is the number of the newest heartbeat round, recentRounds the start
	// times of the last maxRounds of them.
	round           uint64
	recentRounds    []roundStart
	nextHeartbeatAt model.Instant
	staging         staging
}

// startRound starts a heartbeat round.
func (l *leadership) startRound(now model.Instant) {
	l.round++
	l.recentRounds = append(l.recentRounds, roundStart{round: l.round, startedAt: now})
	if len(l.recentRounds) > maxRounds {
		l.recentRounds = slices.Delete(l.recentRounds, 0, 1)
	}
}

// roundStartedAt returns when a heartbeat round began, and false if its start
// time is not kept.
func (l *leadership) roundStartedAt(round uint64) (model.Instant, bool) {
	for _, r := range l.recentRounds {
		if r.round == round {
			return r.startedAt, true
		}
	}
	return 0, false
}

// peer returns the peer with this id, or nil.
func (l *leadership) peer(id model.HostID) *peer {
	for _, p := range l.peers {
		if p.id == id {
			return p
		}
	}
	return nil
}

// becomeLeader starts the leadership of the current term with an empty entry
// and a heartbeat.
func (n *Node) becomeLeader() {
	n.role = RoleLeader
	n.votes = nil
	n.stopTransfer()
	n.leadership = &leadership{firstIndex: n.log.lastIndex() + 1}
	n.setLeader(n.self)
	n.appendEntry(proto.LogEntry{Index: n.leadership.firstIndex, Term: n.term})
	n.updatePeers()
	n.updateSeats()
	n.sendHeartbeats()
}

// endLeadership drops the state of the leader. It answers every pending
// proposal with ResultUnknown, since a later leader decides on it.
func (n *Node) endLeadership() {
	if n.leadership == nil {
		return
	}
	n.leadership = nil
	n.abortPending()
}

// stepDown makes a leader a follower in its own term, without a known leader.
func (n *Node) stepDown() {
	n.becomeFollower(n.term, "")
	n.resetElectionTimer()
}

// updatePeers sets the peers to the control hosts of the latest state and those
// that are to join them.
func (n *Node) updatePeers() {
	var peers []*peer
	for _, id := range slices.Concat(n.latest.cfg.Controls, n.joiningHosts()) {
		if id == n.self || slices.ContainsFunc(peers, func(p *peer) bool { return p.id == id }) {
			continue
		}
		p := n.leadership.peer(id)
		if p == nil {
			p = &peer{id: id, nextIndex: n.log.lastIndex(), lastReplyAt: n.now}
		}
		peers = append(peers, p)
	}
	n.leadership.peers = peers
}

// leaderTick steps down if no majority has replied for ElectionMin. Otherwise
// it sends what is due.
func (n *Node) leaderTick() {
	acked := n.majorityValue(int64(n.now), func(p *peer) int64 { return int64(p.lastReplyAt) })
	if n.now.Sub(model.Instant(acked)) >= n.opts.timing.ElectionMin {
		n.stepDown()
		return
	}
	n.retryDeferred()
	if n.now >= n.leadership.nextHeartbeatAt {
		n.sendHeartbeats()
	}
	n.stageTick()
}

// sendHeartbeats starts a heartbeat round and sends it to all peers, together
// with the entries that they lack and that are not in flight.
func (n *Node) sendHeartbeats() {
	n.leadership.startRound(n.now)
	n.leadership.nextHeartbeatAt = n.now.Add(n.opts.timing.Heartbeat)
	for _, p := range n.leadership.peers {
		n.replicate(p, true)
	}
}

// replicate sends a follower the entries that it lacks. Unless it sends a
// heartbeat, it sends nothing to a follower that is up to date or has a probe
// in flight.
func (n *Node) replicate(p *peer, heartbeat bool) {
	acked := p.nextIndex - 1
	if p.matchKnown {
		acked = p.matchIndex
		if !p.inflight.isPending(n.now, acked) {
			p.nextIndex = p.matchIndex + 1
		}
	}
	prevTerm, ok := n.log.term(p.nextIndex - 1)
	if p.needsSnapshot || !ok {
		n.sendSnapshot(p, heartbeat)
		return
	}
	limit := maxAppendEntries
	if !p.matchKnown {
		limit = maxProbeEntries
	}
	entries := n.log.batch(p.nextIndex, limit)
	if !p.matchKnown && p.inflight.isPending(n.now, acked) {
		entries = nil
	}
	if !heartbeat && len(entries) == 0 {
		return
	}
	if len(entries) > 0 {
		p.inflight.recordSend(n.now, acked, entries[len(entries)-1].Index, n.leadership.round)
	}
	n.sendAppend(p, p.nextIndex-1, prevTerm, entries)
	if p.matchKnown {
		p.nextIndex += uint64(len(entries))
	}
}

// sendAppend sends entries that follow the entry prev, or none as a heartbeat.
func (n *Node) sendAppend(p *peer, prev uint64, prevTerm model.Term, entries []proto.LogEntry) {
	admit := n.admitID(p)
	n.send(p.id, proto.Append{
		Term:              n.term,
		PrevIndex:         prev,
		PrevTerm:          prevTerm,
		Entries:           entries,
		CommitIndex:       n.commitIndex,
		Round:             n.leadership.round,
		AdmittedLearnerID: admit,
	})
}

// sendSnapshot sends the snapshot at most once in snapshotResendInterval. In
// between, heartbeats keep the follower from standing for election.
func (n *Node) sendSnapshot(p *peer, heartbeat bool) {
	if p.snapshotSentAt == 0 || n.now.Sub(p.snapshotSentAt) >= snapshotResendInterval {
		p.snapshotSentAt = n.now
		n.send(p.id, n.newInstallSnapshot())
		return
	}
	if heartbeat {
		n.sendAppend(p, n.log.lastIndex(), n.log.lastTerm(), nil)
	}
}

// onAppendReply updates what is known about a follower, and then commits and
// sends what its reply allows.
func (n *Node) onAppendReply(from model.HostID, m proto.AppendReply) {
	if m.Term > n.term {
		n.becomeFollower(m.Term, "")
		return
	}
	if n.role != RoleLeader || m.Term < n.term {
		return
	}
	p := n.leadership.peer(from)
	if p == nil || !n.checkReply(p, m) {
		return
	}
	p.lastReplyAt, p.hasReplied = n.now, true
	p.ackedRound = max(p.ackedRound, m.Round)
	n.updateMatch(p, m)
	n.advanceCommit()
	if n.role == RoleLeader {
		n.retryDeferred()
		n.replicateAll()
	}
}

// updateMatch adjusts the indexes of a follower to its reply. A rejection is
// ignored while entries are in flight, unless it shows that they are lost.
func (n *Node) updateMatch(p *peer, m proto.AppendReply) {
	if m.OK {
		p.matchKnown, p.needsSnapshot = true, false
		if m.MatchIndex > p.matchIndex {
			p.inflight.timeout, p.inflight.sentAt = minResendTimeout, n.now
		}
		p.matchIndex = max(p.matchIndex, m.MatchIndex)
		p.nextIndex = max(p.nextIndex, p.matchIndex+1)
		return
	}
	if m.LearnerID != 0 && m.MatchIndex == 0 {
		p.needsSnapshot = !p.matchKnown
	}
	if p.inflight.isPending(n.now, p.matchIndex) && !p.inflight.isLost(m.Round) {
		return
	}
	p.inflight = inflight{}
	p.nextIndex = max(p.matchIndex, m.MatchIndex) + 1
}

// replicateAll sends new entries to the followers that lack them.
func (n *Node) replicateAll() {
	for _, p := range n.leadership.peers {
		if p.matchKnown && p.nextIndex <= n.log.lastIndex() {
			n.replicate(p, false)
		}
	}
}

// majorityValue returns the greatest value that a majority of the control hosts
// reaches, where own is the value of this host. Learners count with 0.
func (n *Node) majorityValue(own int64, value func(*peer) int64) int64 {
	controls := n.latest.cfg.Controls
	values := make([]int64, 0, len(controls))
	for _, p := range n.leadership.peers {
		if p.learnerID == 0 && slices.Contains(controls, p.id) {
			values = append(values, value(p))
		}
	}
	if slices.Contains(controls, n.self) {
		values = append(values, own)
	}
	need := model.Majority(len(controls))
	if len(values) < need {
		return 0
	}
	slices.Sort(values)
	return values[len(values)-need]
}

// advanceCommit commits the entries that a majority holds, if the last of them
// is of this term. An entry of an earlier term is not committed by counting
// alone, since a leader without that entry could still overwrite it.
func (n *Node) advanceCommit() {
	index := uint64(n.majorityValue(int64(n.disk.syncedIndex), func(p *peer) int64 { return int64(p.matchIndex) }))
	term, ok := n.log.term(index)
	if index <= n.commitIndex || !ok || term != n.term {
		return
	}
	n.commitTo(index)
	n.afterCommit()
}

// afterCommit continues what waited for a commit. It steps down if the
// committed configuration no longer has this control host.
func (n *Node) afterCommit() {
	if !slices.Contains(n.state.cfg.Controls, n.self) {
		n.stepDown()
		return
	}
	n.updatePeers()
	n.retryDeferred()
	n.updateSeats()
	n.answerFinalResults()
	n.replicateAll()
}

// ConfirmLeadership reports the newest version if a majority answered a
// heartbeat round of this leader that began within ElectionMin. No other leader
// can have accepted a newer version before that round.
func (n *Node) ConfirmLeadership(now model.Instant) LeadershipConfirmation {
	if n.role != RoleLeader || n.commitIndex < n.leadership.firstIndex {
		return LeadershipConfirmation{}
	}
	round := n.majorityValue(int64(n.leadership.round), func(p *peer) int64 { return int64(p.ackedRound) })
	start, ok := n.leadership.roundStartedAt(uint64(round))
	age := now.Sub(start)
	if !ok || age < 0 || age >= n.opts.timing.ElectionMin {
		return LeadershipConfirmation{}
	}
	return LeadershipConfirmation{OK: true, NewestVersion: n.state.cfg.Version, Age: age}
}

// LastReplyAt returns when a control host last replied to this leader. Of a host
// that has not replied yet, it returns when it became a peer or, if it led before
// this host, when it was last heard from as the leader. It returns false on a host
// that does not lead, and for a host that is no peer.
func (n *Node) LastReplyAt(host model.HostID) (model.Instant, bool) {
	if n.role != RoleLeader {
		return 0, false
	}
	p := n.leadership.peer(host)
	if p == nil || p.lastReplyAt == 0 {
		return 0, false
	}
	if host == n.lastLeader && !p.hasReplied {
		return n.leaderContactAt, true
	}
	return p.lastReplyAt, true
}
