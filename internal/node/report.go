package node

import (
	"encoding/json"
	"time"

	"tarragongauge.example/tarragongauge/internal/pool"
	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
	"tarragongauge.example/tarragongauge/pkg/opsapi"
)

// answerReportAsk answers a request of control for a report about this entry
// host.
func (h *entryHost) answerReportAsk(from model.HostID, m proto.Message) {
	switch m := m.(type) {
	case proto.EvidenceAsk:
		h.send(from, h.evidence(m))
	case proto.BurnAsk:
		data, err := h.burn.Encode()
		if err != nil {
			h.log.Error(err, "cannot report service-level counters")
			return
		}
		h.send(from, proto.BurnReply{Nonce: m.Nonce, Data: data})
	case proto.StatusAsk:
		data, err := json.Marshal(h.status())
		if err != nil {
			h.log.Error(err, "cannot report the status of this host")
			return
		}
		h.send(from, proto.StatusReply{Nonce: m.Nonce, Data: data})
	default:
	}
}

// evidence returns what this host knows about the requests of a workspace. It
// reads the version before the requests in flight, so that every request that is
// registered later is decided by that version or a newer one.
func (h *entryHost) evidence(m proto.EvidenceAsk) proto.EvidenceReply {
	version := h.cfg.Load().Version
	workspace := h.server.Evidence(m.Workspace)
	if endsAt, ok := h.withdrawals.endOf(m.Workspace); ok {
		workspace.EndsWithin = min(workspace.EndsWithin, max(0, endsAt.Sub(h.clock.now())))
	}
	return proto.EvidenceReply{
		Nonce:              m.Nonce,
		Workspace:          m.Workspace,
		HeldVersion:        version,
		InFlight:           workspace.InFlight,
		EndsWithin:         workspace.EndsWithin,
		EverAdmitted:       workspace.Admitted,
		SinceLastAdmission: workspace.SinceAdmitted,
		FreshFor:           max(0, h.remainingFreshness()),
	}
}

// remainingFreshness returns the time until the last confirmation expires. It
// is negative after that.
func (h *entryHost) remainingFreshness() time.Duration {
	return model.Instant(h.freshUntil.Load()).Sub(h.clock.now())
}

// status returns the status of this host and of the services that it owns.
func (h *entryHost) status() opsapi.EntryDetail {
	s := opsapi.EntryDetail{
		Version:    uint64(h.cfg.Load().Version),
		FreshForMs: h.remainingFreshness().Milliseconds(),
		Draining:   h.draining.Load(),
		InFlight:   h.server.KeyedInFlight(),
		Services:   []opsapi.ServiceDetail{},
	}
	h.poolOwner.read(func(now model.Instant) {
		for _, svc := range h.poolOwnerCore.Status(now) {
			s.Services = append(s.Services, serviceDetailOf(svc))
		}
	})
	return s
}

// serviceDetailOf converts the status of a service to the operators' API.
func serviceDetailOf(s pool.ServiceStatus) opsapi.ServiceDetail {
	out := opsapi.ServiceDetail{
		Service: string(s.Service), Epoch: uint64(s.Epoch),
		AnnouncedSlots: s.AnnouncedSlots, HealthySlots: s.HealthySlots, Floor: s.Floor,
		LoadVariation: s.LoadVariation, FullArrivals: s.FullArrivals,
		Targets: []opsapi.TargetDetail{}, Workspaces: []opsapi.WorkspaceDetail{}, Quarantine: []opsapi.QuarantineDetail{},
	}
	for _, t := range s.Targets {
		out.Targets = append(out.Targets, targetDetailOf(t))
	}
	for _, w := range s.Workspaces {
		out.Workspaces = append(out.Workspaces, opsapi.WorkspaceDetail{Workspace: string(w.Workspace), InUse: w.InUse, Waiting: w.Waiting})
	}
	for _, q := range s.Quarantine {
		out.Quarantine = append(out.Quarantine, opsapi.QuarantineDetail{
			Workspace: string(q.Workspace), Fingerprint: uint64(q.Fingerprint), LeftMs: q.Remaining.Milliseconds(),
		})
	}
	return out
}

// targetDetailOf converts the status of a target to the operators' API.
func targetDetailOf(t pool.TargetStatus) opsapi.TargetDetail {
	return opsapi.TargetDetail{
		Target: string(t.Target), Addr: t.Addr, Zone: string(t.Zone), State: stateName(t.State), Stale: t.Stale,
		Slots: t.Slots, Limit: t.SlotLimit, InUse: t.InUse, Ejected: t.Ejected, KeptByFloor: t.KeptByFloor, Evacuated: t.Evacuated,
		Reason: t.Reason, BackInMs: t.Remaining.Milliseconds(), ColdMs: t.ColdRemaining.Milliseconds(), ErrorScore: t.ErrorScore, LatencyScore: t.LatencyScore,
	}
}

// stateName returns the name of a target's state in the operators' API.
func stateName(s model.TargetState) string {
	switch s {
	case model.TargetReady:
		return "ready"
	case model.TargetDraining:
		return "draining"
	case model.TargetLeaving:
		return "leaving"
	default:
		return "unknown"
	}
}
