package node

import (
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"tarragongauge.example/tarragongauge/internal/admin"
	"tarragongauge.example/tarragongauge/internal/admit"
	"tarragongauge.example/tarragongauge/internal/burn"
	"tarragongauge.example/tarragongauge/internal/entry"
	"tarragongauge.example/tarragongauge/internal/lease"
	"tarragongauge.example/tarragongauge/internal/link"
	"tarragongauge.example/tarragongauge/internal/order"
	"tarragongauge.example/tarragongauge/internal/pool"
	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// entryHost drives the decision cores of one entry host. It implements entry.Decider.
type entryHost struct {
	clock   clock
	log     logr.Logger
	self    proto.Member
	timing  lease.Timing
	mesh    link.Sender
	process *process
	server  *entry.Server
	burn    *burn.Recorder
	prober  *prober
	vars    *admin.Vars

	// cfg is never nil; version 0 until a configuration arrives.
	cfg atomic.Pointer[model.Config]
	// freshUntil is a model.Instant. Keyed requests are admitted before it.
	freshUntil atomic.Int64
	// ended is set once keyed requests in flight were ended for lack of freshness.
	ended    atomic.Bool
	draining atomic.Bool
	// serveUnconfirmed is set if keyed requests are admitted by the last known configuration.
	serveUnconfirmed bool
	// relay is set if the host asks one control host and owns no shards.
	relay bool
	// detour is nil unless hosts pass messages on; detourVia is what it decided.
	detour    *runner[lease.Event, lease.Effect]
	detourVia atomic.Pointer[model.HostID]
	peerAsks  peerAsks
	hosts     hostSet

	fresh    *runner[lease.Event, lease.Effect]
	seat     *runner[lease.Event, lease.Effect]
	claimer  *runner[lease.Event, lease.Effect]
	wallet   *runner[admit.Event, admit.Effect]
	buckets  *runner[admit.Event, admit.Effect]
	picker   *runner[pool.Event, pool.Effect]
	targets  *runner[pool.Event, pool.Effect]
	reserver *runner[order.Event, order.Effect]

	poolOwner *pool.Owner
	// failed holds the targets to tell the relay of.
	failed *failedTargets

	admissions   *waiters[requestKey, admission]
	assignments  *waiters[requestKey, entry.Assignment]
	reservations *waiters[requestKey, entry.Reservation]
}

// entrySetup is what an entry host is made from.
type entrySetup struct {
	self     proto.Member
	timing   lease.Timing
	seats    []model.HostID
	controls []model.HostID
	journals []model.HostID
	log      logr.Logger
	// serve lets the host serve without a confirmation.
	serve bool
	tune  pool.Tuning
	// relay is set if the host asks one control host and owns no shards.
	relay bool
	// forward is set if hosts pass messages on.
	forward bool
}

func newEntryHost(s entrySetup) *entryHost {
	h := &entryHost{
		clock:  newClock(),
		log:    s.log,
		self:   s.self,
		timing: s.timing,

		serveUnconfirmed: s.serve,
		relay:            s.relay,
		failed:           newFailedTargets(),

		admissions:   newWaiters[requestKey, admission](),
		assignments:  newWaiters[requestKey, entry.Assignment](),
		reservations: newWaiters[requestKey, entry.Reservation](),
	}
	cfg := model.NewConfig(s.controls, s.seats)
	h.cfg.Store(&cfg)
	h.burn = burn.NewRecorder(time.Now, func(name model.ServiceName) model.Objective {
		return h.cfg.Load().ObjectiveFor(name)
	})
	h.makeLeases(s)
	if s.tune == (pool.Tuning{}) {
		s.tune = pool.DefaultTuning()
	}
	h.makeDecisions(s)
	return h
}

func (h *entryHost) makeLeases(s entrySetup) {
	opts := []lease.Option{
		lease.WithTiming(s.timing),
		lease.WithIncarnation(s.self.Incarnation),
		lease.WithBootstrap(s.seats, s.controls),
		lease.WithWallMillis(wallMillis),
	}
	if s.relay {
		opts = append(opts, lease.WithOwnerRole(proto.RoleControl), lease.WithRelay())
	}
	if s.relay && s.forward {
		h.detour = newRunner(h.clock, lease.NewDetour(s.self, opts...).Step, h.applyDetour)
	}
	h.fresh = newRunner(h.clock, lease.NewFreshnessClient(s.self, opts...).Step, h.applyFresh)
	h.seat = newRunner(h.clock, lease.NewSeat(s.self.Host, opts...).Step, h.applySeat)
	h.claimer = newRunner(h.clock, lease.NewClaimer(s.self.Host, opts...).Step, h.applyClaimer)
}

func (h *entryHost) makeDecisions(s entrySetup) {
	limits := []admit.Option{admit.WithMaxClockDrift(s.timing.MaxClockDrift), admit.WithIncarnation(s.self.Incarnation)}
	if s.serve {
		limits = append(limits, admit.WithShares())
	}
	h.wallet = newRunner(h.clock, admit.NewLimiter(s.self.Host, limits...).Step, h.applyAdmit)
	h.buckets = newRunner(h.clock, admit.NewOwner(s.self.Host, limits...).Step, h.applyAdmit)
	h.picker = newRunner(h.clock, pool.NewPicker(s.self.Host, s.self.Zone, pool.WithIncarnation(s.self.Incarnation), pool.WithTuning(s.tune)).Step, h.applyPool)
	h.poolOwner = pool.NewOwner(s.self.Host, pool.WithTuning(s.tune))
	h.targets = newRunner(h.clock, h.poolOwner.Step, h.applyPool)
	h.reserver = newRunner(h.clock, order.NewReserver(s.self.Host, s.journals, order.WithNonceBase(uint64(s.self.Incarnation))).Step, h.applyOrder)
}

// tick lets every core act on elapsed time.
func (h *entryHost) tick() {
	h.fresh.post(lease.Tick{})
	h.wallet.post(admit.Tick{})
	h.picker.post(pool.Tick{})
	if !h.relay {
		h.seat.post(lease.Tick{})
		h.claimer.post(lease.Tick{})
		h.buckets.post(admit.Tick{})
		h.targets.post(pool.Tick{})
	}
	h.reserver.post(order.Tick{})
	if h.detour != nil {
		h.detour.post(lease.Tick{})
	}
	h.endStale()
}

func wallMillis() int64 { return time.Now().UnixMilli() }

func (h *entryHost) healthPath(name model.ServiceName) string {
	return healthPathOf(*h.cfg.Load(), name)
}

// endStale ends keyed requests in flight once the right to serve ended Cut
// ago: the key of each may have been withdrawn without this host's knowledge.
func (h *entryHost) endStale() {
	if h.serveUnconfirmed {
		return
	}
	until := model.Instant(h.freshUntil.Load())
	if h.clock.now() < until.Add(h.timing.CutoffDelay) {
		h.ended.Store(false)
		return
	}
	if h.ended.Swap(true) {
		return
	}
	if n := h.server.CancelAllKeyed(); n > 0 {
		h.log.Info("ended keyed requests: no confirmation of the configuration; check the links to the seats", "requests", n)
	}
}

// receive hands a message to the core that takes it.
func (h *entryHost) receive(from model.HostID, m proto.Message) {
	switch m := m.(type) {
	case proto.FreshReply:
		h.fresh.post(lease.Received{From: from, Msg: m})
		h.seat.post(lease.Received{From: from, Msg: m})
	case proto.Part:
		// Both may be receiving a snapshot; each ignores the parts it did not request.
		h.fresh.post(lease.Received{From: from, Msg: m})
		h.seat.post(lease.Received{From: from, Msg: m})
	case proto.FreshAsk, proto.SeatStage, proto.SeatLearn, proto.SeatLearnReply, proto.LeaseAsk, proto.PartAsk:
		if h.relay {
			return
		}
		h.seat.post(lease.Received{From: from, Msg: m})
	case proto.PeerAsk:
		h.peerAsks.add(from, m.Nonce)
	case proto.PeerReply:
		if h.detour != nil {
			h.detour.post(lease.Received{From: from, Msg: m})
		}
	case proto.LeaseReply:
		h.claimer.post(lease.Received{From: from, Msg: m})
	case proto.DrawAsk, proto.StandbyNote, proto.StandbyAck:
		h.buckets.post(admit.Received{From: from, Msg: m})
	case proto.DrawReply:
		h.wallet.post(admit.Received{From: from, Msg: m})
	case proto.SlotAsk, proto.SlotDone, proto.SlotCancel, proto.TargetNews, proto.ProbeResult, proto.ViewAsk, proto.RestoreReport, proto.QuarantineClear:
		h.targets.post(pool.Received{From: from, Msg: m})
	case proto.SlotReply, proto.ViewReply, proto.RestoreAck:
		h.picker.post(pool.Received{From: from, Msg: m})
	case proto.ReserveReply:
		h.reserver.post(order.Received{From: from, Msg: m})
	case proto.EvidenceAsk, proto.BurnAsk, proto.StatusAsk:
		h.report(from, m)
	default:
		h.log.V(1).Info("ignored a message that entry hosts do not take", "from", from)
	}
}
