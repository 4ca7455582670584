package ctrl

import (
	"slices"

	"tarragongauge.example/tarragongauge/internal/codec"
	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// A host that starts without state does not know what it promised before its
// disk was lost. It draws a random learner number and neither votes nor counts
// in a majority until one of two things happens:
//
// Admission. On the first reply with a new learner number the leader appends a
// barrier entry. Once a majority without the learner holds the barrier, and
// the learner holds it too, the leader echoes the number in Admit. A candidate
// that could still use a vote given before the loss needs a voter that holds
// the barrier, so its own log has to hold the barrier; but then it asked for
// votes after the loss. The learner adopts the leader's term as already voted.
//
// Creation. Every control host of the initial lists answers a query with the
// learner number that its own log is empty. A host that created itself goes on
// answering so until it holds an entry, because otherwise the first host to
// finish would stop the others. The new host starts one term above all answers,
// beyond every term in which it can have voted before.

// creation collects the answers of the other hosts of the initial lists.
type creation struct {
	empty   []model.HostID
	highest model.Term
}

// askCreation asks every other host of the initial lists whether the fleet exists.
func (n *Node) askCreation() {
	if n.hasBase || n.heardFleet() || !slices.Contains(n.opt.controls, n.self) {
		return
	}
	n.tryCreate()
	for _, id := range n.opt.controls {
		if id == n.self || n.learner == 0 {
			continue
		}
		n.sendSynced(id, proto.VoteAsk{PreVote: true, Nonce: n.learner, BootstrapDigest: n.opt.bootstrapDigest()})
	}
}

func (n *Node) answerCreation(from model.HostID, m proto.VoteAsk) {
	n.sendSynced(from, proto.VoteReply{
		Term:     n.term,
		PreVote:  true,
		Nonce:    m.Nonce,
		LogEmpty: n.log.last() == 0 && !n.heardFleet() && m.BootstrapDigest == n.opt.bootstrapDigest(),
	})
}

// heardFleet reports whether a host without state learned of a term, which
// only an existing fleet can have told it.
func (n *Node) heardFleet() bool { return n.learner != 0 && n.term > 0 }

func (n *Node) onCreationReply(from model.HostID, m proto.VoteReply) {
	if n.learner == 0 || m.Nonce != n.learner || n.hasBase || n.heardFleet() {
		return
	}
	if !m.LogEmpty {
		n.creation = creation{}
		return
	}
	n.creation.highest = max(n.creation.highest, m.Term)
	if !slices.Contains(n.creation.empty, from) {
		n.creation.empty = append(n.creation.empty, from)
	}
	n.tryCreate()
}

// tryCreate starts the fleet with version 0 if every host of the initial lists is empty.
func (n *Node) tryCreate() {
	for _, id := range n.opt.controls {
		if id != n.self && !slices.Contains(n.creation.empty, id) {
			return
		}
	}
	data, err := codec.EncodeControlState(codec.ControlState{Config: model.NewConfig(n.opt.controls, n.opt.seats)})
	if err != nil {
		return
	}
	if err := n.install(Snapshot{Data: data}); err != nil {
		return
	}
	n.learner = 0
	n.term = max(n.term, n.creation.highest) + 1
	n.votedFor = ""
	n.disk.dirty = true
	n.disk.snapshot = true
	n.emit(ConfigApplied{Config: n.state.cfg})
}

// onAdmit ends the learning of this host. The vote of the term goes to the
// leader that admits it.
func (n *Node) onAdmit(leader model.HostID, number uint64) {
	if n.learner == 0 || number != n.learner {
		return
	}
	n.learner = 0
	n.votedFor = leader
	n.disk.dirty = true
}

// trackLearner notes whether a follower may count, and returns false for a
// reply that an earlier life of the follower may have sent.
func (n *Node) trackLearner(p *peer, m proto.AppendReply) bool {
	if m.LearnerID == 0 {
		return n.trackVoter(p, m)
	}
	if m.LearnerID == p.admitted {
		return false
	}
	if m.LearnerID != p.learner {
		p.learner = m.LearnerID
		p.match, p.known, p.next = 0, false, n.log.last()+1
		n.lead.startRound(n.now)
		p.markRound = n.lead.round
		p.barrier = n.log.last() + 1
		n.appendEntry(proto.LogEntry{Index: p.barrier, Term: n.term})
	}
	return true
}

// trackVoter accepts a voter's reply to a round that began after the mark:
// only the life that sent the learner number, or a later one, can have
// answered it. Such a reply ends the mark even if this leader did not admit
// the host, since the learner number may have been delayed past an admission.
func (n *Node) trackVoter(p *peer, m proto.AppendReply) bool {
	if p.learner == 0 {
		return true
	}
	if m.Round < p.markRound {
		return false
	}
	p.admitted = p.learner
	p.learner = 0
	return true
}

// admission returns the number to echo to a learner that may count again, or 0.
func (n *Node) admission(p *peer) uint64 {
	if p.learner == 0 || n.commit < p.barrier || p.match < p.barrier {
		return 0
	}
	return p.learner
}
