package pool

import (
	"slices"
	"time"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// TargetStatus describes one target at its owner.
type TargetStatus struct {
	Target      model.TargetID
	Addr        string
	Zone        model.ZoneName
	Incarnation model.Incarnation
	State       model.TargetState
	// Stale is set when the target stopped announcing itself.
	Stale bool
	// Slots is the announced limit, Limit the present one during a slow start, InUse counts over all hosts.
	Slots     int
	SlotLimit int
	// Restored is the part of InUse that another owner gave or hosts chose
	// themselves; only with these may InUse exceed Slots.
	InUse         int
	RestoredSlots int
	// Hosts counts the entry hosts the target is given to, HostLimit bounds them.
	Hosts     int
	HostLimit int
	Ejected   bool
	// KeptByFloor is set when the target fails but the floor keeps it in service.
	KeptByFloor bool
	// Reason is that of the last ejection or refusal to eject, or empty.
	Reason string
	// Ejections counts recent ejections; the next backoff doubles with each.
	Ejections int
	// Remaining is the time until an ejected target is tried again.
	Remaining time.Duration
	// ErrorScore and LatencyScore are 1 at the limit of ejection.
	ErrorScore   float64
	LatencyScore float64
}

// WorkspaceStatus describes a workspace's use of a service.
type WorkspaceStatus struct {
	Workspace model.WorkspaceID
	InUse     int
	Waiting   int
}

// ServiceStatus describes one service at its owner.
type ServiceStatus struct {
	Service model.ServiceName
	Epoch   model.Epoch
	// AnnouncedSlots and Healthy are in slots; Healthy never falls below Floor of Announced by ejection.
	AnnouncedSlots int
	HealthySlots   int
	Floor          float64
	// RetryTokens is the number of retries the budget allows now.
	RetryTokens   float64
	MedianLatency time.Duration
	Targets       []TargetStatus
	Workspaces    []WorkspaceStatus
	Quarantine    []QuarantineStatus
}

// Status returns the services this host owns now, ordered by name.
func (o *Owner) Status(now model.Instant) []ServiceStatus {
	var list []ServiceStatus
	for _, s := range o.ordered {
		if now < o.tenures[s.shard].until {
			list = append(list, o.serviceStatus(now, s))
		}
	}
	return list
}

func (o *Owner) serviceStatus(now model.Instant, s *service) ServiceStatus {
	st := ServiceStatus{
		Service: s.name, Epoch: s.tenure.epoch, Floor: s.floor,
		RetryTokens: s.retryTokens, MedianLatency: s.base.typical(),
	}
	st.AnnouncedSlots, st.HealthySlots = s.capacity()
	for _, t := range s.targets {
		if t.announced() {
			st.Targets = append(st.Targets, o.targetStatus(now, s, t))
		}
	}
	for _, w := range s.workspaces {
		st.Workspaces = append(st.Workspaces, WorkspaceStatus{Workspace: w.id, InUse: w.inUse, Waiting: w.waiting})
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
		Slots: t.slots, SlotLimit: t.limit(now, &o.tune), InUse: len(t.busy), RestoredSlots: t.restoredSlots,
		Hosts: t.givenTo, HostLimit: s.hostBudget(t),
		Ejected: t.ejected, KeptByFloor: t.denied, Reason: t.reason, Ejections: t.ejections,
		ErrorScore:   t.stats.errorScore / o.tune.ErrorLimit,
		LatencyScore: max(t.stats.slowScore, t.stats.stuckScore) / o.tune.LatencyLimit,
	}
	if t.ejected {
		st.Remaining = max(0, t.until.Sub(now))
	}
	return st
}

// view answers with the targets an entry host uses while there is no owner.
func (o *Owner) view(now model.Instant, from model.HostID, m proto.ViewAsk) {
	s := o.service(now, m.Service)
	if s == nil {
		return
	}
	reply := proto.ViewReply{Service: s.name, Epoch: s.tenure.epoch}
	if !s.tenure.restore.complete {
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
		reply.Targets = s.views(now)
		reply.QuarantinedRequests = listQuarantined(now, s.quarantine)
	}
	o.send(from, reply)
}

// digest is never 0, which asks for the list in any case.
func (s *service) digest() uint64 {
	return epochBits(s.tenure.epoch)<<slotSerialBits | s.version&slotSerialMask
}

// views lists the targets that take work. It is never nil, so that an empty
// list differs from an unchanged one where the encoding keeps the difference.
func (s *service) views(now model.Instant) []proto.TargetView {
	list := make([]proto.TargetView, 0, len(s.targets))
	for _, t := range s.targets {
		if !t.ready() {
			continue
		}
		v := proto.TargetView{Target: t.id, Addr: t.addr, Zone: t.zone, Slots: t.slots, Incarnation: t.incarnation, Ejected: t.ejected}
		if t.ejected {
			v.EjectionRemaining, v.Severity, v.Ejections = max(0, t.until.Sub(now)), t.severity, t.ejections
		}
		list = append(list, v)
	}
	return slices.Clip(list)
}
