package pool

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// Picker asks the owners of services for targets on behalf of one entry host,
// and decides by a local policy while a service has no owner.
type Picker struct {
	self model.HostID
	zone model.ZoneName
	tune Tuning
	rng  *rand.Rand
	cfg  model.Config
	// nonce starts at a number that depends on the random source and the
	// incarnation, so that queries and local choices of a restarted host are
	// not taken for repeats of earlier ones.
	nonce       uint64
	incarnation model.Incarnation
	owners      map[model.ShardID]proto.Owner
	// reports holds one entry for each owned service shard, ordered by shard.
	reports []*report
	// serial numbers restore reports.
	serial   uint64
	services map[model.ServiceName]*access
	// shards holds the shards that have a service.
	shards map[model.ShardID]bool
	listed listed
	// hosts is the number of entry hosts, or 0 if it is not known.
	hosts int
	// ordered lists services by name, so that ticks are deterministic.
	ordered  []*access
	requests map[model.RequestID]*request
	byNonce  map[uint64]*request
	// withdrawn holds queries whose assignment may still arrive.
	withdrawn map[uint64]model.ServiceName
	expiry    fifo[withdrawal]
	free      []*request
	out       []Effect
}

// withdrawal is a query given up.
type withdrawal struct {
	nonce uint64
	until model.Instant
}

// request is one Wanted that has not ended.
type request struct {
	id          model.RequestID
	access      *access
	workspace   model.WorkspaceID
	fingerprint model.Fingerprint
	deadline    model.Instant
	exclude     []model.TargetID
	once        bool
	// passed lists targets that were given back untried.
	passed []model.TargetID
	nonce  uint64
	// since is when the target was wanted.
	since model.Instant
	// asked is when the query was last sent, tries how often it was sent.
	asked    model.Instant
	tries    int
	assigned bool
	// paidRetry is set when a local retry was taken from the budget.
	paidRetry bool
	slot      uint64
	// epoch is that of the owner that assigned the target, or 0 for a local choice.
	epoch       model.Epoch
	target      model.TargetID
	incarnation model.Incarnation
	// place is the index of an assigned request in access.held.
	place int
	// gone marks a request that does not wait any more, linked one that is
	// still stored in the queue, and ended one that the picker forgot.
	gone   bool
	linked bool
	ended  bool
}

// access is what a picker knows of one service.
type access struct {
	name  model.ServiceName
	shard model.ShardID
	// owner is empty while the service has none.
	owner proto.Owner
	// report is that of the shard, or nil without an owner.
	report *report
	// disowned is set when the host that should own the service said it does not.
	disowned bool
	// unanswered is when the first query since the owner was last heard was sent, or 0.
	unanswered model.Instant
	asked      model.Instant
	// listAsked is when the list was last asked for.
	listAsked model.Instant
	used      model.Instant

	// view and quarantine are those of viewEpoch and digest, received at viewTaken.
	view       []proto.TargetView
	quarantine []quarantined
	viewEpoch  model.Epoch
	digest     uint64
	viewTaken  model.Instant
	// viewAt is when the owner last confirmed the view, or 0.
	viewAt model.Instant
	news   []news
	// held holds the requests that have a target; its order follows no rule.
	held []*request
	// broken holds the broken attempts of the last RestoreMemory.
	broken []brokenReport
	// running counts this host's own attempts by target.
	running map[model.TargetID]int
	// doubts holds the targets at which attempts of this host failed lately.
	doubts doubts
	// inFlight is the sum of running, usual its decayed mean while the service had an owner.
	inFlight int
	usual    float64
	waiting  fifo[*request]
	// queued counts the requests in waiting that are not gone.
	queued      int
	retryTokens float64
	scratch     []proto.TargetView
}

// news is the newest announcement of a target taken by this host.
type news struct {
	announcement model.Announcement
	at           model.Instant
}

// NewPicker returns the picker core of an entry host.
func NewPicker(self model.HostID, zone model.ZoneName, opts ...Option) *Picker {
	s := newSettings(self, opts)
	return &Picker{
		self:        self,
		zone:        zone,
		tune:        s.tune,
		rng:         s.rng,
		cfg:         model.NewConfig(nil, nil),
		nonce:       firstNonce(s.rng.Uint64(), s.incarnation),
		incarnation: s.incarnation,
		owners:      map[model.ShardID]proto.Owner{},
		services:    map[model.ServiceName]*access{},
		requests:    map[model.RequestID]*request{},
		byNonce:     map[uint64]*request{},
		withdrawn:   map[uint64]model.ServiceName{},
	}
}

// firstNonce spreads the first nonces of the runs of a host, whose incarnations
// may be consecutive numbers, over 63 bits.
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
		p.want(now, &ev)
	case AttemptEnded:
		p.end(now, ev)
	case Received:
		p.receive(now, ev.From, ev.Msg)
	case Tick:
		p.tick(now)
	case RequestAbandoned:
		p.abandon(now, ev.Request)
	case TargetAnnounced:
		p.announced(now, ev.Announcement)
	case OwnersChanged:
		p.setOwners(now, ev.Owners)
	case Probed:
		p.probed(now, ev)
	case FailedTargetsReported:
		p.doubt(now, ev.Targets)
	case EntryHostCountChanged:
		p.hosts = ev.Count
	case TargetsListed:
		p.listed.take(now, ev.Targets)
	case Configured:
		if ev.Config.Version >= p.cfg.Version {
			p.cfg = ev.Config
			p.noteShards()
		}
	}
	return p.out
}

func (p *Picker) emit(e Effect) { p.out = append(p.out, e) }

func (p *Picker) send(to model.HostID, m proto.Message) { p.emit(Send{To: to, Msg: m}) }

func (p *Picker) receive(now model.Instant, from model.HostID, msg proto.Message) {
	switch m := msg.(type) {
	case proto.SlotReply:
		p.reply(now, from, m)
	case proto.ViewReply:
		p.takeView(now, from, m)
	case proto.RestoreAck:
		p.restoreAck(now, from, m)
	}
}

func (p *Picker) access(name model.ServiceName) *access {
	s, ok := p.services[name]
	if ok {
		return s
	}
	shard := model.ServiceShard(name)
	s = &access{
		name: name, shard: shard, owner: p.owners[shard], report: p.report(shard),
		running: map[model.TargetID]int{}, doubts: doubts{}, retryTokens: first(p.tune.Retries.Alone),
	}
	p.services[name] = s
	at, _ := slices.BinarySearchFunc(p.ordered, s, func(a, b *access) int {
		return strings.Compare(string(a.name), string(b.name))
	})
	p.ordered = slices.Insert(p.ordered, at, s)
	p.noteShards()
	return s
}

// want starts the search for a target. A repeated request that still waits is ignored.
func (p *Picker) want(now model.Instant, ev *TargetRequested) {
	if _, ok := p.requests[ev.Request]; ok {
		return
	}
	s := p.access(ev.Service)
	s.used = now
	if ev.Deadline <= now {
		p.emit(Refused{Request: ev.Request, Status: proto.SlotTooLate})
		return
	}
	p.nonce++
	r := p.newRequest()
	*r = request{
		id: ev.Request, access: s, workspace: ev.Workspace, fingerprint: ev.Fingerprint,
		deadline: ev.Deadline, exclude: ev.Exclude, once: ev.AtMostOnce, nonce: p.nonce, since: now, linked: true,
	}
	if len(ev.Exclude) == 0 {
		s.retryTokens = min(p.tune.Retries.Alone, s.retryTokens+p.tune.Retries.share(p.cfg.Defaults))
	}
	p.requests[r.id] = r
	p.byNonce[r.nonce] = r
	s.waiting.push(r)
	s.queued++
	if s.hasOwner(now, &p.tune) {
		if s.report.asks(now, &p.tune) {
			p.ask(now, r)
		}
		return
	}
	p.serveLocally(now, s)
}

// hasOwner reports whether the owner is to be asked.
func (s *access) hasOwner(now model.Instant, tune *Tuning) bool {
	if s.owner.Host == "" || s.disowned {
		return false
	}
	return s.unanswered == 0 || now.Sub(s.unanswered) <= tune.OwnerTimeout
}

func (p *Picker) ask(now model.Instant, r *request) {
	s := r.access
	r.asked = now
	r.tries++
	s.sent(now)
	p.send(s.owner.Host, proto.SlotAsk{
		Nonce:           r.nonce,
		Service:         s.name,
		Workspace:       r.workspace,
		Request:         r.id,
		Fingerprint:     r.fingerprint,
		Zone:            p.zone,
		Remaining:       r.deadline.Sub(now),
		Exclude:         r.exclude,
		DeclinedTargets: r.passed,
		AtMostOnce:      r.once,
	})
}

func (s *access) sent(now model.Instant) {
	if s.unanswered == 0 {
		s.unanswered = now
	}
}

// heard notes a sign of life of the owner.
func (s *access) heard(from model.HostID) bool {
	if from != s.owner.Host {
		return false
	}
	s.unanswered = 0
	return true
}

// reply ends the query with its nonce. An assignment that nobody waits for is given back.
func (p *Picker) reply(now model.Instant, from model.HostID, m proto.SlotReply) {
	r, ok := p.byNonce[m.Nonce]
	if !ok {
		if name, late := p.withdrawn[m.Nonce]; late && m.Status == proto.SlotAssigned {
			p.send(from, proto.SlotCancel{Service: name, Nonce: m.Nonce})
		}
		return
	}
	s := r.access
	s.heard(from)
	if m.Status == proto.SlotAssigned && m.Epoch < max(s.owner.Epoch, r.epoch) {
		// The report to the present owner does not contain this slot. It is not
		// cancelled: the query may have a slot of the same host's present tenure.
		return
	}
	if r.assigned {
		if m.Status == proto.SlotAssigned && m.Slot != r.slot {
			p.send(from, proto.SlotCancel{Service: s.name, Nonce: m.Nonce})
		}
		return
	}
	switch m.Status {
	case proto.SlotAssigned:
		if p.listed.leaves(m.Target, m.Incarnation) {
			p.askAgain(now, from, r, m.Target)
			return
		}
		p.leaveQueue(r)
		p.dropGone(s)
		r.slot = m.Slot
		r.epoch = m.Epoch
		p.assign(r, m.Target, m.Addr, m.Incarnation, false)
	case proto.SlotNotOwner:
		if from == s.owner.Host {
			s.disowned = true
			p.serveLocally(now, s)
		}
	default:
		p.leaveQueue(r)
		p.emit(Refused{Request: r.id, Status: m.Status, RetryAfter: m.RetryAfter})
		p.forget(now, r)
	}
}

// askAgain gives back a target that leaves, of which the owner has not heard
// yet, and asks for another one.
func (p *Picker) askAgain(now model.Instant, from model.HostID, r *request, id model.TargetID) {
	p.send(from, proto.SlotCancel{Service: r.access.name, Nonce: r.nonce})
	delete(p.byNonce, r.nonce)
	p.nonce++
	r.nonce = p.nonce
	p.byNonce[r.nonce] = r
	r.passed = append(slices.Clone(r.passed), id)
	p.ask(now, r)
}

func (p *Picker) assign(r *request, id model.TargetID, addr string, inc model.Incarnation, local bool) {
	r.assigned = true
	r.target = id
	r.incarnation = inc
	r.access.running[id]++
	r.access.inFlight++
	r.access.hold(r)
	p.emit(Assigned{Request: r.id, Target: id, Addr: addr, Incarnation: inc, Local: local})
}

// end reports an attempt to the owner. The target and incarnation are those of
// the assignment, whatever the caller filled in.
func (p *Picker) end(now model.Instant, ev AttemptEnded) {
	r, ok := p.requests[ev.Request]
	if !ok || !r.assigned {
		return
	}
	s := r.access
	s.release(r)
	s.inFlight--
	if s.running[r.target]--; s.running[r.target] <= 0 {
		delete(s.running, r.target)
	}
	a := ev.Attempt
	a.Target = r.target
	a.Incarnation = r.incarnation
	if a.End == model.AttemptBroken {
		s.noteBroken(now, r)
	}
	s.doubts.note(now, a)
	if s.owner.Host != "" {
		p.send(s.owner.Host, proto.SlotDone{
			Service: s.name, Slot: r.slot, Workspace: r.workspace, Fingerprint: r.fingerprint, Attempt: a,
		})
	}
	p.forget(now, r)
	if s.queued > 0 && !s.hasOwner(now, &p.tune) {
		p.serveLocally(now, s)
	}
}

func (p *Picker) tick(now model.Instant) {
	for p.expiry.len() > 0 && p.expiry.peek().until < now {
		delete(p.withdrawn, p.expiry.pop().nonce)
	}
	p.repeatReports(now)
	for _, s := range p.ordered {
		p.expireNews(now, s)
		s.expireBroken(now, p.tune.RestoreRetention)
		p.expireRequests(now, s)
		if s.hasOwner(now, &p.tune) {
			s.usual += usualWeight * (float64(s.inFlight) - s.usual)
			p.repeat(now, s)
		} else {
			p.serveLocally(now, s)
		}
		p.refreshView(now, s)
	}
}

func (p *Picker) expireRequests(now model.Instant, s *access) {
	for _, r := range s.waiting.items[s.waiting.head:] {
		if r.gone || now < r.deadline {
			continue
		}
		p.refuse(now, r, proto.SlotTooLate)
	}
	p.sweep(s)
}

// refuse ends a waiting request without a target. The caller sweeps the queue afterwards.
func (p *Picker) refuse(now model.Instant, r *request, status proto.SlotStatus) {
	p.refuseFor(now, r, status, 0)
}

func (p *Picker) refuseFor(now model.Instant, r *request, status proto.SlotStatus, after time.Duration) {
	p.withdraw(now, r)
	delete(p.requests, r.id)
	delete(p.byNonce, r.nonce)
	r.ended = true
	p.emit(Refused{Request: r.id, Status: status, RetryAfter: after})
}

func (p *Picker) repeat(now model.Instant, s *access) {
	if !s.report.asks(now, &p.tune) {
		return
	}
	for _, r := range s.waiting.items[s.waiting.head:] {
		wait := p.tune.QueryRepeatInterval << min(max(0, r.tries-1), repeatLimit)
		if !r.gone && (r.tries == 0 || now.Sub(r.asked) >= wait) {
			p.ask(now, r)
		}
	}
}

// usedFor is how long after its last request a service's view is kept up to date.
const usedFor = time.Minute
