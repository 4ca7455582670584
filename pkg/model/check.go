package model

import (
	"cmp"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Bounds of names and durations.
const (
	MaxNameLength  = 64
	MinDeadline    = 10 * time.Millisecond
	MaxDeadline    = 10 * time.Minute
	MaxReasonBytes = 1000
	MinBurst       = 2
	// minBurstSeconds is the part of the rate that the burst must exceed, so
	// that a drawn token stays valid for more than a round trip.
	minBurstSeconds = 0.05
)

// valid returns an ErrInvalid unless ok.
func valid(ok bool, field string, got any, want string) error {
	if ok {
		return nil
	}
	return ErrInvalid{Field: field, Got: fmt.Sprint(got), Want: want}
}

// checkBetween includes both bounds. A value that is not a number is outside.
func checkBetween[T cmp.Ordered](field string, v, least, most T, want string) error {
	return valid(v >= least && v <= most, field, v, want)
}

// checkName allows letters, digits, dot, dash and underscore, starting with a letter or digit.
func checkName(field, name string) error {
	ok := name != "" && len(name) <= MaxNameLength
	for i, c := range name {
		ok = ok && isNameRune(c, i == 0)
	}
	return valid(ok, field, strconv.Quote(name), fmt.Sprintf("1 to %d letters, digits, '.', '-' or '_', starting with a letter or digit", MaxNameLength))
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
	least := max(MinBurst, 1+l.Rate*minBurstSeconds)
	return cmp.Or(
		valid(l.Rate > 0 && l.Rate <= 1e6, "rate", l.Rate, "more than 0 and at most 1,000,000 requests per second"),
		checkBetween("burst", l.Burst, least, 1e7, fmt.Sprintf("between %g and 10,000,000 requests at this rate", least)),
	)
}

// Check returns an ErrInvalid if the objective is out of range.
func (o Objective) Check() error {
	return cmp.Or(
		valid(o.Availability > 0 && o.Availability < 1, "availability", o.Availability, "a share between 0 and 1, such as 0.999"),
		valid(o.LatencyShare > 0 && o.LatencyShare < 1, "latency_share", o.LatencyShare, "a share between 0 and 1, such as 0.99"),
		checkDeadline("latency", o.Latency),
	)
}

func checkDeadline(field string, d time.Duration) error {
	return checkBetween(field, d, MinDeadline, MaxDeadline, fmt.Sprintf("between %s and %s", MinDeadline, MaxDeadline))
}

func checkShare(field string, v float64) error {
	return checkBetween(field, v, 0, 1, "a share between 0 and 1")
}

func checkCount(field string, n, most int) error {
	return checkBetween(field, n, 1, most, fmt.Sprintf("between 1 and %d", most))
}

// Check returns an ErrInvalid if a default is out of range.
func (d Defaults) Check() error {
	return cmp.Or(
		d.Limits.Check(),
		checkDeadline("deadline", d.Deadline),
		checkShare("retry_share", d.RetryShare),
		checkShare("floor", d.Floor),
		checkCount("slots", d.Slots, 10000),
		checkCount("connections", d.Connections, 100000),
		checkCount("queue_limit", d.QueueLimit, 100000),
		d.Objective.Check(),
	)
}

// Check returns an ErrInvalid if the route is malformed by itself.
func (r Route) Check() error {
	path := strings.HasPrefix(r.PathPrefix, "/") && !strings.ContainsAny(r.PathPrefix, "?# \t\r\n")
	err := cmp.Or(
		checkName("route", string(r.Name)),
		valid(path, "path_prefix", strconv.Quote(r.PathPrefix), "a path that starts with '/', without query or spaces"),
	)
	for _, m := range r.Methods {
		err = cmp.Or(err, valid(m != "" && strings.ToUpper(m) == m, "methods", strconv.Quote(m), "HTTP methods in capitals, such as GET"))
	}
	return cmp.Or(
		err,
		valid(!r.Idempotent || !r.RequireOrderKey, "require_order_key", true, "false on an idempotent route, which needs no order key"),
		valid(!strings.ContainsAny(r.Host, "/?# \t\r\n"), "host", strconv.Quote(r.Host), "a host name without a scheme or path"),
		checkBetween("attempts", r.Attempts, 0, 100, "between 0 and 100"),
		r.checkSplit(),
		r.checkTimes(),
	)
}

// Check returns an ErrInvalid if the exception is malformed by itself.
func (e Exception) Check() error {
	reason := strings.TrimSpace(e.Reason) != "" && len(e.Reason) <= MaxReasonBytes
	return cmp.Or(
		checkName("exception", e.ID),
		valid(reason, "reason", fmt.Sprintf("%d bytes long", len(e.Reason)), fmt.Sprintf("a written reason of 1 to %d bytes", MaxReasonBytes)),
		checkValue(e.Override),
	)
}

// checkValue returns an ErrInvalid if the value that an override sets is out of range.
func checkValue(o Override) error {
	switch o := o.(type) {
	case LimitsOverride:
		return o.Limits.Check()
	case DeadlineOverride:
		return checkDeadline("deadline", o.Deadline)
	case FloorOverride:
		return checkShare("floor", o.Floor)
	case ObjectiveOverride:
		return o.Objective.Check()
	default:
		return noOverride()
	}
}

func noOverride() error {
	return ErrInvalid{Field: "override", Got: "missing", Want: "one of limits, deadline, floor, objective"}
}
