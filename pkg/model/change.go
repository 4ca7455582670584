package model

// Change is a single change to the configuration, such as CreateWorkspace. The
// interface is sealed: only types of this package implement it.
type Change interface{ isChange() }

type (
	// CreateWorkspace adds a workspace.
	CreateWorkspace struct{ Workspace WorkspaceID }
	// WithdrawWorkspace withdraws a workspace permanently, together with all its keys.
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
	// SetSeats replaces the seats. The change is accepted once a majority of the
	// old seats and a majority of the new seats hold it.
	SetSeats struct{ Seats []HostID }
	// SetControls replaces the list of voting control hosts. The new list differs
	// from the current one by at most one host.
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

// Proposal is a change that an operator submitted, with the version it is based on.
type Proposal struct {
	// ID makes a proposal idempotent: a proposal that is sent again with the same
	// ID gets the result of the first one.
	ID ChangeID
	// Base is the version of the configuration that the operator read. A proposal
	// whose base is not the newest version is refused as a conflict.
	Base Version
	// Actor is the operator's name.
	Actor string
	// Reason is free text for the audit list, of at most MaxReasonBytes bytes.
	Reason string
	// UnixMilli is the wall-clock time of submission in milliseconds since the
	// Unix epoch. Only the audit list uses it.
	UnixMilli int64
	// Change is the change to apply.
	Change Change
}

// Committed is a proposal in the log of the control hosts, with the version of
// the configuration that includes it.
type Committed struct {
	Version  Version
	Proposal Proposal
}

// ResultKind is the kind of a proposal's result.
type ResultKind int

// Kinds of results of a proposal.
const (
	// ResultAccepted means that a majority of the control hosts and a majority of the seats hold the change.
	ResultAccepted ResultKind = iota + 1
	// ResultConflict means that the base of the proposal was not the newest version.
	ResultConflict
	// ResultInvalid means that the change contradicts the configuration or has a value out of range.
	ResultInvalid
	// ResultUnknown means that the change may still be accepted; send it again with the same ID.
	ResultUnknown
	// ResultNotLeader means that the host is not the leader, which alone takes changes.
	ResultNotLeader
	// ResultSuperseded means that a ReplaceContent changed nothing, because a
	// configuration of the same or a higher revision is in force.
	ResultSuperseded
)

// Result is the result of a proposal.
type Result struct {
	// ID is the ID of the proposal.
	ID   ChangeID
	Kind ResultKind
	// Version is the version that includes the change or, on a conflict, the newest version.
	Version Version
	// Message describes the fault and its remedy for kinds other than ResultAccepted.
	Message string
	// Leader is the control host that takes changes, for ResultNotLeader. It is empty if unknown.
	Leader HostID
}
