package model

import "time"

// Limits bounds the requests of a workspace over the whole fleet.
type Limits struct {
	// Rate is in requests per second and is greater than zero.
	Rate float64
	// Burst is in requests, at least 2 and at least 1 plus a twentieth of Rate.
	Burst float64
}

// Objective is a service-level objective.
type Objective struct {
	// Availability is the share of requests that must succeed, between 0 and 1 exclusive.
	Availability float64
	// Latency is the bound that LatencyShare of the requests must meet.
	Latency time.Duration
	// LatencyShare is between 0 and 1 exclusive.
	LatencyShare float64
}

// Defaults are the fleet-wide settings that hold wherever no Exception does.
type Defaults struct {
	Limits Limits
	// Deadline bounds a request from its arrival to the end of its answer.
	Deadline time.Duration
	// RetryShare is the share of a service's requests that may be retried, between 0 and 1.
	RetryShare float64
	// Floor is the share of a service's announced capacity that ejection never goes below, between 0 and 1.
	Floor float64
	// Slots is the number of requests a target runs at once when its announcement names none.
	Slots int
	// Connections bounds the connections to one target over the whole fleet.
	Connections int
	// QueueLimit bounds the requests of one workspace that wait for slots of one service.
	QueueLimit int
	Objective  Objective
}

// Workspace is a customer's unit of isolation.
type Workspace struct {
	ID WorkspaceID
	// Withdrawn is never reset: a withdrawn workspace keeps its name and never runs again.
	Withdrawn bool
	// WithdrawnAt is the version that withdrew it, or 0.
	WithdrawnAt Version
}

// Key ties the hash of a secret to a workspace.
type Key struct {
	ID        KeyID
	Workspace WorkspaceID
	Hash      KeyHash
}

// Service is a group of targets that run the same requests.
type Service struct {
	Name ServiceName
	// AnnounceHash is the digest of the secret that targets of this service announce with.
	AnnounceHash KeyHash
	// HealthPath is the path that health probes of the targets ask for, or empty for the default.
	HealthPath string
	// Connections bounds the connections to one target over the whole fleet, or is 0 for the default.
	Connections int
}

// Route maps requests to a service.
type Route struct {
	Name RouteName
	// Host is the host name that the route belongs to, in lower case and without
	// a port, or empty for all hosts. Routes of the request's host come first.
	Host string
	// PathPrefix starts with a slash. The longest matching prefix wins.
	PathPrefix string
	// Methods is empty when the route takes every method.
	Methods []string
	Service ServiceName
	// Split divides the requests among several services, or is empty. Service is
	// then the first of them.
	Split []Share
	// Open routes need no key.
	Open bool
	// Idempotent routes may be retried after a request may have run.
	Idempotent bool
	// RequireOrderKey refuses requests without an Idempotency-Key header.
	RequireOrderKey bool
	// Attempts bounds the targets that one request is sent to, or is 0 for the bound of the host.
	Attempts int
	// Timeout bounds a request as Defaults.Deadline does, or is 0 for that.
	Timeout time.Duration
	// Objective is the time within which an answer is of full use, or 0 if none is set.
	Objective time.Duration
	// Priority ranks the route; 0 is the most urgent.
	Priority int
}

// Override is the setting an Exception replaces. It is a sealed interface.
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

// Exception is a deviation from the defaults with its written reason.
type Exception struct {
	ID string
	// Reason is never empty.
	Reason   string
	Override Override
}

// Config is one version of the fleet configuration. A Config and everything
// reachable from it is immutable; With methods and Apply return copies.
type Config struct {
	Version Version
	// Revision is the operator's number of the whole configuration in force, or 0.
	Revision Revision
	// Document is that configuration as the operator wrote it. Only control hosts hold it.
	Document   []byte
	Defaults   Defaults
	Workspaces Workspaces
	// Keys holds only keys that may be used: withdrawal removes them.
	Keys       Keys
	Services   Index[ServiceName, Service]
	Routes     Routes
	Exceptions Exceptions
	// Seats are the hosts that confirm versions and grant leases.
	Seats []HostID
	// Controls are the voting control hosts.
	Controls []HostID
}
