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

	// cfg is never nil. It holds version 0 until a configuration arrives.
	cfg atomic.Pointer[model.Config]
	// freshUntil is the model.Instant until which keyed requests are admitted.
	freshUntil atomic.Int64
	// keyedCanceled is set once the keyed requests in flight were canceled for
	// lack of freshness.
	keyedCanceled atomic.Bool
	withdrawals   withdrawals
	draining      atomic.Bool
	// serveUnconfirmed is set if keyed requests are admitted by the last known
	// configuration, without a confirmation.
	serveUnconfirmed bool
	// usesRelay is set if this host sends its asks to one control host, which
	// answers for the others, and owns no shards.
	usesRelay bool
	// detour is nil unless hosts forward messages for each other. detourVia is
	// the host that it chose.
	detour     *runner[lease.Event, lease.Effect]
	detourVia  atomic.Pointer[model.HostID]
	peerAsks   peerAsks
	entryHosts entryHostSet

	freshness   *runner[lease.Event, lease.Effect]
	seat        *runner[lease.Event, lease.Effect]
	claimer     *runner[lease.Event, lease.Effect]
	limiter     *runner[admit.Event, admit.Effect]
	bucketOwner *runner[admit.Event, admit.Effect]
	picker      *runner[pool.Event, pool.Effect]
	poolOwner   *runner[pool.Event, pool.Effect]
	reserver    *runner[order.Event, order.Effect]

	poolOwnerCore *pool.Owner
	// failedTargets holds the failed targets to report to the relay.
	failedTargets *failedTargets

	admissions   *waiters[requestKey, admissionUpdate]
	assignments  *waiters[requestKey, entry.Assignment]
	reservations *waiters[requestKey, entry.Reservation]
}

// entrySetup holds the parameters of newEntryHost.
type entrySetup struct {
	self     proto.Member
	timing   lease.Timing
	seats    []model.HostID
	controls []model.HostID
	journals []model.HostID
	log      logr.Logger
	// serveUnconfirmed lets the host admit keyed requests without a confirmation.
	serveUnconfirmed bool
	tuning           pool.Tuning
	// usesRelay is set if the host sends its asks to one control host and owns no
	// shards.
	usesRelay bool
	// forwarding is set if hosts forward messages for each other.
	forwarding bool
}

func newEntryHost(s entrySetup) *entryHost {
	h := &entryHost{
		clock:  newClock(),
		log:    s.log,
		self:   s.self,
		timing: s.timing,

		serveUnconfirmed: s.serveUnconfirmed,
		usesRelay:        s.usesRelay,
		failedTargets:    newFailedTargets(),

		admissions:   newWaiters[requestKey, admissionUpdate](),
		assignments:  newWaiters[requestKey, entry.Assignment](),
		reservations: newWaiters[requestKey, entry.Reservation](),
	}
	cfg := model.NewConfig(s.controls, s.seats)
	h.cfg.Store(&cfg)
	h.burn = burn.NewRecorder(time.Now, func(name model.ServiceName) model.Objective {
		return h.cfg.Load().ObjectiveFor(name)
	})
	h.makeLeaseRunners(s)
	if s.tuning == (pool.Tuning{}) {
		s.tuning = pool.DefaultTuning()
	}
	h.makeRequestRunners(s)
	return h
}

// makeLeaseRunners creates the cores for freshness, seats and ownership of
// shards, and the detour if hosts forward messages for each other.
func (h *entryHost) makeLeaseRunners(s entrySetup) {
	opts := []lease.Option{
		lease.WithTiming(s.timing),
		lease.WithIncarnation(s.self.Incarnation),
		lease.WithBootstrap(s.seats, s.controls),
		lease.WithWallMillis(wallMillis),
	}
	if s.usesRelay {
		opts = append(opts, lease.WithOwnerRole(proto.RoleControl), lease.WithRelay())
	}
	if s.usesRelay && s.forwarding {
		h.detour = newRunner(h.clock, lease.NewDetour(s.self, opts...).Step, h.applyDetour)
	}
	h.freshness = newRunner(h.clock, lease.NewFreshnessClient(s.self, opts...).Step, h.applyFreshness)
	h.seat = newRunner(h.clock, lease.NewSeat(s.self.Host, opts...).Step, h.applySeat)
	h.claimer = newRunner(h.clock, lease.NewClaimer(s.self.Host, opts...).Step, h.applyClaimer)
}

// makeRequestRunners creates the cores that decide on tokens, targets and
// orders.
func (h *entryHost) makeRequestRunners(s entrySetup) {
	admitOpts := []admit.Option{admit.WithMaxClockDrift(s.timing.MaxClockDrift), admit.WithIncarnation(s.self.Incarnation)}
	if s.serveUnconfirmed {
		admitOpts = append(admitOpts, admit.WithShares())
	}
	h.limiter = newRunner(h.clock, admit.NewLimiter(s.self.Host, admitOpts...).Step, h.applyAdmit)
	h.bucketOwner = newRunner(h.clock, admit.NewOwner(s.self.Host, admitOpts...).Step, h.applyAdmit)
	h.picker = newRunner(h.clock, pool.NewPicker(s.self.Host, s.self.Zone, pool.WithIncarnation(s.self.Incarnation), pool.WithTuning(s.tuning)).Step, h.applyPool)
	h.poolOwnerCore = pool.NewOwner(s.self.Host, pool.WithTuning(s.tuning))
	h.poolOwner = newRunner(h.clock, h.poolOwnerCore.Step, h.applyPool)
	h.reserver = newRunner(h.clock, order.NewReserver(s.self.Host, s.journals, order.WithNonceBase(uint64(s.self.Incarnation))).Step, h.applyOrder)
}

// tick lets each core act on elapsed time.
func (h *entryHost) tick() {
	h.freshness.post(lease.Tick{})
	h.limiter.post(admit.Tick{})
	h.picker.post(pool.Tick{})
	if !h.usesRelay {
		h.seat.post(lease.Tick{})
		h.claimer.post(lease.Tick{})
		h.bucketOwner.post(admit.Tick{})
		h.poolOwner.post(pool.Tick{})
	}
	h.reserver.post(order.Tick{})
	if h.detour != nil {
		h.detour.post(lease.Tick{})
	}
	h.endWithdrawn()
	h.cancelStale()
}

// wallMillis returns the wall-clock time in milliseconds since 1970.
func wallMillis() int64 { return time.Now().UnixMilli() }

// healthPath returns the path of a service's health probes in the current
// configuration.
func (h *entryHost) healthPath(name model.ServiceName) string {
	return healthPathOf(*h.cfg.Load(), name)
}

// cancelStale cancels the keyed requests in flight once the cutoff delay has
// passed since the end of freshness, because their keys may have been withdrawn
// without this host's knowledge.
func (h *entryHost) cancelStale() {
	if h.serveUnconfirmed {
		return
	}
	until := model.Instant(h.freshUntil.Load())
	if h.clock.now() < until.Add(h.timing.CutoffDelay) {
		h.keyedCanceled.Store(false)
		return
	}
	if h.keyedCanceled.Swap(true) {
		return
	}
	if n := h.server.CancelAllKeyed(); n > 0 {
		h.log.Info("ended keyed requests: no confirmation of the configuration; check the links to the seats", "requests", n)
	}
}

// receive passes a message to the cores that handle it.
func (h *entryHost) receive(from model.HostID, m proto.Message) {
	switch m := m.(type) {
	case proto.FreshReply:
		h.freshness.post(lease.Received{From: from, Msg: m})
		h.seat.post(lease.Received{From: from, Msg: m})
	case proto.Part:
		// Both cores may be receiving a snapshot; each ignores the parts it did
		// not request.
		h.freshness.post(lease.Received{From: from, Msg: m})
		h.seat.post(lease.Received{From: from, Msg: m})
	case proto.FreshAsk, proto.SeatStage, proto.SeatLearn, proto.SeatLearnReply, proto.LeaseAsk, proto.PartAsk:
		if h.usesRelay {
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
		h.bucketOwner.post(admit.Received{From: from, Msg: m})
	case proto.DrawReply, proto.ShareAsk, proto.ShareGift:
		h.limiter.post(admit.Received{From: from, Msg: m})
	case proto.SlotAsk, proto.SlotDone, proto.SlotCancel, proto.TargetNews, proto.ProbeResult, proto.ViewAsk, proto.RestoreReport, proto.QuarantineClear:
		h.poolOwner.post(pool.Received{From: from, Msg: m})
	case proto.SlotReply, proto.ViewReply, proto.RestoreAck:
		h.picker.post(pool.Received{From: from, Msg: m})
	case proto.ReserveReply:
		h.reserver.post(order.Received{From: from, Msg: m})
	case proto.EvidenceAsk, proto.BurnAsk, proto.StatusAsk:
		h.answerReportAsk(from, m)
	default:
		h.log.V(1).Info("ignored a message of a kind that entry hosts do not handle", "from", from)
	}
}
