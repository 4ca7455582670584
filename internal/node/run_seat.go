package node

import (
	"context"
	"encoding/json"
	"errors"
	"sync/atomic"

	"github.com/go-logr/logr"

	"tarragongauge.example/tarragongauge/internal/admin"
	"tarragongauge.example/tarragongauge/internal/conf"
	"tarragongauge.example/tarragongauge/internal/lease"
	"tarragongauge.example/tarragongauge/internal/link"
	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
	"tarragongauge.example/tarragongauge/pkg/opsapi"
)

// seatHost drives a seat without the other parts of an entry host. Its
// freshness client announces it to the fleet and tells the seat which lists of
// seats are in force.
type seatHost struct {
	log   logr.Logger
	mesh  link.Sender
	fresh *runner[lease.Event, lease.Effect]
	// freshCore is read under the lock of fresh.
	freshCore *lease.FreshnessClient
	seat      *runner[lease.Event, lease.Effect]
	clock     clock
	learn     func([]proto.Member)
	// follow takes the effects of the freshness client too; it may be nil.
	follow func(lease.Effect)
	// memory is nil on hosts without a disk.
	memory *seatMemory

	version atomic.Uint64
	// freshUntil is a model.Instant.
	freshUntil atomic.Int64
	draining   atomic.Bool
}

// RunSeat runs a seat host until ctx ends.
func RunSeat(ctx context.Context, c conf.Seat, log logr.Logger) error {
	p, stop, err := startSeat(c, log)
	if err != nil {
		return err
	}
	log.Info("seat host started", "host", c.Host.Name, "zone", c.Host.Zone)
	return p.runUntil(ctx, stop)
}

func startSeat(c conf.Seat, log logr.Logger, extra ...link.Option) (*process, func() error, error) {
	var h *seatHost
	p, stopProcess, err := newProcess(processSetup{
		role: proto.RoleSeat, host: c.Host, addr: c.Listen.Fleet, fleet: c.Fleet, tls: c.TLS, queue: c.Limits.LinkQueue, log: log,
	}, func(from hostID, m proto.Message) { h.receive(from, m) }, extra)
	if err != nil {
		return nil, nil, err
	}
	h = newSeatHost(p, c.Fleet, log)
	vars := admin.NewVars()
	vars.Func("links", func() any { return p.mesh.Stats() })
	vars.Func("link_traffic", func() any { return p.mesh.Traffic() })
	vars.Func("seat", func() any { return h.status() })
	if err := errors.Join(p.serveFleet(c.Listen.Fleet), p.serveOperators(c.Listen.Operators, h, vars)); err != nil {
		stopProcess()
		return nil, nil, err
	}
	p.every(entryTick, h.tick)
	return p, func() error { h.draining.Store(true); stopProcess(); return nil }, nil
}

func newSeatHost(p *process, fleet conf.Fleet, log logr.Logger, more ...lease.Option) *seatHost {
	h := &seatHost{log: log, mesh: p.mesh, clock: newClock(), learn: p.mesh.UpdateMembers}
	opts := []lease.Option{
		lease.WithTiming(lease.DefaultTiming()),
		lease.WithIncarnation(p.self.Incarnation),
		lease.WithBootstrap(hostsOf(fleet.Seats), hostsOf(fleet.Controls)),
		lease.WithWallMillis(wallMillis),
	}
	if fleet.OwnersAtControl {
		opts = append(opts, lease.WithOwnerRole(proto.RoleControl))
	}
	opts = append(opts, more...)
	h.freshCore = lease.NewFreshnessClient(p.self, opts...)
	h.fresh = newRunner(h.clock, h.freshCore.Step, h.applyFresh)
	h.seat = newRunner(h.clock, lease.NewSeat(p.self.Host, opts...).Step, h.applySeat)
	return h
}

// remember keeps what the seat needs after a restart.
func (h *seatHost) remember(m *seatMemory) {
	m.disk = newPersister(m.write, h.kept, m.fail)
	m.disk.reopen = m.reopen
	h.memory = m
}

// kept goes on with what waited for the disk.
func (h *seatHost) kept(s seatSave) {
	if s.keep.Number != 0 {
		h.seat.post(lease.GrantsPersisted{Number: s.keep.Number})
		h.mesh.Send(s.keep.Reply.To, s.keep.Reply.Msg)
	}
}

func (h *seatHost) tick() {
	if h.memory != nil {
		h.fresh.read(h.memory.save)
	}
	h.fresh.post(lease.Tick{})
	h.seat.post(lease.Tick{})
}

func (h *seatHost) receive(from model.HostID, m proto.Message) {
	switch m := m.(type) {
	case proto.FreshReply, proto.Part:
		h.fresh.post(lease.Received{From: from, Msg: m})
		h.seat.post(lease.Received{From: from, Msg: m})
	case proto.FreshAsk, proto.SeatStage, proto.SeatLearn, proto.SeatLearnReply, proto.LeaseAsk:
		h.seat.post(lease.Received{From: from, Msg: m})
	case proto.StatusAsk:
		h.report(from, m)
	default:
		h.log.V(1).Info("ignored a message that seats do not take", "from", from)
	}
}

func (h *seatHost) applyFresh(f lease.Effect) {
	if h.follow != nil {
		h.follow(f)
	}
	if h.memory != nil {
		h.fresh.read(func(model.Instant) { h.memory.note(f) })
	}
	switch f := f.(type) {
	case lease.Send:
		h.mesh.Send(f.To, f.Msg)
	case lease.ConfigChanged:
		h.version.Store(uint64(f.Config.Version))
		h.seat.post(f)
		h.log.Info("configuration in force", "version", f.Config.Version)
	case lease.FreshnessExtended:
		h.freshUntil.Store(int64(f.Until))
		h.seat.post(f)
	case lease.MembersChanged:
		h.learn(f.Members)
		h.seat.post(f)
	case lease.SeatsLocated:
		h.learn(f.Seats)
	case lease.QuorumsChanged:
		h.seat.post(f)
	default:
	}
}

func (h *seatHost) applySeat(f lease.Effect) {
	switch f := f.(type) {
	case lease.Send:
		h.mesh.Send(f.To, f.Msg)
	case lease.PersistGrants:
		h.memory.disk.add(seatSave{keep: f})
	default:
	}
}

func (h *seatHost) status() opsapi.EntryDetail {
	return opsapi.EntryDetail{
		Version:    h.version.Load(),
		FreshForMs: model.Instant(h.freshUntil.Load()).Sub(h.clock.now()).Milliseconds(),
		Draining:   h.draining.Load(),
		Services:   []opsapi.ServiceDetail{},
	}
}

func (h *seatHost) report(from model.HostID, m proto.StatusAsk) {
	data, err := json.Marshal(h.status())
	if err != nil {
		h.log.Error(err, "cannot report the status of this host")
		return
	}
	h.mesh.Send(from, proto.StatusReply{Nonce: m.Nonce, Data: data})
}

// Ready returns what this host waits for before it can confirm versions.
func (h *seatHost) Ready() error {
	switch {
	case h.draining.Load():
		return errors.New("this host is stopping")
	case h.version.Load() == 0:
		return errors.New("this host waits for a configuration; check that a majority of seats or the leader of control is reachable")
	default:
		return nil
	}
}
