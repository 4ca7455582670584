package pool

import (
	"time"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// Event is an input of the Owner or the Picker. It is a sealed interface.
type Event interface{ isEvent() }

type (
	// Tick lets a core act on elapsed time. The runtime sends one every 20 ms.
	Tick struct{}
	// Received delivers a message about the assignment of targets.
	Received struct {
		From model.HostID
		Msg  proto.Message
	}
	// Configured replaces the configuration. Older versions are ignored.
	Configured struct{ Config model.Config }
	// OwnersChanged tells the picker the owner of each service shard.
	OwnersChanged struct{ Owners []proto.Owner }
	// OwnershipGained tells the owner core that this host owns a service shard up to Until.
	OwnershipGained struct {
		Shard model.ShardID
		Epoch model.Epoch
		Until model.Instant
	}
	// OwnershipRenewed tells the owner core that its ownership of a shard now ends at Until.
	OwnershipRenewed struct {
		Shard model.ShardID
		Epoch model.Epoch
		Until model.Instant
	}
	// OwnershipLost tells the owner core that this host no longer owns a shard.
	OwnershipLost struct{ Shard model.ShardID }
	// EntryHostsChanged tells the owner core which entry hosts are live.
	EntryHostsChanged struct{ Hosts []model.HostID }
	// HostGone tells the owner core that an entry host left, so that its slots are freed.
	HostGone struct{ Host model.HostID }
	// TargetAnnounced delivers to the picker an announcement that a target sent to this entry host.
	TargetAnnounced struct{ Announcement model.Announcement }
	// TargetRequested asks the picker for a target. Exclude lists the targets that
	// already failed the request.
	TargetRequested struct {
		Request     model.RequestID
		Service     model.ServiceName
		Workspace   model.WorkspaceID
		Fingerprint model.Fingerprint
		Deadline    model.Instant
		// Objective is the time left until the latency objective of the request's
		// route, negative once it has passed, or 0 without an objective.
		Objective time.Duration
		Exclude   []model.TargetID
		// AtMostOnce is set if the request must not be retried on another target after it may have run.
		AtMostOnce bool
		// Rank is the urgency of the request, Class tells kinds of requests apart.
		Rank  model.Rank
		Class model.RequestClass
	}
	// TargetsListed replaces the picker's list of all targets, on hosts that get
	// that list from control. A nil Targets confirms the last list.
	TargetsListed struct{ Targets []model.Announcement }
	// EntryHostCountChanged tells the picker how many entry hosts there are.
	EntryHostCountChanged struct{ Count int }
	// FailedTargetsReported tells the picker at which targets attempts of other
	// hosts have just failed.
	FailedTargetsReported struct{ Targets []model.TargetID }
	// RequestAbandoned withdraws a request: a waiting one leaves the queue, an
	// assigned one returns its slot.
	RequestAbandoned struct{ Request model.RequestID }
	// AttemptEnded frees the slot of a request and reports how the attempt ended.
	AttemptEnded struct {
		Request model.RequestID
		Attempt model.Attempt
	}
	// TargetNoticed tells the picker what a target says of itself in an answer
	// that is still being read.
	TargetNoticed struct {
		Service model.ServiceName
		Attempt model.Attempt
	}
	// Probed delivers the result of a Probe effect.
	Probed struct {
		Service     model.ServiceName
		Target      model.TargetID
		Incarnation model.Incarnation
		OK          bool
		Latency     time.Duration
		// ReportsCold and ColdRemaining are those of model.TargetNotice.
		ReportsCold   bool
		ColdRemaining time.Duration
	}
)

// Effect is an output of the Owner or the Picker. It is a sealed interface.
type Effect interface{ isEffect() }

type (
	// Send asks the runtime to send a message, which may be lost.
	Send struct {
		To  model.HostID
		Msg proto.Message
	}
	// Assigned tells the runtime the target of a waiting request.
	Assigned struct {
		Request     model.RequestID
		Target      model.TargetID
		Addr        string
		Incarnation model.Incarnation
		// Local is set when the picker chose the target without the owner.
		Local bool
	}
	// Refused ends a waiting request without a target. The request has not been
	// sent to a target by this attempt.
	Refused struct {
		Request model.RequestID
		Status  proto.SlotStatus
		// Reason is NoReason for a quarantined request.
		Reason     RefusalReason
		RetryAfter time.Duration
	}
	// Probe asks the runtime for one health probe.
	Probe struct {
		Service     model.ServiceName
		Target      model.TargetID
		Incarnation model.Incarnation
		Addr        string
	}
	// Ejected reports that a target gets no more work for some time.
	Ejected struct {
		Service model.ServiceName
		Target  model.TargetID
		Cause   model.EjectionCause
		Reason  string
		// DetectionTime is the time from the first evidence of the failure to the ejection.
		DetectionTime time.Duration
		// Duration is the time until the target is tried again.
		Duration time.Duration
	}
	// Reinstated reports that an ejected target gets work again.
	Reinstated struct {
		Service model.ServiceName
		Target  model.TargetID
	}
	// EjectionUnconfirmed reports that a target finished the slow start after an
	// ejection without failing again, so that the ejection may have been a false
	// alarm.
	EjectionUnconfirmed struct {
		Service model.ServiceName
		Target  model.TargetID
	}
	// ZoneEvacuated reports that the targets of a zone get no more requests.
	ZoneEvacuated zoneUse
	// ZoneReturned reports that the targets of a zone get requests again.
	ZoneReturned zoneUse
	// TargetCold reports that a target is cold for Remaining. It gets at most Rate
	// requests per second, or without a bound if Rate is 0. Assumed is set for a target
	// that has just started and has not said so itself.
	TargetCold struct {
		Service   model.ServiceName
		Target    model.TargetID
		Remaining time.Duration
		Rate      float64
		Assumed   bool
	}
	// TargetWarm reports that a target is no longer cold.
	TargetWarm struct {
		Service model.ServiceName
		Target  model.TargetID
	}
	// Quarantined reports that the requests of a workspace with a fingerprint are
	// refused from now on, for Duration.
	Quarantined struct {
		Service     model.ServiceName
		Workspace   model.WorkspaceID
		Fingerprint model.Fingerprint
		Duration    time.Duration
	}
	// RetriesRefused reports that the retry budget of a service was used up within
	// the last Interval.
	RetriesRefused struct {
		Service  model.ServiceName
		Interval time.Duration
		// Requests counts the queries that added to the budget, Retries those that
		// used it and Refused those that found it empty.
		Requests, Retries, Refused int
	}
	// TargetsIdle reports the targets of a service that got no request within the last
	// Interval, while queries were refused or failed.
	TargetsIdle struct {
		Service  model.ServiceName
		Interval time.Duration
		// Assigned and Refused count queries, Unused the assignments that hosts gave
		// back. Failed counts the requests that ended with a failed attempt.
		Assigned, Unused, Refused, Failed int
		// InService counts the ready targets outside evacuated zones.
		InService int
		Targets   []IdleTarget
	}
	// QueryRefused reports the refusal of a query and what ruled the targets out.
	QueryRefused struct {
		Service model.ServiceName
		Request model.RequestID
		Host    model.HostID
		Reason  RefusalReason
		// RuledOut counts the targets by why they did not get the query.
		RuledOut PassCounts
		// Waiting counts the queries that wait.
		Waiting int
		// CutOff is set if the host is taken to be cut off from the targets. HostSlots
		// counts the slots that it holds.
		CutOff    bool
		HostSlots int
	}
	// DecidedWithoutOwner reports that a service's owner answers, after this host
	// chose targets by itself for a time.
	DecidedWithoutOwner struct {
		Service model.ServiceName
		// Duration is the time since the first choice.
		Duration time.Duration
		// Requests counts the choices, Retries those after a failed attempt.
		Requests, Retries int
	}
)

// Core is implemented by the Owner and the Picker.
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
func (TargetNoticed) isEvent()         {}
func (Probed) isEvent()                {}

func (Send) isEffect()                {}
func (Assigned) isEffect()            {}
func (Refused) isEffect()             {}
func (Probe) isEffect()               {}
func (Ejected) isEffect()             {}
func (Reinstated) isEffect()          {}
func (EjectionUnconfirmed) isEffect() {}
func (ZoneEvacuated) isEffect()       {}
func (ZoneReturned) isEffect()        {}
func (TargetCold) isEffect()          {}
func (TargetWarm) isEffect()          {}
func (Quarantined) isEffect()         {}
func (RetriesRefused) isEffect()      {}
func (TargetsIdle) isEffect()         {}
func (QueryRefused) isEffect()        {}
func (DecidedWithoutOwner) isEffect() {}
