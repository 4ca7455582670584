package model

import (
	"fmt"
	"strings"
	"time"
)

// Bounds of names and durations.
const (
	MaxNameLength = 64
	MinDeadline   = 10 * time.Millisecond
	MaxDeadline   = 10 * time.Minute
	MaxReason     = 1000
	MinBurst      = 2
	// minBurstSeconds is the part of the rate that the burst must exceed, so
	// that a drawn token stays valid for more than a round trip.
	minBurstSeconds = 0.05
)

// checkName allows letters, digits, dot, dash and underscore, starting with a letter or digit.
func checkName(field, name string) error {
	want := fmt.Sprintf("1 to %d letters, digits, '.', '-' or '_', starting with a letter or digit", MaxNameLength)
	if name == "" || len(name) > MaxNameLength {
		return ErrInvalid{Field: field, Got: fmt.Sprintf("%q", name), Want: want}
	}
	for i, c := range name {
		if isNameRune(c, i == 0) {
			continue
		}
		return ErrInvalid{Field: field, Got: fmt.Sprintf("%q", name), Want: want}
	}
	return nil
}

func isNameRune(c rune, first bool) bool {
	switch {
	case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		return true
	case c == '.' || c == '-' || c == '_':
		return !first
	default:
		return false
	}
}

// Check returns an ErrInvalid if the limits are out of range.
func (l Limits) Check() error {
	if !(l.Rate > 0 && l.Rate <= 1e6) {
		return ErrInvalid{Field: "rate", Got: fmt.Sprint(l.Rate), Want: "more than 0 and at most 1,000,000 requests per second"}
	}
	least := max(MinBurst, 1+l.Rate*minBurstSeconds)
	if !(l.Burst >= least && l.Burst <= 1e7) {
		return ErrInvalid{Field: "burst", Got: fmt.Sprint(l.Burst), Want: fmt.Sprintf("between %g and 10,000,000 requests at this rate", least)}
	}
	return nil
}

// Check returns an ErrInvalid if the objective is out of range.
func (o Objective) Check() error {
	if !(o.Availability > 0 && o.Availability < 1) {
		return ErrInvalid{Field: "availability", Got: fmt.Sprint(o.Availability), Want: "a share between 0 and 1, such as 0.999"}
	}
	if !(o.LatencyShare > 0 && o.LatencyShare < 1) {
		return ErrInvalid{Field: "latency_share", Got: fmt.Sprint(o.LatencyShare), Want: "a share between 0 and 1, such as 0.99"}
	}
	return checkDeadline("latency", o.Latency)
}

func checkDeadline(field string, d time.Duration) error {
	if d < MinDeadline || d > MaxDeadline {
		return ErrInvalid{Field: field, Got: d.String(), Want: fmt.Sprintf("between %s and %s", MinDeadline, MaxDeadline)}
	}
	return nil
}

func checkShare(field string, v float64) error {
	if !(v >= 0 && v <= 1) {
		return ErrInvalid{Field: field, Got: fmt.Sprint(v), Want: "a share between 0 and 1"}
	}
	return nil
}

func checkCount(field string, n, most int) error {
	if n < 1 || n > most {
		return ErrInvalid{Field: field, Got: fmt.Sprint(n), Want: fmt.Sprintf("between 1 and %d", most)}
	}
	return nil
}

// Check returns an ErrInvalid if a default is out of range.
func (d Defaults) Check() error {
	checks := []error{
		d.Limits.Check(),
		checkDeadline("deadline", d.Deadline),
		checkShare("retry_share", d.RetryShare),
		checkShare("floor", d.Floor),
		checkCount("slots", d.Slots, 10000),
		checkCount("connections", d.Connections, 100000),
		checkCount("queue_limit", d.QueueLimit, 100000),
		d.Objective.Check(),
	}
	return firstError(checks)
}

func firstError(errs []error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// Check returns an ErrInvalid if the route is malformed by itself.
func (r Route) Check() error {
	if err := checkName("route", string(r.Name)); err != nil {
		return err
	}
	if !strings.HasPrefix(r.PathPrefix, "/") || strings.ContainsAny(r.PathPrefix, "?# \t\r\n") {
		return ErrInvalid{Field: "path_prefix", Got: fmt.Sprintf("%q", r.PathPrefix), Want: "a path that starts with '/', without query or spaces"}
	}
	for _, m := range r.Methods {
		if m == "" || strings.ToUpper(m) != m {
			return ErrInvalid{Field: "methods", Got: fmt.Sprintf("%q", m), Want: "HTTP methods in capitals, such as GET"}
		}
	}
	if r.Idempotent && r.RequireOrderKey {
		return ErrInvalid{Field: "require_order_key", Got: "true", Want: "false on an idempotent route, which needs no order key"}
	}
	return nil
}

// Check returns an ErrInvalid if the exception is malformed by itself.
func (e Exception) Check() error {
	if err := checkName("exception", e.ID); err != nil {
		return err
	}
	if strings.TrimSpace(e.Reason) == "" || len(e.Reason) > MaxReason {
		return ErrInvalid{Field: "reason", Got: fmt.Sprintf("%d bytes long", len(e.Reason)), Want: fmt.Sprintf("a written reason of 1 to %d bytes", MaxReason)}
	}
	switch o := e.Override.(type) {
	case LimitsOverride:
		return o.Limits.Check()
	case DeadlineOverride:
		return checkDeadline("deadline", o.Deadline)
	case FloorOverride:
		return checkShare("floor", o.Floor)
	case ObjectiveOverride:
		return o.Objective.Check()
	default:
		return ErrInvalid{Field: "override", Got: "missing", Want: "one of limits, deadline, floor, objective"}
	}
}
