package pool

import (
	"slices"
	"time"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// TargetStatus describes one target of a service to operators, as its owner knows it.
type TargetStatus struct {
	Target      model.TargetID
	Addr        string
	Zone        model.ZoneName
	Incarnation model.Incarnation
	State       model.TargetState
	// Stale is set when the target has stopped announcing itself.
	Stale bool
	// Slots is the announced number of slots, SlotLimit the present limit, which is
	// lower during a slow start.
	Slots     int
	SlotLimit int
	// InUse counts the slots in use over all hosts. RestoredSlots is the part of
	// them that another owner assigned or that hosts chose themselves; only because
	// of these may InUse exceed Slots.
	InUse         int
	RestoredSlots int
	// Hosts counts the entry hosts that the target is assigned to, HostLimit is their maximum.
	Hosts     int
	HostLimit int
	Ejected   bool
	// KeptByFloor is set when the target fails but the floor keeps it in service.
	KeptByFloor bool
	// Evacuated is set while the target's zone is evacuated.
	Evacuated bool
	// Reason is the reason of the last ejection, including one that the floor prevented, or empty.
	Reason string
	// Ejections counts recent ejections; the next backoff doubles with each.
	Ejections int
	// Remaining is the time until an ejected target is tried again.
	Remaining time.Duration
	// ColdRemaining is how much longer the target is cold.
	ColdRemaining time.Duration
	// ErrorScore and LatencyScore are relative to the limit: at 1 the target is ejected.
	ErrorScore   float64
	LatencyScore float64
}

// WorkspaceStatus describes the use of a service by a workspace. InUse counts
// slots, Waiting counts queries.
type WorkspaceStatus struct {
	Workspace model.WorkspaceID
	InUse     int
	Waiting   int
	// SlotShare is the workspace's share of the slots in use.
	SlotShare float64
}

// QueueStatus describes the queries of one rank. Served and Refused count since this
// owner began to own the service, or since the rank was last unused for long.
type QueueStatus struct {
	Rank    model.Rank
	Waiting int
	// LongestWait is the time for which the oldest waiting query has waited.
	LongestWait     time.Duration
	Served, Refused uint64
}

// ServiceStatus describes one service to operators, as its owner knows it.
type ServiceStatus struct {
	Service model.ServiceName
	Epoch   model.Epoch
	// AnnouncedSlots counts the slots of the ready targets outside evacuated zones,
	// HealthySlots those of the ones among them that are not ejected. Ejections never lower HealthySlots below
	// Floor times AnnouncedSlots.
	AnnouncedSlots int
	HealthySlots   int
	Floor          float64
	// RetryTokens is the number of retries that the budget allows at present.
	RetryTokens   float64
	MedianLatency time.Duration
	// LoadVariation is the coefficient of variation of the recent assignments per slot
	// over the usable targets. FullArrivals counts the assignments since this owner
	// began that a target shed as full.
	LoadVariation float64
	FullArrivals  uint64
	Targets       []TargetStatus
	Workspaces    []WorkspaceStatus
	// Queues holds the ranks of the queries, the most urgent first.
	Queues     []QueueStatus
	Quarantine []QuarantineStatus
}

// Status returns the services that this host owns now, ordered by name.
func (o *Owner) Status(now model.Instant) []ServiceStatus {
	var list []ServiceStatus
	for _, s := range o.ordered {
		if now < o.ownerships[s.shard].until {
			list = append(list, o.serviceStatus(now, s))
		}
	}
	return list
}

func (o *Owner) serviceStatus(now model.Instant, s *service) ServiceStatus {
	st := ServiceStatus{
		Service: s.name, Epoch: s.ownership.epoch, Floor: s.floor,
		RetryTokens: s.retryTokens, MedianLatency: s.base.medianLatency(),
		LoadVariation: s.loadVariation(now), FullArrivals: s.pace.fullArrivals,
	}
	st.AnnouncedSlots, st.HealthySlots = s.capacity()
	for _, t := range s.targets {
		if t.announced() {
			st.Targets = append(st.Targets, o.targetStatus(now, s, t))
		}
	}
	inUse := 0
	for _, w := range s.workspaces {
		inUse += w.inUse
	}
	for _, w := range s.workspaces {
		st.Workspaces = append(st.Workspaces, WorkspaceStatus{
			Workspace: w.id, InUse: w.inUse, Waiting: w.waitingCount, SlotShare: float64(w.inUse) / float64(max(1, inUse)),
		})
	}
	for _, q := range s.sched.Status(now) {
		st.Queues = append(st.Queues, QueueStatus(q))
	}
	for _, q := range s.quarantine {
		if now < q.until {
			st.Quarantine = append(st.Quarantine, QuarantineStatus{
				Workspace: q.workspace, Fingerprint: q.fingerprint, Remaining: q.until.Sub(now),
			})
		}
	}
	return st
}

func (o *Owner) targetStatus(now model.Instant, s *service, t *target) TargetStatus {
	st := TargetStatus{
		Target: t.id, Addr: t.addr, Zone: t.zone, Incarnation: t.incarnation, State: t.state, Stale: t.stale,
		Slots: t.slots, SlotLimit: t.slotLimit(now, &o.tune), InUse: len(t.busySlots), RestoredSlots: t.restoredSlots,
		Hosts: t.hostCount, HostLimit: s.maxHosts(t), ColdRemaining: t.cold.Remaining(now),
		Ejected: t.ejected, KeptByFloor: t.keptByFloor, Evacuated: t.evacuated, Reason: t.reason, Ejections: t.ejections,
		ErrorScore:   t.stats.errorScore / o.tune.ErrorLimit,
		LatencyScore: max(t.stats.slowScore, t.stats.stuckScore) / o.tune.LatencyLimit,
	}
	if t.ejected {
		st.Remaining = max(0, t.ejectedUntil.Sub(now))
	}
	return st
}

// handleViewAsk replies with the targets and the quarantine that an entry host uses
// while there is no owner.
func (o *Owner) handleViewAsk(now model.Instant, from model.HostID, m proto.ViewAsk) {
	s := o.service(now, m.Service)
	if s == nil {
		return
	}
	reply := proto.ViewReply{Service: s.name, Epoch: s.ownership.epoch}
	if !s.ownership.restore.isComplete {
		o.send(from, reply)
		return
	}
	if m.PingOnly {
		reply.Digest = m.Digest
		o.send(from, reply)
		return
	}
	reply.Digest = s.digest()
	if m.Digest != reply.Digest {
		reply.Targets = s.targetViews(now)
		reply.QuarantinedRequests = listQuarantined(now, s.quarantine)
	}
	o.send(from, reply)
}

// digest identifies the present view. It is never 0, which in a ViewAsk asks for
// the list in any case.
func (s *service) digest() uint64 {
	return epochBits(s.ownership.epoch)<<slotSerialBits | s.version&slotSerialMask
}

// targetViews lists the ready targets. It is never nil, so that an empty list
// differs from an unchanged one where the encoding keeps the difference.
func (s *service) targetViews(now model.Instant) []proto.TargetView {
	list := make([]proto.TargetView, 0, len(s.targets))
	for _, t := range s.targets {
		if !t.ready() {
			continue
		}
		v := proto.TargetView{Target: t.id, Addr: t.addr, Zone: t.zone, Slots: t.slots, Incarnation: t.incarnation, Ejected: t.ejected, ColdRemaining: t.cold.Remaining(now)}
		if t.ejected {
			v.EjectionRemaining, v.Severity, v.Ejections = max(0, t.ejectedUntil.Sub(now)), t.severity, t.ejections
		}
		list = append(list, v)
	}
	return slices.Clip(list)
}
