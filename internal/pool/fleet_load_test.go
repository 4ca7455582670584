package pool

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// The bound on the attempts of a service beyond the first of each request, over all
// hosts: in each window at most the ratio of its requests plus the slack.
const (
	retryWindow    = 10 * time.Second
	retryRatio     = 0.2
	retrySlack     = 170
	loadTick       = 20 * time.Millisecond
	loadWorkspaces = 75
)

// fleetLoad runs requests on a fleet whose targets reject a part of the attempts.
// Each rejected attempt is followed by one more, if the budget allows it.
type fleetLoad struct {
	rng     *rand.Rand
	tune    Tuning
	now     model.Instant
	hosts   []model.HostID
	pickers map[model.HostID]*Picker
	targets []model.Announcement
	// owner is nil while the service has none.
	owner     *Owner
	ownerHost model.HostID
	epoch     model.Epoch
	// ownerStopped holds back the messages to the owner, as a process does that
	// does not run.
	ownerStopped bool
	heldBack     []Received
	// cutOff holds the hosts that do not reach the owner.
	cutOff map[model.HostID]bool
	// rejectedShare is the share of the attempts that targets reject.
	rejectedShare float64
	// withdrawnShare is the share of the requests whose first query is withdrawn
	// and sent again, as for a token that comes late.
	withdrawnShare float64
	latency        time.Duration
	requests       map[model.RequestID]*offeredRequest
	running        map[model.Instant][]runningAttempt
	serial         int
	// objective is the latency objective of all requests, or 0.
	objective time.Duration
	// rates holds the rates that targets name in their answers.
	rates map[model.TargetID]float64
	// toldAt holds when each host first got an answer with the rate of a target.
	// arrivals counts, by target and tick, the requests of the hosts that got one
	// more than toldGrace ago.
	toldAt   map[toldHost]model.Instant
	arrivals map[model.TargetID][]int
	// starts counts all attempts by target.
	starts map[model.TargetID]int
	// leaving holds the targets that say in their answers that they are leaving.
	leaving map[model.TargetID]bool
	// pause is the time for which targets ask for no further request when they
	// reject one. pausedFrom holds when each host was last asked so, and arrivedInPause
	// counts the requests that came all the same more than toldGrace later.
	pause          time.Duration
	pausedFrom     map[toldHost]model.Instant
	arrivedInPause map[toldHost]int
	// zones is the number of zones over which hosts and targets are spread, or 0 for one.
	zones int
	// outcome, if set, decides how an attempt ends and how long it takes, and ended is
	// told that it has ended.
	outcome func(model.HostID, model.TargetID) (model.AttemptEnd, time.Duration)
	ended   func(model.TargetID, model.AttemptEnd)
	// waits holds how long each refused request waited.
	waits []time.Duration
	// kinds are offered beside the requests without a kind.
	kinds []*loadKind
	// broken names what must never happen to a request, once it has.
	broken  string
	refused []Refused
	// announceInterval is the interval of the heartbeats.
	announceInterval time.Duration
	// cfg is the configuration of all hosts, cold the cold times of targets, if any.
	cfg  model.Config
	cold *coldTimes
	// due is the part of a request that the offered load has left over.
	due float64
	// results holds the requests that ended.
	results []requestResult
	// offered and retried count the requests and the attempts beyond the first, by tick.
	offered, retried []int
}

type offeredRequest struct {
	offeredAt model.Instant
	workspace model.WorkspaceID
	host      model.HostID
	attempts  int
	kind      *loadKind
	isRunning bool
}

type toldHost struct {
	host   model.HostID
	target model.TargetID
}

// toldGrace is the time after which a host keeps to the rate that a target named to it.
const toldGrace = 500 * time.Millisecond

type runningAttempt struct {
	id     model.RequestID
	target model.TargetID
	end    model.AttemptEnd
	took   time.Duration
}

func newFleetLoad(hosts, targets int, change ...func(*fleetLoad)) *fleetLoad {
	l := &fleetLoad{
		rng: rand.New(rand.NewPCG(3, 4)), tune: CautiousTuning(), now: model.Instant(time.Second),
		pickers: map[model.HostID]*Picker{}, cutOff: map[model.HostID]bool{}, latency: 240 * time.Millisecond, announceInterval: time.Second,
		requests: map[model.RequestID]*offeredRequest{}, running: map[model.Instant][]runningAttempt{},
		offered: []int{0}, retried: []int{0},
		rates: map[model.TargetID]float64{}, toldAt: map[toldHost]model.Instant{}, arrivals: map[model.TargetID][]int{},
		starts: map[model.TargetID]int{}, pausedFrom: map[toldHost]model.Instant{}, arrivedInPause: map[toldHost]int{},
	}
	l.cfg = model.NewConfig(nil, nil)
	l.tune.Retries = Retries{Share: retryRatio, Burst: 0.3 * retrySlack, PerSecond: 0.4 * retrySlack / retryWindow.Seconds(), LocalBurst: 1}
	for _, c := range change {
		c(l)
	}
	for i := range targets {
		id := targetID(i)
		l.targets = append(l.targets, model.Announcement{Service: testService, Target: id, Addr: string(id) + ":80", Zone: l.zone(i), Slots: 4, Incarnation: 1, State: model.TargetReady})
	}
	for i := range hosts {
		id := model.HostID(fmt.Sprintf("e%02d", i))
		l.hosts = append(l.hosts, id)
		l.pickers[id] = NewPicker(id, l.zone(i), WithTuning(l.tune), WithIncarnation(7))
		l.stepPicker(id, Configured{Config: l.cfg})
		l.stepPicker(id, EntryHostCountChanged{Count: hosts})
	}
	l.startOwner()
	return l
}

func (l *fleetLoad) zone(i int) model.ZoneName {
	return model.ZoneName("z" + strings.Repeat("z", i%max(1, l.zones)))
}

// startOwner gives the service an owner with an empty state.
func (l *fleetLoad) startOwner() {
	l.epoch++
	l.ownerHost = model.HostID(fmt.Sprint("c", l.epoch))
	l.owner, l.ownerStopped, l.heldBack = NewOwner(l.ownerHost, WithTuning(l.tune)), false, nil
	l.stepOwner(Configured{Config: l.cfg})
	l.stepOwner(EntryHostsChanged{Hosts: l.hosts})
	l.stepOwner(OwnershipGained{Shard: testShard(), Epoch: l.epoch, Until: 1 << 60})
	l.announce()
	for _, h := range l.hosts {
		l.stepPicker(h, OwnersChanged{Owners: []proto.Owner{{Shard: testShard(), Host: l.ownerHost, Epoch: l.epoch}}})
	}
}

func (l *fleetLoad) announce() {
	if l.cold != nil {
		l.announceCold()
		return
	}
	for _, h := range l.hosts {
		l.stepPicker(h, TargetsListed{Targets: l.targets})
	}
	for _, a := range l.targets {
		l.toOwner(l.hosts[0], proto.TargetNews{Announcement: a})
	}
}

func (l *fleetLoad) toOwner(from model.HostID, m proto.Message) {
	switch {
	case l.owner == nil || l.cutOff[from]:
	case l.ownerStopped:
		l.heldBack = append(l.heldBack, Received{From: from, Msg: m})
	default:
		l.stepOwner(Received{From: from, Msg: m})
	}
}

func (l *fleetLoad) resumeOwner() {
	l.ownerStopped = false
	for _, r := range l.heldBack {
		l.stepOwner(r)
	}
	l.heldBack = nil
}

func (l *fleetLoad) stepPicker(h model.HostID, ev Event) {
	for _, e := range slices.Clone(l.pickers[h].Step(l.now, ev)) {
		switch e := e.(type) {
		case Send:
			if e.To == l.ownerHost {
				l.toOwner(h, e.Msg)
			}
		case Assigned:
			l.start(e)
		case Refused:
			l.countRefused(e)
			l.refused = append(l.refused, e)
			l.waits = append(l.waits, l.now.Sub(l.requests[e.Request].offeredAt))
			l.results = append(l.results, requestResult{at: l.requests[e.Request].offeredAt})
			delete(l.requests, e.Request)
		}
	}
}

func (l *fleetLoad) stepOwner(ev Event) {
	for _, e := range slices.Clone(l.owner.Step(l.now, ev)) {
		if s, ok := e.(Send); ok && l.pickers[s.To] != nil && !l.cutOff[s.To] {
			l.stepPicker(s.To, Received{From: l.ownerHost, Msg: s.Msg})
		}
	}
}

// start counts an attempt and schedules its end.
func (l *fleetLoad) start(a Assigned) {
	r := l.requests[a.Request]
	l.countArrival(r.host, a.Target)
	l.starts[a.Target]++
	if r.attempts++; r.attempts > 1 {
		l.retried[len(l.retried)-1]++
	}
	if r.isRunning {
		l.broken = "a request runs twice"
	}
	r.isRunning = true
	latency := l.latency
	if r.kind != nil {
		latency = r.kind.work
	}
	if l.cold != nil {
		latency = l.cold.arrive(l.now, a.Target, latency)
	}
	end, at := model.AttemptOK, l.now.Add(latency)
	if l.rng.Float64() < l.rejectedShare {
		end, at = model.AttemptShed, l.now.Add(loadTick)
	}
	took := l.latency
	if l.outcome != nil {
		end, took = l.outcome(r.host, a.Target)
		at = l.now.Add(took)
	}
	l.running[at] = append(l.running[at], runningAttempt{id: a.Request, target: a.Target, end: end, took: took})
}

func (l *fleetLoad) finish(a runningAttempt) {
	if l.ended != nil {
		l.ended(a.target, a.end)
	}
	r := l.requests[a.id]
	r.isRunning = false
	if r.kind != nil && a.end == model.AttemptOK && l.now.Sub(r.offeredAt) <= r.kind.objective+loadTick {
		r.kind.inTime++
	}
	rate, limited := l.rates[a.target]
	if told := (toldHost{r.host, a.target}); (limited || l.leaving[a.target]) && l.toldAt[told] == 0 {
		l.toldAt[told] = l.now
	}
	notice := model.TargetNotice{Limited: limited, Rate: rate, Leaving: l.leaving[a.target]}
	if a.end == model.AttemptShed && l.pause > 0 {
		notice.Pause = l.pause
		l.pausedFrom[toldHost{r.host, a.target}] = l.now
	}
	l.stepPicker(r.host, AttemptEnded{Request: a.id, Attempt: model.Attempt{End: a.end, Latency: a.took, Notice: notice}})
	if a.end == model.AttemptOK || r.attempts > 1 || r.kind != nil && !r.kind.mayRepeat && a.end.Failed() {
		l.results = append(l.results, requestResult{at: r.offeredAt, served: a.end == model.AttemptOK})
		delete(l.requests, a.id)
		return
	}
	l.request(a.id, r.host, a.target)
}

func (l *fleetLoad) request(id model.RequestID, host model.HostID, exclude ...model.TargetID) {
	ask := TargetRequested{Request: id, Service: testService, Workspace: l.requests[id].workspace, Deadline: l.now.Add(5 * time.Second), Objective: l.objective, Exclude: exclude}
	if k := l.requests[id].kind; k != nil {
		k.describe(l.now, &ask, l.requests[id].offeredAt)
	}
	l.stepPicker(host, ask)
}

// withdraw abandons a request before its attempt begins.
func (l *fleetLoad) withdraw(id model.RequestID) {
	for at, list := range l.running {
		l.running[at] = slices.DeleteFunc(list, func(a runningAttempt) bool { return a.id == id })
	}
	if r := l.requests[id]; r != nil {
		l.stepPicker(r.host, RequestAbandoned{Request: id})
	}
	delete(l.requests, id)
}

// run offers requests at random hosts.
func (l *fleetLoad) run(perSecond float64, d time.Duration) {
	for end := l.now.Add(d); l.now < end; {
		l.now = l.now.Add(loadTick)
		l.offered, l.retried = append(l.offered, 0), append(l.retried, 0)
		due := l.running[l.now]
		delete(l.running, l.now)
		for _, a := range due {
			l.finish(a)
		}
		l.due += perSecond * loadTick.Seconds()
		for ; l.due >= 1; l.due-- {
			l.serial++
			workspace := model.WorkspaceID(fmt.Sprint("w", l.rng.IntN(loadWorkspaces)))
			id, host := model.RequestID(fmt.Sprint(l.serial)), l.hosts[l.rng.IntN(len(l.hosts))]
			l.requests[id] = &offeredRequest{host: host, workspace: workspace, offeredAt: l.now}
			l.offered[len(l.offered)-1]++
			if l.rng.Float64() < l.withdrawnShare {
				early := id + "/early"
				l.requests[early] = &offeredRequest{host: host, workspace: workspace, offeredAt: l.now}
				l.request(early, host)
				l.withdraw(early)
			}
			l.request(id, host)
		}
		l.offerKinds()
		if time.Duration(l.now)%l.announceInterval == 0 {
			l.announce()
		}
		if l.owner != nil && !l.ownerStopped {
			l.stepOwner(Tick{})
		}
		for _, h := range l.hosts {
			l.stepPicker(h, Tick{})
		}
	}
}

// countArrival counts a request at a target, if its host knows the rate of the target
// or was asked to pause.
func (l *fleetLoad) countArrival(host model.HostID, target model.TargetID) {
	if from, ok := l.pausedFrom[toldHost{host, target}]; ok && l.now.Sub(from) >= toldGrace && l.now.Sub(from) < l.pause {
		l.arrivedInPause[toldHost{host, target}]++
	}
	at, told := l.toldAt[toldHost{host, target}]
	if !told || l.now.Sub(at) < toldGrace {
		return
	}
	list := l.arrivals[target]
	for len(list) < len(l.offered) {
		list = append(list, 0)
	}
	list[len(list)-1]++
	l.arrivals[target] = list
}

// mostArrived returns the highest number of counted requests at a target within a window.
func (l *fleetLoad) mostArrived(target model.TargetID, window time.Duration) int {
	list, most, sum := l.arrivals[target], 0, 0
	for i, n := range list {
		sum += n
		if before := i - int(window/loadTick); before >= 0 {
			sum -= list[before]
		}
		most = max(most, sum)
	}
	return most
}

// mostRetried returns the highest number of attempts beyond the first in a window,
// less the ratio of the window's requests.
func (l *fleetLoad) mostRetried() float64 {
	ticks := int(retryWindow / loadTick)
	most, sum := 0.0, 0.0
	for i := range l.retried {
		sum += float64(l.retried[i]) - retryRatio*float64(l.offered[i])
		if i >= ticks {
			sum -= float64(l.retried[i-ticks]) - retryRatio*float64(l.offered[i-ticks])
		}
		most = max(most, sum)
	}
	return most
}
