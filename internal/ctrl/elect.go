package ctrl

import (
	"slices"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// becomeFollower adopts a term and, if known, its leader.
func (n *Node) becomeFollower(term model.Term, leader model.HostID) {
	n.endLeadership()
	n.role = RoleFollower
	n.votes = nil
	if term > n.term {
		n.term = term
		n.votedFor = ""
		n.disk.dirty = true
		n.setLeader("")
	}
	if leader != "" {
		n.heardLeader = n.now
		n.resetElection()
	}
	n.setLeader(leader)
}

// preCampaign asks whether an election could succeed, without a new term, so
// that a host that was isolated does not depose a working leader.
func (n *Node) preCampaign() {
	n.role = RolePreCandidate
	n.setLeader("")
	n.collectVotes(proto.VoteAsk{Term: n.term + 1, PreVote: true})
}

func (n *Node) campaign() {
	n.role = RoleCandidate
	n.term++
	n.votedFor = n.self
	n.disk.dirty = true
	n.resetElection()
	n.collectVotes(proto.VoteAsk{Term: n.term})
}

// collectVotes starts with this host's own vote and asks the others.
func (n *Node) collectVotes(ask proto.VoteAsk) {
	ask.LastIndex, ask.LastTerm = n.log.last(), n.log.lastTerm()
	n.votes = []model.HostID{n.self}
	for _, id := range n.tip.cfg.Controls {
		if id != n.self {
			n.sendSynced(id, ask)
		}
	}
	n.countVotes()
}

func (n *Node) countVotes() {
	controls := n.tip.cfg.Controls
	votes := 0
	for _, id := range controls {
		if slices.Contains(n.votes, id) {
			votes++
		}
	}
	if votes < model.Majority(len(controls)) {
		return
	}
	if n.role == RolePreCandidate {
		n.campaign()
		return
	}
	n.becomeLeader()
}

func (n *Node) onVoteAsk(from model.HostID, m proto.VoteAsk) {
	switch {
	case m.Nonce != 0:
		n.answerCreation(from, m)
	case n.learner != 0:
		// The vote of a host that does not remember its earlier votes would be a second one.
	case n.hearsLeader():
		n.refuseVote(from, m)
	case m.PreVote:
		n.answerPreVote(from, m)
	default:
		n.answerVote(from, m)
	}
}

// hearsLeader reports whether this host leads, or heard its leader too
// recently for that leader to have lost its majority.
func (n *Node) hearsLeader() bool {
	if n.role == RoleLeader {
		return true
	}
	return n.leader != "" && n.now.Sub(n.heardLeader) < n.opt.timing.ElectionMin
}

func (n *Node) refuseVote(from model.HostID, m proto.VoteAsk) {
	n.sendSynced(from, proto.VoteReply{Term: n.term, PreVote: m.PreVote})
}

func (n *Node) answerPreVote(from model.HostID, m proto.VoteAsk) {
	if m.Term <= n.term || !n.upToDate(m) {
		n.refuseVote(from, m)
		return
	}
	n.sendSynced(from, proto.VoteReply{Term: m.Term, Granted: true, PreVote: true})
}

func (n *Node) answerVote(from model.HostID, m proto.VoteAsk) {
	if m.Term > n.term {
		n.becomeFollower(m.Term, "")
	}
	free := n.votedFor == "" || n.votedFor == from
	if m.Term < n.term || !free || !n.upToDate(m) {
		n.refuseVote(from, m)
		return
	}
	if n.votedFor == "" {
		n.votedFor = from
		n.disk.dirty = true
	}
	n.resetElection()
	n.sendSynced(from, proto.VoteReply{Term: n.term, Granted: true})
}

// upToDate reports whether the candidate's log holds every entry this host may have acknowledged.
func (n *Node) upToDate(m proto.VoteAsk) bool {
	if m.LastTerm != n.log.lastTerm() {
		return m.LastTerm > n.log.lastTerm()
	}
	return m.LastIndex >= n.log.last()
}

func (n *Node) onVoteReply(from model.HostID, m proto.VoteReply) {
	switch {
	case m.Nonce != 0:
		n.onCreationReply(from, m)
	case n.learner != 0:
	case m.Granted && n.awaits(m):
		if !slices.Contains(n.votes, from) {
			n.votes = append(n.votes, from)
		}
		n.countVotes()
	case !m.Granted && m.Term > n.term:
		n.becomeFollower(m.Term, "")
	}
}

// awaits reports whether a granted vote belongs to the running election.
func (n *Node) awaits(m proto.VoteReply) bool {
	if m.PreVote {
		return n.role == RolePreCandidate && m.Term == n.term+1
	}
	return n.role == RoleCandidate && m.Term == n.term
}
