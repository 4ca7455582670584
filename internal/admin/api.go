// Package admin serves the operators' HTTP API of a process: changes,
// configuration, reports, health checks and metrics. It keeps no state of its
// own; a Backend answers for the process.
package admin

import (
	"context"
	"fmt"

	"tarragongauge.example/tarragongauge/pkg/model"
	"tarragongauge.example/tarragongauge/pkg/opsapi"
)

// Backend is what the API needs from a control host. It is safe for concurrent
// use, and its methods return early when ctx ends. An ErrNotLeader,
// ErrUnavailable or model.ErrNotFound reaches the operator as such.
type Backend interface {
	// Propose submits a change and waits for its result. Actor and UnixMilli are
	// set. ErrNotLeader and ErrUnavailable promise that the change was not taken;
	// after any other error, or when ctx ends, its result is unknown.
	Propose(ctx context.Context, p model.Proposal) (model.Result, error)
	// Config returns the newest configuration this host knows.
	Config(ctx context.Context) (model.Config, error)
	// History returns the newest n entries of the audit list, newest first.
	History(ctx context.Context, n int) ([]opsapi.AuditEntry, error)
	// Silence asks every host for the evidence that a workspace has no traffic.
	Silence(ctx context.Context, ws model.WorkspaceID) (opsapi.Evidence, error)
	// Status asks every host for its state.
	Status(ctx context.Context) (opsapi.Status, error)
	// Burn returns the merged service-level counters as burn.Fleet encodes them.
	Burn(ctx context.Context) ([]byte, error)
	// ClearQuarantine lets the quarantined requests of a workspace run again.
	ClearQuarantine(ctx context.Context, service model.ServiceName, ws model.WorkspaceID) error
}

// Health says whether a process can take work.
type Health interface {
	// Ready returns nil, or an error that says what the process waits for. It is not nil once shutdown began.
	Ready() error
}

// Token is the digest of an operator's bearer token.
type Token struct {
	Actor string
	Hash  [32]byte
}

// ErrNotLeader tells that another control host must be asked.
type ErrNotLeader struct{ Leader model.HostID }

func (e ErrNotLeader) Error() string {
	if e.Leader == "" {
		return "no control host leads; try again in a few seconds"
	}
	return fmt.Sprintf("this host does not lead; ask control host %q", e.Leader)
}

// ErrUnavailable tells that the question cannot be answered now.
type ErrUnavailable struct{ Cause string }

func (e ErrUnavailable) Error() string { return e.Cause + "; try again in a few seconds" }
