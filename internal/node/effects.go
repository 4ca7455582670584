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

// applyFresh carries out the effects of the freshness client and hands those
// that are events of the other lease cores on to them.
func (h *entryHost) applyFresh(f lease.Effect) {
	if h.detour != nil {
		h.followDetour(f)
	}
	switch f := f.(type) {
	case lease.Send:
		h.send(f.To, h.withFailed(f.Msg))
	case lease.DecodeSnapshot:
		h.process.background(func() { h.decode(h.fresh, f) })
	case lease.ConfigChanged:
		h.configure(f.Config)
		h.claimer.post(f)
		h.seat.post(f)
	case lease.FreshnessExtended:
		h.freshUntil.Store(int64(f.Until))
		h.claimer.post(f)
		h.seat.post(f)
	case lease.MembersChanged:
		h.joinMembers(f.Members)
		h.claimer.post(f)
		h.seat.post(f)
	case lease.SeatsLocated:
		h.mesh.Learn(f.Seats)
	case lease.QuorumsChanged:
		h.claimer.post(f)
		h.seat.post(f)
	case lease.TargetsListed:
		h.picker.post(pool.TargetsListed{Targets: f.Targets})
	case lease.FailedTargetsReported:
		h.picker.post(pool.FailedTargetsReported{Targets: f.Targets})
	case lease.EntryHostCountChanged:
		h.wallet.post(admit.EntryHostCountChanged{Count: f.Count})
		h.picker.post(pool.EntryHostCountChanged{Count: f.Count})
	case lease.OwnersChanged:
		h.wallet.post(admit.OwnersChanged{Owners: f.Owners})
		h.picker.post(pool.OwnersChanged{Owners: f.Owners})
	default:
	}
}

// withFailed adds to an ask the targets at which attempts of this host failed.
func (h *entryHost) withFailed(m proto.Message) proto.Message {
	ask, ok := m.(proto.FreshAsk)
	if !ok || !h.relay {
		return m
	}
	ask.FailedTargets = h.failed.take()
	return ask
}

// configure puts a newer configuration in force on this host. The order
// matters: requests that arrive from now on are judged by the new
// configuration before those of withdrawn keys are ended.
func (h *entryHost) configure(cfg model.Config) {
	old := h.cfg.Load()
	if cfg.Version < old.Version {
		return
	}
	h.cfg.Store(&cfg)
	h.wallet.post(admit.Configured{Config: cfg})
	h.buckets.post(admit.Configured{Config: cfg})
	h.picker.post(pool.Configured{Config: cfg})
	h.targets.post(pool.Configured{Config: cfg})
	h.endWithdrawn(*old, cfg)
	h.shareConnections()
	h.log.Info("configuration in force", "version", cfg.Version)
}

// finishesWithdrawn reports whether requests in flight of withdrawn keys go on:
// on a host that stops within seconds, in a fleet whose hosts may serve by an
// older configuration anyway. A host that stops breaks off no request at which a
// target is at work; new requests with the key are refused.
func (h *entryHost) finishesWithdrawn() bool {
	return h.serveUnconfirmed && h.draining.Load()
}

// endWithdrawn ends what runs for keys and workspaces that are gone.
func (h *entryHost) endWithdrawn(old, cfg model.Config) {
	if h.finishesWithdrawn() {
		h.log.Info("requests in flight of withdrawn keys go on until this host has stopped", "version", cfg.Version)
		return
	}
	for key := range old.Keys.EndedIn(cfg.Keys) {
		n := h.server.CancelKey(key.Hash)
		h.log.Info("key withdrawn", "workspace", key.Workspace, "key", key.ID, "ended_requests", n)
	}
	for ws := range cfg.Workspaces.ChangedSince(old.Workspaces) {
		if before, _ := old.Workspaces.Get(ws.ID); ws.Withdrawn && !before.Withdrawn {
			n := h.server.CancelWorkspace(ws.ID)
			h.log.Info("workspace withdrawn", "workspace", ws.ID, "ended_requests", n)
		}
	}
}

// joinMembers tells the links where hosts are, and the pool owner which entry hosts live and which are gone.
func (h *entryHost) joinMembers(members []proto.Member) {
	h.mesh.Learn(members)
	gone := h.hosts.replace(members)
	h.targets.post(pool.EntryHostsChanged{Hosts: h.hosts.hosts})
	for _, id := range gone {
		h.targets.post(pool.HostGone{Host: id})
	}
	h.buckets.post(admit.StandbysChanged{Standbys: workspaceStandbys(members, h.self)})
	h.buckets.post(admit.EntryHostsChanged{Hosts: h.hosts.hosts})
	h.shareConnections()
}

// workspaceStandbys returns the next candidate for each workspace shard after this host.
func workspaceStandbys(members []proto.Member, self proto.Member) [model.WorkspaceShards]model.HostID {
	next := lease.SuccessorOwners(members, self.Host, self.Role)
	return [model.WorkspaceShards]model.HostID(next[:model.WorkspaceShards])
}

// shareConnections divides the connections that a target may have among the live entry hosts.
func (h *entryHost) shareConnections() {
	if h.relay {
		// The number of entry hosts is not known here; owners bound the hosts that a target is given to.
		h.server.SetMaxTargetConns(entry.DefaultLimits().MaxTargetConns)
		return
	}
	share := h.cfg.Load().Defaults.Connections / max(1, len(h.hosts.hosts))
	h.server.SetMaxTargetConns(max(1, share))
}

func (h *entryHost) applySeat(f lease.Effect) {
	switch f := f.(type) {
	case lease.Send:
		h.send(f.To, f.Msg)
	case lease.EncodeConfig:
		h.process.background(func() { h.encode(f) })
	case lease.DecodeSnapshot:
		h.process.background(func() { h.decode(h.seat, f) })
	default:
	}
}

// encode encodes a large configuration outside the seat's core.
func (h *entryHost) encode(f lease.EncodeConfig) {
	data, err := codec.EncodeConfig(f.Config)
	if err != nil {
		h.log.Error(err, "cannot encode the configuration", "version", f.Config.Version)
	}
	h.seat.post(lease.ConfigEncoded{Version: f.Config.Version, Data: data})
}

// decode decodes a large configuration outside the core that received it.
func (h *entryHost) decode(core *runner[lease.Event, lease.Effect], f lease.DecodeSnapshot) {
	cfg, err := codec.DecodeConfig(f.Data)
	if err != nil {
		h.log.Error(err, "cannot decode the configuration")
	}
	core.post(lease.SnapshotDecoded{Config: cfg, OK: err == nil})
}

// applyClaimer hands ownership to the cores whose shards are concerned.
func (h *entryHost) applyClaimer(f lease.Effect) {
	switch f := f.(type) {
	case lease.Send:
		h.send(f.To, f.Msg)
	default:
		handOver(f, h.log, h.buckets, h.targets)
	}
}

func isWorkspaceShard(id model.ShardID) bool { return id < model.WorkspaceShards }

func (h *entryHost) applyAdmit(f admit.Effect) {
	switch f := f.(type) {
	case admit.Send:
		h.send(f.To, f.Msg)
	case admit.Admitted:
		h.admissions.answer(f.Request, admission{decided: true, result: entry.Admission{OK: true}})
	case admit.Limited:
		h.admissions.answer(f.Request, admission{decided: true, result: entry.Admission{RetryAfter: f.RetryAfter, NoOwner: f.NoOwner}})
	case admit.TokenExpected:
		h.admissions.tell(f.Request, admission{drawing: true})
	case admit.TokenDelayed:
		h.admissions.tell(f.Request, admission{})
	}
}

func (h *entryHost) applyPool(f pool.Effect) {
	switch f := f.(type) {
	case pool.Send:
		h.send(f.To, f.Msg)
	case pool.Assigned:
		if !h.assignments.answer(f.Request, entry.Assignment{OK: true, Assigned: f}) {
			h.returnUnused(f)
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

// returnUnused gives back a target whose request was abandoned meanwhile.
func (h *entryHost) returnUnused(a pool.Assigned) {
	h.picker.post(pool.AttemptEnded{
		Request: a.Request,
		Attempt: model.Attempt{Target: a.Target, Incarnation: a.Incarnation, End: model.AttemptCanceled},
	})
}

func (h *entryHost) applyOrder(f order.Effect) {
	switch f := f.(type) {
	case order.Send:
		h.send(f.To, f.Msg)
	case order.Reserved:
		if !h.reservations.answer(f.Request, entry.Reservation{OK: true}) {
			h.freeUnused(f.Request)
		}
	case order.Replayed:
		answer := f.Answer
		h.reservations.answer(f.Request, entry.Reservation{Answer: &answer})
	case order.Stopped:
		h.reservations.answer(f.Request, entry.Reservation{Reason: f.Reason})
	default:
	}
}

// hostSet remembers which entry hosts live.
type hostSet struct {
	// hosts is used by the freshness runner alone, which carries out one effect at a time.
	hosts []model.HostID
}

// replace takes the live members and returns the entry hosts that are gone.
func (s *hostSet) replace(members []proto.Member) []model.HostID {
	var live, gone []model.HostID
	isLive := make(map[model.HostID]struct{}, len(members))
	for _, m := range members {
		if m.Role == proto.RoleEntry {
			live = append(live, m.Host)
			isLive[m.Host] = struct{}{}
		}
	}
	for _, h := range s.hosts {
		if _, ok := isLive[h]; !ok {
			gone = append(gone, h)
		}
	}
	s.hosts = live
	return gone
}
