// Package stub is a target with failure modes for tests and first trials. It
// records every request that it runs, so that a test can compare what callers
// were told with what happened.
package stub

import (
	"fmt"
	"time"
)

// WrongAnswer names a way in which an answer breaks the protocol.
type WrongAnswer string

// Kinds of wrong answers. Each is sent fast and with status 200.
const (
	// WrongID echoes the id of another request.
	WrongID WrongAnswer = "id"
	// WrongNoID echoes no id.
	WrongNoID WrongAnswer = "no_id"
	// WrongTruncated ends the connection before the end of the body.
	WrongTruncated WrongAnswer = "truncated"
	// WrongGarbage is not HTTP.
	WrongGarbage WrongAnswer = "garbage"
	// WrongStray appends a second answer that belongs to no request.
	WrongStray WrongAnswer = "stray"
	// WrongBody is well-formed and carries an empty body.
	WrongBody WrongAnswer = "body"
)

// HealthReport says what the health endpoint answers.
type HealthReport string

// Reports of the health endpoint.
const (
	// HealthReportActual is unhealthy while a failure mode is in effect.
	HealthReportActual  HealthReport = ""
	HealthReportHealthy HealthReport = "healthy"
	HealthReportFailing HealthReport = "failing"
)

// Behavior is how a target treats requests. The zero value is healthy and
// fast. Its JSON form is the body of the mode endpoint; durations are in
// milliseconds there.
type Behavior struct {
	// DelayMS is added to each request.
	DelayMS int `json:"delay_ms,omitempty"`
	// ErrorShare is the share of requests that run and answer 500, between 0 and 1.
	ErrorShare float64 `json:"error_share,omitempty"`
	// WrongShare is the share of requests that run and get a Wrong answer.
	WrongShare float64     `json:"wrong_share,omitempty"`
	Wrong      WrongAnswer `json:"wrong,omitempty"`
	// ShedShare is the share of requests that are not run and answered with 503 and X-Shed: 1.
	ShedShare float64 `json:"shed_share,omitempty"`
	// DropShare is the share of requests that run and get no answer.
	DropShare float64 `json:"drop_share,omitempty"`
	// CrashPattern crashes the target at each request whose path, query or body contains it.
	CrashPattern string `json:"crash_pattern,omitempty"`
	// FlapMS is the period of flapping: the failures above hold in the first half of each period only.
	FlapMS int `json:"flap_ms,omitempty"`
	// ColdMS is how long after the start requests are slowed, by ColdDelayMS at first and then linearly less.
	ColdMS      int `json:"cold_ms,omitempty"`
	ColdDelayMS int `json:"cold_delay_ms,omitempty"`
	// Slots bounds the requests that run at once; further ones are shed. 0 is unbounded.
	Slots int `json:"slots,omitempty"`
	// Health and Load mislead the health and load endpoints. A nil Load is the truth.
	Health HealthReport `json:"health,omitempty"`
	Load   *float64     `json:"load,omitempty"`
}

// ErrBehavior tells that a behavior is out of range.
type ErrBehavior struct{ Field string }

func (e ErrBehavior) Error() string {
	return fmt.Sprintf("%s is out of range; shares are between 0 and 1, times and slots at least 0, and kinds are the documented ones", e.Field)
}

// Check returns an ErrBehavior for a value out of range.
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

// at returns the behavior in effect a time after the start.
func (b Behavior) at(age time.Duration) Behavior {
	period := milliseconds(b.FlapMS)
	if period > 0 && age%period >= period/2 {
		return Behavior{Slots: b.Slots, Health: b.Health, Load: b.Load, ColdMS: b.ColdMS, ColdDelayMS: b.ColdDelayMS}
	}
	return b
}

// delay returns the added time of a request a time after the start.
func (b Behavior) delay(age time.Duration) time.Duration {
	d := milliseconds(b.DelayMS)
	cold := milliseconds(b.ColdMS)
	if age < cold {
		d += time.Duration(float64(milliseconds(b.ColdDelayMS)) * float64(cold-age) / float64(cold))
	}
	return d
}

// failing reports whether a failure mode is in effect.
func (b Behavior) failing() bool {
	return b.ErrorShare+b.WrongShare+b.ShedShare+b.DropShare > 0 || b.DelayMS > 0 || b.CrashPattern != ""
}

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }
