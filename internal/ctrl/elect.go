package ctrl

import (
	"slices"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// becomeFollower makes this host a follower in a term. The leader is empty if
// it is not known.
func (n *Node) becomeFollower(term model.Term, leader model.HostID) {
	n.endLeadership()
	n.role = RoleFollower
	n.votes = nil
	if term > n.term {
		n.term = term
		n.votedFor = ""
		n.disk.hardStateChanged = true
		n.setLeader("")
	}
	if leader != "" {
		n.leaderContactAt, n.lastLeader = n.now, leader
		n.resetElectionTimer()
	}
	n.setLeader(leader)
}

// startPreVote asks the other control hosts whether an election could succeed.
// It does not start a new term, so that a host that was isolated does not
// depose a working leader.
func (n *Node) startPreVote() {
	n.role = RolePreCandidate
	n.setLeader("")
	n.requestVotes(proto.VoteAsk{Term: n.term + 1, PreVote: true})
}

// startElection starts a new term, votes for this host and asks the others for
// their votes.
func (n *Node) startElection() {
	n.role = RoleCandidate
	n.term++
	n.votedFor = n.self
	n.disk.hardStateChanged = true
	n.resetElectionTimer()
	n.requestVotes(proto.VoteAsk{Term: n.term})
}

// requestVotes counts this host's own vote and asks the other control hosts for
// theirs.
func (n *Node) requestVotes(ask proto.VoteAsk) {
	ask.LastIndex, ask.LastTerm = n.log.lastIndex(), n.log.lastTerm()
	n.votes = []model.HostID{n.self}
	for _, id := range n.latest.cfg.Controls {
		if id != n.self {
			n.sendAfterSync(id, ask)
		}
	}
	n.countVotes()
}

// countVotes ends the pre-vote or the election if a majority of the control
// hosts has granted its vote.
func (n *Node) countVotes() {
	controls := n.latest.cfg.Controls
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
		n.startElection()
		return
	}
	n.becomeLeader()
}

// onVoteAsk handles a request for a vote or a pre-vote. A request with a nonce
// is a creation query instead; see learner.go.
func (n *Node) onVoteAsk(from model.HostID, m proto.VoteAsk) {
	switch {
	case m.Nonce != 0:
		n.answerCreationQuery(from, m)
	case n.learnerID != 0:
		// A learner does not know its votes from before it lost its disk, so it could vote twice in a term.
	case n.hasLiveLeader():
		n.refuseVote(from, m)
	case m.PreVote:
		n.answerPreVote(from, m)
	default:
		n.answerVote(from, m)
	}
}

// hasLiveLeader reports whether this host leads, or heard from its leader too
// recently for that leader to have lost its majority.
func (n *Node) hasLiveLeader() bool {
	if n.role == RoleLeader {
		return true
	}
	return n.leader != "" && n.now.Sub(n.leaderContactAt) < n.opts.timing.ElectionMin
}

// refuseVote answers a request for a vote or a pre-vote with a refusal.
func (n *Node) refuseVote(from model.HostID, m proto.VoteAsk) {
	n.sendAfterSync(from, proto.VoteReply{Term: n.term, PreVote: m.PreVote})
}

// answerPreVote grants a pre-vote to a candidate of a later term whose log is
// up to date. A pre-vote is no promise, so several candidates may get one.
func (n *Node) answerPreVote(from model.HostID, m proto.VoteAsk) {
	if m.Term <= n.term || !n.upToDate(m) {
		n.refuseVote(from, m)
		return
	}
	n.sendAfterSync(from, proto.VoteReply{Term: m.Term, Granted: true, PreVote: true})
}

// answerVote grants the vote of a term to the first candidate that asks for it
// with an up-to-date log.
func (n *Node) answerVote(from model.HostID, m proto.VoteAsk) {
	if m.Term > n.term {
		n.becomeFollower(m.Term, "")
	}
	canVote := n.votedFor == "" || n.votedFor == from
	if m.Term < n.term || !canVote || !n.upToDate(m) {
		n.refuseVote(from, m)
		return
	}
	if n.votedFor == "" {
		n.votedFor = from
		n.disk.hardStateChanged = true
	}
	n.resetElectionTimer()
	n.sendAfterSync(from, proto.VoteReply{Term: n.term, Granted: true})
}

// upToDate reports whether the candidate's log holds every entry that this host
// may have acknowledged.
func (n *Node) upToDate(m proto.VoteAsk) bool {
	if m.LastTerm != n.log.lastTerm() {
		return m.LastTerm > n.log.lastTerm()
	}
	return m.LastIndex >= n.log.lastIndex()
}

// onVoteReply counts a granted vote of the current election. A refusal from a
// later term makes this host a follower in that term. A learner handles only
// the replies to its creation queries.
func (n *Node) onVoteReply(from model.HostID, m proto.VoteReply) {
	switch {
	case m.Nonce != 0:
		n.onCreationReply(from, m)
	case n.learnerID != 0:
	case m.Granted && n.isCurrentElection(m):
		if !slices.Contains(n.votes, from) {
			n.votes = append(n.votes, from)
		}
		n.countVotes()
	case !m.Granted && m.Term > n.term:
		n.becomeFollower(m.Term, "")
	}
}

// isCurrentElection reports whether a granted vote belongs to the pre-vote or
// election that this host is holding.
func (n *Node) isCurrentElection(m proto.VoteReply) bool {
	if m.PreVote {
		return n.role == RolePreCandidate && m.Term == n.term+1
	}
	return n.role == RoleCandidate && m.Term == n.term
}
