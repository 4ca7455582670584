// Package model holds the domain types shared by every tarragongauge process:
// identifiers, the fleet configuration and the changes that operators make to
// it. The types carry no encoding tags; package codec maps them by hand.
package model

import "time"

// HostID is the name of a host that runs a process of the fleet. It is unique in the fleet.
type HostID string

// ZoneName is the name of an availability zone.
type ZoneName string

// WorkspaceID is the name of a workspace. Isolation, rate limits and the evidence
// of a withdrawal are per workspace.
type WorkspaceID string

// KeyID is the name of a key, which does not reveal its secret.
type KeyID string

// ServiceName is the name of a service, a group of interchangeable targets.
type ServiceName string

// RouteName is the name of a route.
type RouteName string

// TargetID is the name of one target process of a service. It stays the same over restarts.
type TargetID string

// ChangeID identifies a proposed change. The operator's client chooses it and
// keeps it when it sends the change again.
type ChangeID string

// RequestID identifies a caller's request on its way from the entry host to the target.
type RequestID string

// Version is the version of a configuration: the log index of the last change
// that it includes. The log alone orders versions, not the time of a change.
type Version uint64

// Term is the number of an election of the control hosts. Each election has a higher term.
type Term uint64

// Epoch is the fencing token of a shard's owner. Messages of an earlier owner
// have a lower epoch and are refused.
type Epoch uint64

// ShardID is the number of an ownership shard, from 0 to Shards-1.
type ShardID uint32

// Incarnation identifies one run of the process of a host or target. A later run
// has a higher value.
type Incarnation uint64

// KeyHash is the SHA-256 digest of a secret, such as a caller's key. The secret
// itself is never stored.
type KeyHash [32]byte

// BodyHash is the SHA-256 digest of a request's method, path, query and body.
type BodyHash [32]byte

// Fingerprint is the same for requests of one workspace that are alike. It
// identifies requests that crash targets.
type Fingerprint uint64

// Instant is a reading of a host's monotonic clock in nanoseconds. Instants of
// different hosts are not comparable.
type Instant int64

// Add returns the instant d after i.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns the duration from o to i.
func (i Instant) Sub(o Instant) time.Duration { return time.Duration(i - o) }
