package model

import "time"

// Limits are the parameters of the token bucket that limits the requests of a
// workspace over the whole fleet.
type Limits struct {
	// Rate is the number of requests per second, greater than 0 and at most 1e6.
	Rate float64
	// Burst is the size of the bucket in requests, at least MinBurst, at least 1 + Rate/20 and at most 1e7.
	Burst float64
}

// Objective is the service-level objective of a service.
type Objective struct {
	// Availability is the share of requests that must succeed, between 0 and 1 exclusive.
	Availability float64
	// Latency is the time within which LatencyShare of the requests must be answered.
	Latency time.Duration
	// LatencyShare is the share of requests that must be answered within Latency, between 0 and 1 exclusive.
	LatencyShare float64
}

// Defaults are the fleet-wide settings, which apply unless an Exception or a
// setting of the service, route or announcement replaces them.
type Defaults struct {
	// Limits apply to each workspace without limits of its own.
	Limits Limits
	// Deadline is the maximum time from the arrival of a request to the end of its answer.
	Deadline time.Duration
	// RetryShare is the share of a service's requests that may be retried, between 0 and 1.
	RetryShare float64
	// Floor is the share of a service's announced capacity that ejection never goes below, between 0 and 1.
	Floor float64
	// Slots is the number of requests that a target runs at once if its announcement does not say.
	Slots int
	// Connections is the maximum number of connections to one target over the whole fleet.
	Connections int
	// QueueLimit is the maximum number of requests of one workspace that wait for slots of one service.
	QueueLimit int
	// Objective applies to each service without an objective of its own.
	Objective Objective
}

// Workspace is a unit of isolation that belongs to one customer.
type Workspace struct {
	ID WorkspaceID
	// Withdrawn is set once and never reset: requests of a withdrawn workspace are
	// refused permanently and its name is not used again.
	Withdrawn bool
	// WithdrawnAt is the version that withdrew the workspace, or 0 if it is not withdrawn.
	WithdrawnAt Version
}

// Key authorizes callers that present a secret to send requests of a workspace.
// Only the digest of the secret is stored.
type Key struct {
	// ID is unique within the workspace.
	ID        KeyID
	Workspace WorkspaceID
	// Hash is the digest of the secret.
	Hash KeyHash
}

// Service is a group of interchangeable targets that run the same requests.
type Service struct {
	Name ServiceName
	// AnnounceHash is the digest of the secret that targets of the service present in their announcements.
	AnnounceHash KeyHash
	// HealthPath is the HTTP path of health probes to the targets, or empty for the default path.
	HealthPath string
	// Connections is the maximum number of connections to one target over the whole fleet, or 0 for the default.
	Connections int
	// ColdStart is how long a target is cold after its start, and WarmupRate the number
	// of requests per second that a cold target takes from the whole fleet. Both are 0
	// for a service whose cold targets need no protection.
	ColdStart  time.Duration
	WarmupRate float64
}

// Route maps the requests that match a host, a path prefix and a method to a service or several.
type Route struct {
	Name RouteName
	// Host is the host name of the requests that the route matches, in lower case
	// and without a port, or empty for any host. A route with the host of a
	// request takes precedence over routes for any host.
	Host string
	// PathPrefix starts with a slash. The route with the longest matching prefix takes precedence.
	PathPrefix string
	// Methods are the HTTP methods that the route matches, in capitals, or empty for all methods.
	Methods []string
	// Service receives the requests of the route. If Split is set, Service is its first service.
	Service ServiceName
	// Split divides the requests of the route among several services, or is empty
	// if Service receives them all.
	Split []Share
	// Open is set if requests of the route need no key.
	Open bool
	// Idempotent is set if a request of the route may be retried although it may have run already.
	Idempotent bool
	// RequireOrderKey is set if requests without an Idempotency-Key header are refused.
	RequireOrderKey bool
	// Attempts is the maximum number of targets that one request is sent to, or 0 for the maximum of the entry host.
	Attempts int
	// Timeout replaces Defaults.Deadline for the route, or is 0.
	Timeout time.Duration
	// Objective is the time within which an answer is of full use to the caller, or 0 if none is set.
	Objective time.Duration
	// Priority orders routes by urgency; 0 is the most urgent.
	Priority int
}

// Override is a setting with the value that an Exception gives it. The
// interface is sealed: only types of this package implement it.
type Override interface{ isOverride() }

// LimitsOverride replaces the rate and burst of a workspace.
type LimitsOverride struct {
	Workspace WorkspaceID
	Limits    Limits
}

// DeadlineOverride replaces the deadline of a route.
type DeadlineOverride struct {
	Route    RouteName
	Deadline time.Duration
}

// FloorOverride replaces the capacity floor of a service.
type FloorOverride struct {
	Service ServiceName
	Floor   float64
}

// ObjectiveOverride replaces the objective of a service.
type ObjectiveOverride struct {
	Service   ServiceName
	Objective Objective
}

func (LimitsOverride) isOverride()    {}
func (DeadlineOverride) isOverride()  {}
func (FloorOverride) isOverride()     {}
func (ObjectiveOverride) isOverride() {}

// Exception replaces a default for one workspace, route or service and holds the
// operator's reason for it.
type Exception struct {
	ID string
	// Reason is the written reason, 1 to MaxReasonBytes bytes long.
	Reason string
	// Override is the setting that is replaced, with its value.
	Override Override
}

// Config is one version of the fleet configuration. A Config and everything
// reachable from it is immutable; With methods and Apply return copies.
type Config struct {
	Version Version
	// Revision is the revision of the last ReplaceContent that was applied, or 0 if there was none.
	Revision Revision
	// Document is the last applied ReplaceContent as the operator wrote it. Only control hosts hold it.
	Document   []byte
	Defaults   Defaults
	Workspaces Workspaces
	// Keys holds the keys that callers may use. Withdrawn keys are removed.
	Keys       Keys
	Services   Index[ServiceName, Service]
	Routes     Routes
	Exceptions Exceptions
	// Priorities holds the workspaces to which operators gave a priority.
	Priorities Index[WorkspaceID, WorkspacePriority]
	// Evacuated lists the availability zones, in ascending order, whose targets get no
	// more requests.
	Evacuated []ZoneName
	// Seats are the hosts that, by majority, confirm versions and grant leases.
	Seats []HostID
	// Controls are the voting control hosts.
	Controls []HostID
}
