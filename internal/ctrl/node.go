package ctrl

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"

	"tarragongauge.example/tarragongauge/internal/codec"
	"tarragongauge.example/tarragongauge/internal/part"
	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// Role is the role of a control host in its current term.
type Role int

// Roles of a control host.
const (
	RoleFollower Role = iota + 1
	// RolePreCandidate asks whether an election could succeed, before it starts
	// a new term.
	RolePreCandidate
	RoleCandidate
	RoleLeader
	// RoleLearner started without state, and neither votes nor counts in a
	// majority.
	RoleLearner
	// RoleFailed takes no part in consensus because its disk failed.
	RoleFailed
)

// Status describes a control host for operators.
type Status struct {
	Role   Role
	Term   model.Term
	Leader model.HostID
	// LastIndex, CommitIndex and AppliedIndex are the log indexes of the last
	// entry, the last committed one and the last applied one.
	LastIndex    uint64
	CommitIndex  uint64
	AppliedIndex uint64
	// AcceptedVersion is the newest version that this host has accepted as a
	// leader.
	AcceptedVersion model.Version
}

// Node is the consensus state machine of one control host. It implements Core
// and is not safe for concurrent use.
type Node struct {
	self model.HostID
	opts options
	rng  *rand.Rand
	now  model.Instant

	role     Role
	term     model.Term
	votedFor model.HostID
	leader   model.HostID
	// leaderContactAt is when this host last heard from a leader, or 0, and
	// lastLeader is that leader.
	leaderContactAt model.Instant
	lastLeader      model.HostID
	// electionDeadline is when this host stands for election unless it hears
	// from a leader, or 0 before the first tick.
	electionDeadline model.Instant
	// votes lists the hosts that granted their vote in the current pre-vote or
	// election.
	votes []model.HostID
	// learnerID is not 0 while this host may not vote; see learner.go.
	learnerID uint64
	// hasState is set once the host holds a state that its log continues.
	hasState bool
	creation creation

	log          entryLog
	commitIndex  uint64
	appliedIndex uint64
	state        state
	history      history
	// latest is the state after the last entry of the log, committed or not.
	// Majorities are counted among its control hosts.
	latest   state
	snapshot Snapshot
	// offeredSnapshot is the snapshot that is sent to followers. It may be
	// older than snapshot; see newInstallSnapshot.
	offeredSnapshot Snapshot
	sender          part.Sender
	receiver        part.Receiver
	// incomingOffers holds the snapshots that leaders offered to this host,
	// without their data.
	incomingOffers []proto.InstallSnapshot
	encodeJobs     encodeJobs

	disk       diskState
	leadership *leadership
	pending    pendingProposals
	// acceptedVersion is the newest version known to be accepted. It remains
	// valid when the leadership ends.
	acceptedVersion model.Version
	acceptances     []acceptance

	// effects collects the effects of the current step.
	effects []Effect
}

var _ Core = (*Node)(nil)

// New returns a control host that continues from the state found on its disk.
// It returns model.ErrInvalid for a bad option and ErrIncompleteLog for a log
// with a gap.
func New(self model.HostID, rec RecoveredState, opts ...Option) (*Node, error) {
	o := options{timing: DefaultTiming(), snapshotThreshold: DefaultSnapshotThreshold, snapshotBytes: DefaultSnapshotBytes}
	for _, opt := range opts {
		opt(&o)
	}
	if err := o.validate(); err != nil {
		return nil, fmt.Errorf("create control host %q: %w", self, err)
	}
	n := &Node{
		self:      self,
		opts:      o,
		rng:       rand.New(rand.NewPCG(o.seed, hostSeed(self))),
		role:      RoleFollower,
		term:      rec.Term,
		votedFor:  rec.VotedFor,
		learnerID: rec.LearnerID,
		log:       newEntryLog(0, 0),
		history:   newHistory(nil),
		sender:    part.NewSender(o.partSize),
	}
	if rec.Empty && o.seed == 0 {
		return nil, fmt.Errorf("create control host %q: %w", self, model.ErrInvalid{Field: "seed", Got: "0", Want: "a random number that is new at each start, so that the other hosts notice a lost disk"})
	}
	if rec.Empty {
		n.learnerID = n.rng.Uint64() | 1
		n.disk.hardStateChanged = true
		return n, nil
	}
	if err := n.restore(rec); err != nil {
		return nil, fmt.Errorf("recover control host %q: %w", self, err)
	}
	return n, nil
}

// restore loads a snapshot and the entries after it. It returns
// ErrIncompleteLog if the entries have a gap or there is no snapshot, unless
// the host is a learner without entries.
func (n *Node) restore(rec RecoveredState) error {
	if rec.Snapshot == nil {
		if len(rec.Entries) > 0 || rec.LearnerID == 0 {
			return ErrIncompleteLog{}
		}
		return nil
	}
	if err := n.installState(*rec.Snapshot); err != nil {
		return err
	}
	for _, e := range rec.Entries {
		if e.Index != n.log.lastIndex()+1 {
			return ErrIncompleteLog{}
		}
		n.log.append(e)
	}
	n.recomputeLatest()
	n.disk.syncedIndex = n.log.lastIndex()
	return nil
}

// installState replaces the state and the log by a snapshot. It fails if the
// snapshot cannot be decoded.
func (n *Node) installState(s Snapshot) error {
	control, err := codec.DecodeControlState(s.Data)
	if err != nil {
		return err
	}
	n.state = state{cfg: control.Config, oldSeats: control.OldSeats}
	n.history = newHistory(control.History)
	n.snapshot = s
	n.log = newEntryLog(s.Index, s.Term)
	n.commitIndex, n.appliedIndex = s.Index, s.Index
	n.latest = n.state
	n.hasState = true
	return nil
}

// recomputeLatest computes latest from the applied state and the entries after
// it.
func (n *Node) recomputeLatest() {
	n.latest = n.state
	for i := n.appliedIndex + 1; i <= n.log.lastIndex(); i++ {
		n.latest, _ = n.latest.next(n.log.entry(i))
	}
}

// Step handles one event and returns its effects.
func (n *Node) Step(now model.Instant, ev Event) []Effect {
	n.now = max(n.now, now)
	n.effects = nil
	if n.role != RoleFailed {
		n.handle(ev)
		n.flush()
	} else if p, ok := ev.(Proposed); ok {
		n.answer(origin{nonce: p.Nonce}, n.notLeaderResult(p.Proposal.ID))
	}
	return n.effects
}

// handle passes an event to its handler.
func (n *Node) handle(ev Event) {
	switch ev := ev.(type) {
	case Tick:
		n.tick()
	case Received:
		n.receive(ev.From, ev.Msg)
	case Persisted:
		n.onPersisted(ev.Seq)
	case DiskFailed:
		n.onDiskFailed()
	case Proposed:
		n.propose(origin{nonce: ev.Nonce}, ev.Proposal)
	case Withdrawn:
		n.withdrawForwarded(ev.Nonce)
	case Encoded:
		n.onEncoded(ev)
	}
}

// receive passes a message of another host to its handler, and ignores unknown
// ones.
func (n *Node) receive(from model.HostID, msg proto.Message) {
	switch m := msg.(type) {
	case proto.VoteAsk:
		n.onVoteAsk(from, m)
	case proto.VoteReply:
		n.onVoteReply(from, m)
	case proto.Append:
		n.onAppend(from, m)
	case proto.AppendReply:
		n.onAppendReply(from, m)
	case proto.InstallSnapshot:
		n.onInstallSnapshot(from, m)
	case proto.ProposeAsk:
		n.propose(origin{host: from, nonce: m.Nonce}, m.Proposal)
	case proto.ProposeReply:
		n.onProposeReply(m)
	case proto.SeatStageReply:
		n.onSeatStageReply(from, m)
	case proto.PartAsk:
		n.send(from, n.sender.Answer(n.now, m))
	case proto.Part:
		n.onPart(from, m)
	}
}

// tick expires pending proposals, repeats lost requests, and starts an election
// when the election timeout has passed.
func (n *Node) tick() {
	n.expirePending()
	n.transferTick()
	if n.role == RoleLeader {
		n.leaderTick()
		return
	}
	if n.electionDeadline == 0 {
		n.scheduleFirstElection()
	}
	if n.now < n.electionDeadline {
		return
	}
	n.resetElectionTimer()
	switch {
	case n.learnerID != 0:
		n.sendCreationQueries()
	case n.isElectable():
		n.startPreVote()
	}
}

// isElectable reports whether this host may stand for election. A host that an
// uncommitted entry removes still may: when one of two hosts removes itself, it
// may be the only one that holds the entry.
func (n *Node) isElectable() bool {
	return slices.Contains(n.latest.cfg.Controls, n.self) || slices.Contains(n.state.cfg.Controls, n.self)
}

// scheduleFirstElection sets the first election timeout after a start to half
// of the usual one. A live leader sends several heartbeats by then, and its
// followers refuse the pre-vote; without a leader, all hosts have just started.
func (n *Node) scheduleFirstElection() {
	n.resetElectionTimer()
	n.electionDeadline = n.now.Add(n.electionDeadline.Sub(n.now) / 2)
}

// resetElectionTimer draws a new random election timeout.
func (n *Node) resetElectionTimer() {
	t := n.opts.timing
	spread := int64(t.ElectionMax - t.ElectionMin)
	n.electionDeadline = n.now.Add(t.ElectionMin + time.Duration(n.rng.Int64N(spread)))
}

// setLeader publishes a change of the leader, and answers the proposals that
// were forwarded to the previous one.
func (n *Node) setLeader(leader model.HostID) {
	if n.leader == leader {
		return
	}
	n.leader = leader
	n.emit(LeaderChanged{Term: n.term, Leader: leader})
	n.abortForwarded()
}

// emit adds an effect to those of the current step.
func (n *Node) emit(e Effect) { n.effects = append(n.effects, e) }

// send sends a message without waiting for the disk. The message must not
// depend on state that a crash could lose.
func (n *Node) send(to model.HostID, msg proto.Message) { n.emit(Send{To: to, Msg: msg}) }

// onDiskFailed ends all activity of this host for good, because the state that
// other hosts rely on may not be on its disk.
func (n *Node) onDiskFailed() {
	n.endLeadership()
	n.role = RoleFailed
	n.setLeader("")
	n.disk = diskState{}
}

// Config returns the newest applied configuration.
func (n *Node) Config() model.Config { return n.state.cfg }

// Changes returns the applied changes after a version, and false if they are no
// longer held or are too long for a message.
func (n *Node) Changes(after model.Version) ([]model.Committed, bool) {
	return n.history.changes(after, n.state.cfg.Version)
}

// AuditEntries returns the newest entries of the audit list, newest first.
func (n *Node) AuditEntries(count int) []AuditEntry { return n.history.newest(count) }

// Status returns the role and progress of this host.
func (n *Node) Status() Status {
	s := Status{
		Role:            n.role,
		Term:            n.term,
		Leader:          n.leader,
		LastIndex:       n.log.lastIndex(),
		CommitIndex:     n.commitIndex,
		AppliedIndex:    n.appliedIndex,
		AcceptedVersion: n.acceptedVersion,
	}
	if n.learnerID != 0 && n.role == RoleFollower {
		s.Role = RoleLearner
	}
	return s
}

// hostSeed returns a seed that differs between hosts. Hosts that start at the
// same moment may be given the same seed by their runtime, and with the same
// election timeouts they would split each vote.
func hostSeed(self model.HostID) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(self))
	return h.Sum64()
}
