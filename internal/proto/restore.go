package proto

import (
	"time"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// Messages that reconstruct the state of a service shard at its new owner.
type (
	// RestoreReport tells a new owner what one entry host knows of the services
	// of the shard. It states everything that the host holds now, so that a
	// later report replaces an earlier one.
	RestoreReport struct {
		Shard model.ShardID
		// Epoch is that of the owner to which the report is addressed.
		Epoch model.Epoch
		// Incarnation is that of the reporting host, and Serial numbers its
		// reports; together they order the reports of a host.
		Incarnation model.Incarnation
		Serial      uint64
		// Services is empty when the host uses none of the shard.
		Services []RestoreService
	}
	// RestoreAck answers RestoreReport, and is sent once more to the hosts that
	// reported when the owner begins to assign.
	RestoreAck struct {
		Shard  model.ShardID
		Epoch  model.Epoch
		Serial uint64
		// Ready is set when the owner assigns slots.
		Ready bool
	}
)

// RestoreService is the part of a RestoreReport about one service.
type RestoreService struct {
	Service        model.ServiceName
	Slots          []HeldSlot
	BrokenAttempts []BrokenAttempt
	// ViewEpoch and ViewDigest are those of the view that Ejected and
	// Quarantined come from; both are 0 without one.
	ViewEpoch           model.Epoch
	ViewDigest          uint64
	EjectedTargets      []EjectedTarget
	QuarantinedRequests []QuarantinedRequest
}

// HeldSlot is an attempt in progress that another owner placed, or the host itself.
type HeldSlot struct {
	// Slot names it in SlotDone.
	Slot        uint64
	Target      model.TargetID
	Incarnation model.Incarnation
	Workspace   model.WorkspaceID
	Fingerprint model.Fingerprint
	// Remaining is the time until the deadline of the request.
	Remaining time.Duration
}

// BrokenAttempt is an attempt that ended early and may have been a crash.
type BrokenAttempt struct {
	Slot        uint64
	Target      model.TargetID
	Incarnation model.Incarnation
	Workspace   model.WorkspaceID
	Fingerprint model.Fingerprint
	// Age is the time since it ended.
	Age time.Duration
}

// EjectedTarget is an ejection that the last view contains.
type EjectedTarget struct {
	Target      model.TargetID
	Incarnation model.Incarnation
	// Remaining is the time until the target is tried again, or 0 if it ran out since
	// the view: then no owner has given the target its small share yet.
	Remaining time.Duration
	// Severity orders ejections; the floor lets the greatest stand.
	Severity float64
	// Ejections is the number of recent ejections of the target, for its next backoff.
	Ejections int
}

// QuarantinedRequest is a kind of request that is refused.
type QuarantinedRequest struct {
	Workspace   model.WorkspaceID
	Fingerprint model.Fingerprint
	// Remaining is the time until it is accepted again.
	Remaining time.Duration
}

func (RestoreReport) isMessage() {}
func (RestoreAck) isMessage()    {}
