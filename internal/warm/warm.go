// Package warm bounds the requests that reach a target which takes only a certain
// rate of them from the whole fleet: a cold target, which takes the warm-up rate of
// its service, and a target that names a rate in its answers.
//
// The owner of the service spends OwnerShare of the rate from a Bucket. Hosts that
// decide without an owner share the rest by a Turn each. Both hold at the same time,
// so that the rate is kept while some hosts hear the owner and others do not.
//
// The package is pure: it imports no clock, network, lock or random source.
package warm

import "time"

// Shares of the rate of a target.
const (
	// OwnerShare is the share that the owner of the service assigns.
	OwnerShare = 0.8
	// HostShare is the share of all hosts that decide without an owner, together.
	HostShare = 1 - OwnerShare
)

// MaxRemaining bounds the remaining cold time that is taken from a target, so that a
// wrong figure does not keep it at its warm-up rate for hours.
const MaxRemaining = 10 * time.Minute
