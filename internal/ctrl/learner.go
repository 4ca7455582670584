package ctrl

import (
	"slices"

	"tarragongauge.example/tarragongauge/internal/codec"
	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// A host that starts without state does not know which votes and
// acknowledgements it gave before its disk was lost. It draws a random learner
// ID and neither votes nor counts in a majority until one of two things happens:
//
// Admission. On the first reply with a new learner ID the leader appends a
// barrier entry. Once a majority without the learner holds the barrier, and
// the learner holds it too, the leader echoes the ID in
// Append.AdmittedLearnerID. This is safe: a candidate that could still use a vote
// given before the loss needs the vote of a host that holds the barrier, so its
// own log has to hold the barrier; but then it asked for votes after the loss. In
// the term of its admission the learner counts as having voted for the leader.
//
// Creation. Every other host of the initial lists answers a creation query,
// which carries the learner ID, that its own log is empty. A host that has
// created the fleet keeps giving this answer until its log holds an entry,
// because otherwise the first host to finish would stop the others. The new
// host starts one term above all answers, beyond every term in which it can
// have voted before.

// creation holds the answers to the creation queries of a host without state:
// the hosts whose log is empty, and the highest term among them.
type creation struct {
	emptyHosts []model.HostID
	maxTerm    model.Term
}

// sendCreationQueries asks every other host of the initial lists whether its
// log is empty. A host that knows of an existing fleet waits for the leader
// instead.
func (n *Node) sendCreationQueries() {
	if n.hasState || n.knowsExistingFleet() || !slices.Contains(n.opts.controls, n.self) {
		return
	}
	n.tryCreateFleet()
	for _, id := range n.opts.controls {
		if id == n.self || n.learnerID == 0 {
			continue
		}
		n.sendAfterSync(id, proto.VoteAsk{PreVote: true, Nonce: n.learnerID, BootstrapDigest: n.opts.bootstrapDigest()})
	}
}

// answerCreationQuery replies whether this host's log is empty and the other host
// was set up with the same initial lists.
func (n *Node) answerCreationQuery(from model.HostID, m proto.VoteAsk) {
	n.sendAfterSync(from, proto.VoteReply{
		Term:     n.term,
		PreVote:  true,
		Nonce:    m.Nonce,
		LogEmpty: n.log.lastIndex() == 0 && !n.knowsExistingFleet() && m.BootstrapDigest == n.opts.bootstrapDigest(),
	})
}

// knowsExistingFleet reports whether a host without state has learned of a
// term, which only an existing fleet can have sent.
func (n *Node) knowsExistingFleet() bool { return n.learnerID != 0 && n.term > 0 }

// onCreationReply counts a host whose log is empty. If the log is not empty,
// all earlier answers are dropped.
func (n *Node) onCreationReply(from model.HostID, m proto.VoteReply) {
	if n.learnerID == 0 || m.Nonce != n.learnerID || n.hasState || n.knowsExistingFleet() {
		return
	}
	if !m.LogEmpty {
		n.creation = creation{}
		return
	}
	n.creation.maxTerm = max(n.creation.maxTerm, m.Term)
	if !slices.Contains(n.creation.emptyHosts, from) {
		n.creation.emptyHosts = append(n.creation.emptyHosts, from)
	}
	n.tryCreateFleet()
}

// tryCreateFleet creates the fleet with version 0 if all other hosts of the
// initial lists have answered that their logs are empty.
func (n *Node) tryCreateFleet() {
	for _, id := range n.opts.controls {
		if id != n.self && !slices.Contains(n.creation.emptyHosts, id) {
			return
		}
	}
	data, err := codec.EncodeControlState(codec.ControlState{Config: model.NewConfig(n.opts.controls, n.opts.seats)})
	if err != nil {
		return
	}
	if err := n.installState(Snapshot{Data: data}); err != nil {
		return
	}
	n.learnerID = 0
	n.term = max(n.term, n.creation.maxTerm) + 1
	n.votedFor = ""
	n.disk.hardStateChanged = true
	n.disk.writeSnapshot = true
	n.emit(ConfigApplied{Config: n.state.cfg})
}

// onAdmit makes a learner a voter when the leader echoes its learner ID. The
// learner's vote in the current term goes to that leader.
func (n *Node) onAdmit(leader model.HostID, id uint64) {
	if n.learnerID == 0 || id != n.learnerID {
		return
	}
	n.learnerID = 0
	n.votedFor = leader
	n.disk.hardStateChanged = true
}

// checkReply records which learner ID a follower has, and appends a barrier
// entry for a new one. It returns false for a reply that the follower may have
// sent before it lost its disk.
func (n *Node) checkReply(p *peer, m proto.AppendReply) bool {
	if m.LearnerID == 0 {
		return n.checkVoterReply(p, m)
	}
	if m.LearnerID == p.admittedLearnerID {
		return false
	}
	if m.LearnerID != p.learnerID {
		p.learnerID = m.LearnerID
		p.matchIndex, p.matchKnown, p.nextIndex = 0, false, n.log.lastIndex()+1
		n.leadership.startRound(n.now)
		p.minVoterRound = n.leadership.round
		p.barrierIndex = n.log.lastIndex() + 1
		n.appendEntry(proto.LogEntry{Index: p.barrierIndex, Term: n.term})
	}
	return true
}

// checkVoterReply accepts the reply of a voter. If this leader knows the host
// as a learner, the reply must be to a round from minVoterRound on: only the
// process that sent the learner ID, or a later one of the same host, can have
// answered that. Such a reply makes the host count again even if this leader
// did not admit it, since the message with the learner ID may have been delayed
// until after an admission.
func (n *Node) checkVoterReply(p *peer, m proto.AppendReply) bool {
	if p.learnerID == 0 {
		return true
	}
	if m.Round < p.minVoterRound {
		return false
	}
	p.admittedLearnerID = p.learnerID
	p.learnerID = 0
	return true
}

// admitID returns the learner ID to echo to a follower that may count again, or
// 0.
func (n *Node) admitID(p *peer) uint64 {
	if p.learnerID == 0 || n.commitIndex < p.barrierIndex || p.matchIndex < p.barrierIndex {
		return 0
	}
	return p.learnerID
}
