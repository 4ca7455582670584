package ctrl

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tarragongauge.example/tarragongauge/internal/codec"
	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// harness runs control host c0 of three, with a disk that syncs at once. The
// test sends the messages of the other hosts and the seats.
type harness struct {
	t    require.TestingT
	node *Node
	now  model.Instant
}

// newHarness returns a harness whose host has the given entries after an empty
// snapshot of term 1.
func newHarness(t require.TestingT, entries ...proto.LogEntry) *harness {
	cfg := model.NewConfig([]model.HostID{"c0", "c1", "c2"}, []model.HostID{"s0", "s1", "s2"})
	data, err := codec.EncodeControlState(codec.ControlState{Config: cfg})
	require.NoError(t, err)
	n, err := New("c0", RecoveredState{Term: 1, Snapshot: &Snapshot{Data: data}, Entries: entries})
	require.NoError(t, err)
	return &harness{t: t, node: n, now: model.Instant(time.Hour)}
}

// step passes an event to the host, makes its records durable at once, and
// returns all effects.
func (h *harness) step(ev Event) []Effect {
	all := h.node.Step(h.now, ev)
	for _, e := range all {
		if p, ok := e.(Persist); ok {
			all = append(all, h.step(Persisted{Seq: p.Seq})...)
		}
	}
	return all
}

// receive delivers a message to the host.
func (h *harness) receive(from model.HostID, m proto.Message) []Effect {
	return h.step(Received{From: from, Msg: m})
}

// advance moves the time forward by d and sends the host a Tick.
func (h *harness) advance(d time.Duration) []Effect {
	h.now = h.now.Add(d)
	return h.step(Tick{})
}

// becomeLeader has the host elected by the vote of c1.
func (h *harness) becomeLeader() {
	h.advance(0)
	h.advance(2 * time.Second)
	h.receive("c1", proto.VoteReply{Term: h.node.term + 1, Granted: true, PreVote: true})
	h.receive("c1", proto.VoteReply{Term: h.node.term, Granted: true})
	require.Equal(h.t, RoleLeader, h.node.role)
}

// ackAppend delivers a reply to the newest heartbeat round, with which a host
// acknowledges the log up to match.
func (h *harness) ackAppend(from model.HostID, match, learner uint64) []Effect {
	return h.receive(from, proto.AppendReply{Term: h.node.term, OK: true, MatchIndex: match, Round: h.node.leadership.round, LearnerID: learner})
}

// propose submits a change that is based on the latest version.
func (h *harness) propose(id string, ch model.Change) []Effect {
	return h.step(Proposed{Proposal: model.Proposal{ID: model.ChangeID(id), Base: h.node.latest.cfg.Version, Change: ch}})
}

// sentTo returns the messages of type M among the effects that go to a host.
func sentTo[M proto.Message](effects []Effect, to model.HostID) []M {
	var list []M
	for _, e := range effects {
		if s, ok := e.(Send); ok && s.To == to {
			if m, ok := s.Msg.(M); ok {
				list = append(list, m)
			}
		}
	}
	return list
}

// TestLearnerCountsOnlyAfterBarrier guards against counting a host that lost
// its disk. Before the loss it may have voted for a candidate that does not
// hold the entry that it acknowledges now.
func TestLearnerCountsOnlyAfterBarrier(t *testing.T) {
	h := newHarness(t)
	h.becomeLeader()
	early := h.node.leadership.round
	h.ackAppend("c1", 1, 7)
	barrier := h.node.log.lastIndex()
	require.Equal(t, uint64(2), barrier)
	h.ackAppend("c1", barrier, 7)
	require.Zero(t, h.node.commitIndex, "a learner completed a majority")
	for _, a := range sentTo[proto.Append](h.advance(100*time.Millisecond), "c1") {
		require.Zero(t, a.AdmittedLearnerID, "admitted before the barrier is committed")
	}
	h.ackAppend("c2", barrier, 0)
	require.Equal(t, barrier, h.node.commitIndex)
	admits := sentTo[proto.Append](h.advance(100*time.Millisecond), "c1")
	require.Equal(t, uint64(7), admits[len(admits)-1].AdmittedLearnerID)

	h.propose("a", model.CreateWorkspace{Workspace: "a"})
	late := proto.AppendReply{Term: h.node.term, OK: true, MatchIndex: barrier + 1, Round: early}
	h.receive("c1", late)
	require.Equal(t, barrier, h.node.commitIndex, "a reply from before the loss counted")
	h.ackAppend("c1", barrier+1, 0)
	require.Equal(t, barrier+1, h.node.commitIndex)
}

// TestVoterCountsAfterDelayedLearnerID guards against ignoring a voter for the
// rest of a term because the message with its learner ID was delayed until
// after its admission. Seed 107189 of TestSchedules showed this with a host
// that was removed and added again.
func TestVoterCountsAfterDelayedLearnerID(t *testing.T) {
	h := newHarness(t)
	h.becomeLeader()
	h.ackAppend("c1", 1, 7)
	h.advance(100 * time.Millisecond)
	h.ackAppend("c1", 2, 0)
	require.Equal(t, uint64(2), h.node.commitIndex)
}

// TestExpiredSeatAcknowledgementIsNotCounted guards against accepting a version
// by the acknowledgement of a seat that has restarted since and may have
// relearned an older version.
func TestExpiredSeatAcknowledgementIsNotCounted(t *testing.T) {
	h := newHarness(t)
	h.becomeLeader()
	h.ackAppend("c1", 1, 0)
	h.propose("a", model.CreateWorkspace{Workspace: "a"})
	stage := sentTo[proto.SeatStage](h.ackAppend("c1", 2, 0), "s0")
	reply := proto.SeatStageReply{Term: h.node.term, HeldVersion: 2, Incarnation: 1, Round: stage[len(stage)-1].Round}
	h.receive("s0", reply)
	var newest proto.SeatStage
	for range 12 {
		h.ackAppend("c1", 2, 0)
		if s := sentTo[proto.SeatStage](h.advance(100*time.Millisecond), "s1"); len(s) > 0 {
			newest = s[len(s)-1]
		}
	}
	reply.Round = newest.Round
	h.receive("s1", reply)
	require.Zero(t, h.node.acceptedVersion, "an expired acknowledgement counted")
	h.receive("s0", reply)
	require.Equal(t, model.Version(2), h.node.acceptedVersion)
	_, known := h.node.AcceptedAt(2)
	require.True(t, known)
}

// TestEntryOfEarlierTermIsNotCommittedByCounting guards against committing an
// entry of an earlier term because a majority holds it. A leader without that
// entry could still overwrite it.
func TestEntryOfEarlierTermIsNotCommittedByCounting(t *testing.T) {
	p := model.Proposal{ID: "a", Change: model.CreateWorkspace{Workspace: "a"}}
	h := newHarness(t, proto.LogEntry{Index: 1, Term: 1, Proposal: &p})
	h.becomeLeader()
	h.ackAppend("c1", 1, 0)
	require.Zero(t, h.node.commitIndex)
	h.ackAppend("c1", 2, 0)
	require.Equal(t, uint64(2), h.node.commitIndex)
}

// TestDelayedSnapshotKeepsAcknowledgedEntries guards against a snapshot that
// arrives late and removes entries which this host has acknowledged.
func TestDelayedSnapshotKeepsAcknowledgedEntries(t *testing.T) {
	h := newHarness(t)
	data := h.node.snapshot.Data
	entries := []proto.LogEntry{{Index: 1, Term: 2}, {Index: 2, Term: 2}, {Index: 3, Term: 2}}
	h.receive("c1", proto.Append{Term: 2, Entries: entries, CommitIndex: 1, Round: 1})
	h.receive("c1", proto.InstallSnapshot{Term: 2, LastIndex: 2, LastTerm: 2, Data: data, Round: 1})
	require.Equal(t, uint64(3), h.node.log.lastIndex())
	require.Equal(t, uint64(2), h.node.commitIndex)
}

// TestChangesOfControlHostsDoNotOverlap guards against two changes of the
// control hosts whose majorities have no host in common, and against adding a
// host that does not hold the log yet.
func TestChangesOfControlHostsDoNotOverlap(t *testing.T) {
	h := newHarness(t)
	h.becomeLeader()
	h.propose("a", model.SetControls{Controls: []model.HostID{"c0", "c1"}})
	require.Equal(t, uint64(1), h.node.log.lastIndex(), "appended before an entry of the term is committed")
	h.ackAppend("c1", 1, 0)
	require.Equal(t, uint64(1), h.node.log.lastIndex(), "appended before the new hosts confirmed their disks")
	h.ackAppend("c1", 1, 0)
	require.Equal(t, uint64(2), h.node.log.lastIndex())
	h.propose("b", model.SetControls{Controls: []model.HostID{"c0", "c1", "c3"}})
	require.Equal(t, uint64(2), h.node.log.lastIndex(), "appended while an earlier change is not committed")
	h.ackAppend("c1", 2, 0)
	require.Equal(t, uint64(2), h.node.log.lastIndex(), "appended before the new host holds the log")
	h.ackAppend("c3", 2, 0)
	require.Equal(t, uint64(2), h.node.log.lastIndex(), "appended before the new hosts confirmed their disks")
	h.ackAppend("c3", 2, 0)
	require.Equal(t, []model.HostID{"c0", "c1", "c3"}, h.node.latest.cfg.Controls)
}

// TestRemovalNeedsMajorityWithIntactDisks guards against a removal that leaves
// the control hosts without a majority because a disk was lost shortly before.
// A reply from before the removal was submitted does not show that the disk is
// still intact.
func TestRemovalNeedsMajorityWithIntactDisks(t *testing.T) {
	h := newHarness(t)
	h.becomeLeader()
	h.ackAppend("c1", 1, 0)
	h.ackAppend("c2", 1, 0)
	round := h.node.leadership.round
	h.propose("a", model.SetControls{Controls: []model.HostID{"c0", "c2"}})
	require.Equal(t, uint64(1), h.node.log.lastIndex())
	require.Greater(t, h.node.leadership.round, round, "the leader asks at once")
	h.receive("c2", proto.AppendReply{Term: h.node.term, OK: true, MatchIndex: 1, Round: round})
	require.Equal(t, uint64(1), h.node.log.lastIndex(), "a delayed answer counts")
	h.ackAppend("c2", 0, 77)
	var refused bool
	for range 20 {
		h.ackAppend("c1", 1, 0)
		h.now = h.now.Add(50 * time.Millisecond)
		for _, e := range h.step(Tick{}) {
			if reply, ok := e.(Reply); ok {
				refused = reply.Result.Kind == model.ResultInvalid
			}
		}
	}
	require.True(t, refused)
	require.Equal(t, []model.HostID{"c0", "c1", "c2"}, h.node.latest.cfg.Controls)
	require.Equal(t, RoleLeader, h.node.role)
}

// TestHostWithFailedDiskStopsAnswering guards against a host that still votes
// or confirms after its disk failed.
func TestHostWithFailedDiskStopsAnswering(t *testing.T) {
	h := newHarness(t)
	h.becomeLeader()
	h.ackAppend("c1", 1, 0)
	require.True(t, h.node.ConfirmLeadership(h.now).OK)
	h.propose("a", model.CreateWorkspace{Workspace: "a"})
	effects := h.step(DiskFailed{})
	require.Contains(t, effects, Effect(Reply{Result: unknownResult("a")}))
	require.False(t, h.node.ConfirmLeadership(h.now).OK)
	require.Empty(t, h.receive("c1", proto.VoteAsk{Term: 9, LastIndex: 9, LastTerm: 9}))
	reply := h.propose("b", model.CreateWorkspace{Workspace: "b"})[0].(Reply)
	require.Equal(t, model.ResultNotLeader, reply.Result.Kind)
}

// TestResendReturnsFirstResult guards against applying a resent change twice or
// answering it differently, and against refusals that are missing in the audit
// list.
func TestResendReturnsFirstResult(t *testing.T) {
	h := newHarness(t)
	h.becomeLeader()
	h.ackAppend("c1", 1, 0)
	p := model.Proposal{ID: "a", Base: 5, Change: model.CreateWorkspace{Workspace: "a"}}
	h.step(Proposed{Nonce: 1, Proposal: p})
	first := h.ackAppend("c1", 2, 0)
	again := h.receive("c2", proto.ProposeAsk{Nonce: 2, Proposal: p})
	result := sentTo[proto.ProposeReply](again, "c2")[0].Result
	require.Contains(t, first, Effect(Reply{Nonce: 1, Result: result}))
	require.Equal(t, model.ResultConflict, result.Kind)
	require.Equal(t, uint64(2), h.node.log.lastIndex())
	require.Equal(t, []AuditEntry{{Committed: model.Committed{Version: 2, Proposal: p}, Result: result}}, h.node.AuditEntries(10))
}

// TestRecoverAppliesRecordsInOrder guards against a restart that forgets a vote
// or entries, or that accepts a log with a gap.
func TestRecoverAppliesRecordsInOrder(t *testing.T) {
	persists := []Persist{
		{Term: 1, Snapshot: &Snapshot{Index: 3, Term: 1, Data: []byte("s")}, Entries: []proto.LogEntry{{Index: 4, Term: 1}}},
		{Term: 1, Entries: []proto.LogEntry{{Index: 5, Term: 1}}},
		{Term: 2, VotedFor: "c1", TruncateFrom: 5, Entries: []proto.LogEntry{{Index: 5, Term: 2}}},
	}
	var records [][]byte
	for _, p := range persists {
		data, snapshot, err := EncodePersist(p)
		require.NoError(t, err)
		require.Equal(t, p.Snapshot != nil, snapshot)
		records = append(records, data)
	}
	rec, err := Recover(records[0], records[1:])
	require.NoError(t, err)
	require.Equal(t, RecoveredState{
		Term: 2, VotedFor: "c1", Snapshot: persists[0].Snapshot,
		Entries: []proto.LogEntry{{Index: 4, Term: 1}, {Index: 5, Term: 2}},
	}, rec)
	_, err = New("c0", RecoveredState{Term: 1, Entries: rec.Entries})
	require.True(t, IsErrIncompleteLog(err))
	_, err = New("c0", RecoveredState{Empty: true})
	require.True(t, model.IsErrInvalid(err), "a learner ID must differ at each start")
}
