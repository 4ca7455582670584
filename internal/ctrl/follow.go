package ctrl

import (
	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// acceptLeader makes this host a follower of the sender of a message. It
// returns false if the sender's term is over, in which case it replies with the
// newer term, or if this host leads that term itself.
func (n *Node) acceptLeader(from model.HostID, term model.Term, round uint64) bool {
	if term < n.term {
		n.sendAfterSync(from, proto.AppendReply{Term: n.term, Round: round, LearnerID: n.learnerID})
		return false
	}
	if n.role == RoleLeader && term == n.term {
		return false
	}
	n.becomeFollower(term, from)
	return true
}

// onAppend merges a leader's entries into the log, applies what is committed
// and replies how far the logs match.
func (n *Node) onAppend(from model.HostID, m proto.Append) {
	if !n.acceptLeader(from, m.Term, m.Round) {
		return
	}
	if !n.hasState || !n.matchesLog(m) {
		n.replyAppend(from, false, n.commitIndex, m.Round)
		return
	}
	if !n.mergeEntries(m.Entries) {
		return
	}
	match := m.PrevIndex + uint64(len(m.Entries))
	n.commitTo(min(m.CommitIndex, match))
	n.onAdmit(from, m.AdmittedLearnerID)
	n.replyAppend(from, true, match, m.Round)
}

// replyAppend replies to the leader, once the log is durable, whether this log
// matches the leader's log up to the index match. In a rejection, match is the commit index
// of this host, up to which the logs agree.
func (n *Node) replyAppend(to model.HostID, ok bool, match, round uint64) {
	n.sendAfterSync(to, proto.AppendReply{Term: n.term, OK: ok, MatchIndex: match, Round: round, LearnerID: n.learnerID})
}

// matchesLog reports whether this log holds the entry before the entries of the
// message. Entries that this host no longer holds were committed and therefore
// match.
func (n *Node) matchesLog(m proto.Append) bool {
	if m.PrevIndex < n.log.firstIndex {
		return m.PrevIndex+1 < n.log.firstIndex || m.PrevTerm == n.log.prevTerm
	}
	term, ok := n.log.term(m.PrevIndex)
	return ok && term == m.PrevTerm
}

// mergeEntries appends the new entries, after it has removed those of this log
// that conflict with them. It returns false if an entry conflicts with a
// committed one or leaves a gap.
func (n *Node) mergeEntries(entries []proto.LogEntry) bool {
	for _, e := range entries {
		term, ok := n.log.term(e.Index)
		switch {
		case e.Index < n.log.firstIndex, ok && term == e.Term:
			continue
		case ok && e.Index <= n.commitIndex:
			return false
		case ok:
			n.truncateFrom(e.Index)
		}
		if e.Index != n.log.lastIndex()+1 {
			return false
		}
		n.appendEntry(e)
	}
	return true
}

// onInstallSnapshot replaces the log by a snapshot. It keeps a log that already
// holds the last entry of the snapshot, since the entries after that one may
// have been acknowledged.
func (n *Node) onInstallSnapshot(from model.HostID, m proto.InstallSnapshot) {
	if !n.acceptLeader(from, m.Term, m.Round) {
		return
	}
	term, ok := n.log.term(m.LastIndex)
	held := n.hasState && (m.LastIndex <= n.commitIndex || ok && term == m.LastTerm)
	if held {
		n.commitTo(m.LastIndex)
		n.replyAppend(from, true, max(m.LastIndex, n.commitIndex), m.Round)
		return
	}
	if m.Offer != nil {
		n.receiveOffer(from, m)
		return
	}
	if err := n.replaceLog(Snapshot{Index: m.LastIndex, Term: m.LastTerm, Data: m.Data}); err != nil {
		n.replyAppend(from, false, n.commitIndex, m.Round)
		return
	}
	n.replyAppend(from, true, m.LastIndex, m.Round)
}

// replaceLog installs a snapshot in place of a log that does not hold the last
// entry of the snapshot. It fails if the snapshot cannot be decoded.
func (n *Node) replaceLog(s Snapshot) error {
	if err := n.installState(s); err != nil {
		return err
	}
	n.disk.pendingRecords = nil
	n.disk.syncedIndex = 0
	n.disk.entries, n.disk.truncateFrom = nil, 0
	n.disk.writeSnapshot = true
	n.emit(ConfigApplied{Config: n.state.cfg})
	return nil
}

// commitTo applies the entries up to an index that is known to be committed,
// and takes a snapshot if enough entries were applied since the last one.
func (n *Node) commitTo(index uint64) {
	n.commitIndex = max(n.commitIndex, min(index, n.log.lastIndex()))
	before := n.state.cfg.Version
	for n.appliedIndex < n.commitIndex {
		n.appliedIndex++
		n.applyEntry(n.log.entry(n.appliedIndex))
	}
	if n.state.cfg.Version != before {
		n.emit(ConfigApplied{Config: n.state.cfg})
	}
	if n.isSnapshotDue() {
		n.takeSnapshot()
	}
}
