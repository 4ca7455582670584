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

// Role says what part a control host plays in its term.
type Role int

// Roles of a control host.
const (
	RoleFollower Role = iota + 1
	// RolePreCandidate asks whether an election could succeed.
	RolePreCandidate
	RoleCandidate
	RoleLeader
	// RoleLearner started without state and neither votes nor counts.
	RoleLearner
	// RoleFailed has a disk that failed.
	RoleFailed
)

// Status describes a control host for operators.
type Status struct {
	Role   Role
	Term   model.Term
	Leader model.HostID
	// LastIndex, CommitIndex and AppliedIndex are log indexes.
	LastIndex    uint64
	CommitIndex  uint64
	AppliedIndex uint64
	// AcceptedVersion is the newest version this host has accepted as a leader.
	AcceptedVersion model.Version
}

// Node is the consensus state machine of one control host. It implements Core.
// It is not safe for concurrent use.
type Node struct {
	self model.HostID
	opt  options
	rng  *rand.Rand
	now  model.Instant

	role     Role
	term     model.Term
	votedFor model.HostID
	leader   model.HostID
	// heardLeader is when the leader was last heard, or 0.
	heardLeader model.Instant
	electionDue model.Instant
	votes       []model.HostID
	// learner is not 0 while this host may not vote; see learner.go.
	learner uint64
	// hasBase is set once the host holds a state that its log continues.
	hasBase  bool
	creation creation

	log     entryLog
	commit  uint64
	applied uint64
	state   state
	history history
	// tip is the state after the whole log, committed or not. Its control
	// hosts are the ones whose majority counts.
	tip      state
	snapshot Snapshot
	// offered is the snapshot that followers are sent; see snapshot.go.
	offered  Snapshot
	sender   part.Sender
	receiver part.Receiver
	// incoming holds the offers of snapshots, without their data.
	incoming []proto.InstallSnapshot
	encodes  encodes

	disk  disk
	lead  *leadership
	waits waits
	// accepted is the newest version known to be accepted. It stays true when the leadership ends.
	accepted   model.Version
	acceptedAt []acceptance

	out []Effect
}

var _ Core = (*Node)(nil)

// New returns a control host that continues from what its disk held.
func New(self model.HostID, rec RecoveredState, opts ...Option) (*Node, error) {
	o := options{timing: DefaultTiming(), snapshotEvery: DefaultSnapshotThreshold}
	for _, opt := range opts {
		opt(&o)
	}
	if err := o.check(); err != nil {
		return nil, fmt.Errorf("create control host %q: %w", self, err)
	}
	n := &Node{
		self:     self,
		opt:      o,
		rng:      rand.New(rand.NewPCG(o.seed, seedOf(self))),
		role:     RoleFollower,
		term:     rec.Term,
		votedFor: rec.VotedFor,
		learner:  rec.LearnerID,
		log:      newEntryLog(0, 0),
		history:  newHistory(nil),
		sender:   part.NewSender(o.partSize),
	}
	if rec.Empty && o.seed == 0 {
		return nil, fmt.Errorf("create control host %q: %w", self, model.ErrInvalid{Field: "seed", Got: "0", Want: "a random number that is new at each start, so that the other hosts notice a lost disk"})
	}
	if rec.Empty {
		n.learner = n.rng.Uint64() | 1
		n.disk.dirty = true
		return n, nil
	}
	if err := n.restore(rec); err != nil {
		return nil, fmt.Errorf("recover control host %q: %w", self, err)
	}
	return n, nil
}

// restore continues from a snapshot and the entries after it.
func (n *Node) restore(rec RecoveredState) error {
	if rec.Snapshot == nil {
		if len(rec.Entries) > 0 || rec.LearnerID == 0 {
			return ErrIncompleteLog{}
		}
		return nil
	}
	if err := n.install(*rec.Snapshot); err != nil {
		return err
	}
	for _, e := range rec.Entries {
		if e.Index != n.log.last()+1 {
			return ErrIncompleteLog{}
		}
		n.log.append(e)
	}
	n.retip()
	n.disk.syncedIndex = n.log.last()
	return nil
}

// install replaces the state and the log by a snapshot.
func (n *Node) install(s Snapshot) error {
	control, err := codec.DecodeControlState(s.Data)
	if err != nil {
		return err
	}
	n.state = state{cfg: control.Config, oldSeats: control.OldSeats}
	n.history = newHistory(control.History)
	n.snapshot = s
	n.log = newEntryLog(s.Index, s.Term)
	n.commit, n.applied = s.Index, s.Index
	n.tip = n.state
	n.hasBase = true
	return nil
}

// retip computes the state after the whole log again.
func (n *Node) retip() {
	n.tip = n.state
	for i := n.applied + 1; i <= n.log.last(); i++ {
		n.tip, _ = n.tip.next(n.log.at(i))
	}
}

// Step handles one event.
func (n *Node) Step(now model.Instant, ev Event) []Effect {
	n.now = max(n.now, now)
	n.out = nil
	if n.role != RoleFailed {
		n.handle(ev)
		n.flush()
	} else if p, ok := ev.(Proposed); ok {
		n.answer(origin{nonce: p.Nonce}, n.notLeader(p.Proposal.ID))
	}
	return n.out
}

func (n *Node) handle(ev Event) {
	switch ev := ev.(type) {
	case Tick:
		n.tick()
	case Received:
		n.receive(ev.From, ev.Msg)
	case Persisted:
		n.persisted(ev.Seq)
	case DiskFailed:
		n.failDisk()
	case Proposed:
		n.propose(origin{nonce: ev.Nonce}, ev.Proposal)
	case Encoded:
		n.encoded(ev)
	}
}

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

func (n *Node) tick() {
	n.expireWaits()
	n.partTick()
	if n.role == RoleLeader {
		n.leadTick()
		return
	}
	if n.electionDue == 0 {
		n.firstElection()
	}
	if n.now < n.electionDue {
		return
	}
	n.resetElection()
	switch {
	case n.learner != 0:
		n.askCreation()
	case n.mayLead():
		n.preCampaign()
	}
}

// mayLead reports whether this host stands for election. A host that an
// uncommitted entry removes still does: when one of two hosts removes itself,
// it may be the only one that holds the entry.
func (n *Node) mayLead() bool {
	return slices.Contains(n.tip.cfg.Controls, n.self) || slices.Contains(n.state.cfg.Controls, n.self)
}

// firstElection sets the first election timeout after a start to half of the
// usual one. A leader that lives sends several heartbeats by then, and its
// followers refuse the pre-vote; without one, all hosts have just started.
func (n *Node) firstElection() {
	n.resetElection()
	n.electionDue = n.now.Add(n.electionDue.Sub(n.now) / 2)
}

func (n *Node) resetElection() {
	t := n.opt.timing
	spread := int64(t.ElectionMax - t.ElectionMin)
	n.electionDue = n.now.Add(t.ElectionMin + time.Duration(n.rng.Int64N(spread)))
}

// setLeader publishes a change of term or leader.
func (n *Node) setLeader(leader model.HostID) {
	if n.leader == leader {
		return
	}
	n.leader = leader
	n.emit(LeaderChanged{Term: n.term, Leader: leader})
	n.endForwards()
}

func (n *Node) emit(e Effect) { n.out = append(n.out, e) }

// send sends a message that reveals nothing that could be lost by a crash.
func (n *Node) send(to model.HostID, msg proto.Message) { n.emit(Send{To: to, Msg: msg}) }

// failDisk ends all activity for good: what this host promised may not be on its disk.
func (n *Node) failDisk() {
	n.endLeadership()
	n.role = RoleFailed
	n.setLeader("")
	n.disk = disk{}
}

// Config returns the newest applied configuration.
func (n *Node) Config() model.Config { return n.state.cfg }

// Changes returns the applied changes after a version, and false if they are no longer held.
func (n *Node) Changes(after model.Version) ([]model.Committed, bool) {
	return n.history.changes(after, n.state.cfg.Version)
}

// AuditEntries returns the newest entries of the audit list, newest first.
func (n *Node) AuditEntries(count int) []AuditEntry { return n.history.newest(count) }

// Status describes this host.
func (n *Node) Status() Status {
	s := Status{
		Role:            n.role,
		Term:            n.term,
		Leader:          n.leader,
		LastIndex:       n.log.last(),
		CommitIndex:     n.commit,
		AppliedIndex:    n.applied,
		AcceptedVersion: n.accepted,
	}
	if n.learner != 0 && n.role == RoleFollower {
		s.Role = RoleLearner
	}
	return s
}

// seedOf differs between hosts: those that start at the same moment may have the
// same seed, and would split each vote with the same election times.
func seedOf(self model.HostID) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(self))
	return h.Sum64()
}
