package pool

import (
	"time"

	"tarragongauge.example/tarragongauge/internal/pace"
	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/internal/sched"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// askKey identifies a query and its repeats.
type askKey struct {
	host  int32
	nonce uint64
}

// ask is a waiting query, sent as a SlotAsk.
type ask struct {
	askKey
	service     *service
	workspace   *workspace
	request     model.RequestID
	fingerprint model.Fingerprint
	zone        model.ZoneName
	exclude     []model.TargetID
	declined    []model.TargetID
	once        bool
	deadline    model.Instant
	// serial orders the queries by arrival.
	serial uint64
	// isWithdrawn marks a query that is skipped when its turn in the queue comes.
	isWithdrawn bool
	query       sched.Query[*ask]
}

// slot is one slot in use.
type slot struct {
	askKey
	id uint64
	// restored is set for a slot that an earlier owner assigned or that the host
	// chose itself. The nonce of its askKey holds the number of the slot instead of
	// the nonce of a query.
	restored  bool
	target    *target
	workspace *workspace
	startedAt model.Instant
	// expiresAt is the deadline of the request plus the time for its report to arrive.
	expiresAt model.Instant
	// isLastAttempt is set if the request fails with this attempt.
	isLastAttempt bool
	// failuresBefore is the target's number of failed attempts at the time of the
	// assignment, if the target was in a cooldown.
	failuresBefore int
	// hold is the zero value for a restored slot, whose rank is not known.
	hold sched.Hold[*ask]
}

// workspace is the use of one service by one workspace.
type workspace struct {
	id model.WorkspaceID
	// inUse counts the slots in use over all hosts.
	inUse int
	// assignments counts the recent assignments, for assignmentRateMemory.
	assignments pace.Counter
	// waitingCount counts the queries in queue that are not withdrawn.
	waitingCount int
	queue        fifo[*ask]
	// skippedRound is the last dispatch round in which the first query of the queue
	// could not be served.
	skippedRound uint64
}

// service is the state of one service at its owner.
type service struct {
	name      model.ServiceName
	shard     model.ShardID
	ownership ownership

	floor          float64
	retryShare     float64
	defaultSlots   int
	maxConnections int
	queueLimit     int
	// warmupRate and coldStart are those of model.Service.
	warmupRate float64
	coldStart  time.Duration

	targets []*target
	// evacuatedCount counts the targets whose zones are evacuated.
	evacuatedCount int
	// recentOutcomes decides whether cooldowns may be extended.
	recentOutcomes recentOutcomes
	// trialOutcomes decides whether requests wait for targets that work.
	trialOutcomes trialOutcomes
	// lastRepeatableAskAt is when a query for a first attempt that may be repeated
	// last arrived, or 0.
	lastRepeatableAskAt model.Instant
	// cooldownScratch is reused by extendCooldowns.
	cooldownScratch []*target
	// targetCount numbers the targets in the order in which they were first
	// announced or reported.
	targetCount uint
	targetByID  map[model.TargetID]*target
	// slotByID and slotByAsk hold the slots in use that this owner assigned,
	// restoredSlots the others, by host and number.
	slotByID      map[uint64]*slot
	slotByAsk     map[askKey]*slot
	restoredSlots map[askKey]*slot
	// endedSlots holds the ends of slots that this owner did not assign,
	// endedSlotQueue the same in order of time.
	endedSlots     map[askKey]struct{}
	endedSlotQueue fifo[endedSlot]
	// viewEpoch and viewDigest identify the newest view reported. Its ejections are
	// tried until restoredEjectionsUntil.
	viewEpoch              model.Epoch
	viewDigest             uint64
	restoredEjections      []restoredEjection
	restoredEjectionsUntil model.Instant
	// clearedWorkspaces holds the workspaces whose quarantine an operator cleared at this owner.
	clearedWorkspaces []model.WorkspaceID
	// waitingAsks holds the waiting queries that are not withdrawn.
	waitingAsks   map[askKey]*ask
	workspaces    []*workspace
	workspaceByID map[model.WorkspaceID]*workspace
	// waitingCount is the number of waitingAsks, waitingRetries that of the retries
	// among them.
	waitingCount   int
	waitingRetries int
	// sched holds the same waiting queries as the workspaces.
	sched *sched.Scheduler[*ask]
	// hosts holds the connectivity of the entry hosts, by host number.
	hosts         []hostConnectivity
	dispatchRound uint64
	// assignmentCount numbers the assignments.
	assignmentCount uint64
	pace            servicePace

	// rateVersion grows with each change of the rates that targets name, which
	// limitedTargets counts. rateLists holds what each host knows, by host number.
	rateVersion    uint64
	limitedTargets int
	rateLists      []rateList
	// retryTokens is at least waitingRetries.
	retryTokens float64
	retryReport retryReport
	idleReport  idleReport
	// retriesRefilledAt is when retries were last added for time passed, or 0.
	retriesRefilledAt model.Instant
	brokenAttempts    []brokenAttempt
	suspects          []suspect
	quarantine        []quarantined

	base    baseline
	latency sched.MovingMean
	// tail is the sum of the tails of the usable targets as of the last evaluation.
	tail             tail
	lastEvaluationAt model.Instant
	// firstSeenAt is when this owner created its state of the service.
	firstSeenAt model.Instant
	// version is the version of the view for ViewAsk. It grows with each change of
	// the targets or the quarantine.
	version uint64

	freeAsks  []*ask
	freeSlots []*slot
	scratch   []float64
}

func newService(now model.Instant, name model.ServiceName, shard model.ShardID, own ownership) *service {
	return &service{
		name:          name,
		shard:         shard,
		ownership:     own,
		firstSeenAt:   now,
		targetByID:    map[model.TargetID]*target{},
		slotByID:      map[uint64]*slot{},
		slotByAsk:     map[askKey]*slot{},
		waitingAsks:   map[askKey]*ask{},
		workspaceByID: map[model.WorkspaceID]*workspace{},
		version:       1,
	}
}

// configure applies the limits of a configuration.
func (s *service) configure(cfg model.Config, retries Retries) {
	s.floor = cfg.FloorFor(s.name)
	s.retryShare = retries.share(cfg.Defaults)
	s.defaultSlots = max(1, cfg.Defaults.Slots)
	s.maxConnections = max(1, cfg.Defaults.Connections)
	s.queueLimit = max(1, cfg.Defaults.QueueLimit)
}

// workspace returns the state of a workspace, which is created if it has none.
func (s *service) workspace(id model.WorkspaceID) *workspace {
	w, ok := s.workspaceByID[id]
	if !ok {
		w = &workspace{id: id}
		s.workspaceByID[id] = w
		s.workspaces = append(s.workspaces, w)
	}
	return w
}

// pruneWorkspaces drops workspaces without work, so that the list holds only active ones.
func (s *service) pruneWorkspaces() {
	kept := s.workspaces[:0]
	for _, w := range s.workspaces {
		if w.inUse == 0 && w.queue.len() == 0 {
			delete(s.workspaceByID, w.id)
			continue
		}
		kept = append(kept, w)
	}
	clear(s.workspaces[len(kept):])
	s.workspaces = kept
}

// newAsk returns an ask, reusing a recycled one if there is any.
func (s *service) newAsk() *ask {
	if n := len(s.freeAsks); n > 0 {
		a := s.freeAsks[n-1]
		s.freeAsks = s.freeAsks[:n-1]
		return a
	}
	return &ask{}
}

func (s *service) recycleAsk(a *ask) {
	*a = ask{}
	s.freeAsks = append(s.freeAsks, a)
}

// newSlot returns a slot, reusing a recycled one if there is any.
func (s *service) newSlot() *slot {
	if n := len(s.freeSlots); n > 0 {
		l := s.freeSlots[n-1]
		s.freeSlots = s.freeSlots[:n-1]
		return l
	}
	return &slot{}
}

// freeSlot returns a slot to its target.
func (s *service) freeSlot(now model.Instant, l *slot) {
	t := l.target
	s.sched.Release(now, l.hold)
	for i, b := range t.busySlots {
		if b == l {
			t.busySlots = append(t.busySlots[:i], t.busySlots[i+1:]...)
			break
		}
	}
	l.workspace.inUse--
	s.connectivity(l.host).slotsInUse--
	if l.restored {
		t.restoredSlots--
		t.restoredSlotsEnded++
		delete(s.restoredSlots, l.askKey)
	} else {
		delete(s.slotByID, l.id)
		delete(s.slotByAsk, l.askKey)
	}
	*l = slot{}
	s.freeSlots = append(s.freeSlots, l)
}

// withdraw removes a waiting query from the counts. The queue drops it later.
func (s *service) withdraw(a *ask) {
	a.isWithdrawn = true
	s.sched.Remove(&a.query)
	s.countWaiting(a, -1)
	delete(s.waitingAsks, a.askKey)
}

// countWaiting adds n to the counts of waiting queries like a.
func (s *service) countWaiting(a *ask, n int) {
	a.workspace.waitingCount += n
	s.waitingCount += n
	if len(a.exclude) > 0 {
		s.waitingRetries += n
	}
}

// refuse replies to a query that it gets no slot.
func (o *Owner) refuse(s *service, host int32, nonce uint64, status proto.SlotStatus, after time.Duration) {
	o.send(o.hostNames[host], proto.SlotReply{Nonce: nonce, Status: status, RetryAfter: after, Epoch: s.ownership.epoch})
}
