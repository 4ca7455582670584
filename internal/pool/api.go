package pool

import (
	"time"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// Event is an input of the cores of this package. It is a sealed interface.
type Event interface{ isEvent() }

type (
	// Tick lets a core act on elapsed time; the runtime sends one every 20 ms.
	Tick struct{}
	// Received delivers a message of target assignment.
	Received struct {
		From model.HostID
		Msg  proto.Message
	}
	// Configured replaces the configuration.
	Configured struct{ Config model.Config }
	// OwnersChanged replaces the table of owners, for the picker.
	OwnersChanged struct{ Owners []proto.Owner }
	// OwnershipGained tells the owner core that this host owns a service shard up to Until.
	OwnershipGained struct {
		Shard model.ShardID
		Epoch model.Epoch
		Until model.Instant
	}
	// OwnershipRenewed moves the end of an owned shard's lease.
	OwnershipRenewed struct {
		Shard model.ShardID
		Epoch model.Epoch
		Until model.Instant
	}
	// OwnershipLost tells the owner core that this host does not own a shard any more.
	OwnershipLost struct{ Shard model.ShardID }
	// EntryHostsChanged replaces the live entry hosts, for the owner.
	EntryHostsChanged struct{ Hosts []model.HostID }
	// HostGone tells the owner that an entry host left, so that its slots return.
	HostGone struct{ Host model.HostID }
	// TargetAnnounced delivers a target's announcement that this entry host took, for the picker.
	TargetAnnounced struct{ Announcement model.Announcement }
	// TargetRequested asks the picker for a target. Exclude lists targets already tried.
	TargetRequested struct {
		Request     model.RequestID
		Service     model.ServiceName
		Workspace   model.WorkspaceID
		Fingerprint model.Fingerprint
		Deadline    model.Instant
		Exclude     []model.TargetID
		// AtMostOnce is set if the request must not run on another target after it may have run.
		AtMostOnce bool
	}
	// TargetsListed replaces the list of all targets, for the picker of a host
	// that control tells of them. Without targets it confirms the last list.
	TargetsListed struct{ Targets []model.Announcement }
	// EntryHostCountChanged tells the picker how many entry hosts there are.
	EntryHostCountChanged struct{ Count int }
	// FailedTargetsReported tells the picker that attempts of other hosts failed at targets lately.
	FailedTargetsReported struct{ Targets []model.TargetID }
	// RequestAbandoned withdraws a waiting request.
	RequestAbandoned struct{ Request model.RequestID }
	// AttemptEnded returns the target of a request with what became of the attempt.
	AttemptEnded struct {
		Request model.RequestID
		Attempt model.Attempt
	}
	// Probed delivers the result of a Probe effect.
	Probed struct {
		Service     model.ServiceName
		Target      model.TargetID
		Incarnation model.Incarnation
		OK          bool
		Latency     time.Duration
	}
)

// Effect is an output of the cores of this package. It is a sealed interface.
type Effect interface{ isEffect() }

type (
	// Send sends a message; loss is allowed.
	Send struct {
		To  model.HostID
		Msg proto.Message
	}
	// Assigned gives a waiting request its target.
	Assigned struct {
		Request     model.RequestID
		Target      model.TargetID
		Addr        string
		Incarnation model.Incarnation
		// Local is set when the picker chose without the owner.
		Local bool
	}
	// Refused ends a waiting request that got no target; it was not run by this attempt.
	Refused struct {
		Request    model.RequestID
		Status     proto.SlotStatus
		RetryAfter time.Duration
	}
	// Probe asks the runtime for one health probe.
	Probe struct {
		Service     model.ServiceName
		Target      model.TargetID
		Incarnation model.Incarnation
		Addr        string
	}
	// Ejected reports a target that gets no more work for a time.
	Ejected struct {
		Service model.ServiceName
		Target  model.TargetID
		Cause   model.EjectionCause
		Reason  string
		// DetectionTime is the detection time, from the first evidence of this failure.
		DetectionTime time.Duration
		// Duration is the time until the target is tried again.
		Duration time.Duration
	}
	// Reinstated reports an ejected target that gets work again.
	Reinstated struct {
		Service model.ServiceName
		Target  model.TargetID
	}
	// EjectionUnconfirmed reports a target that takes its full share of the traffic
	// again after an ejection, without a further failure.
	EjectionUnconfirmed struct {
		Service model.ServiceName
		Target  model.TargetID
	}
	// Quarantined reports a fingerprint that is refused from now on.
	Quarantined struct {
		Service     model.ServiceName
		Workspace   model.WorkspaceID
		Fingerprint model.Fingerprint
		Duration    time.Duration
	}
)

// Core is the owner core or the picker core.
type Core interface {
	Step(now model.Instant, ev Event) []Effect
}

func (Tick) isEvent()              {}
func (Received) isEvent()          {}
func (Configured) isEvent()        {}
func (OwnersChanged) isEvent()     {}
func (OwnershipGained) isEvent()   {}
func (OwnershipRenewed) isEvent()  {}
func (OwnershipLost) isEvent()     {}
func (EntryHostsChanged) isEvent() {}
func (HostGone) isEvent()          {}
func (TargetAnnounced) isEvent()   {}
func (TargetRequested) isEvent()   {}
func (RequestAbandoned) isEvent()  {}

func (TargetsListed) isEvent()         {}
func (FailedTargetsReported) isEvent() {}
func (EntryHostCountChanged) isEvent() {}
func (AttemptEnded) isEvent()          {}
func (Probed) isEvent()                {}

func (Send) isEffect()                {}
func (Assigned) isEffect()            {}
func (Refused) isEffect()             {}
func (Probe) isEffect()               {}
func (Ejected) isEffect()             {}
func (Reinstated) isEffect()          {}
func (EjectionUnconfirmed) isEffect() {}
func (Quarantined) isEffect()         {}
