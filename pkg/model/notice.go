package model

import "time"

// TargetNotice is what a target says of itself in the header of an answer. The zero
// value is an answer that says nothing.
type TargetNotice struct {
	// Leaving is set if the target is about to exit and wants no new requests.
	Leaving bool
	// Moved is set if another process answered at the target's address, so that the
	// target has ended or has another address by now.
	Moved bool
	// Limited is set if the target names a rate. Rate is the number of requests per
	// second that it takes from the whole fleet, for as long as its answers name it.
	Limited bool
	Rate    float64
	// Pause is the time for which the target wants no further request from the host
	// that it answered, or 0.
	Pause time.Duration
	// ReportsCold is set if the target says whether it is cold. ColdRemaining is how
	// much longer it is, or 0 if it is not.
	ReportsCold   bool
	ColdRemaining time.Duration
}
