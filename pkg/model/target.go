package model

import "time"

// TargetState is what a target says of itself.
type TargetState int

// States a target announces.
const (
	TargetReady TargetState = iota + 1
	// TargetDraining finishes its requests and takes no new ones.
	TargetDraining
	// TargetLeaving is about to exit.
	TargetLeaving
)

// Announcement is a target's heartbeat.
type Announcement struct {
	Service ServiceName
	Target  TargetID
	// Addr is host:port by IP number.
	Addr        string
	Zone        ZoneName
	Slots       int
	Incarnation Incarnation
	State       TargetState
	// Load is the share of slots the target says are busy. It may lag or be wrong.
	Load float64
}

// EjectionCause is the kind of evidence that a target was ejected for.
type EjectionCause int

// Causes of an ejection.
const (
	CauseErrors EjectionCause = iota + 1
	CauseSlow
	CauseUnresponsive
	CauseCrash
)

// EjectionCauses returns all causes.
func EjectionCauses() []EjectionCause {
	return []EjectionCause{CauseErrors, CauseSlow, CauseUnresponsive, CauseCrash}
}

// String names a cause in reports and logs.
func (c EjectionCause) String() string {
	switch c {
	case CauseErrors:
		return "errors"
	case CauseSlow:
		return "slow"
	case CauseUnresponsive:
		return "unresponsive"
	case CauseCrash:
		return "crash"
	default:
		return "unknown"
	}
}

// AttemptEnd says how one attempt on a target ended.
type AttemptEnd int

// Ends of an attempt.
const (
	// AttemptOK is a whole answer that the target meant.
	AttemptOK AttemptEnd = iota + 1
	// AttemptError is a whole answer with a server error status (5xx).
	AttemptError
	// AttemptShed is an explicit answer that the target did not run the request.
	AttemptShed
	// AttemptNotSent means not a byte of the request was sent.
	AttemptNotSent
	// AttemptBroken means the connection ended before the whole answer.
	AttemptBroken
	// AttemptTimeout means the deadline passed before the whole answer.
	AttemptTimeout
	// AttemptCanceled means the caller went away.
	AttemptCanceled
	// AttemptInvalid is an answer that breaks the protocol or belongs to another request.
	AttemptInvalid
)

// String names an end in logs.
func (e AttemptEnd) String() string {
	switch e {
	case AttemptOK:
		return "ok"
	case AttemptError:
		return "error"
	case AttemptShed:
		return "shed"
	case AttemptNotSent:
		return "not_sent"
	case AttemptBroken:
		return "broken"
	case AttemptTimeout:
		return "timeout"
	case AttemptCanceled:
		return "canceled"
	case AttemptInvalid:
		return "invalid"
	default:
		return "unknown"
	}
}

// Failed reports whether an attempt that ended so speaks against its target.
func (e AttemptEnd) Failed() bool {
	switch e {
	case AttemptError, AttemptInvalid, AttemptBroken, AttemptNotSent, AttemptTimeout:
		return true
	default:
		return false
	}
}

// ProvablyNotRun reports whether an attempt that ended so cannot have run.
func (e AttemptEnd) ProvablyNotRun() bool {
	return e == AttemptShed || e == AttemptNotSent
}

// Attempt is the record of one attempt on a target.
type Attempt struct {
	Target      TargetID
	Incarnation Incarnation
	End         AttemptEnd
	// Latency runs from the first byte sent to the end of the answer.
	Latency time.Duration
}

// Outcome is what the fleet tells a caller about its request.
type Outcome int

// Outcomes. OutcomeNotRun is said only when it is certain.
const (
	OutcomeNotRun Outcome = iota + 1
	OutcomeUnknown
	OutcomeRan
)

// String returns the value of the outcome header.
func (o Outcome) String() string {
	switch o {
	case OutcomeNotRun:
		return "not_run"
	case OutcomeRan:
		return "ran"
	default:
		return "unknown"
	}
}
