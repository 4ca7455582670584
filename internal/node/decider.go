package node

import (
	"context"
	"time"

	"tarragongauge.example/tarragongauge/internal/entry"
	"tarragongauge.example/tarragongauge/internal/order"
	"tarragongauge.example/tarragongauge/internal/pool"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// Config returns the configuration in force on this host.
func (h *entryHost) Config() model.Config { return *h.cfg.Load() }

// Fresh reports whether keyed requests may be admitted now.
func (h *entryHost) Fresh() bool {
	if h.serveUnconfirmed {
		return h.cfg.Load().Routes.Len() > 0
	}
	return h.clock.now() < model.Instant(h.freshUntil.Load())
}

// deadline returns the instant at which ctx ends, or the instant
// model.MaxDeadline from now if ctx has no deadline.
func (h *entryHost) deadline(ctx context.Context) model.Instant {
	at, ok := ctx.Deadline()
	if !ok {
		at = time.Now().Add(model.MaxDeadline)
	}
	return h.clock.instantOf(at)
}

// ReserveOrder reserves an order before it runs. If ctx ends first, the
// reservation is released, because the order has not run and will not run.
func (h *entryHost) ReserveOrder(ctx context.Context, start order.Requested) (entry.Reservation, error) {
	start.Deadline = h.deadline(ctx)
	answer := h.reservations.add(start.Request)
	h.reserver.post(start)
	select {
	case r := <-answer:
		return r, nil
	case <-ctx.Done():
	}
	if !h.reservations.remove(start.Request) {
		<-answer
	}
	h.releaseUnusedReservation(start.Request)
	return entry.Reservation{}, context.Cause(ctx)
}

// releaseUnusedReservation releases a reservation whose request was abandoned.
func (h *entryHost) releaseUnusedReservation(id model.RequestID) {
	h.reserver.post(order.Finished{Request: id, NotRun: true})
}

// FinishOrder ends a reserved order.
func (h *entryHost) FinishOrder(end order.Finished) { h.reserver.post(end) }

// EndAttempt releases the target of a request and reports the result of the
// attempt.
func (h *entryHost) EndAttempt(end pool.AttemptEnded) {
	if h.usesRelay && end.Attempt.End.Failed() {
		h.failedTargets.record(h.clock.now(), end.Attempt.Target)
	}
	h.picker.post(end)
}

// NoteTarget passes on what a target says of itself.
func (h *entryHost) NoteTarget(n pool.TargetNoticed) { h.picker.post(n) }

// Announce passes on a target's announcement that this host has validated.
func (h *entryHost) Announce(a model.Announcement) {
	h.picker.post(pool.TargetAnnounced{Announcement: withUsedColdTime(h.Config(), a)})
}

// withUsedColdTime returns an announcement without its cold time if the service has no
// warm-up rate. Otherwise the lists of all hosts would change with each cold time,
// which no decision uses.
func withUsedColdTime(cfg model.Config, a model.Announcement) model.Announcement {
	if service, ok := cfg.Services.Get(a.Service); ok && service.WarmupRate == 0 {
		a.ColdRemaining = 0
	}
	return a
}
