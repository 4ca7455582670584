// Package admin serves the operators' HTTP API of a process: changes,
// configuration, reports, health checks and metrics. The package stores none of
// this; its data comes from a Backend, which the process provides.
package admin

import (
	"context"
	"fmt"

	"tarragongauge.example/tarragongauge/pkg/model"
	"tarragongauge.example/tarragongauge/pkg/opsapi"
)

// Backend provides the operations of the API on a control host. It must be safe
// for concurrent use, and its methods must return early when ctx ends. The
// errors ErrNotLeader, ErrUnavailable and model.ErrNotFound are reported to the
// operator with a kind of their own, a context.DeadlineExceeded as unavailable,
// and other errors as internal.
type Backend interface {
	// Propose submits a change, whose Actor and UnixMilli are set, and waits for
	// its result. ErrNotLeader and ErrUnavailable guarantee that the change was not
	// applied; after any other error, or when ctx ends, the result is unknown.
	Propose(ctx context.Context, p model.Proposal) (model.Result, error)
	// Config returns the newest configuration that this host knows.
	Config(ctx context.Context) (model.Config, error)
	// History returns the latest n entries of the audit log, newest first.
	History(ctx context.Context, n int) ([]opsapi.AuditEntry, error)
	// Silence collects from every host the evidence that a workspace has no traffic.
	Silence(ctx context.Context, ws model.WorkspaceID) (opsapi.Evidence, error)
	// Status collects the state of every host.
	Status(ctx context.Context) (opsapi.Status, error)
	// Burn returns the merged service-level counters of all hosts, as encoded by
	// burn.FleetCounts.
	Burn(ctx context.Context) ([]byte, error)
	// ClearQuarantine allows the quarantined requests of a workspace to run again.
	ClearQuarantine(ctx context.Context, service model.ServiceName, ws model.WorkspaceID) error
}

// Health reports whether a process is ready for work.
type Health interface {
	// Ready returns nil if the process is ready, otherwise an error that says what
	// it waits for. Once shutdown has begun, it returns an error.
	Ready() error
}

// Token identifies an operator by the digest of a bearer token.
type Token struct {
	// Actor is the name of the operator in the audit log.
	Actor string
	// Hash is the digest of the bearer token as returned by HashToken.
	Hash [32]byte
}

// ErrNotLeader reports that this control host is not the leader. Leader names the
// host to ask instead, or is empty while no leader is known.
type ErrNotLeader struct{ Leader model.HostID }

func (e ErrNotLeader) Error() string {
	if e.Leader == "" {
		return "no control host leads; try again in a few seconds"
	}
	return fmt.Sprintf("this host does not lead; ask control host %q", e.Leader)
}

// ErrUnavailable reports that a request cannot be answered at present but may
// succeed if it is repeated.
type ErrUnavailable struct{ Cause string }

func (e ErrUnavailable) Error() string { return e.Cause + "; try again in a few seconds" }
