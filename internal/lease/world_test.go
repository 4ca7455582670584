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
	controlHost  = model.HostID("control")
	hostCount    = 8
	tickInterval = 50 * time.Millisecond
)

type (
	// trueTime is the time since the start of the simulation on a clock without drift.
	trueTime = time.Duration
	// scheduledEvent calls do at a true time.
	scheduledEvent struct {
		at trueTime
		do func()
	}
)

// world simulates the cores of several hosts in virtual time over a faulty network.
// Hosts have clocks that drift; the checks use the true time of the simulation.
type world struct {
	t              *testing.T
	r              *rand.Rand
	now            trueTime
	eventQueue     []scheduledEvent
	hosts          []*worldHost
	leader         *fakeLeader
	blocked        map[[2]model.HostID]bool
	loss           float64
	healed         bool
	bootstrapSeats []model.HostID
	lastEpochs     [model.Shards]model.Epoch
	// directHandovers counts the shards whose new owner knew the epoch of the last one.
	directHandovers int
	gainCounts      [model.Shards]int
	// lastGainedAt holds when each shard was last gained.
	lastGainedAt [model.Shards]trueTime
	// partSize is the size above which snapshots are sent in parts, or 0 for the
	// default. transfers counts the snapshots received in parts.
	partSize  int
	transfers int
}

// worldHost is an entry host with a seat and its own clock, which runs at rate.
type worldHost struct {
	id          model.HostID
	rate        float64
	frozenUntil trueTime
	incarnation model.Incarnation
	drained     bool
	fresh       *FreshnessClient
	claimer     *Claimer
	seat        *Seat
	owners      []proto.Owner
	members     []proto.Member
	// disk survives restarts. It is nil on hosts without a disk.
	disk *PersistedState
	// cfg is the configuration that fresh published last.
	cfg model.Config
	// extraDelay is added to the delay of messages to this host.
	extraDelay time.Duration
	// dropsFreshReplies makes the host lose every FreshReply, as a full queue can.
	dropsFreshReplies bool
}

// fakeLeader simulates the control hosts as one leader.
type fakeLeader struct {
	up        bool
	rate      float64
	committed model.Config // the newest committed configuration, maybe not accepted
	changes   []model.Committed
	accepted  []acceptance
	round     uint64
	sent      map[uint64]model.Instant
	acks      map[model.HostID]ack
	sender    part.Sender
	encoded   map[model.Version][]byte
}

// acceptance is a configuration that a majority of each list of seats acknowledged.
type acceptance struct {
	at  trueTime
	cfg model.Config
}

// ack is the acknowledgement of a version by a seat, valid until an instant.
type ack struct {
	version model.Version
	until   model.Instant
}

// localTime returns the time that the clock of the host shows at a true time.
func (h *worldHost) localTime(t trueTime) model.Instant {
	return model.Instant(float64(t)*h.rate) + 1e12
}

// toTrueTime returns the true time at which the clock of the host shows an instant.
func (h *worldHost) toTrueTime(i model.Instant) trueTime { return trueTime(float64(i-1e12) / h.rate) }

// newWorld starts hostCount hosts, the first five of which are the bootstrap seats.
// The seed also decides whether hosts have disks and whether parts of snapshots are
// as small as 40 bytes.
func newWorld(t *testing.T, seed uint64) *world {
	w := &world{partSize: []int{0, 40}[seed%2], t: t, r: rand.New(rand.NewPCG(seed, 1)), blocked: map[[2]model.HostID]bool{}}
	disks := seed%3 > 0
	for i := range hostCount {
		h := &worldHost{id: model.HostID(fmt.Sprintf("e%d", i)), rate: 0.98 + 0.04*w.r.Float64()}
		if disks {
			h.disk = &PersistedState{}
		}
		w.hosts = append(w.hosts, h)
		if i < 5 {
			w.bootstrapSeats = append(w.bootstrapSeats, h.id)
		}
	}
	w.leader = &fakeLeader{
		up: true, rate: 0.98 + 0.04*w.r.Float64(), sent: map[uint64]model.Instant{}, acks: map[model.HostID]ack{},
		sender: part.NewSender(w.partSize), encoded: map[model.Version][]byte{},
		committed: model.NewConfig([]model.HostID{controlHost}, w.bootstrapSeats),
	}
	w.leader.accepted = []acceptance{{cfg: w.leader.committed}}
	for _, h := range w.hosts {
		w.start(h)
		w.repeat(time.Duration(w.r.Int64N(int64(tickInterval))), func() { w.tick(h) })
	}
	w.repeat(0, w.leaderTick)
	return w
}

// start starts or restarts a host with the state on its disk, if it has one.
func (w *world) start(h *worldHost) {
	h.incarnation = model.Incarnation(w.now) + 1
	opts := []Option{
		WithBootstrap(w.bootstrapSeats, []model.HostID{controlHost}), WithIncarnation(h.incarnation),
		WithWallMillis(func() int64 { return w.now.Milliseconds() }),
		WithPartSize(w.partSize),
	}
	if h.disk != nil {
		opts = append(opts, WithPersistedState(PersistedState{Config: h.disk.Config, SeatsSettled: h.disk.SeatsSettled, Grants: slices.Clone(h.disk.Grants)}))
	}
	h.fresh = NewFreshnessClient(proto.Member{Host: h.id, Role: proto.RoleEntry, Incarnation: h.incarnation}, opts...)
	h.claimer, h.seat, h.drained = NewClaimer(h.id, opts...), NewSeat(h.id, opts...), false
}

// schedule adds an event at a true time, after earlier events of the same time.
func (w *world) schedule(t trueTime, do func()) {
	i, _ := slices.BinarySearchFunc(w.eventQueue, t, func(e scheduledEvent, t trueTime) int {
		if e.at <= t {
			return -1
		}
		return 1
	})
	w.eventQueue = slices.Insert(w.eventQueue, i, scheduledEvent{at: t, do: do})
}

// repeat calls do after a first delay and then at each tickInterval.
func (w *world) repeat(first trueTime, do func()) {
	w.schedule(w.now+first, func() {
		do()
		w.repeat(tickInterval, do)
	})
}

// runUntil runs the scheduled events up to a true time.
func (w *world) runUntil(t trueTime) {
	for len(w.eventQueue) > 0 && w.eventQueue[0].at <= t {
		next := w.eventQueue[0]
		w.eventQueue = w.eventQueue[1:]
		w.now = next.at
		next.do()
	}
	w.now = t
}

// tick delivers a Tick to the cores of a host, unless the host is frozen.
func (w *world) tick(h *worldHost) {
	if w.now < h.frozenUntil {
		return
	}
	for _, core := range []Core{h.fresh, h.claimer, h.seat} {
		w.step(h, core, Tick{})
	}
}

func (w *world) step(h *worldHost, core Core, ev Event) {
	for _, e := range core.Step(h.localTime(w.now), ev) {
		switch e := e.(type) {
		case Send:
			w.send(h.id, e.To, e.Msg)
		case EncodeConfig:
			data, err := codec.EncodeConfig(e.Config)
			require.NoError(w.t, err)
			w.afterRandomDelay(h, time.Second, func() { w.step(h, core, ConfigEncoded{Version: e.Config.Version, Data: data}) })
		case DecodeSnapshot:
			cfg, err := codec.DecodeConfig(e.Data)
			require.NoError(w.t, err)
			w.afterRandomDelay(h, time.Second, func() { w.step(h, core, SnapshotDecoded{Config: cfg, OK: true}) })
		case PersistGrants:
			w.persistGrants(h, e)
		case ConfigChanged:
			h.cfg = e.Config
		case QuorumsChanged:
			w.persistSettledConfig(h, e)
		case OwnershipGained:
			w.checkGain(h, e)
		case OwnershipRenewed:
			w.checkSoleOwner(h, e.Shard)
		case FreshnessExtended:
			w.checkFreshness(h, e.Until)
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

// persistGrants writes grants to the disk and sends the reply after a random delay,
// unless the host restarts before.
func (w *world) persistGrants(h *worldHost, k PersistGrants) {
	w.afterRandomDelay(h, 100*time.Millisecond, func() {
		h.disk.Grants = slices.DeleteFunc(h.disk.Grants, func(o proto.Owner) bool {
			return slices.ContainsFunc(k.Grants, func(n proto.Owner) bool { return n.Shard == o.Shard })
		})
		h.disk.Grants = append(h.disk.Grants, k.Grants...)
		w.send(h.id, k.Reply.To, k.Reply.Msg)
		w.step(h, h.seat, GrantsPersisted{Number: k.Number})
	})
}

// persistSettledConfig writes the configuration to the disk if its list of seats has
// settled.
func (w *world) persistSettledConfig(h *worldHost, q QuorumsChanged) {
	if h.disk == nil || len(q.Lists) != 1 {
		return
	}
	cfg := h.cfg
	w.afterRandomDelay(h, time.Second, func() { h.disk.Config, h.disk.SeatsSettled = cfg, true })
}

// afterRandomDelay calls do within a duration, unless the host restarts before.
func (w *world) afterRandomDelay(h *worldHost, within time.Duration, do func()) {
	run := h.incarnation
	w.schedule(w.now+time.Duration(w.r.Int64N(int64(within))), func() {
		if h.incarnation == run {
			do()
		}
	})
}

// checkGain fails if a shard has two owners, if its epoch does not grow, or if the
// previous epoch is older than that of the last owner.
func (w *world) checkGain(h *worldHost, g OwnershipGained) {
	w.checkSoleOwner(h, g.Shard)
	if g.Epoch <= w.lastEpochs[g.Shard] {
		w.t.Fatalf("%v: shard %d gained with epoch %d after %d", w.now, g.Shard, g.Epoch, w.lastEpochs[g.Shard])
	}
	// An epoch older than that of the last owner is harmless once all reserves of that
	// epoch have expired.
	expired := w.now-w.lastGainedAt[g.Shard] >= model.ReserveValidity
	if g.PreviousEpoch != 0 && g.PreviousEpoch < w.lastEpochs[g.Shard] && !expired {
		w.t.Fatalf("%v: shard %d gained after epoch %d, but the last owner had %d", w.now, g.Shard, g.PreviousEpoch, w.lastEpochs[g.Shard])
	}
	if g.PreviousEpoch != 0 && g.PreviousEpoch == w.lastEpochs[g.Shard] {
		w.directHandovers++
	}
	w.lastEpochs[g.Shard] = g.Epoch
	w.lastGainedAt[g.Shard] = w.now
	w.gainCounts[g.Shard]++
}

// checkSoleOwner fails if a host other than h owns the shard.
func (w *world) checkSoleOwner(h *worldHost, id model.ShardID) {
	for _, o := range w.hosts {
		if o != h && o.claimer.Owns(o.localTime(w.now), id) {
			w.t.Fatalf("%v: %s gained shard %d while %s owns it", w.now, h.id, id, o.id)
		}
	}
}

// checkFreshness fails if a host stays fresh with an older version for longer than
// FreshnessDuration after a newer one was accepted.
func (w *world) checkFreshness(h *worldHost, until model.Instant) {
	cfg, _ := h.fresh.Config()
	for _, a := range w.leader.accepted {
		if a.cfg.Version > cfg.Version && h.toTrueTime(until) > a.at+DefaultTiming().FreshnessDuration {
			w.t.Fatalf("%v: %s may serve version %d until %v, but %d was accepted at %v", w.now, h.id, cfg.Version, h.toTrueTime(until), a.cfg.Version, a.at)
		}
	}
}

// send delivers a message after a random delay, at times twice, or loses it.
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
			delay += w.host(to).extraDelay
		}
		w.schedule(w.now+delay, func() { w.deliver(from, to, m) })
	}
}

// deliver passes a message to the cores that handle it. A frozen host receives the
// message once it continues.
func (w *world) deliver(from, to model.HostID, m proto.Message) {
	if to == controlHost {
		w.leaderDeliver(from, m)
		return
	}
	h := w.host(to)
	if w.now < h.frozenUntil {
		w.schedule(h.frozenUntil, func() { w.deliver(from, to, m) })
		return
	}
	ev := Received{From: from, Msg: m}
	switch m.(type) {
	case proto.LeaseReply:
		w.step(h, h.claimer, ev)
	case proto.FreshReply:
		if h.dropsFreshReplies {
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

func (w *world) leaderTime() model.Instant { return model.Instant(float64(w.now) * w.leader.rate) }

func (l *fakeLeader) newestAccepted() model.Config { return l.accepted[len(l.accepted)-1].cfg }

// seatLists returns the lists of seats of which a majority each must hold the newest
// committed version: those of the newest accepted and the newest committed one.
func (l *fakeLeader) seatLists() [][]model.HostID {
	return [][]model.HostID{l.newestAccepted().Seats, l.committed.Seats}
}

// propose commits a change. It returns false if control is down, if the version
// before is not accepted yet, or if the change is invalid.
func (l *fakeLeader) propose(c model.Change) bool {
	if !l.up || l.newestAccepted().Version != l.committed.Version {
		return false
	}
	p := model.Proposal{Base: l.committed.Version, Change: c}
	next, err := l.committed.Apply(l.committed.Version+2, p)
	if err != nil {
		return false
	}
	l.committed = next
	l.changes = append(l.changes, model.Committed{Version: next.Version, Proposal: p})
	return true
}

// snapshot returns an encoded configuration for a message, whole or as an offer of parts.
func (w *world) snapshot(data []byte) ([]byte, *proto.SnapshotOffer) {
	return w.leader.sender.Offer(w.leaderTime(), data)
}

// changesFor returns the changes from a version to a configuration, or the encoded
// configuration if the changes are not kept.
func (l *fakeLeader) changesFor(have model.Version, to model.Config) ([]model.Committed, []byte) {
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
	l := w.leader
	if !l.up {
		return
	}
	for _, seat := range addHosts(addHosts(nil, l.seatLists()[0]), l.seatLists()[1]) {
		l.round++
		l.sent[l.round] = w.leaderTime()
		m := proto.SeatStage{Round: l.round, Newest: l.committed.Version}
		var data []byte
		m.Changes, data = l.changesFor(l.acks[seat].version, l.committed)
		m.Snapshot, m.Offer = w.snapshot(data)
		w.send(controlHost, seat, m)
	}
}

func (w *world) leaderDeliver(from model.HostID, m proto.Message) {
	l := w.leader
	if !l.up {
		return
	}
	switch m := m.(type) {
	case proto.SeatStageReply:
		until := l.sent[m.Round].Add(DefaultTiming().StageValid)
		if until > l.acks[from].until {
			l.acks[from] = ack{version: m.HeldVersion, until: until}
		}
		w.accept()
	case proto.FreshAsk:
		// The answer was confirmed up to 50 ms ago and reports the newest committed
		// version, as ctrl.Node.ConfirmLeadership does.
		age := time.Duration(w.r.Int64N(50e6))
		known := l.committed
		reply := proto.FreshReply{Nonce: m.Nonce, Newest: known.Version, FromControl: true, Age: time.Duration(float64(age) * l.rate)}
		if m.HeldVersion == 0 || m.HeldVersion < known.Version {
			var data []byte
			reply.Changes, data = l.changesFor(m.HeldVersion, known)
			reply.Snapshot, reply.Offer = w.snapshot(data)
		}
		w.send(controlHost, from, reply)
	case proto.PartAsk:
		w.send(controlHost, from, l.sender.Answer(w.leaderTime(), m))
	}
}

// accept records the acceptance of the committed version once a majority of each list
// of seats has acknowledged it.
func (w *world) accept() {
	l := w.leader
	if l.newestAccepted().Version == l.committed.Version {
		return
	}
	for _, list := range l.seatLists() {
		n := 0
		for _, h := range list {
			if a := l.acks[h]; a.version >= l.committed.Version && a.until > w.leaderTime() {
				n++
			}
		}
		if n < model.Majority(len(list)) {
			return
		}
	}
	l.accepted = append(l.accepted, acceptance{at: w.now, cfg: l.committed})
}

// injectFault causes one random fault, repair or change of the configuration.
func (w *world) injectFault() {
	h := w.hosts[w.r.IntN(len(w.hosts))]
	switch w.r.IntN(18) {
	case 0, 1:
		w.blockLinks(h, true, false)
	case 2:
		w.blockLinks(h, false, true)
	case 3:
		w.blockLinks(h, true, true)
	case 4:
		clear(w.blocked)
	case 5:
		h.frozenUntil = w.now + time.Duration(w.r.Int64N(4e9))
	case 6, 7:
		if h.disk != nil && w.r.IntN(3) == 0 {
			h.disk = &PersistedState{}
		}
		w.start(h)
	case 8:
		w.restartSeats()
	case 9:
		w.leader.up = !w.leader.up
	case 10:
		w.loss = w.r.Float64() * w.r.Float64() * 0.4
	case 11:
		w.leader.propose(model.SetSeats{Seats: w.randomHosts(3 + 2*w.r.IntN(2))})
	case 12:
		h.drained = true
		w.step(h, h.claimer, Handover{})
		w.step(h, h.fresh, Handover{})
	case 13:
		h.extraDelay = time.Duration(w.r.Int64N(25e8))
	case 14:
		h.extraDelay = time.Duration(w.r.Int64N(15e8))
		w.schedule(w.now+time.Second, func() {
			if !w.healed {
				w.blockLinks(h, false, true)
			}
		})
	case 15, 16:
		// A host with a wrong list of members claims the shards of others.
		w.step(h, h.claimer, MembersChanged{Members: []proto.Member{{Host: h.id, Role: proto.RoleEntry}}})
	default:
		w.leader.propose(model.CreateWorkspace{Workspace: model.WorkspaceID(fmt.Sprint("w", int64(w.now)))})
	}
}

func (w *world) randomHosts(n int) []model.HostID {
	var ids []model.HostID
	for _, i := range w.r.Perm(len(w.hosts))[:n] {
		ids = append(ids, w.hosts[i].id)
	}
	return ids
}

// restartSeats restarts a majority of the seats, all at once or one after another.
func (w *world) restartSeats() {
	seats := w.leader.newestAccepted().Seats
	gap := time.Duration(w.r.IntN(2)) * 900 * time.Millisecond
	for i := range model.Majority(len(seats)) {
		w.schedule(w.now+time.Duration(i)*gap, func() { w.start(w.host(seats[i])) })
	}
}

// blockLinks blocks the links between a host and all or some of the others in one or
// both directions.
func (w *world) blockLinks(h *worldHost, in, out bool) {
	all := w.r.IntN(2) == 0
	for _, o := range append(w.randomHosts(len(w.hosts)), controlHost) {
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

// runSchedule runs one random schedule of faults, ends all faults and requires that the
// fleet recovers completely.
func runSchedule(t *testing.T, seed uint64) {
	w := newWorld(t, seed)
	w.runUntil(trueTime(w.r.Int64N(8e9)))
	w.leader.propose(model.CreateWorkspace{Workspace: "first"})
	for range 10 + w.r.IntN(20) {
		w.injectFault()
		w.runUntil(w.now + time.Duration(w.r.Int64N(15e8)))
	}
	clear(w.blocked)
	w.healed, w.loss, w.leader.up = true, 0, true
	for _, h := range w.hosts {
		h.frozenUntil, h.extraDelay = 0, 0
		if h.drained {
			w.start(h)
			continue
		}
		w.step(h, h.claimer, MembersChanged{Members: h.members})
	}
	w.runUntil(w.now + 16*time.Second)
	w.requireRecovered()
	require.Equal(t, w.partSize > 0, w.transfers > 0, "%d snapshots received in parts", w.transfers)
}

// requireRecovered fails unless every host is fresh and has the newest accepted version,
// and every shard has an owner.
func (w *world) requireRecovered() {
	for _, h := range w.hosts {
		cfg, _ := h.fresh.Config()
		require.Equal(w.t, w.leader.newestAccepted().Version, cfg.Version, "version of %s", h.id)
		require.Greater(w.t, h.fresh.FreshUntil(), h.localTime(w.now), "%s is not fresh", h.id)
	}
	for s := range model.ShardID(model.Shards) {
		require.True(w.t, slices.ContainsFunc(w.hosts, func(h *worldHost) bool {
			return h.claimer.Owns(h.localTime(w.now), s)
		}), "shard %d has no owner", s)
	}
}
