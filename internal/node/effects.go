package node

import (
	"tarragongauge.example/tarragongauge/internal/admit"
	"tarragongauge.example/tarragongauge/internal/codec"
	"tarragongauge.example/tarragongauge/internal/entry"
	"tarragongauge.example/tarragongauge/internal/lease"
	"tarragongauge.example/tarragongauge/internal/order"
	"tarragongauge.example/tarragongauge/internal/pool"
	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// applyFreshness applies an effect of the freshness client. Effects that are also
// events of other cores are passed on to them.
func (h *entryHost) applyFreshness(f lease.Effect) {
	if h.detour != nil {
		h.notifyDetour(f)
	}
	switch f := f.(type) {
	case lease.Send:
		h.send(f.To, h.withFailedTargets(f.Msg))
	case lease.DecodeSnapshot:
		h.process.background(func() { h.decodeSnapshot(h.freshness, f) })
	case lease.ConfigChanged:
		h.applyConfig(f.Config)
		h.claimer.post(f)
		h.seat.post(f)
	case lease.FreshnessExtended:
		h.freshUntil.Store(int64(f.Until))
		h.claimer.post(f)
		h.seat.post(f)
	case lease.MembersChanged:
		h.updateMembers(f.Members)
		h.claimer.post(f)
		h.seat.post(f)
	case lease.SeatsLocated:
		h.mesh.UpdateMembers(f.Seats)
	case lease.QuorumsChanged:
		h.claimer.post(f)
		h.seat.post(f)
	case lease.TargetsListed:
		h.picker.post(pool.TargetsListed{Targets: f.Targets})
	case lease.FailedTargetsReported:
		h.picker.post(pool.FailedTargetsReported{Targets: f.Targets})
	case lease.EntryHostCountChanged:
		h.limiter.post(admit.EntryHostCountChanged{Count: f.Count})
		h.picker.post(pool.EntryHostCountChanged{Count: f.Count})
	case lease.OwnersChanged:
		h.limiter.post(admit.OwnersChanged{Owners: f.Owners})
		h.picker.post(pool.OwnersChanged{Owners: f.Owners})
	default:
	}
}

// withFailedTargets adds to a FreshAsk the targets at which attempts of this host
// failed.
func (h *entryHost) withFailedTargets(m proto.Message) proto.Message {
	ask, ok := m.(proto.FreshAsk)
	if !ok || !h.usesRelay {
		return m
	}
	ask.FailedTargets = h.failedTargets.take()
	return ask
}

// applyConfig puts a newer configuration in force on this host. It stores the
// configuration before it refuses the requests of withdrawn keys, so that every
// request that arrives from then on is decided by the new configuration.
func (h *entryHost) applyConfig(cfg model.Config) {
	old := h.cfg.Load()
	if cfg.Version < old.Version {
		return
	}
	h.cfg.Store(&cfg)
	h.limiter.post(admit.Configured{Config: cfg})
	h.bucketOwner.post(admit.Configured{Config: cfg})
	h.picker.post(pool.Configured{Config: cfg})
	h.poolOwner.post(pool.Configured{Config: cfg})
	h.withdrawKeys(*old, cfg)
	h.setConnectionShare()
	h.log.Info("configuration in force", "version", cfg.Version)
}

// updateMembers passes the addresses of the members to the links, and the live
// and lost entry hosts to the owner cores.
func (h *entryHost) updateMembers(members []proto.Member) {
	h.mesh.UpdateMembers(members)
	lost := h.entryHosts.replace(members)
	h.poolOwner.post(pool.EntryHostsChanged{Hosts: h.entryHosts.hosts})
	for _, id := range lost {
		h.poolOwner.post(pool.HostGone{Host: id})
	}
	h.bucketOwner.post(admit.StandbysChanged{Standbys: workspaceStandbys(members, h.self)})
	h.bucketOwner.post(admit.EntryHostsChanged{Hosts: h.entryHosts.hosts})
	h.setConnectionShare()
}

// workspaceStandbys returns, for each workspace shard, the next candidate to own
// it after this host.
func workspaceStandbys(members []proto.Member, self proto.Member) [model.WorkspaceShards]model.HostID {
	next := lease.SuccessorOwners(members, self.Host, self.Role)
	return [model.WorkspaceShards]model.HostID(next[:model.WorkspaceShards])
}

// setConnectionShare limits this host's connections to a target to an equal share
// of the configured number, which is divided among the live entry hosts.
func (h *entryHost) setConnectionShare() {
	if h.usesRelay {
		// The number of entry hosts is unknown here; the owners bound the number
		// of hosts that a target is assigned to.
		h.server.SetMaxTargetConns(entry.DefaultLimits().MaxTargetConns)
		return
	}
	share := h.cfg.Load().Defaults.Connections / max(1, len(h.entryHosts.hosts))
	h.server.SetMaxTargetConns(max(1, share))
}

// applySeat applies an effect of the seat. Large configurations are encoded and
// decoded in the background.
func (h *entryHost) applySeat(f lease.Effect) {
	switch f := f.(type) {
	case lease.Send:
		h.send(f.To, f.Msg)
	case lease.EncodeConfig:
		h.process.background(func() { h.encodeConfig(f) })
	case lease.DecodeSnapshot:
		h.process.background(func() { h.decodeSnapshot(h.seat, f) })
	default:
	}
}

// encodeConfig encodes a large configuration outside the seat's core.
func (h *entryHost) encodeConfig(f lease.EncodeConfig) {
	data, err := codec.EncodeConfig(f.Config)
	if err != nil {
		h.log.Error(err, "cannot encode the configuration", "version", f.Config.Version)
	}
	h.seat.post(lease.ConfigEncoded{Version: f.Config.Version, Data: data})
}

// decodeSnapshot decodes a large configuration outside the core that received it,
// and returns the result to that core.
func (h *entryHost) decodeSnapshot(core *runner[lease.Event, lease.Effect], f lease.DecodeSnapshot) {
	cfg, err := codec.DecodeConfig(f.Data)
	if err != nil {
		h.log.Error(err, "cannot decode the configuration")
	}
	core.post(lease.SnapshotDecoded{Config: cfg, OK: err == nil})
}

// applyClaimer applies an effect of the claimer. Changes of ownership are passed
// to the bucket owner or the pool owner.
func (h *entryHost) applyClaimer(f lease.Effect) {
	switch f := f.(type) {
	case lease.Send:
		h.send(f.To, f.Msg)
	default:
		dispatchOwnership(f, h.log, h.bucketOwner, h.poolOwner)
	}
}

// isWorkspaceShard reports whether a shard holds workspaces rather than
// services.
func isWorkspaceShard(id model.ShardID) bool { return id < model.WorkspaceShards }

// applyAdmit applies an effect of the limiter or the bucket owner. Decisions
// are passed to the requests that wait for them.
func (h *entryHost) applyAdmit(f admit.Effect) {
	switch f := f.(type) {
	case admit.Send:
		h.send(f.To, f.Msg)
	case admit.Admitted:
		h.admissions.answer(f.Request, admissionUpdate{isFinal: true, result: entry.Admission{OK: true}})
	case admit.Limited:
		h.admissions.answer(f.Request, admissionUpdate{isFinal: true, result: entry.Admission{RetryAfter: f.RetryAfter, NoOwner: f.NoOwner}})
	case admit.TokenExpected:
		h.admissions.notify(f.Request, admissionUpdate{tokenExpected: true})
	case admit.TokenDelayed:
		h.admissions.notify(f.Request, admissionUpdate{})
	}
}

// applyPool applies an effect of the picker or the pool owner. An assignment
// for which no request waits any more is released.
func (h *entryHost) applyPool(f pool.Effect) {
	switch f := f.(type) {
	case pool.Send:
		h.send(f.To, f.Msg)
	case pool.Assigned:
		if !h.assignments.answer(f.Request, entry.Assignment{OK: true, Assigned: f}) {
			h.releaseUnusedTarget(f)
		}
	case pool.Refused:
		h.assignments.answer(f.Request, entry.Assignment{Refused: f})
	case pool.Probe:
		h.prober.start(f)
	case pool.Ejected:
		h.burn.RecordEjection(f.Service, f.Cause, f.DetectionTime)
		logTarget(h.log, f)
	case pool.EjectionUnconfirmed:
		h.burn.RecordUnconfirmedEjection(f.Service)
	default:
		logTarget(h.log, f)
	}
}

// releaseUnusedTarget releases a target whose request was abandoned before the
// assignment arrived.
func (h *entryHost) releaseUnusedTarget(a pool.Assigned) {
	h.picker.post(pool.AttemptEnded{
		Request: a.Request,
		Attempt: model.Attempt{Target: a.Target, Incarnation: a.Incarnation, End: model.AttemptCanceled},
	})
}

// applyOrder applies an effect of the reserver. A reservation for which no
// request waits any more is released.
func (h *entryHost) applyOrder(f order.Effect) {
	switch f := f.(type) {
	case order.Send:
		h.send(f.To, f.Msg)
	case order.Reserved:
		if !h.reservations.answer(f.Request, entry.Reservation{OK: true}) {
			h.releaseUnusedReservation(f.Request)
		}
	case order.Replayed:
		answer := f.Answer
		h.reservations.answer(f.Request, entry.Reservation{Answer: &answer})
	case order.Stopped:
		h.reservations.answer(f.Request, entry.Reservation{Reason: f.Reason})
	default:
	}
}

// entryHostSet holds the live entry hosts.
type entryHostSet struct {
	// hosts is used by the freshness runner only, which applies one effect at a
	// time.
	hosts []model.HostID
}

// replace sets the live entry hosts to those of the members, and returns the
// entry hosts that are no longer among them.
func (s *entryHostSet) replace(members []proto.Member) []model.HostID {
	var live, lost []model.HostID
	isLive := make(map[model.HostID]struct{}, len(members))
	for _, m := range members {
		if m.Role == proto.RoleEntry {
			live = append(live, m.Host)
			isLive[m.Host] = struct{}{}
		}
	}
	for _, h := range s.hosts {
		if _, ok := isLive[h]; !ok {
			lost = append(lost, h)
		}
	}
	s.hosts = live
	return lost
}
