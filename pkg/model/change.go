package model

// Change is one operator's change to the configuration. It is a sealed interface.
type Change interface{ isChange() }

type (
	// CreateWorkspace adds a workspace.
	CreateWorkspace struct{ Workspace WorkspaceID }
	// WithdrawWorkspace ends a workspace for good and withdraws all its keys.
	WithdrawWorkspace struct{ Workspace WorkspaceID }
	// IssueKey adds a key to a workspace that is not withdrawn.
	IssueKey struct{ Key Key }
	// WithdrawKey removes a key.
	WithdrawKey struct {
		Workspace WorkspaceID
		Key       KeyID
	}
	// SetDefaults replaces the fleet-wide defaults.
	SetDefaults struct{ Defaults Defaults }
	// PutException adds or replaces an exception.
	PutException struct{ Exception Exception }
	// RemoveException removes an exception.
	RemoveException struct{ ID string }
	// PutService adds or replaces a service.
	PutService struct{ Service Service }
	// PutRoute adds or replaces a route.
	PutRoute struct{ Route Route }
	// RemoveRoute removes a route.
	RemoveRoute struct{ Route RouteName }
	// SetSeats replaces the seats. Old and new sets must both hold the change before it is accepted.
	SetSeats struct{ Seats []HostID }
	// SetControls adds or removes at most one voting control host.
	SetControls struct{ Controls []HostID }
)

func (CreateWorkspace) isChange()   {}
func (WithdrawWorkspace) isChange() {}
func (IssueKey) isChange()          {}
func (WithdrawKey) isChange()       {}
func (SetDefaults) isChange()       {}
func (PutException) isChange()      {}
func (RemoveException) isChange()   {}
func (PutService) isChange()        {}
func (PutRoute) isChange()          {}
func (RemoveRoute) isChange()       {}
func (SetSeats) isChange()          {}
func (SetControls) isChange()       {}

// Proposal is a change as an operator submitted it.
type Proposal struct {
	// ID identifies the change over resends; the first result is returned for each later one.
	ID ChangeID
	// Base is the version the operator saw. A stale base is refused as a conflict.
	Base Version
	// Actor is the operator's name.
	Actor string
	// Reason is free text for the audit list.
	Reason string
	// UnixMilli is the wall-clock time of submission, for the audit list only.
	UnixMilli int64
	Change    Change
}

// Committed is a proposal with its place in the log.
type Committed struct {
	Version  Version
	Proposal Proposal
}

// ResultKind says how a proposal ended.
type ResultKind int

// Kinds of results.
const (
	// ResultAccepted means a majority of control hosts and of seats hold the change.
	ResultAccepted ResultKind = iota + 1
	// ResultConflict means the base was stale.
	ResultConflict
	// ResultInvalid means the change contradicts the configuration.
	ResultInvalid
	// ResultUnknown means the change may or may not be accepted later; resend it with the same ID.
	ResultUnknown
	// ResultNotLeader means another control host takes changes.
	ResultNotLeader
	// ResultSuperseded means that a whole configuration of the same or a higher revision is in force.
	ResultSuperseded
)

// Result is the answer to a proposal.
type Result struct {
	ID   ChangeID
	Kind ResultKind
	// Version is the version that includes the change, or the newest one on a conflict.
	Version Version
	// Message names the fault and its remedy for kinds other than ResultAccepted.
	Message string
	// Leader names the control host to ask, for ResultNotLeader.
	Leader HostID
}
