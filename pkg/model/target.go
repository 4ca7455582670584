package model

import "time"

// TargetState is the state that a target announces.
type TargetState int

// States of a target.
const (
	// TargetReady means that the target takes requests.
	TargetReady TargetState = iota + 1
	// TargetDraining means that the target finishes its requests and takes no new ones.
	TargetDraining
	// TargetLeaving means that the target is about to exit.
	TargetLeaving
)

// MaxTargetSlots bounds the requests that one target may announce to take at once.
const MaxTargetSlots = 10_000

// Announcement is the heartbeat by which a target tells the fleet its address,
// capacity and state.
type Announcement struct {
	Service ServiceName
	Target  TargetID
	// Addr is the target's IP address and port.
	Addr string
	Zone ZoneName
	// Slots is the number of requests that the target runs at once.
	Slots       int
	Incarnation Incarnation
	State       TargetState
	// Load is the share of slots that are busy according to the target, which may be late or wrong.
	Load float64
	// ColdRemaining is how much longer the target is cold: slow, and able to take only
	// the warm-up rate of its service. In a list of targets it is 0 or ColdListed.
	ColdRemaining time.Duration
}

// ColdListed is the ColdRemaining of a cold target in a list of targets. Lists hold no
// remaining time, since each heartbeat would change them.
const ColdListed = time.Nanosecond

// maxColdMs bounds the cold time that a target may report, in milliseconds. A greater
// number could overflow and would then count as no cold time.
const maxColdMs = 3_600_000

// ColdTime returns the cold time that a target reports in milliseconds.
func ColdTime(ms float64) time.Duration {
	return time.Duration(min(max(0, ms), maxColdMs) * float64(time.Millisecond))
}

// Listed returns the announcement as lists of targets hold it: without the load, and
// with only whether the target is cold.
func (a Announcement) Listed() Announcement {
	a.Load = 0
	if a.ColdRemaining > 0 {
		a.ColdRemaining = ColdListed
	}
	return a
}

// Aged returns the announcement as it is to be read some time after it was received.
func (a Announcement) Aged(by time.Duration) Announcement {
	a.ColdRemaining = max(0, a.ColdRemaining-by)
	return a
}

// TargetRun identifies one run of a target's process, and a state of it.
type TargetRun struct {
	Target      TargetID
	Incarnation Incarnation
	State       TargetState
}

// Run returns the run and the state that the announcement is about.
func (a Announcement) Run() TargetRun {
	return TargetRun{Target: a.Target, Incarnation: a.Incarnation, State: a.State}
}

// IsBefore reports whether the run, in its state, precedes another run or state of
// the same target.
func (r TargetRun) IsBefore(other TargetRun) bool {
	return r.Incarnation < other.Incarnation || r.Incarnation == other.Incarnation && r.State < other.State
}

// EjectionCause is the reason why a target was ejected.
type EjectionCause int

// Causes of an ejection.
const (
	// CauseErrors is a high share of failed attempts.
	CauseErrors EjectionCause = iota + 1
	// CauseSlow is a latency that is too high.
	CauseSlow
	// CauseUnresponsive is a target that no longer answers.
	CauseUnresponsive
	// CauseCrash is a crash of the target's process.
	CauseCrash
)

// EjectionCauses returns all causes of an ejection.
func EjectionCauses() []EjectionCause {
	return []EjectionCause{CauseErrors, CauseSlow, CauseUnresponsive, CauseCrash}
}

// String returns the name of the cause in reports and logs.
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

// AttemptEnd is the way in which an attempt to run a request on a target ended.
type AttemptEnd int

// Ends of an attempt.
const (
	// AttemptOK means that the target answered completely, without a server error.
	AttemptOK AttemptEnd = iota + 1
	// AttemptError means that the target answered completely, with a server error status (5xx).
	AttemptError
	// AttemptShed means that the target answered explicitly that it did not run the request.
	AttemptShed
	// AttemptNotSent means that no byte of the request was sent.
	AttemptNotSent
	// AttemptBroken means that the connection ended before the answer was complete.
	AttemptBroken
	// AttemptTimeout means that the deadline passed before the answer was complete.
	AttemptTimeout
	// AttemptCanceled means that the caller canceled the request.
	AttemptCanceled
	// AttemptInvalid means that the answer violates the protocol or belongs to another request.
	AttemptInvalid
)

// String returns the name of the end in logs.
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

// Failed reports whether the attempt counts as a failure of its target.
func (e AttemptEnd) Failed() bool {
	switch e {
	case AttemptError, AttemptInvalid, AttemptBroken, AttemptNotSent, AttemptTimeout:
		return true
	default:
		return false
	}
}

// HasAnswer reports whether the target sent a complete answer to the request.
func (e AttemptEnd) HasAnswer() bool { return e == AttemptOK || e == AttemptError }

// ProvablyNotRun reports whether it is certain that the target did not run the
// request of the attempt.
func (e AttemptEnd) ProvablyNotRun() bool {
	return e == AttemptShed || e == AttemptNotSent
}

// Attempt is the record of an attempt to run a request on a target.
type Attempt struct {
	Target      TargetID
	Incarnation Incarnation
	End         AttemptEnd
	// Latency is the time from the first byte sent to the end of the answer.
	Latency time.Duration
	// Notice is what the target's answer says of the target.
	Notice TargetNotice
}

// Outcome tells a caller whether a target ran its request.
type Outcome int

// Outcomes of a request.
const (
	// OutcomeNotRun means that it is certain that no target ran the request.
	OutcomeNotRun Outcome = iota + 1
	// OutcomeUnknown means that a target may have run the request.
	OutcomeUnknown
	// OutcomeRan means that a target ran the request.
	OutcomeRan
)

// String returns the outcome as the value of the response header that reports it.
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
