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

// seatHost drives a seat without the other cores of an entry host. Its freshness
// client announces the host to the fleet and tells the seat which lists of seats
// are in force.
type seatHost struct {
	log       logr.Logger
	mesh      link.Sender
	freshness *runner[lease.Event, lease.Effect]
	// freshnessCore is read under the lock of freshness.
	freshnessCore *lease.FreshnessClient
	seat          *runner[lease.Event, lease.Effect]
	clock         clock
	learnMembers  func([]proto.Member)
	// onFreshnessEffect is also called with each effect of the freshness client.
	// It may be nil.
	onFreshnessEffect func(lease.Effect)
	// store is nil on hosts without a disk.
	store *seatStore

	version atomic.Uint64
	// freshUntil is the model.Instant at which the last confirmation expires.
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

// startSeat starts a seat host. It returns its process and a function that
// stops it.
func startSeat(c conf.Seat, log logr.Logger, extra ...link.Option) (*process, func() error, error) {
	var h *seatHost
	p, stopProcess, err := newProcess(processSetup{
		role: proto.RoleSeat, host: c.Host, addr: c.Listen.Fleet, fleet: c.Fleet, tls: c.TLS, linkQueue: c.Limits.LinkQueue, log: log,
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
	p.runEvery(entryTickInterval, h.tick)
	return p, func() error { h.draining.Store(true); stopProcess(); return nil }, nil
}

func newSeatHost(p *process, fleet conf.Fleet, log logr.Logger, extra ...lease.Option) *seatHost {
	h := &seatHost{log: log, mesh: p.mesh, clock: newClock(), learnMembers: p.mesh.UpdateMembers}
	opts := []lease.Option{
		lease.WithTiming(lease.DefaultTiming()),
		lease.WithIncarnation(p.self.Incarnation),
		lease.WithBootstrap(hostsOf(fleet.Seats), hostsOf(fleet.Controls)),
		lease.WithWallMillis(wallMillis),
	}
	if fleet.OwnersAtControl {
		opts = append(opts, lease.WithOwnerRole(proto.RoleControl))
	}
	opts = append(opts, extra...)
	h.freshnessCore = lease.NewFreshnessClient(p.self, opts...)
	h.freshness = newRunner(h.clock, h.freshnessCore.Step, h.applyFreshness)
	h.seat = newRunner(h.clock, lease.NewSeat(p.self.Host, opts...).Step, h.applySeat)
	return h
}

// useStore makes the seat persist what it needs after a restart.
func (h *seatHost) useStore(s *seatStore) {
	s.writes = newDiskQueue(s.write, h.handlePersisted, s.handleDiskError)
	s.writes.reopen = s.reopen
	h.store = s
}

// handlePersisted tells the seat that its grants are persisted and sends the
// reply that waited for them.
func (h *seatHost) handlePersisted(s seatWrite) {
	if s.persist.Number != 0 {
		h.seat.post(lease.GrantsPersisted{Number: s.persist.Number})
		h.mesh.Send(s.persist.Reply.To, s.persist.Reply.Msg)
	}
}

func (h *seatHost) tick() {
	if h.store != nil {
		h.freshness.read(h.store.saveConfig)
	}
	h.freshness.post(lease.Tick{})
	h.seat.post(lease.Tick{})
}

// receive passes a message to the freshness client, the seat or both.
func (h *seatHost) receive(from model.HostID, m proto.Message) {
	switch m := m.(type) {
	case proto.FreshReply, proto.Part:
		h.freshness.post(lease.Received{From: from, Msg: m})
		h.seat.post(lease.Received{From: from, Msg: m})
	case proto.FreshAsk, proto.SeatStage, proto.SeatLearn, proto.SeatLearnReply, proto.LeaseAsk:
		h.seat.post(lease.Received{From: from, Msg: m})
	case proto.StatusAsk:
		h.answerStatusAsk(from, m)
	default:
		h.log.V(1).Info("ignored a message of a kind that seat hosts do not handle", "from", from)
	}
}

// applyFreshness applies an effect of the freshness client. Changes of the
// configuration, the freshness, the members and the quorums are also passed to
// the seat.
func (h *seatHost) applyFreshness(f lease.Effect) {
	if h.onFreshnessEffect != nil {
		h.onFreshnessEffect(f)
	}
	if h.store != nil {
		h.freshness.read(func(model.Instant) { h.store.recordEffect(f) })
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
		h.learnMembers(f.Members)
		h.seat.post(f)
	case lease.SeatsLocated:
		h.learnMembers(f.Seats)
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
		h.store.writes.add(seatWrite{persist: f})
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

// answerStatusAsk sends the status of this host as JSON.
func (h *seatHost) answerStatusAsk(from model.HostID, m proto.StatusAsk) {
	data, err := json.Marshal(h.status())
	if err != nil {
		h.log.Error(err, "cannot report the status of this host")
		return
	}
	h.mesh.Send(from, proto.StatusReply{Nonce: m.Nonce, Data: data})
}

// Ready returns an error that says what this host waits for before it can confirm
// versions, or nil.
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
