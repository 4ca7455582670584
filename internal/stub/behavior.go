// Package stub implements a target with failure modes, for tests and for trying out
// a fleet. The target records every request that it receives and whether the
// request ran, so that a test can compare the answers to callers with what happened.
package stub

import (
	"fmt"
	"time"
)

// Wrong is a way in which an answer violates the protocol. The name of the type stands
// in answers to a malformed Behavior, as does that of Report.
type Wrong string

// Kinds of wrong answers. A wrong answer takes no longer than a regular one and,
// except for WrongGarbage, has status 200.
const (
	// WrongID returns the id of another request in X-Request-Id.
	WrongID Wrong = "id"
	// WrongNoID omits X-Request-Id.
	WrongNoID Wrong = "no_id"
	// WrongTruncated closes the connection before the end of the body.
	WrongTruncated Wrong = "truncated"
	// WrongGarbage sends bytes that are not HTTP.
	WrongGarbage Wrong = "garbage"
	// WrongStray sends a second answer, which belongs to no request, after the first.
	WrongStray Wrong = "stray"
	// WrongBody sends a well-formed answer with an empty body.
	WrongBody Wrong = "body"
)

// Report selects what the health endpoint answers.
type Report string

// Answers of the health endpoint.
const (
	// HealthReportActual reports unhealthy while a failure mode is in effect.
	HealthReportActual  Report = ""
	HealthReportHealthy Report = "healthy"
	HealthReportFailing Report = "failing"
)

// Behavior configures how a target treats requests. The zero value is healthy and
// fast. The JSON form of a Behavior is the body of requests to the mode endpoint.
type Behavior struct {
	// DelayMS is the time in milliseconds added to each request.
	DelayMS int `json:"delay_ms,omitempty"`
	// ErrorShare is the share of requests that run and answer 500, between 0 and 1.
	ErrorShare float64 `json:"error_share,omitempty"`
	// WrongShare is the share of requests that run and get an answer of the kind in Wrong.
	WrongShare float64 `json:"wrong_share,omitempty"`
	Wrong      Wrong   `json:"wrong,omitempty"`
	// ShedShare is the share of requests that do not run and are answered with 503 and X-Shed: 1.
	ShedShare float64 `json:"shed_share,omitempty"`
	// DropShare is the share of requests that run and get no answer.
	DropShare float64 `json:"drop_share,omitempty"`
	// CrashPattern crashes the target at each request whose path, query or body contains it.
	CrashPattern string `json:"crash_pattern,omitempty"`
	// FlapMS is the period of flapping in milliseconds: the failures above occur
	// only in the first half of each period. 0 disables flapping.
	FlapMS int `json:"flap_ms,omitempty"`
	// ColdMS is the time in milliseconds after the start during which requests are
	// delayed, by ColdDelayMS at first and linearly less until the end of ColdMS.
	ColdMS      int `json:"cold_ms,omitempty"`
	ColdDelayMS int `json:"cold_delay_ms,omitempty"`
	// Slots is the maximum number of requests that run at once; further ones are
	// shed. 0 means no limit.
	Slots int `json:"slots,omitempty"`
	// Health and Load override the answers of the health and load endpoints. With
	// a nil Load the load endpoint reports the share of busy slots.
	Health Report   `json:"health,omitempty"`
	Load   *float64 `json:"load,omitempty"`
}

// ErrBehavior reports that a value of a Behavior is out of range. Field names the
// JSON field or the kind of field.
type ErrBehavior struct{ Field string }

func (e ErrBehavior) Error() string {
	return fmt.Sprintf("%s is out of range; shares are between 0 and 1, times and slots at least 0, and kinds are the documented ones", e.Field)
}

// Check returns an ErrBehavior if a value of the behavior is out of range.
func (b Behavior) Check() error {
	for field, share := range map[string]float64{
		"error_share": b.ErrorShare, "wrong_share": b.WrongShare, "shed_share": b.ShedShare, "drop_share": b.DropShare,
	} {
		if !(share >= 0 && share <= 1) {
			return ErrBehavior{Field: field}
		}
	}
	if min(b.DelayMS, b.FlapMS, b.ColdMS, b.ColdDelayMS, b.Slots) < 0 {
		return ErrBehavior{Field: "a time or slots"}
	}
	switch b.Wrong {
	case "", WrongID, WrongNoID, WrongTruncated, WrongGarbage, WrongStray, WrongBody:
	default:
		return ErrBehavior{Field: "wrong"}
	}
	switch b.Health {
	case HealthReportActual, HealthReportHealthy, HealthReportFailing:
		return nil
	default:
		return ErrBehavior{Field: "health"}
	}
}

// effectiveAt returns the behavior in effect at uptime after the start: in the
// second half of each flapping period, the behavior without its failures.
func (b Behavior) effectiveAt(uptime time.Duration) Behavior {
	period := milliseconds(b.FlapMS)
	if period > 0 && uptime%period >= period/2 {
		return Behavior{Slots: b.Slots, Health: b.Health, Load: b.Load, ColdMS: b.ColdMS, ColdDelayMS: b.ColdDelayMS}
	}
	return b
}

// delayAt returns the time added to a request that arrives at uptime after the start.
func (b Behavior) delayAt(uptime time.Duration) time.Duration {
	d := milliseconds(b.DelayMS)
	cold := milliseconds(b.ColdMS)
	if uptime < cold {
		d += time.Duration(float64(milliseconds(b.ColdDelayMS)) * float64(cold-uptime) / float64(cold))
	}
	return d
}

// hasFailureMode reports whether requests fail, are shed, crash the target or are delayed by DelayMS.
func (b Behavior) hasFailureMode() bool {
	return b.ErrorShare+b.WrongShare+b.ShedShare+b.DropShare > 0 || b.DelayMS > 0 || b.CrashPattern != ""
}

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }
