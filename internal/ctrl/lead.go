package ctrl

import (
	"slices"
	"time"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

const (
	// maxAppend bounds the entries of one message, maxAppendBytes their estimated
	// length. With maxProposal they keep a message below the frame limit of 8 MiB.
	maxAppend      = 16
	maxAppendBytes = 1 << 20
	// probeEntries is the number of entries sent before it is known where the
	// follower's log agrees; usually the entry that starts the term is all it lacks.
	probeEntries = 1
	// maxRounds bounds the heartbeat rounds whose start is remembered. A round
	// older than ElectionMin confirms nothing.
	maxRounds = 64
	// snapshotResend is the interval at which a snapshot is sent again to a
	// follower that has not acknowledged it.
	snapshotResend = time.Second
)

// peer is what a leader knows of another control host.
type peer struct {
	id model.HostID
	// match is the last index known to be durable there, next the first to send.
	match uint64
	next  uint64
	// known is set once the follower accepted a message of this term.
	known bool
	// needSnapshot is set for a host without any state.
	needSnapshot bool
	snapshotSent model.Instant
	lastAck      model.Instant
	ackRound     uint64
	// learner is the number of a follower that does not count, or 0; barrier is
	// the entry it must hold to be admitted, markRound the first round that
	// began after the number was received.
	learner   uint64
	barrier   uint64
	markRound uint64
	// admitted is the learner number of the last admission.
	admitted uint64
	transit  transit
}

// roundStart is when a heartbeat round began.
type roundStart struct {
	round uint64
	at    model.Instant
}

// leadership is the state of a leader in its term.
type leadership struct {
	peers []*peer
	// first is the entry that started the term. Entries of earlier terms are
	// committed only through it, and reads are confirmed only after it.
	first        uint64
	round        uint64
	rounds       []roundStart
	heartbeatDue model.Instant
	stage        staging
}

func (l *leadership) startRound(now model.Instant) {
	l.round++
	l.rounds = append(l.rounds, roundStart{round: l.round, at: now})
	if len(l.rounds) > maxRounds {
		l.rounds = slices.Delete(l.rounds, 0, 1)
	}
}

func (l *leadership) startOf(round uint64) (model.Instant, bool) {
	for _, r := range l.rounds {
		if r.round == round {
			return r.at, true
		}
	}
	return 0, false
}

func (l *leadership) peer(id model.HostID) *peer {
	for _, p := range l.peers {
		if p.id == id {
			return p
		}
	}
	return nil
}

func (n *Node) becomeLeader() {
	n.role = RoleLeader
	n.votes = nil
	n.stopReceiving()
	n.lead = &leadership{first: n.log.last() + 1}
	n.setLeader(n.self)
	n.appendEntry(proto.LogEntry{Index: n.lead.first, Term: n.term})
	n.updatePeers()
	n.restage()
	n.heartbeat()
}

// endLeadership ends every waiting proposal as unknown: a later leader decides it.
func (n *Node) endLeadership() {
	if n.lead == nil {
		return
	}
	n.lead = nil
	n.endWaits()
}

// stepDown gives up the term without a successor.
func (n *Node) stepDown() {
	n.becomeFollower(n.term, "")
	n.resetElection()
}

// updatePeers follows a change of the control hosts and of those that are to join them.
func (n *Node) updatePeers() {
	var peers []*peer
	for _, id := range slices.Concat(n.tip.cfg.Controls, n.joining()) {
		if id == n.self || slices.ContainsFunc(peers, func(p *peer) bool { return p.id == id }) {
			continue
		}
		p := n.lead.peer(id)
		if p == nil {
			p = &peer{id: id, next: n.log.last(), lastAck: n.now}
		}
		peers = append(peers, p)
	}
	n.lead.peers = peers
}

func (n *Node) leadTick() {
	acked := n.majorityOf(int64(n.now), func(p *peer) int64 { return int64(p.lastAck) })
	if n.now.Sub(model.Instant(acked)) >= n.opt.timing.ElectionMin {
		n.stepDown()
		return
	}
	n.retryDeferred()
	if n.now >= n.lead.heartbeatDue {
		n.heartbeat()
	}
	n.stageTick()
}

// heartbeat starts a round and sends it to all, with what they lack and is not on its way to them.
func (n *Node) heartbeat() {
	n.lead.startRound(n.now)
	n.lead.heartbeatDue = n.now.Add(n.opt.timing.Heartbeat)
	for _, p := range n.lead.peers {
		n.replicate(p, true)
	}
}

// replicate sends a follower what it misses. Without a heartbeat it sends
// nothing to a follower that is up to date or being probed.
func (n *Node) replicate(p *peer, heartbeat bool) {
	acked := p.next - 1
	if p.known {
		acked = p.match
		if !p.transit.underway(n.now, acked) {
			p.next = p.match + 1
		}
	}
	prevTerm, ok := n.log.term(p.next - 1)
	if p.needSnapshot || !ok {
		n.sendSnapshot(p, heartbeat)
		return
	}
	limit := maxAppend
	if !p.known {
		limit = probeEntries
	}
	entries := n.log.batch(p.next, limit)
	if !p.known && p.transit.underway(n.now, acked) {
		entries = nil
	}
	if !heartbeat && len(entries) == 0 {
		return
	}
	if len(entries) > 0 {
		p.transit.sent(n.now, acked, entries[len(entries)-1].Index, n.lead.round)
	}
	n.sendAppend(p, p.next-1, prevTerm, entries)
	if p.known {
		p.next += uint64(len(entries))
	}
}

func (n *Node) sendAppend(p *peer, prev uint64, prevTerm model.Term, entries []proto.LogEntry) {
	admit := n.admission(p)
	n.send(p.id, proto.Append{
		Term:              n.term,
		PrevIndex:         prev,
		PrevTerm:          prevTerm,
		Entries:           entries,
		CommitIndex:       n.commit,
		Round:             n.lead.round,
		AdmittedLearnerID: admit,
	})
}

// sendSnapshot sends the snapshot at most once in each snapshotResend, and
// otherwise keeps the follower from standing for election.
func (n *Node) sendSnapshot(p *peer, heartbeat bool) {
	if p.snapshotSent == 0 || n.now.Sub(p.snapshotSent) >= snapshotResend {
		p.snapshotSent = n.now
		n.send(p.id, n.installMessage())
		return
	}
	if heartbeat {
		n.sendAppend(p, n.log.last(), n.log.lastTerm(), nil)
	}
}

func (n *Node) onAppendReply(from model.HostID, m proto.AppendReply) {
	if m.Term > n.term {
		n.becomeFollower(m.Term, "")
		return
	}
	if n.role != RoleLeader || m.Term < n.term {
		return
	}
	p := n.lead.peer(from)
	if p == nil || !n.trackLearner(p, m) {
		return
	}
	p.lastAck = n.now
	p.ackRound = max(p.ackRound, m.Round)
	n.noteMatch(p, m)
	n.advanceCommit()
	if n.role == RoleLeader {
		n.retryDeferred()
		n.replicateAll()
	}
}

func (n *Node) noteMatch(p *peer, m proto.AppendReply) {
	if m.OK {
		p.known, p.needSnapshot = true, false
		if m.MatchIndex > p.match {
			p.transit.wait, p.transit.at = resendFirst, n.now
		}
		p.match = max(p.match, m.MatchIndex)
		p.next = max(p.next, p.match+1)
		return
	}
	if m.LearnerID != 0 && m.MatchIndex == 0 {
		p.needSnapshot = !p.known
	}
	if p.transit.underway(n.now, p.match) && !p.transit.lost(m.Round) {
		return
	}
	p.transit = transit{}
	p.next = max(p.match, m.MatchIndex) + 1
}

// replicateAll sends new entries to the followers that lack them.
func (n *Node) replicateAll() {
	for _, p := range n.lead.peers {
		if p.known && p.next <= n.log.last() {
			n.replicate(p, false)
		}
	}
}

// majorityOf returns the greatest value that a majority of the control hosts
// reaches, where own is the value of this host. Learners count with 0.
func (n *Node) majorityOf(own int64, value func(*peer) int64) int64 {
	controls := n.tip.cfg.Controls
	values := make([]int64, 0, len(controls))
	for _, p := range n.lead.peers {
		if p.learner == 0 && slices.Contains(controls, p.id) {
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

// advanceCommit commits what a majority holds, once an entry of this term is among it.
func (n *Node) advanceCommit() {
	index := uint64(n.majorityOf(int64(n.disk.syncedIndex), func(p *peer) int64 { return int64(p.match) }))
	term, ok := n.log.term(index)
	if index <= n.commit || !ok || term != n.term {
		return
	}
	n.commitTo(index)
	n.afterCommit()
}

// afterCommit lets go what waited for a commit.
func (n *Node) afterCommit() {
	if !slices.Contains(n.state.cfg.Controls, n.self) {
		n.stepDown()
		return
	}
	n.updatePeers()
	n.retryDeferred()
	n.restage()
	n.settle()
	n.replicateAll()
}

// ConfirmLeadership reports the newest version if a majority acknowledged a heartbeat
// round of this leader: no other leader can have accepted a newer one before that round.
func (n *Node) ConfirmLeadership(now model.Instant) LeadershipConfirmation {
	if n.role != RoleLeader || n.commit < n.lead.first {
		return LeadershipConfirmation{}
	}
	round := n.majorityOf(int64(n.lead.round), func(p *peer) int64 { return int64(p.ackRound) })
	start, ok := n.lead.startOf(uint64(round))
	age := now.Sub(start)
	if !ok || age < 0 || age >= n.opt.timing.ElectionMin {
		return LeadershipConfirmation{}
	}
	return LeadershipConfirmation{OK: true, NewestVersion: n.state.cfg.Version, Age: age}
}

// LastReplyAt returns when a control host last answered this leader, and false if it has not in this term.
func (n *Node) LastReplyAt(host model.HostID) (model.Instant, bool) {
	if n.role != RoleLeader {
		return 0, false
	}
	p := n.lead.peer(host)
	if p == nil || p.lastAck == 0 {
		return 0, false
	}
	return p.lastAck, true
}
