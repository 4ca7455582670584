package proto

import (
	"time"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// Messages that reconstruct the state of a service shard at its new owner.
type (
	// RestoreReport reports to a new owner the attempts, ejections and quarantines
	// that one entry host has recorded for the services of the shard. Each report
	// is complete, so that a later report replaces the earlier ones.
	RestoreReport struct {
		Shard model.ShardID
		// Epoch is the epoch of the owner to which the report is addressed.
		Epoch model.Epoch
		// Incarnation is that of the reporting host, and Serial is the number of
		// the report. Together they order the reports of a host.
		Incarnation model.Incarnation
		Serial      uint64
		// Services is empty when the host uses no service of the shard.
		Services []RestoreService
	}
	// RestoreAck answers RestoreReport. The owner sends it once more, to each host
	// that reported, when it begins to assign slots.
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
	// ViewEpoch and ViewDigest are those of the ViewReply that EjectedTargets and
	// QuarantinedRequests come from. Both are 0 if the host received none.
	ViewEpoch           model.Epoch
	ViewDigest          uint64
	EjectedTargets      []EjectedTarget
	QuarantinedRequests []QuarantinedRequest
	// NamedRates holds the rates that targets named to the host.
	NamedRates []NamedRate
}

// NamedRate is the number of requests per second that a target takes from the whole
// fleet, as its answers said.
type NamedRate struct {
	Target      model.TargetID
	Incarnation model.Incarnation
	Rate        float64
}

// HeldSlot is an attempt in progress whose slot another owner assigned, or the
// entry host itself.
type HeldSlot struct {
	// Slot identifies the attempt in SlotDone.
	Slot        uint64
	Target      model.TargetID
	Incarnation model.Incarnation
	Workspace   model.WorkspaceID
	Fingerprint model.Fingerprint
	// Remaining is the time left until the deadline of the request.
	Remaining time.Duration
}

// BrokenAttempt is an attempt that ended early, possibly because the request
// crashed the target.
type BrokenAttempt struct {
	Slot        uint64
	Target      model.TargetID
	Incarnation model.Incarnation
	Workspace   model.WorkspaceID
	Fingerprint model.Fingerprint
	// Age is the time since the attempt ended.
	Age time.Duration
}

// EjectedTarget is a target that was ejected according to the last ViewReply.
type EjectedTarget struct {
	Target      model.TargetID
	Incarnation model.Incarnation
	// Remaining is the time until the target is tried again with a small share of
	// requests. Remaining is 0 if that time has passed since the ViewReply but no
	// owner has sent the target that share yet.
	Remaining time.Duration
	// Severity orders ejections. If the capacity floor limits their number, those
	// of the greatest severity remain.
	Severity float64
	// Ejections is the number of recent ejections of the target, from which its
	// next backoff is computed.
	Ejections int
}

// QuarantinedRequest identifies requests that are refused, by workspace and fingerprint.
type QuarantinedRequest struct {
	Workspace   model.WorkspaceID
	Fingerprint model.Fingerprint
	// Remaining is the time until such requests are accepted again.
	Remaining time.Duration
}

func (RestoreReport) isMessage() {}
func (RestoreAck) isMessage()    {}
