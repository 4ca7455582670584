package pool

import (
	"time"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// askKey identifies a query over repeats.
type askKey struct {
	host  int32
	nonce uint64
}

// ask is a waiting SlotAsk.
type ask struct {
	askKey
	service     *service
	workspace   *workspace
	fingerprint model.Fingerprint
	zone        model.ZoneName
	exclude     []model.TargetID
	pass        []model.TargetID
	once        bool
	deadline    model.Instant
	serial      uint64
	// gone marks an ask that was withdrawn and is dropped when its turn comes.
	gone bool
}

// slot is one slot in use.
type slot struct {
	askKey
	id uint64
	// restored is set for a slot that an earlier owner gave or the host chose
	// itself. Its askKey then holds its number instead of the nonce of a query.
	restored  bool
	target    *target
	workspace *workspace
	start     model.Instant
	// expires is the deadline of the request with the grace for its report.
	expires model.Instant
	// final is set if the request fails with the attempt.
	final bool
}

// workspace is a workspace's use of one service.
type workspace struct {
	id model.WorkspaceID
	// inUse counts slots over all hosts.
	inUse int
	// waiting counts the asks in queue that are not withdrawn.
	waiting int
	queue   fifo[*ask]
	// skipped is the number of the dispatch round in which its head could not be served.
	skipped uint64
}

// service is the state of one service at its owner.
type service struct {
	name   model.ServiceName
	shard  model.ShardID
	tenure tenure

	floor       float64
	retryShare  float64
	slots       int
	connections int
	queueLimit  int

	targets []*target
	// lately tells whether targets may rest.
	lately lately
	// restScratch is reused by rest.
	restScratch []*target
	// targetCount numbers targets in the order in which they were first announced.
	targetCount uint
	byTarget    map[model.TargetID]*target
	// bySlot and byAsk hold every slot in use that this owner gave, restored
	// the others by host and number.
	bySlot   map[uint64]*slot
	byAsk    map[askKey]*slot
	restored map[askKey]*slot
	// ended holds the ends of slots that this owner did not give, endings in order.
	ended   map[askKey]struct{}
	endings fifo[endedSlot]
	// viewEpoch and viewDigest are those of the newest view reported, whose
	// ejections are tried until ejectionsUntil.
	viewEpoch      model.Epoch
	viewDigest     uint64
	ejections      []restoredEjection
	ejectionsUntil model.Instant
	// cleared holds the workspaces whose quarantine an operator cleared here.
	cleared []model.WorkspaceID
	// waitingAsk holds every ask that waits and is not withdrawn.
	waitingAsk map[askKey]*ask
	workspaces []*workspace
	byID       map[model.WorkspaceID]*workspace
	waiting    int
	// hosts holds what is known of entry hosts, by number.
	hosts []hostTrust
	round uint64
	// picks counts assignments.
	picks uint64

	retryTokens float64
	// refilled is when retries of the time were last added, or 0.
	refilled   model.Instant
	broken     []brokenAttempt
	suspects   []suspect
	quarantine []quarantined

	base baseline
	// tail is the sum over the usable targets as of the last evaluation.
	tail      tail
	evaluated model.Instant
	// begun is when this owner first heard of the service.
	begun model.Instant
	// version numbers the list of targets for ViewAsk.
	version uint64

	freeAsks  []*ask
	freeSlots []*slot
	scratch   []float64
}

func newService(now model.Instant, name model.ServiceName, shard model.ShardID, t tenure) *service {
	return &service{
		name:       name,
		shard:      shard,
		tenure:     t,
		begun:      now,
		byTarget:   map[model.TargetID]*target{},
		bySlot:     map[uint64]*slot{},
		byAsk:      map[askKey]*slot{},
		waitingAsk: map[askKey]*ask{},
		byID:       map[model.WorkspaceID]*workspace{},
		version:    1,
	}
}

func (s *service) configure(cfg model.Config, retries Retries) {
	s.floor = cfg.FloorFor(s.name)
	s.retryShare = retries.share(cfg.Defaults)
	s.slots = max(1, cfg.Defaults.Slots)
	s.connections = max(1, cfg.Defaults.Connections)
	s.queueLimit = max(1, cfg.Defaults.QueueLimit)
}

func (s *service) workspace(id model.WorkspaceID) *workspace {
	w, ok := s.byID[id]
	if !ok {
		w = &workspace{id: id}
		s.byID[id] = w
		s.workspaces = append(s.workspaces, w)
	}
	return w
}

// pruneWorkspaces forgets workspaces without work, so that the list holds the active ones.
func (s *service) pruneWorkspaces() {
	kept := s.workspaces[:0]
	for _, w := range s.workspaces {
		if w.inUse == 0 && w.queue.len() == 0 {
			delete(s.byID, w.id)
			continue
		}
		kept = append(kept, w)
	}
	clear(s.workspaces[len(kept):])
	s.workspaces = kept
}

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

func (s *service) newSlot() *slot {
	if n := len(s.freeSlots); n > 0 {
		l := s.freeSlots[n-1]
		s.freeSlots = s.freeSlots[:n-1]
		return l
	}
	return &slot{}
}

// free returns a slot to its target.
func (s *service) free(l *slot) {
	t := l.target
	for i, b := range t.busy {
		if b == l {
			t.busy = append(t.busy[:i], t.busy[i+1:]...)
			break
		}
	}
	l.workspace.inUse--
	s.trust(l.host).inUse--
	if l.restored {
		t.restoredSlots--
		t.restoredEnds++
		delete(s.restored, l.askKey)
	} else {
		delete(s.bySlot, l.id)
		delete(s.byAsk, l.askKey)
	}
	*l = slot{}
	s.freeSlots = append(s.freeSlots, l)
}

// withdraw takes a waiting ask out of the counts; its queue drops it later.
func (s *service) withdraw(a *ask) {
	a.gone = true
	a.workspace.waiting--
	s.waiting--
	delete(s.waitingAsk, a.askKey)
}

// expectedWait estimates the time until a workspace's next ask gets a slot,
// from its place in its own queue and its fair share of the slots.
func (s *service) expectedWait(w *workspace) time.Duration {
	if s.waiting == 0 {
		return 0
	}
	_, healthy := s.capacity()
	active := 0
	for _, other := range s.workspaces {
		if other != w && (other.inUse > 0 || other.waiting > 0) {
			active++
		}
	}
	share := max(1, float64(healthy)/float64(active+1))
	turns := float64(w.waiting+1) / share
	return time.Duration(turns * float64(s.base.typical()))
}

func (o *Owner) refuse(s *service, host int32, nonce uint64, status proto.SlotStatus, after time.Duration) {
	o.send(o.hostNames[host], proto.SlotReply{Nonce: nonce, Status: status, RetryAfter: after, Epoch: s.tenure.epoch})
}
