package pool

import (
	"math/rand/v2"
	"slices"
	"strings"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/internal/sched"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// Picker is the state machine that finds targets for the requests of one entry
// host. It asks the owners of the services, and decides by a local policy while a
// service has no owner.
type Picker struct {
	self model.HostID
	zone model.ZoneName
	tune Tuning
	rng  *rand.Rand
	cfg  model.Config
	// nonce is the nonce of the last query. It starts at a number that depends on
	// the random source and the incarnation, so that queries and local choices of a
	// restarted host are not taken for repeats of earlier ones.
	nonce       uint64
	incarnation model.Incarnation
	owners      map[model.ShardID]proto.Owner
	// reports holds one restore report for each owned service shard, ordered by shard.
	reports []*pendingReport
	// serial is the serial of the last restore report.
	serial   uint64
	services map[model.ServiceName]*pickerService
	// usedShards holds the shards that have a service.
	usedShards map[model.ShardID]bool
	targetList targetList
	// entryHostCount is the number of entry hosts, or 0 if it is not known.
	entryHostCount int
	// ordered lists the services by name, so that ticks are deterministic.
	ordered  []*pickerService
	requests map[model.RequestID]*request
	// byNonce holds the requests by the nonce of their query.
	byNonce map[uint64]*request
	// withdrawnQueries holds the services of withdrawn queries that may still be
	// assigned a target, by nonce. withdrawals holds when to forget them.
	withdrawnQueries map[uint64]model.ServiceName
	withdrawals      fifo[withdrawal]
	freeRequests     []*request
	// out holds the effects of the current step.
	out []Effect
}

// request is a requested target: a request that waits, or one that has an attempt in progress.
type request struct {
	id          model.RequestID
	service     *pickerService
	workspace   model.WorkspaceID
	fingerprint model.Fingerprint
	deadline    model.Instant
	// objectiveAt is the instant of the latency objective, or 0 without one.
	objectiveAt model.Instant
	exclude     []model.TargetID
	once        bool
	rank        model.Rank
	class       model.RequestClass
	query       sched.Query[*request]
	hold        sched.Hold[*request]
	// declined lists targets that were given back without being tried.
	declined []model.TargetID
	nonce    uint64
	// requestedAt is when the target was requested.
	requestedAt model.Instant
	// lastAskedAt is when the query was last sent, sendCount how often.
	lastAskedAt model.Instant
	sendCount   int
	assigned    bool
	// isCounted is set once the request is counted towards a retry budget, that of
	// the owner or that of this host.
	isCounted bool
	// retryTokenTaken is set when a retry was taken from the local budget.
	retryTokenTaken bool
	slot            uint64
	// epoch is the epoch of the owner that assigned the target, or 0 for a local choice.
	epoch       model.Epoch
	target      model.TargetID
	incarnation model.Incarnation
	// heldIndex is the index of an assigned request in pickerService.heldRequests.
	heldIndex int
	// isRemoved is set for a request that no longer waits, inQueue for one that is
	// still stored in the queue, and isEnded for one that the picker has dropped.
	isRemoved bool
	inQueue   bool
	isEnded   bool
}

// pickerService is the state of one service at a picker.
type pickerService struct {
	name  model.ServiceName
	shard model.ShardID
	// owner is the zero value while the service has none.
	owner proto.Owner
	// report is the restore report for the shard, or nil without an owner.
	report *pendingReport
	// ownerDisclaimed is set when the host in owner replied that it does not own the service.
	ownerDisclaimed bool
	// unansweredSince is when the first query since the owner's last reply was sent, or 0.
	unansweredSince model.Instant
	// viewAskedAt is when the view was last asked for, with or without the list, or 0.
	viewAskedAt model.Instant
	// listAskedAt is when the list of targets was last asked for, or 0.
	listAskedAt model.Instant
	// lastUsedAt is when a target was last requested, or 0.
	lastUsedAt model.Instant

	// view and quarantine were received at viewReceivedAt, from the owner of
	// viewEpoch with this digest.
	view           []proto.TargetView
	quarantine     []quarantined
	viewEpoch      model.Epoch
	digest         uint64
	viewReceivedAt model.Instant
	// viewConfirmedAt is when the owner last confirmed the view, or 0.
	viewConfirmedAt model.Instant
	// announcements holds the newest announcements that this host took, ordered by target.
	announcements []receivedAnnouncement
	// heldRequests holds the requests that have a target, in no particular order.
	heldRequests []*request
	// brokenAttempts holds the broken attempts of the last RestoreRetention.
	brokenAttempts []brokenReport
	// inFlightByTarget counts this host's attempts in flight by target.
	inFlightByTarget map[model.TargetID]int
	attemptMemory    attemptMemory
	// inFlight is the sum of inFlightByTarget, meanInFlight its decayed mean while
	// the service has an owner.
	inFlight     int
	meanInFlight float64
	queue        fifo[*request]
	// waitingCount counts the requests in queue that are not removed, which sched
	// holds too.
	waitingCount int
	sched        *sched.Scheduler[*request]
	// retryTokens is the retry budget of this host for the time without an owner.
	retryTokens float64
	// withdrawnCounts counts the withdrawn requests that a retry budget has counted.
	// As many further requests are not counted, since the callers' requests are the
	// same ones.
	withdrawnCounts int
	localPeriod     localPeriod
	// namedRates holds the rates that targets named to this host. ownerAnsweredAt is
	// the last tick at which the owner answered in time.
	namedRates      map[model.TargetID]*hostRate
	ownerAnsweredAt model.Instant
	pauses          map[model.TargetID]hostPause
	coldState
	pace localPace
	// leavingTargets holds the targets that told this host that they are leaving,
	// movedTargets those at whose addresses other processes answered.
	leavingTargets, movedTargets endedRuns
	scratch                      []proto.TargetView
}

// receivedAnnouncement is the newest announcement of a target that this host took.
type receivedAnnouncement struct {
	announcement model.Announcement
	receivedAt   model.Instant
}

// NewPicker returns the Picker of an entry host.
func NewPicker(self model.HostID, zone model.ZoneName, opts ...Option) *Picker {
	s := newSettings(self, opts)
	return &Picker{
		self:             self,
		zone:             zone,
		tune:             s.tune,
		rng:              s.rng,
		cfg:              model.NewConfig(nil, nil),
		nonce:            firstNonce(s.rng.Uint64(), s.incarnation),
		incarnation:      s.incarnation,
		owners:           map[model.ShardID]proto.Owner{},
		services:         map[model.ServiceName]*pickerService{},
		requests:         map[model.RequestID]*request{},
		byNonce:          map[uint64]*request{},
		withdrawnQueries: map[uint64]model.ServiceName{},
	}
}

// firstNonce returns the first nonce of a run of a host. It spreads the
// incarnations, which may be consecutive numbers, over 63 bits.
func firstNonce(random uint64, run model.Incarnation) uint64 {
	const spread = 0x9e3779b97f4a7c15 // odd, so that no two incarnations share a product
	return (random ^ uint64(run)*spread) >> 1
}

// Step applies one event. The returned slice is valid until the next call.
func (p *Picker) Step(now model.Instant, ev Event) []Effect {
	clear(p.out)
	p.out = p.out[:0]
	switch ev := ev.(type) {
	case TargetRequested:
		p.handleTargetRequest(now, &ev)
	case AttemptEnded:
		p.handleAttemptEnd(now, ev)
	case TargetNoticed:
		p.handleNotice(now, ev)
	case Received:
		p.receive(now, ev.From, ev.Msg)
	case Tick:
		p.tick(now)
	case RequestAbandoned:
		p.abandon(now, ev.Request)
	case TargetAnnounced:
		p.handleAnnouncement(now, ev.Announcement)
	case OwnersChanged:
		p.setOwners(now, ev.Owners)
	case Probed:
		p.handleProbeResult(now, ev)
	case FailedTargetsReported:
		p.recordRemoteFailures(now, ev.Targets)
	case EntryHostCountChanged:
		p.entryHostCount = ev.Count
	case TargetsListed:
		p.targetList.replace(now, ev.Targets)
	case Configured:
		if ev.Config.Version >= p.cfg.Version {
			p.cfg = ev.Config
			p.updateUsedShards()
			p.configureWarmup(p.ordered...)
		}
	}
	return p.out
}

func (p *Picker) emit(e Effect) { p.out = append(p.out, e) }

func (p *Picker) send(to model.HostID, m proto.Message) { p.emit(Send{To: to, Msg: m}) }

func (p *Picker) receive(now model.Instant, from model.HostID, msg proto.Message) {
	switch m := msg.(type) {
	case proto.SlotReply:
		p.handleReply(now, from, m)
	case proto.ViewReply:
		p.handleViewReply(now, from, m)
	case proto.RestoreAck:
		p.handleRestoreAck(now, from, m)
	}
}

// service returns the state of a service, which is created when it is first used.
func (p *Picker) service(name model.ServiceName) *pickerService {
	s, ok := p.services[name]
	if ok {
		return s
	}
	shard := model.ServiceShard(name)
	s = &pickerService{
		name: name, shard: shard, owner: p.owners[shard], report: p.findReport(shard),
		inFlightByTarget: map[model.TargetID]int{}, attemptMemory: newAttemptMemory(), retryTokens: initialRetries(p.tune.Retries.LocalBurst),
		sched: sched.New[*request](sched.WithRandom(p.rng)),
	}
	p.services[name] = s
	p.configureWarmup(s)
	at, _ := slices.BinarySearchFunc(p.ordered, s, func(a, b *pickerService) int {
		return strings.Compare(string(a.name), string(b.name))
	})
	p.ordered = slices.Insert(p.ordered, at, s)
	p.updateUsedShards()
	return s
}

// handleTargetRequest queues a request and asks for a target. A repeated request
// that has not ended is ignored.
func (p *Picker) handleTargetRequest(now model.Instant, ev *TargetRequested) {
	if _, ok := p.requests[ev.Request]; ok {
		return
	}
	s := p.service(ev.Service)
	s.lastUsedAt = now
	if ev.Deadline <= now {
		p.emit(refused(ev.Request, proto.SlotTooLate, 0))
		return
	}
	p.nonce++
	r := p.newRequest()
	*r = request{
		id: ev.Request, service: s, workspace: ev.Workspace, fingerprint: ev.Fingerprint,
		deadline: ev.Deadline, exclude: ev.Exclude, once: ev.AtMostOnce, nonce: p.nonce, requestedAt: now, inQueue: true,
		rank: ev.Rank, class: ev.Class,
	}
	if ev.Objective != 0 {
		r.objectiveAt = now.Add(ev.Objective)
	}
	p.requests[r.id] = r
	p.byNonce[r.nonce] = r
	p.schedule(now, r)
	s.queue.push(r)
	s.waitingCount++
	if s.hasResponsiveOwner(now, &p.tune) {
		if s.report.allowsQueries(now, &p.tune) {
			p.ask(now, r)
		}
		return
	}
	p.serveLocally(now, s)
}

// hasResponsiveOwner reports whether the service has an owner that replies in time.
func (s *pickerService) hasResponsiveOwner(now model.Instant, tune *Tuning) bool {
	if s.owner.Host == "" || s.ownerDisclaimed {
		return false
	}
	return s.unansweredSince == 0 || now.Sub(s.unansweredSince) <= tune.OwnerTimeout
}

// ask sends the query of a request to the owner.
func (p *Picker) ask(now model.Instant, r *request) {
	s := r.service
	r.lastAskedAt = now
	r.sendCount++
	s.recordQuery(now)
	p.send(s.owner.Host, proto.SlotAsk{
		Nonce:           r.nonce,
		Service:         s.name,
		Workspace:       r.workspace,
		Request:         r.id,
		Fingerprint:     r.fingerprint,
		Zone:            p.zone,
		Remaining:       r.deadline.Sub(now),
		Objective:       r.timeToObjective(now),
		Exclude:         r.exclude,
		DeclinedTargets: r.declined,
		AtMostOnce:      r.once,
		Counted:         r.countAtOwner(),
		Rank:            r.rank,
		Class:           r.class,
	})
}

// recordQuery records that the owner was sent a query, for its timeout.
func (s *pickerService) recordQuery(now model.Instant) {
	if s.unansweredSince == 0 {
		s.unansweredSince = now
	}
}

// recordReply ends the owner's timeout, and reports whether the reply came from the owner.
func (s *pickerService) recordReply(from model.HostID) bool {
	if from != s.owner.Host {
		return false
	}
	s.unansweredSince = 0
	return true
}

// handleReply ends the query with the reply's nonce. An assignment that no request
// waits for is given back.
func (p *Picker) handleReply(now model.Instant, from model.HostID, m proto.SlotReply) {
	r, ok := p.byNonce[m.Nonce]
	if !ok {
		if name, late := p.withdrawnQueries[m.Nonce]; late && m.Status == proto.SlotAssigned {
			p.send(from, proto.SlotCancel{Service: name, Nonce: m.Nonce})
		}
		return
	}
	s := r.service
	s.recordReply(from)
	if m.Status == proto.SlotAssigned && m.Epoch < max(s.owner.Epoch, r.epoch) {
		// The report to the present owner does not contain this slot. The slot is
		// not cancelled, since the query may have a slot of the same host's present
		// ownership.
		return
	}
	s.replaceNamedRates(now, &m)
	if r.assigned {
		if m.Status == proto.SlotAssigned && m.Slot != r.slot {
			p.send(from, proto.SlotCancel{Service: s.name, Nonce: m.Nonce})
		}
		return
	}
	switch m.Status {
	case proto.SlotAssigned:
		if p.isUnwanted(now, s, m) {
			p.askAgain(now, from, r, m)
			return
		}
		p.leaveQueue(r)
		p.trimQueue(s)
		r.slot = m.Slot
		r.epoch = m.Epoch
		p.assign(now, r, m.Target, m.Addr, m.Incarnation, false)
	case proto.SlotNotOwner:
		if from == s.owner.Host {
			s.ownerDisclaimed = true
			p.serveLocally(now, s)
		}
	default:
		p.leaveQueue(r)
		p.emit(refused(r.id, m.Status, m.RetryAfter))
		p.forget(now, r)
	}
}

// assign gives a request its target.
func (p *Picker) assign(now model.Instant, r *request, id model.TargetID, addr string, inc model.Incarnation, local bool) {
	r.assigned = true
	r.hold = r.service.sched.Assign(now, r.rank, r.class, r.workspace)
	r.target = id
	r.incarnation = inc
	r.service.inFlightByTarget[id]++
	r.service.inFlight++
	r.service.addHeld(r)
	p.countOwnAssignment(now, r.service, id)
	p.emit(Assigned{Request: r.id, Target: id, Addr: addr, Incarnation: inc, Local: local})
}

// handleAttemptEnd reports an attempt to the owner. Target and incarnation are
// taken from the assignment, whatever the caller filled in.
func (p *Picker) handleAttemptEnd(now model.Instant, ev AttemptEnded) {
	r, ok := p.requests[ev.Request]
	if !ok || !r.assigned {
		return
	}
	s := r.service
	s.removeHeld(r)
	s.sched.Measure(now, r.hold, ev.Attempt.End == model.AttemptOK)
	s.sched.Release(now, r.hold)
	s.inFlight--
	if s.inFlightByTarget[r.target]--; s.inFlightByTarget[r.target] <= 0 {
		delete(s.inFlightByTarget, r.target)
	}
	a := ev.Attempt
	a.Target = r.target
	a.Incarnation = r.incarnation
	if a.End == model.AttemptBroken {
		s.recordBroken(now, r)
	}
	s.attemptMemory.record(now, a)
	p.countOwnEnd(now, s, a)
	s.recordNotice(now, a)
	if s.owner.Host != "" {
		p.send(s.owner.Host, proto.SlotDone{
			Service: s.name, Slot: r.slot, Workspace: r.workspace, Fingerprint: r.fingerprint, Attempt: a,
		})
	}
	p.forget(now, r)
	if s.waitingCount > 0 && !s.hasResponsiveOwner(now, &p.tune) {
		p.serveLocally(now, s)
	}
}

func (p *Picker) tick(now model.Instant) {
	for p.withdrawals.len() > 0 && p.withdrawals.peek().until < now {
		delete(p.withdrawnQueries, p.withdrawals.pop().nonce)
	}
	p.repeatReports(now)
	for _, s := range p.ordered {
		p.expireAnnouncements(now, s)
		s.expireBrokenAttempts(now, p.tune.RestoreRetention)
		s.expireNotices(now)
		s.sched.Prune(now)
		p.expireRequests(now, s)
		if s.hasResponsiveOwner(now, &p.tune) {
			s.meanInFlight += meanInFlightWeight * (float64(s.inFlight) - s.meanInFlight)
			s.ownerAnsweredAt = now
			p.endLocalPeriod(now, s)
			p.repeatQueries(now, s)
		} else {
			p.serveLocally(now, s)
		}
		p.refreshView(now, s)
	}
}

// expireRequests refuses the waiting requests that are past their deadlines.
func (p *Picker) expireRequests(now model.Instant, s *pickerService) {
	for _, r := range s.queue.items[s.queue.head:] {
		if r.isRemoved || now < r.deadline {
			continue
		}
		p.refuse(now, r, proto.SlotTooLate)
	}
	p.compactQueue(s)
}

// repeatQueries repeats the queries that got no reply, at growing intervals.
func (p *Picker) repeatQueries(now model.Instant, s *pickerService) {
	if !s.report.allowsQueries(now, &p.tune) {
		return
	}
	for _, r := range s.queue.items[s.queue.head:] {
		wait := p.tune.QueryRepeatInterval << min(max(0, r.sendCount-1), maxRepeatDoublings)
		if !r.isRemoved && (r.sendCount == 0 || now.Sub(r.lastAskedAt) >= wait) {
			p.ask(now, r)
		}
	}
}
