package node

import (
	"context"
	"errors"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/rotisserie/eris"

	"tarragongauge.example/tarragongauge/internal/codec"
	"tarragongauge.example/tarragongauge/internal/ctrl"
	"tarragongauge.example/tarragongauge/internal/lease"
	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/internal/store"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// logFolder is the name of the configuration log's folder in the data folder.
const logFolder = "log"

// memberRetention is how long control remembers a host that no longer sends asks,
// so that reports can list it as missing.
const memberRetention = 24 * time.Hour

// seenMember is an entry host or a seat, with the contents and the time of its
// last ask.
type seenMember struct {
	member      proto.Member
	heldVersion model.Version
	lastSeenAt  time.Time
}

// controlHost drives the consensus core of one control host.
type controlHost struct {
	clock        clock
	log          logr.Logger
	self         proto.Member
	timing       lease.Timing
	send         func(model.HostID, proto.Message)
	learnMembers func([]proto.Member)
	background   func(task func())
	// serveUnconfirmed is set if entry hosts serve without a confirmation, so that
	// the right to serve of a host that does not answer never ends.
	serveUnconfirmed bool
	// onConfigApplied is called with each applied configuration. It may be nil.
	onConfigApplied func(model.Config)
	// ownerZones returns the zones that the owner cores of this host know. It may be
	// nil.
	ownerZones func() []model.ZoneName

	node      *ctrl.Node
	core      *runner[ctrl.Event, ctrl.Effect]
	logWrites *diskQueue[ctrl.Persist]
	logStore  *reopenableStore
	// coreOpts are the options of the consensus core. A core that is started
	// after a disk failure uses them too.
	coreOpts []ctrl.Option
	// coreGeneration is incremented when the core is replaced. Results that were
	// computed for an earlier core are dropped.
	coreGeneration atomic.Int64

	nonces          nonceSequence
	proposals       *waiters[uint64, model.Result]
	evidenceReplies *waiters[uint64, proto.EvidenceReply]
	burnReplies     *waiters[uint64, proto.BurnReply]
	statusReplies   *waiters[uint64, proto.StatusReply]

	mu sync.Mutex
	// members is guarded by mu.
	members map[model.HostID]seenMember
	// leader and term are guarded by mu.
	leader       model.HostID
	term         model.Term
	configOffers configOffers
}

// controlSetup holds the parameters of openControl.
type controlSetup struct {
	self        proto.Member
	dataDir     string
	timing      lease.Timing
	controls    []model.HostID
	seats       []model.HostID
	createFleet bool
	// serveUnconfirmed is set if entry hosts serve without a confirmation.
	serveUnconfirmed bool
	log              logr.Logger
	send             func(model.HostID, proto.Message)
	learnMembers     func([]proto.Member)
	// background starts a task in the background.
	background func(task func())
	// storeOpts are options of the log's store, for tests.
	storeOpts []store.Option
}

// openControl opens the configuration log in the data folder. It returns the
// control host and a function that closes the log.
func openControl(s controlSetup) (*controlHost, func() error, error) {
	file, contents, err := openReopenableStore(filepath.Join(s.dataDir, logFolder), "the configuration log", s.log, s.storeOpts...)
	if err != nil {
		return nil, nil, err
	}
	c := &controlHost{
		clock: newClock(), log: s.log, self: s.self, timing: s.timing, send: s.send, learnMembers: s.learnMembers, logStore: file,
		proposals:       newWaiters[uint64, model.Result](),
		evidenceReplies: newWaiters[uint64, proto.EvidenceReply](),
		burnReplies:     newWaiters[uint64, proto.BurnReply](),
		statusReplies:   newWaiters[uint64, proto.StatusReply](),
		members:         map[model.HostID]seenMember{},
		background:      s.background,

		serveUnconfirmed: s.serveUnconfirmed,
	}
	c.configOffers.background = s.background
	if contents.TornBytes > 0 {
		s.log.Info("removed an unfinished append from the end of the configuration log", "bytes", contents.TornBytes)
	}
	if err := c.start(s, contents); err != nil {
		return nil, nil, errors.Join(err, file.close())
	}
	return c, file.close, nil
}

// start creates the consensus core from the contents of the log, and the queue
// of writes to the log.
func (c *controlHost) start(s controlSetup, contents store.Contents) error {
	c.coreOpts = []ctrl.Option{ctrl.WithSeed(uint64(s.self.Incarnation))}
	if s.createFleet {
		c.coreOpts = append(c.coreOpts, ctrl.WithBootstrap(s.controls, s.seats))
	}
	var err error
	c.node, err = c.newCore(contents)
	if err != nil {
		return err
	}
	c.core = newRunner(c.clock, c.node.Step, c.apply)
	c.logWrites = newDiskQueue(
		func(batch []ctrl.Persist) error { return writeLog(c.logStore.store(), batch) },
		func(p ctrl.Persist) { c.core.post(ctrl.Persisted{Seq: p.Seq}) },
		c.handleDiskError,
	)
	c.logWrites.reopen = c.reopen
	return nil
}

// newCore returns a consensus core that starts from the contents of the log.
func (c *controlHost) newCore(contents store.Contents) (*ctrl.Node, error) {
	recovered, err := ctrl.Recover(contents.Snapshot, contents.Records)
	if err != nil {
		return nil, eris.Wrap(err, "read the configuration log")
	}
	return ctrl.New(c.self.Host, recovered, c.coreOpts...)
}

// reopen opens the log again after a disk failure and starts a new core from it,
// as a restart of the process would. The failed core requests no more writes.
func (c *controlHost) reopen() error {
	c.logWrites.take()
	contents, err := c.logStore.reopen()
	if err != nil {
		return err
	}
	node, err := c.newCore(contents)
	if err != nil {
		c.log.Error(err, "the configuration log cannot be used after its disk failed")
		return err
	}
	c.coreGeneration.Add(1)
	c.core.replace(node.Step, func() { c.node = node })
	c.log.Info("this host takes part in control again", "version", c.appliedConfig().Version)
	return nil
}

// writeLog writes a batch of effects with as few syncs as possible.
func writeLog(s store.Store, batch []ctrl.Persist) error {
	var records [][]byte
	for _, p := range batch {
		data, snapshot, err := ctrl.EncodePersist(p)
		if err != nil {
			return err
		}
		if !snapshot {
			records = append(records, data)
			continue
		}
		// The snapshot includes the records before it in the batch.
		records = nil
		if err := s.Snapshot(data); err != nil {
			return err
		}
	}
	if len(records) == 0 {
		return nil
	}
	return s.Append(records...)
}

// handleDiskError reports a failed write of the log to the consensus core,
// which takes no part in control until the disk takes writes again.
func (c *controlHost) handleDiskError(err error) {
	c.log.Error(err, "the configuration log's disk failed; this host takes no part in control until the disk takes writes again")
	c.core.post(ctrl.DiskFailed{})
}

// apply carries out an effect of the consensus core.
func (c *controlHost) apply(f ctrl.Effect) {
	switch f := f.(type) {
	case ctrl.Send:
		c.send(f.To, f.Msg)
	case ctrl.Persist:
		c.persist(f)
	case ctrl.Encode:
		generation := c.coreGeneration.Load()
		c.background(func() { c.encode(f, generation) })
	case ctrl.ConfigApplied:
		c.log.Info("applied configuration", "version", f.Config.Version)
		if c.onConfigApplied != nil {
			c.onConfigApplied(f.Config)
		}
	case ctrl.Reply:
		c.proposals.answer(f.Nonce, f.Result)
	case ctrl.LeaderChanged:
		c.setLeader(f)
	}
}

// persist queues a record for the disk. A snapshot replaces the records that wait,
// so the queue of a slow disk holds at most one snapshot and what the core appended
// since.
func (c *controlHost) persist(p ctrl.Persist) {
	if p.Snapshot != nil {
		c.logWrites.replace(p)
		return
	}
	c.logWrites.add(p)
}

// encode encodes a large state outside the core that requested it. The result is
// dropped if that core, of the given generation, was replaced meanwhile.
func (c *controlHost) encode(f ctrl.Encode, generation int64) {
	var data []byte
	var err error
	if f.ConfigOnly {
		data, err = codec.EncodeConfig(f.State.Config.WithoutDocument())
	} else {
		data, err = codec.EncodeControlState(f.State)
	}
	if err != nil {
		c.log.Error(err, "cannot encode the configuration", "version", f.State.Config.Version)
	}
	if c.coreGeneration.Load() == generation {
		c.core.post(ctrl.Encoded{ID: f.ID, Data: data})
	}
}

// setLeader records the leader and its term and logs the change.
func (c *controlHost) setLeader(f ctrl.LeaderChanged) {
	c.mu.Lock()
	c.leader, c.term = f.Leader, f.Term
	c.mu.Unlock()
	c.log.Info("leader of control changed", "leader", f.Leader, "term", f.Term)
}

// receive passes a message to its handler.
func (c *controlHost) receive(from model.HostID, m proto.Message) {
	switch m := m.(type) {
	case proto.FreshAsk:
		c.answerFreshAsk(from, m)
	case proto.PartAsk:
		c.answerPart(from, m)
	case proto.EvidenceReply:
		c.evidenceReplies.answer(m.Nonce, m)
	case proto.BurnReply:
		c.burnReplies.answer(m.Nonce, m)
	case proto.StatusReply:
		c.statusReplies.answer(m.Nonce, m)
	case proto.Hello:
	default:
		c.core.post(ctrl.Received{From: from, Msg: m})
	}
}

func (c *controlHost) tick() {
	c.core.post(ctrl.Tick{})
	c.configOffers.expire(c.clock.now())
}

// answerFreshAsk replies to an entry host if this host leads with a live quorum.
func (c *controlHost) answerFreshAsk(from model.HostID, ask proto.FreshAsk) {
	c.recordMember(ask)
	var reply proto.FreshReply
	var isLeader, needsSnapshot, changesKnown bool
	var cfg model.Config
	var changes []model.Committed
	var seats []model.HostID
	offeredVersion := c.configOffers.heldVersion()
	c.core.read(func(now model.Instant) {
		leadership := c.node.ConfirmLeadership(now)
		if !leadership.OK {
			return
		}
		isLeader = true
		reply = proto.FreshReply{Nonce: ask.Nonce, Newest: leadership.NewestVersion, FromControl: true, Age: leadership.Age}
		seats = c.node.Config().Seats
		if ask.HeldVersion == 0 || ask.HeldVersion < leadership.NewestVersion {
			// A host without a configuration cannot apply changes, so it gets a
			// snapshot.
			var complete bool
			reply.Changes, complete = c.node.Changes(ask.HeldVersion)
			reply.Changes = model.WithoutDocuments(reply.Changes)
			needsSnapshot = !complete || ask.HeldVersion == 0
			cfg = c.node.Config()
			changes, changesKnown = c.node.Changes(offeredVersion)
		}
	})
	if !isLeader {
		return
	}
	if needsSnapshot {
		reply.Changes = nil
		reply.Snapshot, reply.Offer = c.configOffers.offer(c.clock.now(), cfg, offeredVersion, changes, changesKnown)
	}
	if members := c.locatedSeats(seats); len(members) > 0 && !slices.Contains(seats, c.self.Host) {
		reply.MembersDigest = lease.MembersDigest(members)
		if reply.MembersDigest != ask.MembersDigest {
			reply.Members = members
		}
	}
	c.send(from, reply)
}

// locatedSeats returns the members of the seats from which this host has received
// an ask.
func (c *controlHost) locatedSeats(seats []model.HostID) []proto.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []proto.Member
	for _, host := range seats {
		if m, ok := c.members[host]; ok {
			out = append(out, m.member)
		}
	}
	return out
}

// answerPart sends a part of a configuration that answerFreshAsk offered. The
// core answers for the snapshots that it offered itself.
func (c *controlHost) answerPart(from model.HostID, ask proto.PartAsk) {
	if reply, ok := c.configOffers.answer(c.clock.now(), ask); ok {
		c.send(from, reply)
		return
	}
	c.core.post(ctrl.Received{From: from, Msg: ask})
}

// recordMember records the sender of an ask. A seat that relearns its state asks
// without a role and is skipped, because the freshness client of the same host
// asks with one.
func (c *controlHost) recordMember(ask proto.FreshAsk) {
	if ask.Member.Role == 0 {
		return
	}
	c.mu.Lock()
	c.members[ask.Member.Host] = seenMember{member: ask.Member, heldVersion: ask.HeldVersion, lastSeenAt: time.Now()}
	c.mu.Unlock()
	c.learnMembers([]proto.Member{ask.Member})
}

// recentEntryHosts returns the entry hosts heard from within memberRetention,
// sorted by name. Other hosts serve no requests, so reports of evidence and
// counters do not need them.
func (c *controlHost) recentEntryHosts() []seenMember {
	return slices.DeleteFunc(c.recentMembers(), func(m seenMember) bool { return m.member.Role != proto.RoleEntry })
}

// recentMembers returns the hosts heard from within memberRetention, sorted by
// name.
func (c *controlHost) recentMembers() []seenMember {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []seenMember
	for host, m := range c.members {
		if time.Since(m.lastSeenAt) > memberRetention {
			delete(c.members, host)
			continue
		}
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b seenMember) int { return strings.Compare(string(a.member.Host), string(b.member.Host)) })
	return out
}

// propose submits a change and waits for its result.
func (c *controlHost) propose(ctx context.Context, p model.Proposal) (model.Result, error) {
	nonce := c.nonces.next()
	answer := c.proposals.add(nonce)
	c.core.post(ctrl.Proposed{Nonce: nonce, Proposal: p})
	select {
	case r := <-answer:
		return r, nil
	case <-ctx.Done():
		c.proposals.remove(nonce)
		c.core.post(ctrl.Withdrawn{Nonce: nonce})
		return model.Result{
			ID: p.ID, Kind: model.ResultUnknown,
			Message: "no answer in time; resend the change with the same change id",
		}, nil
	}
}

// controlMetrics holds the metrics that a control host publishes.
type controlMetrics struct {
	Role            int    `json:"role"`
	Term            uint64 `json:"term"`
	Leader          string `json:"leader"`
	LastIndex       uint64 `json:"last_index"`
	CommitIndex     uint64 `json:"commit_index"`
	AcceptedVersion uint64 `json:"accepted_version"`
	MemberCount     int    `json:"members"`
}

func (c *controlHost) metrics() controlMetrics {
	var s ctrl.Status
	c.core.read(func(model.Instant) { s = c.node.Status() })
	return controlMetrics{
		Role: int(s.Role), Term: uint64(s.Term), Leader: string(s.Leader), LastIndex: s.LastIndex,
		CommitIndex: s.CommitIndex, AcceptedVersion: uint64(s.AcceptedVersion), MemberCount: len(c.recentMembers()),
	}
}

// Ready returns an error while no leader of control is known.
func (c *controlHost) Ready() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader == "" {
		return errors.New("no leader of control is known; check that a majority of control hosts is reachable")
	}
	return nil
}
