package node

import (
	"encoding/json"
	"time"

	"tarragongauge.example/tarragongauge/internal/pool"
	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// report answers control's questions about this entry host.
func (h *entryHost) report(from model.HostID, m proto.Message) {
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

// evidence reads the version before the requests in flight: every request that
// is registered later is judged by that version or a newer one.
func (h *entryHost) evidence(m proto.EvidenceAsk) proto.EvidenceReply {
	have := h.cfg.Load().Version
	found := h.server.Evidence(m.Workspace)
	return proto.EvidenceReply{
		Nonce:         m.Nonce,
		Workspace:     m.Workspace,
		Have:          have,
		InFlight:      found.InFlight,
		Admitted:      found.Admitted,
		SinceAdmitted: found.SinceAdmitted,
		FreshFor:      max(0, h.freshFor()),
	}
}

func (h *entryHost) freshFor() time.Duration {
	return model.Instant(h.freshUntil.Load()).Sub(h.clock.now())
}

// entryStatus is what an entry host reports about itself.
type entryStatus struct {
	Version    uint64          `json:"version"`
	FreshForMs int64           `json:"fresh_for_ms"`
	Draining   bool            `json:"draining"`
	InFlight   int             `json:"in_flight"`
	Services   []serviceStatus `json:"owned_services"`
}

type serviceStatus struct {
	Service        string             `json:"service"`
	Epoch          uint64             `json:"epoch"`
	AnnouncedSlots int                `json:"announced_slots"`
	HealthySlots   int                `json:"healthy_slots"`
	Floor          float64            `json:"floor"`
	Targets        []targetStatus     `json:"targets"`
	Workspaces     []workspaceStatus  `json:"workspaces"`
	Quarantine     []quarantineStatus `json:"quarantine"`
}

type targetStatus struct {
	Target       string  `json:"target"`
	Addr         string  `json:"addr"`
	Zone         string  `json:"zone"`
	State        string  `json:"state"`
	Stale        bool    `json:"stale,omitempty"`
	Slots        int     `json:"slots"`
	Limit        int     `json:"slots_allowed_now"`
	InUse        int     `json:"slots_in_use"`
	Ejected      bool    `json:"ejected,omitempty"`
	KeptByFloor  bool    `json:"kept_by_floor,omitempty"`
	Reason       string  `json:"reason,omitempty"`
	BackInMs     int64   `json:"back_in_ms,omitempty"`
	ErrorScore   float64 `json:"error_score"`
	LatencyScore float64 `json:"latency_score"`
}

type workspaceStatus struct {
	Workspace string `json:"workspace"`
	InUse     int    `json:"slots_in_use"`
	Waiting   int    `json:"waiting"`
}

type quarantineStatus struct {
	Workspace   string `json:"workspace"`
	Fingerprint uint64 `json:"fingerprint"`
	LeftMs      int64  `json:"left_ms"`
}

func (h *entryHost) status() entryStatus {
	s := entryStatus{
		Version:    uint64(h.cfg.Load().Version),
		FreshForMs: h.freshFor().Milliseconds(),
		Draining:   h.draining.Load(),
		InFlight:   h.server.InFlight(),
		Services:   []serviceStatus{},
	}
	h.targets.read(func(now model.Instant) {
		for _, svc := range h.poolOwner.Status(now) {
			s.Services = append(s.Services, serviceStatusOf(svc))
		}
	})
	return s
}

func serviceStatusOf(s pool.ServiceStatus) serviceStatus {
	out := serviceStatus{
		Service: string(s.Service), Epoch: uint64(s.Epoch),
		AnnouncedSlots: s.Announced, HealthySlots: s.Healthy, Floor: s.Floor,
		Targets: []targetStatus{}, Workspaces: []workspaceStatus{}, Quarantine: []quarantineStatus{},
	}
	for _, t := range s.Targets {
		out.Targets = append(out.Targets, targetStatusOf(t))
	}
	for _, w := range s.Workspaces {
		out.Workspaces = append(out.Workspaces, workspaceStatus{Workspace: string(w.Workspace), InUse: w.InUse, Waiting: w.Waiting})
	}
	for _, q := range s.Quarantine {
		out.Quarantine = append(out.Quarantine, quarantineStatus{
			Workspace: string(q.Workspace), Fingerprint: uint64(q.Fingerprint), LeftMs: q.Left.Milliseconds(),
		})
	}
	return out
}

func targetStatusOf(t pool.TargetStatus) targetStatus {
	return targetStatus{
		Target: string(t.Target), Addr: t.Addr, Zone: string(t.Zone), State: stateName(t.State), Stale: t.Stale,
		Slots: t.Slots, Limit: t.Limit, InUse: t.InUse, Ejected: t.Ejected, KeptByFloor: t.KeptByFloor,
		Reason: t.Reason, BackInMs: t.Left.Milliseconds(), ErrorScore: t.ErrorScore, LatencyScore: t.LatencyScore,
	}
}

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
