// Package entry implements the HTTP side of an entry host. It matches requests
// of callers to routes, checks their keys, asks a Decider for admission,
// reservations and targets, forwards the requests to targets and returns their
// answers. It also accepts announcements from targets.
package entry

import (
	"context"
	"time"

	"tarragongauge.example/tarragongauge/internal/order"
	"tarragongauge.example/tarragongauge/internal/pool"
	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// Admission is the decision on a request for one token of a workspace's rate.
type Admission struct {
	// OK is set when a token was granted.
	OK bool
	// RetryAfter is when a refused caller may try again, or 0 if that is not known.
	RetryAfter time.Duration
	// NoOwner is set when the refusal is due to a missing owner rather than the rate.
	NoOwner bool
}

// Reservation is the decision on a request to reserve an order.
type Reservation struct {
	// OK is set when the order was reserved and may run.
	OK bool
	// Answer is the stored answer of an earlier run, or nil.
	Answer *proto.StoredAnswer
	// Reason is why the order may not run. It is set when neither OK nor Answer is.
	Reason order.StopReason
}

// Assignment is the decision on a request for a target.
type Assignment struct {
	// OK is set when a target was assigned.
	OK bool
	// Assigned holds the target if OK is set.
	Assigned pool.Assigned
	// Refused holds the reason if OK is not set.
	Refused pool.Refused
}

// Decider makes the decisions on requests that depend on the fleet: admission,
// reservations and targets. It is safe for concurrent use. Methods that wait
// return an error when ctx ends, and then cancel the query.
type Decider interface {
	// Config returns the configuration in force on this host.
	Config() model.Config
	// Fresh reports whether the configuration was confirmed recently enough to
	// admit keyed requests now.
	Fresh() bool
	// Admit draws a token of the workspace's rate.
	Admit(ctx context.Context, id model.RequestID, ws model.WorkspaceID) (Admission, error)
	// AdmitAndAssign draws a token and may ask for a target at the same time. The
	// assignment is nil if it did not ask. The caller ends an assigned target with
	// EndAttempt, also when it does not use it.
	AdmitAndAssign(ctx context.Context, want pool.TargetRequested) (Admission, *Assignment, error)
	// ReserveOrder reserves an order before it runs.
	ReserveOrder(ctx context.Context, start order.Requested) (Reservation, error)
	// FinishOrder ends the reservation of an order and reports its answer, if any.
	FinishOrder(end order.Finished)
	// AssignTarget asks for a target. The Decider sets want.Deadline from ctx.
	AssignTarget(ctx context.Context, want pool.TargetRequested) (Assignment, error)
	// EndAttempt releases the target that was assigned to a request and reports how
	// the attempt ended.
	EndAttempt(end pool.AttemptEnded)
	// NoteTarget reports what a target says of itself in the header of an answer
	// whose body is still being passed on.
	NoteTarget(n pool.TargetNoticed)
	// Announce delivers a target's announcement that this host has validated.
	Announce(a model.Announcement)
}

// Recorder counts requests for the service-level report. It is safe for concurrent use.
type Recorder interface {
	// Record counts one request that has ended.
	Record(rec Record)
}

// Record describes one request that has ended.
type Record struct {
	Service model.ServiceName
	// Workspace is empty for a request on an open route.
	Workspace model.WorkspaceID
	// Status is the HTTP status that the caller got.
	Status  int
	Outcome model.Outcome
	// Latency is the time from the request's header to the end of its answer.
	Latency time.Duration
	// RateLimited is set when the request was refused for its workspace's rate.
	RateLimited bool
	// NoOwner is set when the request was refused because its shard had no owner.
	NoOwner bool
}
