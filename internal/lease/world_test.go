package lease

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tarragongauge.example/tarragongauge/internal/codec"
	"tarragongauge.example/tarragongauge/internal/part"
	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

const (
	controlHost = model.HostID("control")
	worldHosts  = 8
	tickEvery   = 50 * time.Millisecond
)

type (
	moment = time.Duration // true time
	timed  struct {
		at moment
		do func()
	}
)

// world runs the cores of several hosts in virtual time over a faulty network
// and judges them in true time.
type world struct {
	t       *testing.T
	r       *rand.Rand
	now     moment
	agenda  []timed
	hosts   []*worldHost
	lead    *leader
	blocked map[[2]model.HostID]bool
	loss    float64
	healed  bool
	boot    []model.HostID
	epochs  [model.Shards]model.Epoch
	// direct counts the shards gained directly after the epoch of the last owner.
	direct int
	gains  [model.Shards]int
	// gained holds when each shard was last gained.
	gained [model.Shards]moment
	// partSize sends longer snapshots in parts, unless 0; transfers counts those received.
	partSize  int
	transfers int
}

// worldHost is one entry host with a clock of its own.
type worldHost struct {
	id      model.HostID
	rate    float64
	frozen  moment
	run     model.Incarnation
	drained bool
	fresh   *FreshnessClient
	claimer *Claimer
	seat    *Seat
	owners  []proto.Owner
	members []proto.Member
	// disk survives restarts; it is nil on hosts without one.
	disk *PersistedState
	// cfg is the configuration published last.
	cfg model.Config
	// slow is added to the delay of messages to this host.
	slow time.Duration
	// noFresh drops every FreshReply to this host, as a full queue can.
	noFresh bool
}

// leader stands in for the whole of control.
type leader struct {
	up       bool
	rate     float64
	cfg      model.Config // newest committed
	changes  []model.Committed
	accepted []acceptance
	round    uint64
	sent     map[uint64]model.Instant
	acks     map[model.HostID]ack
	sender   part.Sender
	encoded  map[model.Version][]byte
}

type acceptance struct {
	at  moment
	cfg model.Config
}

type ack struct {
	have  model.Version
	until model.Instant
}

func (h *worldHost) local(t moment) model.Instant { return model.Instant(float64(t)*h.rate) + 1e12 }

func (h *worldHost) trueOf(i model.Instant) moment { return moment(float64(i-1e12) / h.rate) }

func newWorld(t *testing.T, seed uint64) *world {
	w := &world{partSize: []int{0, 40}[seed%2], t: t, r: rand.New(rand.NewPCG(seed, 1)), blocked: map[[2]model.HostID]bool{}}
	disks := seed%3 > 0
	for i := range worldHosts {
		h := &worldHost{id: model.HostID(fmt.Sprintf("e%d", i)), rate: 0.98 + 0.04*w.r.Float64()}
		if disks {
			h.disk = &PersistedState{}
		}
		w.hosts = append(w.hosts, h)
		if i < 5 {
			w.boot = append(w.boot, h.id)
		}
	}
	w.lead = &leader{
		up: true, rate: 0.98 + 0.04*w.r.Float64(), sent: map[uint64]model.Instant{}, acks: map[model.HostID]ack{},
		sender: part.NewSender(w.partSize), encoded: map[model.Version][]byte{},
		cfg: model.NewConfig([]model.HostID{controlHost}, w.boot),
	}
	w.lead.accepted = []acceptance{{cfg: w.lead.cfg}}
	for _, h := range w.hosts {
		w.start(h)
		w.every(time.Duration(w.r.Int64N(int64(tickEvery))), func() { w.tick(h) })
	}
	w.every(0, w.leaderTick)
	return w
}

func (w *world) start(h *worldHost) {
	h.run = model.Incarnation(w.now) + 1
	opts := []Option{
		WithBootstrap(w.boot, []model.HostID{controlHost}), WithIncarnation(h.run),
		WithWallMillis(func() int64 { return w.now.Milliseconds() }),
		WithPartSize(w.partSize),
	}
	if h.disk != nil {
		opts = append(opts, WithPersistedState(PersistedState{Config: h.disk.Config, SeatsSettled: h.disk.SeatsSettled, Grants: slices.Clone(h.disk.Grants)}))
	}
	h.fresh = NewFreshnessClient(proto.Member{Host: h.id, Role: proto.RoleEntry, Incarnation: h.run}, opts...)
	h.claimer, h.seat, h.drained = NewClaimer(h.id, opts...), NewSeat(h.id, opts...), false
}

func (w *world) at(t moment, do func()) {
	i, _ := slices.BinarySearchFunc(w.agenda, t, func(e timed, t moment) int {
		if e.at <= t {
			return -1
		}
		return 1
	})
	w.agenda = slices.Insert(w.agenda, i, timed{at: t, do: do})
}

func (w *world) every(first moment, do func()) {
	w.at(w.now+first, func() {
		do()
		w.every(tickEvery, do)
	})
}

func (w *world) runUntil(t moment) {
	for len(w.agenda) > 0 && w.agenda[0].at <= t {
		next := w.agenda[0]
		w.agenda = w.agenda[1:]
		w.now = next.at
		next.do()
	}
	w.now = t
}

func (w *world) tick(h *worldHost) {
	if w.now < h.frozen {
		return
	}
	for _, core := range []Core{h.fresh, h.claimer, h.seat} {
		w.step(h, core, Tick{})
	}
}

func (w *world) step(h *worldHost, core Core, ev Event) {
	for _, e := range core.Step(h.local(w.now), ev) {
		switch e := e.(type) {
		case Send:
			w.send(h.id, e.To, e.Msg)
		case EncodeConfig:
			data, err := codec.EncodeConfig(e.Config)
			require.NoError(w.t, err)
			w.later(h, time.Second, func() { w.step(h, core, ConfigEncoded{Version: e.Config.Version, Data: data}) })
		case DecodeSnapshot:
			cfg, err := codec.DecodeConfig(e.Data)
			require.NoError(w.t, err)
			w.later(h, time.Second, func() { w.step(h, core, SnapshotDecoded{Config: cfg, OK: true}) })
		case PersistGrants:
			w.keep(h, e)
		case ConfigChanged:
			h.cfg = e.Config
		case QuorumsChanged:
			w.keepSettled(h, e)
		case OwnershipGained:
			w.checkOwner(h, e)
		case OwnershipRenewed:
			w.checkAlone(h, e.Shard)
		case FreshnessExtended:
			w.checkFresh(h, e.Until)
		case OwnersChanged:
			h.owners = e.Owners
		case MembersChanged:
			h.members = e.Members
		}
		if next, ok := e.(Event); ok {
			w.step(h, h.claimer, next)
			w.step(h, h.seat, next)
		}
	}
}

// keep writes grants to the disk, unless the host is restarted before.
func (w *world) keep(h *worldHost, k PersistGrants) {
	w.later(h, 100*time.Millisecond, func() {
		h.disk.Grants = slices.DeleteFunc(h.disk.Grants, func(o proto.Owner) bool {
			return slices.ContainsFunc(k.Grants, func(n proto.Owner) bool { return n.Shard == o.Shard })
		})
		h.disk.Grants = append(h.disk.Grants, k.Grants...)
		w.send(h.id, k.Reply.To, k.Reply.Msg)
		w.step(h, h.seat, GrantsPersisted{Number: k.Number})
	})
}

// keepSettled writes a configuration whose list of seats has settled.
func (w *world) keepSettled(h *worldHost, q QuorumsChanged) {
	if h.disk == nil || len(q.Lists) != 1 {
		return
	}
	cfg := h.cfg
	w.later(h, time.Second, func() { h.disk.Config, h.disk.SeatsSettled = cfg, true })
}

func (w *world) later(h *worldHost, within time.Duration, do func()) {
	run := h.run
	w.at(w.now+time.Duration(w.r.Int64N(int64(within))), func() {
		if h.run == run {
			do()
		}
	})
}

// checkOwner guards against two owners of a shard, against epochs that do not
// grow, and against a previous epoch that skips an owner.
func (w *world) checkOwner(h *worldHost, g OwnershipGained) {
	w.checkAlone(h, g.Shard)
	if g.Epoch <= w.epochs[g.Shard] {
		w.t.Fatalf("%v: shard %d gained with epoch %d after %d", w.now, g.Shard, g.Epoch, w.epochs[g.Shard])
	}
	// An epoch before that of the last owner harms nobody once every reserve of it has expired.
	expired := w.now-w.gained[g.Shard] >= model.ReserveValid
	if g.PreviousEpoch != 0 && g.PreviousEpoch < w.epochs[g.Shard] && !expired {
		w.t.Fatalf("%v: shard %d gained after epoch %d, but the last owner had %d", w.now, g.Shard, g.PreviousEpoch, w.epochs[g.Shard])
	}
	if g.PreviousEpoch != 0 && g.PreviousEpoch == w.epochs[g.Shard] {
		w.direct++
	}
	w.epochs[g.Shard] = g.Epoch
	w.gained[g.Shard] = w.now
	w.gains[g.Shard]++
}

func (w *world) checkAlone(h *worldHost, id model.ShardID) {
	for _, o := range w.hosts {
		if o != h && o.claimer.Owns(o.local(w.now), id) {
			w.t.Fatalf("%v: %s gained shard %d while %s owns it", w.now, h.id, id, o.id)
		}
	}
}

// checkFresh guards against a right to serve an older version later than Fresh after a newer one was accepted.
func (w *world) checkFresh(h *worldHost, until model.Instant) {
	cfg, _ := h.fresh.Config()
	for _, a := range w.lead.accepted {
		if a.cfg.Version > cfg.Version && h.trueOf(until) > a.at+DefaultTiming().FreshnessDuration {
			w.t.Fatalf("%v: %s may serve version %d until %v, but %d was accepted at %v", w.now, h.id, cfg.Version, h.trueOf(until), a.cfg.Version, a.at)
		}
	}
}

func (w *world) send(from, to model.HostID, m proto.Message) {
	if w.blocked[[2]model.HostID{from, to}] || w.r.Float64() < w.loss {
		return
	}
	for range 1 + w.r.IntN(33)/32 {
		delay := time.Duration(200e3 + w.r.Int64N(3e6))
		if w.r.IntN(50) == 0 {
			delay = time.Duration(w.r.Int64N(4e9))
		}
		if to != controlHost {
			delay += w.host(to).slow
		}
		w.at(w.now+delay, func() { w.deliver(from, to, m) })
	}
}

func (w *world) deliver(from, to model.HostID, m proto.Message) {
	if to == controlHost {
		w.leaderReceive(from, m)
		return
	}
	h := w.host(to)
	if w.now < h.frozen {
		w.at(h.frozen, func() { w.deliver(from, to, m) })
		return
	}
	ev := Received{From: from, Msg: m}
	switch m.(type) {
	case proto.LeaseReply:
		w.step(h, h.claimer, ev)
	case proto.FreshReply:
		if h.noFresh {
			return
		}
		w.step(h, h.fresh, ev)
		w.step(h, h.seat, ev)
	case proto.Part:
		_, before := h.fresh.receiver.RunningRank()
		w.step(h, h.fresh, ev)
		w.step(h, h.seat, ev)
		if _, after := h.fresh.receiver.RunningRank(); before && !after {
			w.transfers++
		}
	default:
		w.step(h, h.seat, ev)
	}
}

func (w *world) host(id model.HostID) *worldHost {
	i := slices.IndexFunc(w.hosts, func(h *worldHost) bool { return h.id == id })
	return w.hosts[i]
}

func (w *world) leaderNow() model.Instant { return model.Instant(float64(w.now) * w.lead.rate) }

func (l *leader) newest() model.Config { return l.accepted[len(l.accepted)-1].cfg }

// lists are the lists of seats that must hold the newest committed version.
func (l *leader) lists() [][]model.HostID { return [][]model.HostID{l.newest().Seats, l.cfg.Seats} }

func (l *leader) propose(c model.Change) bool {
	if !l.up || l.newest().Version != l.cfg.Version {
		return false
	}
	p := model.Proposal{Base: l.cfg.Version, Change: c}
	next, err := l.cfg.Apply(l.cfg.Version+2, p)
	if err != nil {
		return false
	}
	l.cfg = next
	l.changes = append(l.changes, model.Committed{Version: next.Version, Proposal: p})
	return true
}

// snapshot returns what a message carries for a configuration.
func (w *world) snapshot(data []byte) ([]byte, *proto.SnapshotOffer) {
	return w.lead.sender.Offer(w.leaderNow(), data)
}

func (l *leader) update(have model.Version, to model.Config) ([]model.Committed, []byte) {
	from := slices.IndexFunc(l.changes, func(c model.Committed) bool { return c.Proposal.Base == have })
	if have == 0 || from < 0 {
		if l.encoded[to.Version] == nil {
			l.encoded[to.Version], _ = codec.EncodeConfig(to)
		}
		return nil, l.encoded[to.Version]
	}
	upTo := slices.IndexFunc(l.changes, func(c model.Committed) bool { return c.Version > to.Version })
	if upTo < 0 {
		upTo = len(l.changes)
	}
	return l.changes[from:max(from, upTo)], nil
}

func (w *world) leaderTick() {
	l := w.lead
	if !l.up {
		return
	}
	for _, seat := range addHosts(addHosts(nil, l.lists()[0]), l.lists()[1]) {
		l.round++
		l.sent[l.round] = w.leaderNow()
		m := proto.SeatStage{Round: l.round, Newest: l.cfg.Version}
		var data []byte
		m.Changes, data = l.update(l.acks[seat].have, l.cfg)
		m.Snapshot, m.Offer = w.snapshot(data)
		w.send(controlHost, seat, m)
	}
}

func (w *world) leaderReceive(from model.HostID, m proto.Message) {
	l := w.lead
	if !l.up {
		return
	}
	switch m := m.(type) {
	case proto.SeatStageReply:
		until := l.sent[m.Round].Add(DefaultTiming().StageValid)
		if until > l.acks[from].until {
			l.acks[from] = ack{have: m.HeldVersion, until: until}
		}
		w.accept()
	case proto.FreshAsk:
		// The answer was confirmed up to 50 ms ago and names the newest committed
		// version, as ctrl.Node.Confirm does.
		age := time.Duration(w.r.Int64N(50e6))
		known := l.cfg
		reply := proto.FreshReply{Nonce: m.Nonce, Newest: known.Version, FromControl: true, Age: time.Duration(float64(age) * l.rate)}
		if m.HeldVersion == 0 || m.HeldVersion < known.Version {
			var data []byte
			reply.Changes, data = l.update(m.HeldVersion, known)
			reply.Snapshot, reply.Offer = w.snapshot(data)
		}
		w.send(controlHost, from, reply)
	case proto.PartAsk:
		w.send(controlHost, from, l.sender.Answer(w.leaderNow(), m))
	}
}

func (w *world) accept() {
	l := w.lead
	if l.newest().Version == l.cfg.Version {
		return
	}
	for _, list := range l.lists() {
		n := 0
		for _, h := range list {
			if a := l.acks[h]; a.have >= l.cfg.Version && a.until > w.leaderNow() {
				n++
			}
		}
		if n < model.Majority(len(list)) {
			return
		}
	}
	l.accepted = append(l.accepted, acceptance{at: w.now, cfg: l.cfg})
}

// fault injects one random fault or repair.
func (w *world) fault() {
	h := w.hosts[w.r.IntN(len(w.hosts))]
	switch w.r.IntN(18) {
	case 0, 1:
		w.block(h, true, false)
	case 2:
		w.block(h, false, true)
	case 3:
		w.block(h, true, true)
	case 4:
		clear(w.blocked)
	case 5:
		h.frozen = w.now + time.Duration(w.r.Int64N(4e9))
	case 6, 7:
		if h.disk != nil && w.r.IntN(3) == 0 {
			h.disk = &PersistedState{}
		}
		w.start(h)
	case 8:
		w.restartSeats()
	case 9:
		w.lead.up = !w.lead.up
	case 10:
		w.loss = w.r.Float64() * w.r.Float64() * 0.4
	case 11:
		w.lead.propose(model.SetSeats{Seats: w.someHosts(3 + 2*w.r.IntN(2))})
	case 12:
		h.drained = true
		w.step(h, h.claimer, Handover{})
		w.step(h, h.fresh, Handover{})
	case 13:
		h.slow = time.Duration(w.r.Int64N(25e8))
	case 14:
		h.slow = time.Duration(w.r.Int64N(15e8))
		w.at(w.now+time.Second, func() {
			if !w.healed {
				w.block(h, false, true)
			}
		})
	case 15, 16:
		// A host with a wrong list of members claims shards of others.
		w.step(h, h.claimer, MembersChanged{Members: []proto.Member{{Host: h.id, Role: proto.RoleEntry}}})
	default:
		w.lead.propose(model.CreateWorkspace{Workspace: model.WorkspaceID(fmt.Sprint("w", int64(w.now)))})
	}
}

func (w *world) someHosts(n int) []model.HostID {
	var ids []model.HostID
	for _, i := range w.r.Perm(len(w.hosts))[:n] {
		ids = append(ids, w.hosts[i].id)
	}
	return ids
}

// restartSeats restarts a majority of the seats, all at once or in a row.
func (w *world) restartSeats() {
	seats := w.lead.newest().Seats
	gap := time.Duration(w.r.IntN(2)) * 900 * time.Millisecond
	for i := range model.Majority(len(seats)) {
		w.at(w.now+time.Duration(i)*gap, func() { w.start(w.host(seats[i])) })
	}
}

// block cuts a host from some of the others in one or both directions.
func (w *world) block(h *worldHost, in, out bool) {
	all := w.r.IntN(2) == 0
	for _, o := range append(w.someHosts(len(w.hosts)), controlHost) {
		if o == h.id || (!all && w.r.IntN(2) == 0) {
			continue
		}
		if in {
			w.blocked[[2]model.HostID{o, h.id}] = true
		}
		if out {
			w.blocked[[2]model.HostID{h.id, o}] = true
		}
	}
}

// schedule runs one random schedule of faults, heals everything and requires
// that the fleet recovers completely.
func schedule(t *testing.T, seed uint64) {
	w := newWorld(t, seed)
	w.runUntil(moment(w.r.Int64N(8e9)))
	w.lead.propose(model.CreateWorkspace{Workspace: "first"})
	for range 10 + w.r.IntN(20) {
		w.fault()
		w.runUntil(w.now + time.Duration(w.r.Int64N(15e8)))
	}
	clear(w.blocked)
	w.healed, w.loss, w.lead.up = true, 0, true
	for _, h := range w.hosts {
		h.frozen, h.slow = 0, 0
		if h.drained {
			w.start(h)
			continue
		}
		w.step(h, h.claimer, MembersChanged{Members: h.members})
	}
	w.runUntil(w.now + 16*time.Second)
	w.requireWhole()
	require.Equal(t, w.partSize > 0, w.transfers > 0, "%d snapshots received in parts", w.transfers)
}

// requireWhole guards against faults that the fleet does not recover from.
func (w *world) requireWhole() {
	for _, h := range w.hosts {
		cfg, _ := h.fresh.Config()
		require.Equal(w.t, w.lead.newest().Version, cfg.Version, "version of %s", h.id)
		require.Greater(w.t, h.fresh.FreshUntil(), h.local(w.now), "%s is not fresh", h.id)
	}
	for s := range model.ShardID(model.Shards) {
		require.True(w.t, slices.ContainsFunc(w.hosts, func(h *worldHost) bool {
			return h.claimer.Owns(h.local(w.now), s)
		}), "shard %d has no owner", s)
	}
}
