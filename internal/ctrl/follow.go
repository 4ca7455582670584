package ctrl

import (
	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// acceptLeader adopts the sender of a message as the leader of its term, and
// returns false if the term is over.
func (n *Node) acceptLeader(from model.HostID, term model.Term, round uint64) bool {
	if term < n.term {
		n.sendSynced(from, proto.AppendReply{Term: n.term, Round: round, LearnerID: n.learner})
		return false
	}
	if n.role == RoleLeader && term == n.term {
		return false
	}
	n.becomeFollower(term, from)
	return true
}

func (n *Node) onAppend(from model.HostID, m proto.Append) {
	if !n.acceptLeader(from, m.Term, m.Round) {
		return
	}
	if !n.hasBase || !n.follows(m) {
		n.replyAppend(from, false, n.commit, m.Round)
		return
	}
	if !n.merge(m.Entries) {
		return
	}
	match := m.PrevIndex + uint64(len(m.Entries))
	n.commitTo(min(m.CommitIndex, match))
	n.onAdmit(from, m.AdmittedLearnerID)
	n.replyAppend(from, true, match, m.Round)
}

func (n *Node) replyAppend(to model.HostID, ok bool, match, round uint64) {
	n.sendSynced(to, proto.AppendReply{Term: n.term, OK: ok, MatchIndex: match, Round: round, LearnerID: n.learner})
}

// follows reports whether the entry before the message's entries is in this
// log. Entries that this host no longer holds were committed.
func (n *Node) follows(m proto.Append) bool {
	if m.PrevIndex < n.log.first {
		return m.PrevIndex+1 < n.log.first || m.PrevTerm == n.log.prevTerm
	}
	term, ok := n.log.term(m.PrevIndex)
	return ok && term == m.PrevTerm
}

// merge appends the entries that are new and removes those that conflict. It
// returns false if the message contradicts what is committed or itself.
func (n *Node) merge(entries []proto.LogEntry) bool {
	for _, e := range entries {
		term, ok := n.log.term(e.Index)
		switch {
		case e.Index < n.log.first, ok && term == e.Term:
			continue
		case ok && e.Index <= n.commit:
			return false
		case ok:
			n.truncateFrom(e.Index)
		}
		if e.Index != n.log.last()+1 {
			return false
		}
		n.appendEntry(e)
	}
	return true
}

// onInstallSnapshot replaces the log unless it holds the snapshot's last
// entry already: entries after that may have been acknowledged.
func (n *Node) onInstallSnapshot(from model.HostID, m proto.InstallSnapshot) {
	if !n.acceptLeader(from, m.Term, m.Round) {
		return
	}
	term, ok := n.log.term(m.LastIndex)
	held := n.hasBase && (m.LastIndex <= n.commit || ok && term == m.LastTerm)
	if held {
		n.commitTo(m.LastIndex)
		n.replyAppend(from, true, max(m.LastIndex, n.commit), m.Round)
		return
	}
	if m.Offer != nil {
		n.receiveParts(from, m)
		return
	}
	if err := n.replaceLog(Snapshot{Index: m.LastIndex, Term: m.LastTerm, Data: m.Data}); err != nil {
		n.replyAppend(from, false, n.commit, m.Round)
		return
	}
	n.replyAppend(from, true, m.LastIndex, m.Round)
}

// replaceLog installs a snapshot in place of a log that does not hold its last entry.
func (n *Node) replaceLog(s Snapshot) error {
	if err := n.install(s); err != nil {
		return err
	}
	n.disk.marks = nil
	n.disk.syncedIndex = 0
	n.disk.entries, n.disk.truncateFrom = nil, 0
	n.disk.snapshot = true
	n.emit(ConfigApplied{Config: n.state.cfg})
	return nil
}

// commitTo applies the entries up to an index that is known to be committed.
func (n *Node) commitTo(index uint64) {
	n.commit = max(n.commit, min(index, n.log.last()))
	before := n.state.cfg.Version
	for n.applied < n.commit {
		n.applied++
		n.applyEntry(n.log.at(n.applied))
	}
	if n.state.cfg.Version != before {
		n.emit(ConfigApplied{Config: n.state.cfg})
	}
	if n.applied-n.snapshot.Index >= n.opt.snapshotEvery {
		n.takeSnapshot()
	}
}
