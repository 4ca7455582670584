package admit

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

type (
	// simTime is the simulated true time since the start of a test.
	simTime = time.Duration
	// scheduledCall is a function to be called at an instant of simulated time.
	scheduledCall struct {
		at simTime
		do func()
	}
)

// boundMeter checks that at most rate × T + burst tokens are used in every
// window of length T. Its level is the greatest excess of uses over rate × T in
// any window that ends now.
type boundMeter struct {
	// startAt is when the meter starts to count. Earlier uses are ignored.
	startAt     simTime
	rate, burst float64
	level       float64
	lastUseAt   simTime
}

// recordUse counts the use of a token and reports whether the bound still holds.
func (m *boundMeter) recordUse(now simTime) bool {
	if now < m.startAt {
		return true
	}
	m.level = max(0, m.level-m.rate*(now-m.lastUseAt).Seconds()) + 1
	m.lastUseAt = now
	return m.level <= m.burst+1e-9
}

// fleet runs limiters and owners in simulated time over a faulty network. In
// place of real leases, one host owns all shards until they move to another.
type fleet struct {
	t   *testing.T
	r   *rand.Rand
	now simTime
	// seq is the number of the newest request.
	seq int
	// schedule holds the coming calls, sorted by time.
	schedule []scheduledCall
	hosts    []*fleetHost
	cfg      model.Config
	// owner is the host that owns all shards, and epoch its epoch.
	owner *fleetHost
	epoch model.Epoch
	stats map[model.WorkspaceID]*workspaceStats
	// networkFaults makes the network delay some messages for up to 1 s and duplicate others.
	networkFaults bool
	// lossRate is the probability with which a message is lost.
	lossRate float64
	// isolated holds the hosts that reach no other host.
	isolated map[*fleetHost]bool
	// cutFromOwner holds the hosts that reach each other but neither control nor the
	// host that owns all shards.
	cutFromOwner map[*fleetHost]bool
	// brokenLinks holds pairs of hosts of which the first does not reach the second.
	brokenLinks map[[2]*fleetHost]bool
	// standby is the next candidate for all shards.
	standby *fleetHost
	// previousEpochUnknown is set while the seats do not know the previous epoch.
	previousEpochUnknown bool
	// maxOwnerDelay is the longest time until a limiter receives a change of owner.
	maxOwnerDelay simTime
	sent          int
	opts          []Option
	// pollOwners is set if hosts that are not isolated learn the owner by polling.
	pollOwners bool
}

// fleetHost is an entry host with both cores.
type fleetHost struct {
	id model.HostID
	// clockRate is the speed of the host's clock relative to true time.
	clockRate float64
	// frozenUntil is when the host continues to run. Messages wait until then.
	frozenUntil simTime
	// leaseUntil is when the host's lease of all shards ends.
	leaseUntil  simTime
	incarnation model.Incarnation
	limiter     *Limiter
	ownerCore   *Owner
}

// workspaceStats checks and counts the requests of one workspace.
type workspaceStats struct {
	// meters check the bound, first under maxLimits and then under the present limits.
	meters []*boundMeter
	// maxLimits holds the greatest rate and burst so far.
	maxLimits model.Limits
	// ideal is a single bucket without delays. idealAdmitted counts the requests
	// that it admits, and idealUndecided holds those of them that the limiters have
	// not decided yet.
	ideal          boundMeter
	idealUndecided map[model.RequestID]bool

	// admissions holds the times at which requests were admitted.
	admissions []simTime

	// wronglyRefused counts the refused requests that the ideal bucket admitted, and
	// wronglyRefusedNoOwner those of them that were refused for want of an owner.
	offered, idealAdmitted, admitted, refused, wronglyRefused, wronglyRefusedNoOwner int
}

// maxAdmissions returns the greatest number of admissions in any window of a length.
func (t *workspaceStats) maxAdmissions(window simTime) int {
	most, first := 0, 0
	for i, at := range t.admissions {
		for at-t.admissions[first] > window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// localTime returns the instant on the host's clock at a true time.
func (h *fleetHost) localTime(t simTime) model.Instant {
	return model.Instant(float64(t)*h.clockRate) + 1e12
}

// newFleet returns a fleet without an owner. The clocks drift by up to 2 %.
func newFleet(t *testing.T, seed uint64, hosts int, limits map[model.WorkspaceID]model.Limits, opts ...Option) *fleet {
	f := &fleet{
		opts: opts,
		t:    t, r: rand.New(rand.NewPCG(seed, 2)), cfg: model.NewConfig(nil, nil), maxOwnerDelay: 400 * time.Millisecond,
		stats: map[model.WorkspaceID]*workspaceStats{}, isolated: map[*fleetHost]bool{}, cutFromOwner: map[*fleetHost]bool{},
		brokenLinks: map[[2]*fleetHost]bool{},
	}
	for ws, l := range limits {
		f.cfg.Workspaces = f.cfg.Workspaces.With(model.Workspace{ID: ws})
		f.cfg.Exceptions = f.cfg.Exceptions.With(model.Exception{ID: string(ws), Reason: "test", Override: model.LimitsOverride{Workspace: ws, Limits: l}})
		f.stats[ws] = &workspaceStats{
			maxLimits: l, meters: []*boundMeter{{rate: l.Rate, burst: l.Burst}, {rate: l.Rate, burst: l.Burst}},
			ideal: boundMeter{rate: l.Rate, burst: l.Burst}, idealUndecided: map[model.RequestID]bool{},
		}
	}
	for i := range hosts {
		h := &fleetHost{id: model.HostID(fmt.Sprint("e", i)), clockRate: 0.98 + 0.04*f.r.Float64()}
		f.hosts = append(f.hosts, h)
		f.start(h)
		f.every(time.Duration(f.r.Int64N(20e6)), 20*time.Millisecond, func() { f.tick(h) })
	}
	f.setStandby(f.hosts[len(f.hosts)/2])
	f.every(0, 400*time.Millisecond, f.renew)
	return f
}

// start starts a host with new cores, as the next incarnation.
func (f *fleet) start(h *fleetHost) {
	h.incarnation++
	opts := append([]Option{WithIncarnation(h.incarnation)}, f.opts...)
	h.limiter = NewLimiter(h.id, opts...)
	h.ownerCore = NewOwner(h.id, opts...)
	f.stepOwner(h, Configured{Config: f.cfg})
	f.sendStandby(h)
}

// at schedules a call. Calls for the same time run in the order of scheduling.
func (f *fleet) at(t simTime, do func()) {
	i, _ := slices.BinarySearchFunc(f.schedule, t, func(e scheduledCall, t simTime) int {
		if e.at <= t {
			return -1
		}
		return 1
	})
	f.schedule = slices.Insert(f.schedule, i, scheduledCall{at: t, do: do})
}

// every schedules a call after first and then after each interval.
func (f *fleet) every(first, interval simTime, do func()) {
	f.at(f.now+first, func() {
		do()
		f.every(interval, interval, do)
	})
}

// runUntil makes the calls that are due up to a time.
func (f *fleet) runUntil(t simTime) {
	for len(f.schedule) > 0 && f.schedule[0].at <= t {
		next := f.schedule[0]
		f.schedule = f.schedule[1:]
		f.now = next.at
		next.do()
	}
	f.now = t
}

func (f *fleet) tick(h *fleetHost) {
	if f.now >= h.frozenUntil {
		f.stepLimiter(h, Tick{})
		f.stepOwner(h, Tick{})
	}
}

// setOwner moves all shards to a host under a new epoch. Without pollOwners the
// limiters receive the change within maxOwnerDelay.
func (f *fleet) setOwner(h *fleetHost) {
	f.owner = h
	previous := f.epoch
	if f.previousEpochUnknown {
		previous = 0
	}
	f.epoch++
	h.leaseUntil = f.now + 1500*time.Millisecond
	for s := range model.ShardID(model.WorkspaceShards) {
		f.stepOwner(h, OwnershipGained{Shard: s, Epoch: f.epoch, Until: h.localTime(h.leaseUntil), PreviousEpoch: previous})
	}
	if f.pollOwners {
		return
	}
	owners := f.owners()
	for _, o := range f.hosts {
		f.at(f.now+time.Duration(f.r.Int64N(int64(f.maxOwnerDelay))), func() { f.stepLimiter(o, OwnersChanged{Owners: owners}) })
	}
}

// owners returns the table of shard owners. It is empty once the lease has ended.
func (f *fleet) owners() []proto.Owner {
	if f.owner == nil || f.now >= f.owner.leaseUntil {
		return nil
	}
	owners := make([]proto.Owner, model.WorkspaceShards)
	for s := range owners {
		owners[s] = proto.Owner{Shard: model.ShardID(s), Host: f.owner.id, Epoch: f.epoch}
	}
	return owners
}

// setStandby makes a host the standby of all shards.
func (f *fleet) setStandby(h *fleetHost) {
	f.standby = h
	for _, o := range f.hosts {
		f.sendStandby(o)
	}
}

// sendStandby tells a host the standby. The standby itself gets the first host
// as its own standby.
func (f *fleet) sendStandby(h *fleetHost) {
	if f.standby == nil {
		return
	}
	var ev StandbysChanged
	for i := range ev.Standbys {
		ev.Standbys[i] = f.standby.id
		if h == f.standby {
			ev.Standbys[i] = f.hosts[0].id
		}
	}
	f.stepOwner(h, ev)
}

// renew extends the lease of the owner unless it is frozen, isolated or expired.
func (f *fleet) renew() {
	h := f.owner
	if h == nil || f.now < h.frozenUntil || f.now >= h.leaseUntil || f.isolated[h] {
		return
	}
	h.leaseUntil = f.now + 1500*time.Millisecond
	for s := range model.ShardID(model.WorkspaceShards) {
		f.stepOwner(h, OwnershipRenewed{Shard: s, Epoch: f.epoch, Until: h.localTime(h.leaseUntil)})
	}
}

// release hands the shards to another host without waiting for the end of the lease.
func (f *fleet) release(to *fleetHost) {
	for s := range model.ShardID(model.WorkspaceShards) {
		f.stepOwner(f.owner, OwnershipLost{Shard: s})
	}
	f.owner.leaseUntil = 0
	f.setOwner(to)
}

func (f *fleet) stepOwner(h *fleetHost, ev Event) {
	f.applyEffects(h, h.ownerCore.Step(h.localTime(f.now), ev))
}

func (f *fleet) stepLimiter(h *fleetHost, ev Event) {
	f.applyEffects(h, h.limiter.Step(h.localTime(f.now), ev))
}

func (f *fleet) applyEffects(h *fleetHost, effects []Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case Send:
			f.send(h, f.hostByID(e.To), e.Msg)
		case Admitted:
			f.recordAdmitted(h, e.Request)
		case Limited:
			f.recordRefused(e)
		}
	}
}

// workspaceOf returns the workspace that arrive put into a request's ID.
func workspaceOf(id model.RequestID) model.WorkspaceID {
	var ws string
	var n int
	_, _ = fmt.Sscanf(string(id), "%s %d", &ws, &n)
	return model.WorkspaceID(ws)
}

// recordAdmitted counts an admitted request and fails the test if it exceeds the bound.
func (f *fleet) recordAdmitted(h *fleetHost, id model.RequestID) {
	t := f.stats[workspaceOf(id)]
	t.admitted++
	t.admissions = append(t.admissions, f.now)
	delete(t.idealUndecided, id)
	for _, m := range t.meters {
		if !m.recordUse(f.now) {
			f.t.Fatalf("%v: %s used a token of %s beyond rate %v and burst %v", f.now, h.id, workspaceOf(id), m.rate, m.burst)
		}
	}
}

func (f *fleet) recordRefused(l Limited) {
	t := f.stats[workspaceOf(l.Request)]
	t.refused++
	if t.idealUndecided[l.Request] {
		t.wronglyRefused++
		if l.NoOwner {
			t.wronglyRefusedNoOwner++
		}
	}
	delete(t.idealUndecided, l.Request)
}

func (f *fleet) hostByID(id model.HostID) *fleetHost {
	for _, h := range f.hosts {
		if h.id == id {
			return h
		}
	}
	return nil
}

// send delivers a message after a delay, unless the network loses it. A host
// always reaches itself.
func (f *fleet) send(from, to *fleetHost, m proto.Message) {
	f.sent++
	if from != to && (f.isolated[from] || f.isolated[to] || f.brokenLinks[[2]*fleetHost{from, to}] || f.r.Float64() < f.lossRate) {
		return
	}
	if from == f.owner && f.cutFromOwner[to] || to == f.owner && f.cutFromOwner[from] {
		return
	}
	copies := 1
	if f.networkFaults {
		copies += f.r.IntN(17) / 16
	}
	for range copies {
		delay := time.Duration(200e3 + f.r.Int64N(600e3))
		if f.networkFaults && f.r.IntN(20) == 0 {
			delay = time.Duration(f.r.Int64N(1e9))
		}
		f.at(f.now+delay, func() { f.deliver(from, to, m) })
	}
}

// deliver hands a message to the core that it is for, once the host is not frozen.
func (f *fleet) deliver(from, to *fleetHost, m proto.Message) {
	if f.now < to.frozenUntil {
		f.at(to.frozenUntil, func() { f.deliver(from, to, m) })
		return
	}
	ev := Received{From: from.id, Msg: m}
	switch m.(type) {
	case proto.DrawReply, proto.ShareAsk, proto.ShareGift:
		f.stepLimiter(to, ev)
	default:
		f.stepOwner(to, ev)
	}
}

// arrive offers one request of a workspace to a host and to the ideal bucket.
func (f *fleet) arrive(h *fleetHost, ws model.WorkspaceID) {
	t := f.stats[ws]
	f.seq++
	t.offered++
	id := model.RequestID(fmt.Sprint(ws, " ", f.seq))
	if t.ideal.tryTake(f.now) {
		t.idealAdmitted++
		t.idealUndecided[id] = true
	}
	f.stepLimiter(h, Arrived{Request: id, Workspace: ws, Deadline: h.localTime(f.now + 5*time.Second)})
}

// tryTake uses the meter as an ideal bucket. It takes a token and reports
// whether there was one.
func (m *boundMeter) tryTake(now simTime) bool {
	level := max(0, m.level-m.rate*(now-m.lastUseAt).Seconds())
	m.level, m.lastUseAt = level, now
	if level+1 > m.burst {
		return false
	}
	m.level++
	return true
}

// setLimits changes the limits of a workspace at all owners. Windows that begin
// before the change is fully in force are checked against maxLimits only.
func (f *fleet) setLimits(ws model.WorkspaceID, l model.Limits) {
	e, _ := f.cfg.Exceptions.Get(string(ws))
	e.Override = model.LimitsOverride{Workspace: ws, Limits: l}
	f.cfg.Exceptions = f.cfg.Exceptions.With(e)
	t := f.stats[ws]
	t.maxLimits = model.Limits{Rate: max(t.maxLimits.Rate, l.Rate), Burst: max(t.maxLimits.Burst, l.Burst)}
	t.meters[0].rate, t.meters[0].burst = t.maxLimits.Rate, t.maxLimits.Burst
	t.meters[1] = &boundMeter{startAt: f.now + maxTokenValidity, lastUseAt: f.now + maxTokenValidity, rate: l.Rate, burst: l.Burst}
	for _, h := range f.hosts {
		f.stepOwner(h, Configured{Config: f.cfg})
	}
}

// poisson offers requests of a workspace as a Poisson process. pick chooses the
// host of each. Requests at a frozen host are left out.
func (f *fleet) poisson(ws model.WorkspaceID, perSecond float64, pick func() *fleetHost) {
	next := func() simTime { return f.now + time.Duration(f.r.ExpFloat64()/perSecond*1e9) }
	var do func()
	do = func() {
		if h := pick(); f.now >= h.frozenUntil {
			f.arrive(h, ws)
		}
		f.at(next(), do)
	}
	f.at(next(), do)
}
