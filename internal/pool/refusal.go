package pool

import (
	"time"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// RefusalReason tells callers and operators why a request got no target.
type RefusalReason int

// Reasons of a refusal.
const (
	// NoReason is the reason of a refusal that load did not cause.
	NoReason RefusalReason = iota
	// RefusedQueueFull means that as many requests as allowed wait.
	RefusedQueueFull
	// RefusedTooLate means that the request's turn would come too late.
	RefusedTooLate
	// RefusedDisplaced means that the request waited and gave way to more urgent ones.
	RefusedDisplaced
	// RefusedNoTarget means that no target takes the request.
	RefusedNoTarget
	// RefusedNoRetry means that the retry budget has nothing left for the request.
	RefusedNoRetry
)

// String returns the reason as logs and metrics show it.
func (r RefusalReason) String() string {
	switch r {
	case RefusedQueueFull:
		return "queue_full"
	case RefusedTooLate:
		return "too_late"
	case RefusedDisplaced:
		return "displaced"
	case RefusedNoTarget:
		return "no_target"
	case RefusedNoRetry:
		return "no_retry"
	case NoReason:
	}
	return ""
}

// ReasonOf returns the reason of a refusal with the status.
func ReasonOf(status proto.SlotStatus) RefusalReason {
	switch status {
	case proto.SlotQueueFull:
		return RefusedQueueFull
	case proto.SlotTooLate:
		return RefusedTooLate
	case proto.SlotDisplaced:
		return RefusedDisplaced
	case proto.SlotNoTarget:
		return RefusedNoTarget
	case proto.SlotNoRetry:
		return RefusedNoRetry
	case proto.SlotAssigned, proto.SlotQuarantined, proto.SlotNotOwner:
	}
	return NoReason
}

func refused(id model.RequestID, status proto.SlotStatus, after time.Duration) Refused {
	return Refused{Request: id, Status: status, Reason: ReasonOf(status), RetryAfter: after}
}

// refuse ends a waiting request without a target. The caller compacts the queue afterwards.
func (p *Picker) refuse(now model.Instant, r *request, status proto.SlotStatus) {
	p.refuseWithRetryAfter(now, r, status, 0)
}

// refuseWithRetryAfter is like refuse, with the time after which the caller may try again.
func (p *Picker) refuseWithRetryAfter(now model.Instant, r *request, status proto.SlotStatus, after time.Duration) {
	p.withdraw(now, r)
	if status != proto.SlotQuarantined {
		r.service.sched.CountRefusal(now, r.rank)
	}
	delete(p.requests, r.id)
	delete(p.byNonce, r.nonce)
	r.isEnded = true
	p.emit(refused(r.id, status, after))
}
