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
	moment = time.Duration // true time
	timed  struct {
		at moment
		do func()
	}
)

// meter judges every window at once: its level is the greatest excess of uses
// over rate × T of all windows that end now.
type meter struct {
	from        moment
	rate, burst float64
	level       float64
	last        moment
}

func (m *meter) use(now moment) bool {
	if now < m.from {
		return true
	}
	m.level = max(0, m.level-m.rate*(now-m.last).Seconds()) + 1
	m.last = now
	return m.level <= m.burst+1e-9
}

// fleet runs wallets and owners in virtual time over a faulty network, with a
// stand-in for the leases that hands all shards from one host to another.
type fleet struct {
	t      *testing.T
	r      *rand.Rand
	now    moment
	seq    int
	agenda []timed
	hosts  []*fleetHost
	cfg    model.Config
	owner  *fleetHost
	epoch  model.Epoch
	tracks map[model.WorkspaceID]*track
	faults bool
	loss   float64
	cut    map[*fleetHost]bool
	// apart holds pairs of hosts without a link in that direction.
	apart   map[[2]*fleetHost]bool
	standby *fleetHost
	// forgetful is set while the seats do not know the previous epoch.
	forgetful bool
	// tell is the greatest time until a wallet learns of an owner.
	tell moment
	sent int
	opts []Option
	// polls is set if hosts that are not cut off learn the owner by asking.
	polls bool
}

type fleetHost struct {
	id     model.HostID
	rate   float64
	frozen moment
	until  moment
	run    model.Incarnation
	wallet *Limiter
	owner  *Owner
}

// track judges one workspace.
type track struct {
	meters []*meter
	most   model.Limits
	// ideal is a single bucket without delays; within counts the requests it admits.
	ideal    meter
	withinOf map[model.RequestID]bool

	// times are those of all admitted requests.
	times []moment

	offered, within, admitted, refused, wrong, wrongNoOwner int
}

// admittedWithin returns the greatest number of admissions in a window.
func (t *track) admittedWithin(window moment) int {
	most, first := 0, 0
	for i, at := range t.times {
		for at-t.times[first] > window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

func (h *fleetHost) local(t moment) model.Instant { return model.Instant(float64(t)*h.rate) + 1e12 }

func newFleet(t *testing.T, seed uint64, hosts int, limits map[model.WorkspaceID]model.Limits, opts ...Option) *fleet {
	f := &fleet{
		opts: opts,
		t:    t, r: rand.New(rand.NewPCG(seed, 2)), cfg: model.NewConfig(nil, nil), tell: 400 * time.Millisecond,
		tracks: map[model.WorkspaceID]*track{}, cut: map[*fleetHost]bool{},
		apart: map[[2]*fleetHost]bool{},
	}
	for ws, l := range limits {
		f.cfg.Workspaces = f.cfg.Workspaces.With(model.Workspace{ID: ws})
		f.cfg.Exceptions = f.cfg.Exceptions.With(model.Exception{ID: string(ws), Reason: "test", Override: model.LimitsOverride{Workspace: ws, Limits: l}})
		f.tracks[ws] = &track{
			most: l, meters: []*meter{{rate: l.Rate, burst: l.Burst}, {rate: l.Rate, burst: l.Burst}},
			ideal: meter{rate: l.Rate, burst: l.Burst}, withinOf: map[model.RequestID]bool{},
		}
	}
	for i := range hosts {
		h := &fleetHost{id: model.HostID(fmt.Sprint("e", i)), rate: 0.98 + 0.04*f.r.Float64()}
		f.hosts = append(f.hosts, h)
		f.start(h)
		f.every(time.Duration(f.r.Int64N(20e6)), 20*time.Millisecond, func() { f.tick(h) })
	}
	f.stand(f.hosts[len(f.hosts)/2])
	f.every(0, 400*time.Millisecond, f.renew)
	return f
}

func (f *fleet) start(h *fleetHost) {
	h.run++
	opts := append([]Option{WithIncarnation(h.run)}, f.opts...)
	h.wallet = NewLimiter(h.id, opts...)
	h.owner = NewOwner(h.id, opts...)
	f.stepOwner(h, Configured{Config: f.cfg})
	f.tellStandby(h)
}

func (f *fleet) at(t moment, do func()) {
	i, _ := slices.BinarySearchFunc(f.agenda, t, func(e timed, t moment) int {
		if e.at <= t {
			return -1
		}
		return 1
	})
	f.agenda = slices.Insert(f.agenda, i, timed{at: t, do: do})
}

func (f *fleet) every(first, interval moment, do func()) {
	f.at(f.now+first, func() {
		do()
		f.every(interval, interval, do)
	})
}

func (f *fleet) runUntil(t moment) {
	for len(f.agenda) > 0 && f.agenda[0].at <= t {
		next := f.agenda[0]
		f.agenda = f.agenda[1:]
		f.now = next.at
		next.do()
	}
	f.now = t
}

func (f *fleet) tick(h *fleetHost) {
	if f.now >= h.frozen {
		f.stepWallet(h, Tick{})
		f.stepOwner(h, Tick{})
	}
}

// own moves all shards to a host. The wallets learn of it within 400 ms.
func (f *fleet) own(h *fleetHost) {
	f.owner = h
	previous := f.epoch
	if f.forgetful {
		previous = 0
	}
	f.epoch++
	h.until = f.now + 1500*time.Millisecond
	for s := range model.ShardID(model.WorkspaceShards) {
		f.stepOwner(h, OwnershipGained{Shard: s, Epoch: f.epoch, Until: h.local(h.until), PreviousEpoch: previous})
	}
	if f.polls {
		return
	}
	owners := f.owners()
	for _, o := range f.hosts {
		f.at(f.now+time.Duration(f.r.Int64N(int64(f.tell))), func() { f.stepWallet(o, OwnersChanged{Owners: owners}) })
	}
}

// owners returns the table of the present owner, which is empty after its lease has ended.
func (f *fleet) owners() []proto.Owner {
	if f.owner == nil || f.now >= f.owner.until {
		return nil
	}
	owners := make([]proto.Owner, model.WorkspaceShards)
	for s := range owners {
		owners[s] = proto.Owner{Shard: model.ShardID(s), Host: f.owner.id, Epoch: f.epoch}
	}
	return owners
}

// stand makes a host the next candidate for all shards.
func (f *fleet) stand(h *fleetHost) {
	f.standby = h
	for _, o := range f.hosts {
		f.tellStandby(o)
	}
}

func (f *fleet) tellStandby(h *fleetHost) {
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

func (f *fleet) renew() {
	h := f.owner
	if h == nil || f.now < h.frozen || f.now >= h.until || f.cut[h] {
		return
	}
	h.until = f.now + 1500*time.Millisecond
	for s := range model.ShardID(model.WorkspaceShards) {
		f.stepOwner(h, OwnershipRenewed{Shard: s, Epoch: f.epoch, Until: h.local(h.until)})
	}
}

// release hands the shards to another host without waiting for the end of the lease.
func (f *fleet) release(to *fleetHost) {
	for s := range model.ShardID(model.WorkspaceShards) {
		f.stepOwner(f.owner, OwnershipLost{Shard: s})
	}
	f.owner.until = 0
	f.own(to)
}

func (f *fleet) stepOwner(h *fleetHost, ev Event) {
	f.effects(h, h.owner.Step(h.local(f.now), ev))
}

func (f *fleet) stepWallet(h *fleetHost, ev Event) {
	f.effects(h, h.wallet.Step(h.local(f.now), ev))
}

func (f *fleet) effects(h *fleetHost, effects []Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case Send:
			f.send(h, f.host(e.To), e.Msg)
		case Admitted:
			f.admitted(h, e.Request)
		case Limited:
			f.limited(e)
		}
	}
}

func workspaceOf(id model.RequestID) model.WorkspaceID {
	var ws string
	var n int
	_, _ = fmt.Sscanf(string(id), "%s %d", &ws, &n)
	return model.WorkspaceID(ws)
}

func (f *fleet) admitted(h *fleetHost, id model.RequestID) {
	t := f.tracks[workspaceOf(id)]
	t.admitted++
	t.times = append(t.times, f.now)
	delete(t.withinOf, id)
	for _, m := range t.meters {
		if !m.use(f.now) {
			f.t.Fatalf("%v: %s used a token of %s beyond rate %v and burst %v", f.now, h.id, workspaceOf(id), m.rate, m.burst)
		}
	}
}

func (f *fleet) limited(l Limited) {
	t := f.tracks[workspaceOf(l.Request)]
	t.refused++
	if t.withinOf[l.Request] {
		t.wrong++
		if l.NoOwner {
			t.wrongNoOwner++
		}
	}
	delete(t.withinOf, l.Request)
}

func (f *fleet) host(id model.HostID) *fleetHost {
	for _, h := range f.hosts {
		if h.id == id {
			return h
		}
	}
	return nil
}

func (f *fleet) send(from, to *fleetHost, m proto.Message) {
	f.sent++
	if from != to && (f.cut[from] || f.cut[to] || f.apart[[2]*fleetHost{from, to}] || f.r.Float64() < f.loss) {
		return
	}
	copies := 1
	if f.faults {
		copies += f.r.IntN(17) / 16
	}
	for range copies {
		delay := time.Duration(200e3 + f.r.Int64N(600e3))
		if f.faults && f.r.IntN(20) == 0 {
			delay = time.Duration(f.r.Int64N(1e9))
		}
		f.at(f.now+delay, func() { f.deliver(from, to, m) })
	}
}

func (f *fleet) deliver(from, to *fleetHost, m proto.Message) {
	if f.now < to.frozen {
		f.at(to.frozen, func() { f.deliver(from, to, m) })
		return
	}
	ev := Received{From: from.id, Msg: m}
	if _, ok := m.(proto.DrawReply); ok {
		f.stepWallet(to, ev)
		return
	}
	f.stepOwner(to, ev)
}

// arrive offers one request to a host.
func (f *fleet) arrive(h *fleetHost, ws model.WorkspaceID) {
	t := f.tracks[ws]
	f.seq++
	t.offered++
	id := model.RequestID(fmt.Sprint(ws, " ", f.seq))
	if t.ideal.fits(f.now) {
		t.within++
		t.withinOf[id] = true
	}
	f.stepWallet(h, Arrived{Request: id, Workspace: ws, Deadline: h.local(f.now + 5*time.Second)})
}

// fits takes a token of an ideal bucket if it has one.
func (m *meter) fits(now moment) bool {
	level := max(0, m.level-m.rate*(now-m.last).Seconds())
	m.level, m.last = level, now
	if level+1 > m.burst {
		return false
	}
	m.level++
	return true
}

// setLimits changes the limits of a workspace at the owner. Windows that touch
// the change are judged by the greater values.
func (f *fleet) setLimits(ws model.WorkspaceID, l model.Limits) {
	e, _ := f.cfg.Exceptions.Get(string(ws))
	e.Override = model.LimitsOverride{Workspace: ws, Limits: l}
	f.cfg.Exceptions = f.cfg.Exceptions.With(e)
	t := f.tracks[ws]
	t.most = model.Limits{Rate: max(t.most.Rate, l.Rate), Burst: max(t.most.Burst, l.Burst)}
	t.meters[0].rate, t.meters[0].burst = t.most.Rate, t.most.Burst
	t.meters[1] = &meter{from: f.now + maxValid, last: f.now + maxValid, rate: l.Rate, burst: l.Burst}
	for _, h := range f.hosts {
		f.stepOwner(h, Configured{Config: f.cfg})
	}
}

// poisson offers requests at a rate; pick chooses the host.
func (f *fleet) poisson(ws model.WorkspaceID, perSecond float64, pick func() *fleetHost) {
	next := func() moment { return f.now + time.Duration(f.r.ExpFloat64()/perSecond*1e9) }
	var do func()
	do = func() {
		if h := pick(); f.now >= h.frozen {
			f.arrive(h, ws)
		}
		f.at(next(), do)
	}
	f.at(next(), do)
}
