// Package model holds the domain types shared by every tarragongauge process:
// identifiers, the fleet configuration and the changes that operators make to
// it. The types carry no encoding tags; package codec maps them by hand.
package model

import "time"

// HostID names one host that runs a process of the fleet. It is unique over the fleet.
type HostID string

// ZoneName names an availability zone.
type ZoneName string

// WorkspaceID names a workspace, the unit of isolation, rate and evidence.
type WorkspaceID string

// KeyID names a key without revealing it.
type KeyID string

// ServiceName names a group of interchangeable targets.
type ServiceName string

// RouteName names a routing rule.
type RouteName string

// TargetID names one target process of a service. It is stable over restarts.
type TargetID string

// ChangeID is chosen by the operator's client and identifies a change over resends.
type ChangeID string

// RequestID identifies one caller request from entry host to target.
type RequestID string

// Version is the log index of the last change a configuration includes.
// Versions are ordered by the log alone.
type Version uint64

// Term is an election term of the control hosts.
type Term uint64

// Epoch fences the messages of an earlier owner of a shard.
type Epoch uint64

// ShardID numbers an ownership shard.
type ShardID uint32

// Incarnation distinguishes successive runs of one host or target; a later run has a greater value.
type Incarnation uint64

// KeyHash is the SHA-256 digest of a key. The key itself is never stored.
type KeyHash [32]byte

// BodyHash is the SHA-256 digest of a request's method, path, query and body.
type BodyHash [32]byte

// Fingerprint identifies like requests of one workspace for crash detection.
type Fingerprint uint64

// Instant is a reading of one host's monotonic clock in nanoseconds.
// Instants of different hosts are never compared.
type Instant int64

// Add returns the instant d after i.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns the duration from o to i.
func (i Instant) Sub(o Instant) time.Duration { return time.Duration(i - o) }
