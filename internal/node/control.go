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

// logFolder is the folder of the configuration log below the data folder.
const logFolder = "log"

// memberKeep is how long control remembers a host that stopped asking, so that
// reports can name it as missing.
const memberKeep = 24 * time.Hour

// seenMember is an entry host or a seat as control last heard from it.
type seenMember struct {
	member proto.Member
	have   model.Version
	at     time.Time
}

// controlHost drives the consensus core of one control host.
type controlHost struct {
	clock  clock
	log    logr.Logger
	self   proto.Member
	timing lease.Timing
	send   func(model.HostID, proto.Message)
	learn  func([]proto.Member)
	run    func(task func())
	// follow takes each applied configuration; it may be nil.
	follow func(model.Config)

	node *ctrl.Node
	core *runner[ctrl.Event, ctrl.Effect]
	disk *persister[ctrl.Persist]
	file *diskFile
	// opts are those of the consensus core, also of the one after a failure of the disk.
	opts []ctrl.Option
	// opened counts how often the log was opened; results for an earlier core are dropped.
	opened atomic.Int64

	nonces    nonces
	proposals *waiters[uint64, model.Result]
	evidence  *waiters[uint64, proto.EvidenceReply]
	burns     *waiters[uint64, proto.BurnReply]
	statuses  *waiters[uint64, proto.StatusReply]

	mu sync.Mutex
	// members is guarded by mu.
	members map[model.HostID]seenMember
	// leader and term are guarded by mu.
	leader  model.HostID
	term    model.Term
	configs configOffers
}

// controlSetup is what a control host is made from.
type controlSetup struct {
	self     proto.Member
	dataDir  string
	timing   lease.Timing
	controls []model.HostID
	seats    []model.HostID
	create   bool
	log      logr.Logger
	send     func(model.HostID, proto.Message)
	learn    func([]proto.Member)
	// run starts a task in the background.
	run func(task func())
	// disk are options of the log's folder, for tests.
	disk []store.Option
}

// openControl opens the configuration log below the data folder and returns the clean-up function.
func openControl(s controlSetup) (*controlHost, func() error, error) {
	file, contents, err := openDiskFile(filepath.Join(s.dataDir, logFolder), "the configuration log", s.log, s.disk...)
	if err != nil {
		return nil, nil, err
	}
	c := &controlHost{
		clock: newClock(), log: s.log, self: s.self, timing: s.timing, send: s.send, learn: s.learn, file: file,
		proposals: newWaiters[uint64, model.Result](),
		evidence:  newWaiters[uint64, proto.EvidenceReply](),
		burns:     newWaiters[uint64, proto.BurnReply](),
		statuses:  newWaiters[uint64, proto.StatusReply](),
		members:   map[model.HostID]seenMember{},
		run:       s.run,
	}
	c.configs.run = s.run
	if contents.TornBytes > 0 {
		s.log.Info("cut an unfinished append off the configuration log", "bytes", contents.TornBytes)
	}
	if err := c.start(s, contents); err != nil {
		return nil, nil, errors.Join(err, file.close())
	}
	return c, file.close, nil
}

func (c *controlHost) start(s controlSetup, contents store.Contents) error {
	c.opts = []ctrl.Option{ctrl.WithSeed(uint64(s.self.Incarnation))}
	if s.create {
		c.opts = append(c.opts, ctrl.WithBootstrap(s.controls, s.seats))
	}
	var err error
	c.node, err = c.coreOf(contents)
	if err != nil {
		return err
	}
	c.core = newRunner(c.clock, c.node.Step, c.apply)
	c.disk = newPersister(
		func(batch []ctrl.Persist) error { return writeLog(c.file.store(), batch) },
		func(p ctrl.Persist) { c.core.post(ctrl.Persisted{Seq: p.Seq}) },
		c.fail,
	)
	c.disk.reopen = c.reopen
	return nil
}

// coreOf returns a consensus core that starts from what the log holds.
func (c *controlHost) coreOf(contents store.Contents) (*ctrl.Node, error) {
	recovered, err := ctrl.Recover(contents.Snapshot, contents.Records)
	if err != nil {
		return nil, eris.Wrap(err, "read the configuration log")
	}
	return ctrl.New(c.self.Host, recovered, c.opts...)
}

// reopen opens the log again after its disk failed and starts a new core from
// it, as a restart of the process does. The failed core asks for no writes.
func (c *controlHost) reopen() error {
	c.disk.take()
	contents, err := c.file.reopen()
	if err != nil {
		return err
	}
	node, err := c.coreOf(contents)
	if err != nil {
		c.log.Error(err, "the configuration log cannot be used after its disk failed")
		return err
	}
	c.opened.Add(1)
	c.core.replace(node.Step, func() { c.node = node })
	c.log.Info("this host takes part in control again", "version", c.applied().Version)
	return nil
}

// writeLog carries out a batch of effects with as few syncs as possible.
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

func (c *controlHost) fail(err error) {
	c.log.Error(err, "the configuration log's disk failed; this host takes no part in control until the disk takes writes again")
	c.core.post(ctrl.DiskFailed{})
}

func (c *controlHost) apply(f ctrl.Effect) {
	switch f := f.(type) {
	case ctrl.Send:
		c.send(f.To, f.Msg)
	case ctrl.Persist:
		c.disk.add(f)
	case ctrl.Encode:
		opened := c.opened.Load()
		c.run(func() { c.encode(f, opened) })
	case ctrl.ConfigApplied:
		c.log.Info("applied configuration", "version", f.Config.Version)
		if c.follow != nil {
			c.follow(f.Config)
		}
	case ctrl.Reply:
		c.proposals.answer(f.Nonce, f.Result)
	case ctrl.LeaderChanged:
		c.setLeader(f)
	}
}

// encode encodes a large state outside the core that was opened as the given number.
func (c *controlHost) encode(f ctrl.Encode, opened int64) {
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
	if c.opened.Load() == opened {
		c.core.post(ctrl.Encoded{ID: f.ID, Data: data})
	}
}

func (c *controlHost) setLeader(f ctrl.LeaderChanged) {
	c.mu.Lock()
	c.leader, c.term = f.Leader, f.Term
	c.mu.Unlock()
	c.log.Info("leader of control changed", "leader", f.Leader, "term", f.Term)
}

// receive hands a message to what takes it.
func (c *controlHost) receive(from model.HostID, m proto.Message) {
	switch m := m.(type) {
	case proto.FreshAsk:
		c.confirm(from, m)
	case proto.PartAsk:
		c.answerPart(from, m)
	case proto.EvidenceReply:
		c.evidence.answer(m.Nonce, m)
	case proto.BurnReply:
		c.burns.answer(m.Nonce, m)
	case proto.StatusReply:
		c.statuses.answer(m.Nonce, m)
	case proto.Hello:
	default:
		c.core.post(ctrl.Received{From: from, Msg: m})
	}
}

func (c *controlHost) tick() {
	c.core.post(ctrl.Tick{})
	c.configs.expire(c.clock.now())
}

// confirm answers an entry host if this host leads with a live quorum.
func (c *controlHost) confirm(from model.HostID, ask proto.FreshAsk) {
	c.see(ask)
	var reply proto.FreshReply
	var answer, snapshot, known bool
	var cfg model.Config
	var since []model.Committed
	var seats []model.HostID
	offeredAt := c.configs.version()
	c.core.read(func(now model.Instant) {
		sure := c.node.ConfirmLeadership(now)
		if !sure.OK {
			return
		}
		answer = true
		reply = proto.FreshReply{Nonce: ask.Nonce, Newest: sure.NewestVersion, FromControl: true, Age: sure.Age}
		seats = c.node.Config().Seats
		if ask.HeldVersion == 0 || ask.HeldVersion < sure.NewestVersion {
			// A host without a configuration cannot apply changes.
			var held bool
			reply.Changes, held = c.node.Changes(ask.HeldVersion)
			reply.Changes = model.WithoutDocuments(reply.Changes)
			snapshot = !held || ask.HeldVersion == 0
			cfg = c.node.Config()
			since, known = c.node.Changes(offeredAt)
		}
	})
	if !answer {
		return
	}
	if snapshot {
		reply.Changes = nil
		reply.Snapshot, reply.Offer = c.configs.offer(c.clock.now(), cfg, offeredAt, since, known)
	}
	if members := c.located(seats); len(members) > 0 && !slices.Contains(seats, c.self.Host) {
		reply.MembersDigest = lease.MembersDigest(members)
		if reply.MembersDigest != ask.MembersDigest {
			reply.Members = members
		}
	}
	c.send(from, reply)
}

// located returns the seats that this host has heard from.
func (c *controlHost) located(seats []model.HostID) []proto.Member {
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

// answerPart sends a part of a configuration that confirm offered. The core
// answers for the snapshots that it offered itself.
func (c *controlHost) answerPart(from model.HostID, ask proto.PartAsk) {
	if reply, ok := c.configs.answer(c.clock.now(), ask); ok {
		c.send(from, reply)
		return
	}
	c.core.post(ctrl.Received{From: from, Msg: ask})
}

// see notes the asker. A seat that relearns asks without a role; the freshness
// client of the same host asks with it.
func (c *controlHost) see(ask proto.FreshAsk) {
	if ask.Member.Role == 0 {
		return
	}
	c.mu.Lock()
	c.members[ask.Member.Host] = seenMember{member: ask.Member, have: ask.HeldVersion, at: time.Now()}
	c.mu.Unlock()
	c.learn([]proto.Member{ask.Member})
}

// seenEntries lists the entry hosts heard from within memberKeep, by name. The
// others take no traffic, so that evidence and counters need nothing from them.
func (c *controlHost) seenEntries() []seenMember {
	return slices.DeleteFunc(c.seen(), func(m seenMember) bool { return m.member.Role != proto.RoleEntry })
}

// seen lists the hosts heard from within memberKeep, by name.
func (c *controlHost) seen() []seenMember {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []seenMember
	for host, m := range c.members {
		if time.Since(m.at) > memberKeep {
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
		return model.Result{
			ID: p.ID, Kind: model.ResultUnknown,
			Message: "no answer in time; resend the change with the same change id",
		}, nil
	}
}

// controlFigures is what a control host publishes as metrics.
type controlFigures struct {
	Role     int    `json:"role"`
	Term     uint64 `json:"term"`
	Leader   string `json:"leader"`
	Last     uint64 `json:"last_index"`
	Commit   uint64 `json:"commit_index"`
	Accepted uint64 `json:"accepted_version"`
	Members  int    `json:"members"`
}

func (c *controlHost) figures() controlFigures {
	var s ctrl.Status
	c.core.read(func(model.Instant) { s = c.node.Status() })
	return controlFigures{
		Role: int(s.Role), Term: uint64(s.Term), Leader: string(s.Leader), Last: s.LastIndex,
		Commit: s.CommitIndex, Accepted: uint64(s.AcceptedVersion), Members: len(c.seen()),
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
