package model

import (
	"cmp"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Bounds of values in a configuration.
const (
	// MaxNameLength is the maximum length of a name or ID in bytes.
	MaxNameLength = 64
	// MinDeadline is the lower bound of deadlines, timeouts and latency objectives.
	MinDeadline = 10 * time.Millisecond
	// MaxDeadline is the upper bound of deadlines, timeouts and latency objectives.
	MaxDeadline = 10 * time.Minute
	// MaxReasonBytes is the maximum length of the written reason of a proposal or an exception.
	MaxReasonBytes = 1000
	// MinBurst is the lower bound of the burst at any rate, in requests.
	MinBurst = 2
	// minBurstSeconds is the time for which the burst, less one request, must
	// cover the rate, so that a drawn token stays valid for more than a round trip.
	minBurstSeconds = 0.05
)

// invalidUnless returns an ErrInvalid for the field unless ok is set.
func invalidUnless(ok bool, field string, got any, want string) error {
	if ok {
		return nil
	}
	return ErrInvalid{Field: field, Got: fmt.Sprint(got), Want: want}
}

// checkRange returns an ErrInvalid unless v is between lower and upper, both
// included. NaN is out of range.
func checkRange[T cmp.Ordered](field string, v, lower, upper T, want string) error {
	return invalidUnless(v >= lower && v <= upper, field, v, want)
}

// checkName returns an ErrInvalid unless a name consists of 1 to MaxNameLength
// letters, digits, dots, dashes and underscores and starts with a letter or digit.
func checkName(field, name string) error {
	ok := name != "" && len(name) <= MaxNameLength
	for i, c := range name {
		ok = ok && isNameRune(c, i == 0)
	}
	return invalidUnless(ok, field, strconv.Quote(name), fmt.Sprintf("1 to %d letters, digits, '.', '-' or '_', starting with a letter or digit", MaxNameLength))
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
	minBurst := max(MinBurst, 1+l.Rate*minBurstSeconds)
	return cmp.Or(
		invalidUnless(l.Rate > 0 && l.Rate <= 1e6, "rate", l.Rate, "more than 0 and at most 1,000,000 requests per second"),
		checkRange("burst", l.Burst, minBurst, 1e7, fmt.Sprintf("between %g and 10,000,000 requests at this rate", minBurst)),
	)
}

// Check returns an ErrInvalid if the objective is out of range.
func (o Objective) Check() error {
	return cmp.Or(
		invalidUnless(o.Availability > 0 && o.Availability < 1, "availability", o.Availability, "a share between 0 and 1, such as 0.999"),
		invalidUnless(o.LatencyShare > 0 && o.LatencyShare < 1, "latency_share", o.LatencyShare, "a share between 0 and 1, such as 0.99"),
		checkDeadline("latency", o.Latency),
	)
}

func checkDeadline(field string, d time.Duration) error {
	return checkRange(field, d, MinDeadline, MaxDeadline, fmt.Sprintf("between %s and %s", MinDeadline, MaxDeadline))
}

func checkShare(field string, v float64) error {
	return checkRange(field, v, 0, 1, "a share between 0 and 1")
}

func checkCount(field string, n, upper int) error {
	return checkRange(field, n, 1, upper, fmt.Sprintf("between 1 and %d", upper))
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

// Check returns an ErrInvalid if a value of the route is out of range. It does
// not check whether the services of the route exist.
func (r Route) Check() error {
	validPath := strings.HasPrefix(r.PathPrefix, "/") && !strings.ContainsAny(r.PathPrefix, "?# \t\r\n")
	err := cmp.Or(
		checkName("route", string(r.Name)),
		invalidUnless(validPath, "path_prefix", strconv.Quote(r.PathPrefix), "a path that starts with '/', without query or spaces"),
	)
	for _, m := range r.Methods {
		err = cmp.Or(err, invalidUnless(m != "" && strings.ToUpper(m) == m, "methods", strconv.Quote(m), "HTTP methods in capitals, such as GET"))
	}
	return cmp.Or(
		err,
		invalidUnless(!r.Idempotent || !r.RequireOrderKey, "require_order_key", true, "false on an idempotent route, which needs no order key"),
		invalidUnless(!strings.ContainsAny(r.Host, "/?# \t\r\n"), "host", strconv.Quote(r.Host), "a host name without a scheme or path"),
		checkRange("attempts", r.Attempts, 0, 100, "between 0 and 100"),
		r.checkSplit(),
		r.checkDurations(),
	)
}

// checkWarmup returns an ErrInvalid if the cold start or the warm-up rate of the
// service is out of range.
func (s Service) checkWarmup() error {
	return cmp.Or(
		checkRange("cold_start", s.ColdStart, 0, MaxDeadline, fmt.Sprintf("between 0 and %s", MaxDeadline)),
		checkRange("warmup_rate", s.WarmupRate, 0, 1e6, "between 0, for no bound, and 1,000,000 requests per second"),
	)
}

// Check returns an ErrInvalid if a value of the exception is out of range. It
// does not check whether the workspace, route or service exists.
func (e Exception) Check() error {
	validReason := strings.TrimSpace(e.Reason) != "" && len(e.Reason) <= MaxReasonBytes
	return cmp.Or(
		checkName("exception", e.ID),
		invalidUnless(validReason, "reason", fmt.Sprintf("%d bytes long", len(e.Reason)), fmt.Sprintf("a written reason of 1 to %d bytes", MaxReasonBytes)),
		checkOverrideValue(e.Override),
	)
}

// checkOverrideValue returns an ErrInvalid if the value that an override sets is out of range.
func checkOverrideValue(o Override) error {
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
		return missingOverrideError()
	}
}

// missingOverrideError returns the ErrInvalid for an exception without an override.
func missingOverrideError() error {
	return ErrInvalid{Field: "override", Got: "missing", Want: "one of limits, deadline, floor, objective"}
}
