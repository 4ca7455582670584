// Package trial measures the selection and ejection of targets by simulation in
// virtual time. It runs the owner and picker cores of the fleet with simulated
// targets with failure modes, entry hosts behind an uneven balancer and delayed
// messages. One seed determines a run.
package trial

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"tarragongauge.example/tarragongauge/internal/pool"
	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// ServiceSpec describes the targets and the load of a service.
type ServiceSpec struct {
	Name    model.ServiceName
	Targets int
	// Median and Sigma are the parameters of the log-normal service time.
	Median time.Duration
	Sigma  float64
	// HeavyShare is the share of requests that take HeavyFactor times as long.
	HeavyShare  float64
	HeavyFactor float64
	// Idempotent is set if the entry host may retry requests that may have run.
	Idempotent bool
}

// Deployment describes the zones, entry hosts and services of one of the two fleets
// that the design specifies.
type Deployment struct {
	Name  string
	Zones int
	// Hosts is the number of entry hosts.
	Hosts int
	// Connections is the default limit of connections in the configuration.
	Connections int
	Services    []ServiceSpec
}

// Deployments returns the two fleets that are simulated.
func Deployments() []Deployment {
	ms := time.Millisecond
	return []Deployment{
		{Name: "egin", Zones: 4, Hosts: 44, Connections: 400, Services: []ServiceSpec{
			{Name: "stockbook", Targets: 8, Median: 20 * ms, Sigma: 0.5, Idempotent: true},
			{Name: "orderdesk", Targets: 13, Median: 60 * ms, Sigma: 0.6},
			{Name: "planner", Targets: 18, Median: 40 * ms, Sigma: 0.8, Idempotent: true},
		}},
		{Name: "adebayo", Zones: 3, Hosts: 44, Connections: 350, Services: []ServiceSpec{
			{Name: "stockroom", Targets: 6, Median: 20 * ms, Sigma: 0.5, Idempotent: true},
			{Name: "orderbook", Targets: 8, Median: 60 * ms, Sigma: 0.6},
			{Name: "catalogue", Targets: 17, Median: 40 * ms, Sigma: 0.8, Idempotent: true},
		}},
	}
}

// Policy selects which component chooses and ejects targets.
type Policy int

// Policies that are compared.
const (
	// PolicyOwner is the policy of the fleet: the owner of a service decides.
	PolicyOwner Policy = iota + 1
	// PolicyRoundRobin lets each entry host use all targets in turn.
	PolicyRoundRobin
	// PolicyHostEjection is round robin with ejection by each entry host.
	PolicyHostEjection
)

// String returns the name of a policy in tables.
func (p Policy) String() string {
	switch p {
	case PolicyOwner:
		return "owner"
	case PolicyRoundRobin:
		return "round robin"
	default:
		return "each host"
	}
}

const (
	// workspaces is the number of workspaces, and slots is the number of slots of each
	// target.
	workspaces     = 8
	slots          = 3
	tickInterval   = 20 * time.Millisecond
	messageDelay   = 500 * time.Microsecond
	requestTimeout = 5 * time.Second
	// baseErrorShare is the share of requests that a healthy target fails.
	baseErrorShare = 0.002
	// maxWaiting is the number of requests that a target queues beyond its slots
	// before it sheds.
	maxWaiting = 6
	// takeoverTime is the time from the loss of an owner until its shards have a new
	// owner.
	takeoverTime = 1700 * time.Millisecond
	maxAttempts  = 3
)

// World is the state of one simulated run.
type World struct {
	dep    Deployment
	policy Policy
	load   float64
	rng    *rand.Rand
	now    model.Instant
	events queue
	// serial numbers events and requests.
	serial uint64

	services []*service
	hosts    []*host
	byID     map[model.HostID]*host
	owner    *ownerHost
	// hostWeights holds the weight of each entry host in the platform's balancer.
	hostWeights []float64
	// loadFactors multiply the request rate of each workspace.
	loadFactors [workspaces]float64
	requests    map[model.RequestID]*request
	Result      Result
}

// event is a function that runs at a time in virtual time.
type event struct {
	at  model.Instant
	seq uint64
	do  func()
}

// before orders events by time, then by order of creation.
func (e *event) before(o *event) bool { return e.at < o.at || e.at == o.at && e.seq < o.seq }

// queue is a binary heap of events, earliest first. The heap of the standard
// library would allocate an interface value for every event.
type queue []event

func (q *queue) push(e event) {
	h := append(*q, e)
	i := len(h) - 1
	for i > 0 && h[i].before(&h[(i-1)/2]) {
		h[i], h[(i-1)/2] = h[(i-1)/2], h[i]
		i = (i - 1) / 2
	}
	*q = h
}

func (q *queue) pop() event {
	h := *q
	first := h[0]
	n := len(h) - 1
	h[0] = h[n]
	h[n] = event{}
	h = h[:n]
	for i := 0; ; {
		c := 2*i + 1
		if c >= n {
			break
		}
		if c+1 < n && h[c+1].before(&h[c]) {
			c++
		}
		if !h[c].before(&h[i]) {
			break
		}
		h[i], h[c] = h[c], h[i]
		i = c
	}
	*q = h
	return first
}

// after schedules a function after a delay in virtual time.
func (w *World) after(d time.Duration, do func()) {
	w.serial++
	w.events.push(event{at: w.now.Add(d), seq: w.serial, do: do})
}

// service is a simulated service.
type service struct {
	spec    ServiceSpec
	targets []*target
	// rate is the number of requests per second of all workspaces.
	rate float64
	// slowdown multiplies the service times of all targets.
	slowdown float64
	// fails makes all targets fail every request.
	fails bool
}

// host is a simulated entry host.
type host struct {
	id       model.HostID
	zone     model.ZoneName
	picker   *pool.Picker
	baseline *balancer
	isDown   bool
	// refusesConnections makes every connection to a target fail; hangs drops all
	// requests sent to targets.
	refusesConnections bool
	hangs              bool
}

// ownerHost is the host that owns all services, with its owner core.
type ownerHost struct {
	core   *pool.Owner
	host   *host
	isDown bool
}

func epochOf(n int) model.Epoch { return model.Epoch(n) }

// New returns a run of a deployment with the load as a share of its capacity.
func New(dep Deployment, policy Policy, seed uint64, load float64) *World {
	w := &World{dep: dep, policy: policy, load: load, rng: rand.New(rand.NewPCG(seed, 7)), requests: map[model.RequestID]*request{}, byID: map[model.HostID]*host{}}
	w.now = model.Instant(time.Second)
	w.Result = newResult()
	for i := range w.loadFactors {
		w.loadFactors[i] = 1
	}
	for i := range dep.Hosts {
		h := &host{id: model.HostID(fmt.Sprintf("e%02d", i)), zone: zoneName(i % dep.Zones)}
		src := rand.NewPCG(seed, uint64(100+i))
		h.picker = pool.NewPicker(h.id, h.zone, pool.WithSource(src))
		h.baseline = newBalancer(w.rng.IntN(1000))
		w.hosts = append(w.hosts, h)
		w.byID[h.id] = h
		w.hostWeights = append(w.hostWeights, math.Exp(0.7*w.rng.NormFloat64()))
	}
	for _, spec := range dep.Services {
		w.addService(spec)
	}
	w.begin()
	return w
}

func zoneName(i int) model.ZoneName { return model.ZoneName(fmt.Sprintf("z%d", i)) }

func (w *World) addService(spec ServiceSpec) {
	mean := spec.Median.Seconds() * math.Exp(spec.Sigma*spec.Sigma/2)
	s := &service{spec: spec, slowdown: 1, rate: w.load * float64(spec.Targets*slots) / mean}
	for i := range spec.Targets {
		s.targets = append(s.targets, &target{
			world: w, service: s, id: model.TargetID(fmt.Sprintf("%s-%02d", spec.Name, i)), zone: zoneName(i % w.dep.Zones),
			incarnation: 1, state: model.TargetReady, slowdown: 1, errorShare: baseErrorShare,
			// The speed of targets varies by about a tenth.
			speed: math.Exp(0.1 * w.rng.NormFloat64()), running: map[*attempt]bool{},
		})
	}
	w.services = append(w.services, s)
}

// begin starts the first owner and schedules announcements, ticks and requests.
func (w *World) begin() {
	w.startOwner(0)
	for _, s := range w.services {
		for _, t := range s.targets {
			w.after(time.Duration(w.rng.Int64N(int64(time.Second))), t.announceLoop)
		}
		for ws := range workspaces {
			w.scheduleArrivals(s, ws)
		}
	}
	for _, h := range w.hosts {
		w.after(time.Duration(w.rng.Int64N(int64(tickInterval))), func() { w.tickHost(h) })
	}
	w.after(tickInterval, w.tickOwner)
}

// config returns the configuration with the services of the deployment.
func (w *World) config() model.Config {
	cfg := model.NewConfig(nil, nil).WithVersion(1)
	cfg.Defaults.Connections = w.dep.Connections
	for _, s := range w.services {
		cfg.Services = cfg.Services.With(s.spec.Name, model.Service{Name: s.spec.Name})
	}
	return cfg
}

// startOwner makes host i the owner of all services.
func (w *World) startOwner(i int) {
	h := w.hosts[i]
	src := rand.NewPCG(uint64(i), 99)
	w.owner = &ownerHost{core: pool.NewOwner(h.id, pool.WithSource(src)), host: h}
	epoch := epochOf(i + 1)
	w.stepOwner(pool.Configured{Config: w.config()})
	if i > 0 {
		w.stepOwner(pool.EntryHostsChanged{Hosts: w.members()})
	} else {
		// The first owner waits for no host to report requests in flight.
		w.stepOwner(pool.EntryHostsChanged{})
	}
	var owners []proto.Owner
	for _, s := range w.services {
		shard := model.ServiceShard(s.spec.Name)
		w.stepOwner(pool.OwnershipGained{Shard: shard, Epoch: epoch, Until: 1 << 62})
		owners = append(owners, proto.Owner{Shard: shard, Host: h.id, Epoch: epoch})
	}
	w.stepOwner(pool.EntryHostsChanged{Hosts: w.members()})
	for _, x := range w.hosts {
		w.after(messageDelay, func() {
			w.stepPicker(x, pool.Configured{Config: w.config()})
			w.stepPicker(x, pool.OwnersChanged{Owners: owners})
			if i == 0 {
				w.confirmOwnerReady(x, owners)
			}
		})
	}
}

// confirmOwnerReady tells a host that the first owner is ready, since no host has
// requests in flight to report to that owner.
func (w *World) confirmOwnerReady(h *host, owners []proto.Owner) {
	for _, o := range owners {
		w.stepPicker(h, pool.Received{From: o.Host, Msg: proto.RestoreAck{Shard: o.Shard, Epoch: o.Epoch, Ready: true}})
	}
}

// members returns all entry hosts. The list includes a host that was lost, since a
// new owner starts before the 2 s without a message after which a member is removed.
func (w *World) members() []model.HostID {
	list := make([]model.HostID, 0, len(w.hosts))
	for _, h := range w.hosts {
		list = append(list, h.id)
	}
	return list
}

// LoseOwner stops the host that owns the services. Another host becomes the owner
// after takeoverTime.
func (w *World) LoseOwner() {
	old := w.owner
	old.isDown = true
	old.host.isDown = true
	w.recordLoss()
	next := slices.Index(w.hosts, old.host) + 1
	w.after(takeoverTime, func() { w.startOwner(next) })
}

func (w *World) tickHost(h *host) {
	if h.isDown {
		return
	}
	w.stepPicker(h, pool.Tick{})
	w.after(tickInterval, func() { w.tickHost(h) })
}

func (w *World) tickOwner() {
	w.stepOwner(pool.Tick{})
	w.checkOwner()
	w.after(tickInterval, w.tickOwner)
}

// stepPicker passes an event to the picker of a host and applies its effects.
func (w *World) stepPicker(h *host, ev pool.Event) {
	if h.isDown || w.policy != PolicyOwner {
		return
	}
	for _, e := range h.picker.Step(w.now, ev) {
		switch e := e.(type) {
		case pool.Send:
			w.deliver(h, e)
		case pool.Assigned:
			w.handleAssigned(e)
		case pool.Refused:
			w.handleRefused(e)
		}
	}
}

// stepOwner passes an event to the owner and applies its effects.
func (w *World) stepOwner(ev pool.Event) {
	o := w.owner
	if o.isDown || w.policy != PolicyOwner {
		return
	}
	check := false
	for _, e := range o.core.Step(w.now, ev) {
		switch e := e.(type) {
		case pool.Send:
			w.checkAssignment(e.Msg)
			w.deliver(o.host, e)
		case pool.Ejected:
			check = true
			w.handleEjected(e)
		case pool.Reinstated:
			check = true
		case pool.Quarantined:
			w.Result.Quarantines++
		}
	}
	if check {
		w.checkOwner()
	}
}

// deliver delivers a message between hosts after messageDelay, or without delay if
// a host sends it to itself.
func (w *World) deliver(from *host, e pool.Send) {
	d := messageDelay
	if e.To == from.id {
		d = 0
	}
	w.after(d, func() {
		if from.isDown {
			return
		}
		ev := pool.Received{From: from.id, Msg: e.Msg}
		switch e.Msg.(type) {
		case proto.SlotReply, proto.ViewReply, proto.RestoreAck:
			if h := w.byID[e.To]; h != nil {
				w.stepPicker(h, ev)
			}
		default:
			if e.To == w.owner.host.id {
				w.stepOwner(ev)
			}
		}
	})
}

// checkOwner verifies that the owner keeps the healthy slots above the floor, the
// slots in use within those of each target and the hosts per target within their
// limit. It also records stale and ejected targets.
func (w *World) checkOwner() {
	if w.owner.isDown || w.policy != PolicyOwner {
		return
	}
	for _, s := range w.owner.core.Status(w.now) {
		if float64(s.HealthySlots) < s.Floor*float64(s.AnnouncedSlots)-1e-9 {
			w.Result.addViolation("%s: healthy %d of %d slots, floor %.2f", s.Service, s.HealthySlots, s.AnnouncedSlots, s.Floor)
		}
		for _, t := range s.Targets {
			if t.InUse-t.RestoredSlots > slots {
				w.Result.addViolation("%s: %d slots in use", t.Target, t.InUse)
			}
			if t.Hosts > t.HostLimit {
				w.Result.addViolation("%s: given to %d hosts", t.Target, t.Hosts)
			}
			if t.Stale {
				w.recordStale(t.Target)
			}
			if t.Ejected {
				w.recordReejection(t.Target)
			}
		}
	}
}

// At schedules a function after a delay from the current time, which is the start
// of the run during the setup of a scenario.
func (w *World) At(d time.Duration, do func()) { w.after(d, do) }

// Run processes events for the duration d.
func (w *World) Run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.events) > 0 {
		e := w.events.pop()
		if e.at > end {
			break
		}
		w.now = e.at
		e.do()
	}
}
