// Package entry serves callers: it matches routes, checks keys, asks a Decider
// for admission, reservations and targets, forwards requests and answers.
package entry

import (
	"context"
	"time"

	"tarragongauge.example/tarragongauge/internal/order"
	"tarragongauge.example/tarragongauge/internal/pool"
	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// Admission is the answer to a request for one token.
type Admission struct {
	OK         bool
	RetryAfter time.Duration
	// NoOwner is set when the refusal is due to a missing owner rather than the rate.
	NoOwner bool
}

// Reservation is the answer to a request to reserve an order.
type Reservation struct {
	OK bool
	// Answer is the stored answer of an earlier run, or nil.
	Answer *proto.StoredAnswer
	// Reason is set when neither OK nor Answer is.
	Reason order.StopReason
}

// Assignment is the answer to a request for a target.
type Assignment struct {
	OK       bool
	Assigned pool.Assigned
	// Refused is set when OK is not.
	Refused pool.Refused
}

// Decider joins the decision cores to the HTTP side. It is safe for
// concurrent use. Methods that wait return early when ctx ends, and then
// withdraw the question.
type Decider interface {
	// Config returns the configuration in force on this host.
	Config() model.Config
	// Fresh reports whether keyed requests may be admitted now.
	Fresh() bool
	// Admit draws a token.
	Admit(ctx context.Context, id model.RequestID, ws model.WorkspaceID) (Admission, error)
	// AdmitAndAssign draws a token and may ask for a target at the same time. The
	// assignment is nil if it did not. A target that it returns must be used or ended.
	AdmitAndAssign(ctx context.Context, want pool.TargetRequested) (Admission, *Assignment, error)
	// ReserveOrder reserves an order before it runs.
	ReserveOrder(ctx context.Context, start order.Requested) (Reservation, error)
	// FinishOrder ends a reserved order.
	FinishOrder(end order.Finished)
	// AssignTarget asks for a target. The instant in want.Deadline is filled in from ctx.
	AssignTarget(ctx context.Context, want pool.TargetRequested) (Assignment, error)
	// EndAttempt returns the target of a request with what became of the attempt.
	EndAttempt(end pool.AttemptEnded)
	// Announce delivers a target's announcement that this host has checked.
	Announce(a model.Announcement)
}

// Recorder counts requests for the service-level report. It is safe for concurrent use.
type Recorder interface {
	Record(rec Record)
}

// Record is one ended request.
type Record struct {
	Service   model.ServiceName
	Workspace model.WorkspaceID
	Status    int
	Outcome   model.Outcome
	Latency   time.Duration
	// RateLimited is set when the request was refused for its rate.
	RateLimited bool
	// NoOwner is set when it was refused because its shard had no owner.
	NoOwner bool
}
