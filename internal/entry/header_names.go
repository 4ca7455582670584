package entry

import "strings"

// HeaderNames holds the names of the headers between callers, entry hosts and
// targets, in canonical case. Start from DefaultHeaderNames.
type HeaderNames struct {
	// RequestID identifies a request to its target.
	RequestID string
	// Deadline holds the time until the deadline of the request in milliseconds.
	Deadline string
	// Workspace names to a target the workspace of the request.
	Workspace string
	// NotRun marks an answer of a target that did not run the request.
	NotRun string
	// Instance names the target that is meant. It is empty if targets do not check it.
	Instance string
	// TargetLeaving is 1 in the answers of a target that is about to exit. It is
	// empty if targets do not say so.
	TargetLeaving string
	// TargetRate names in an answer the requests per second that the target takes
	// from the whole fleet. It is empty if targets name none.
	TargetRate string
	// TargetCold holds in an answer how many milliseconds longer the target is cold. It
	// is empty if targets do not say so.
	TargetCold string
	// KeyScheme is the scheme that precedes a key in the header Authorization.
	KeyScheme string
	// PassCallerIDs is set to use the request ids that callers send instead of new ones.
	PassCallerIDs bool
}

// DefaultHeaderNames returns the header names of the product's own interface.
func DefaultHeaderNames() HeaderNames {
	return HeaderNames{
		RequestID: headerRequestID,
		Deadline:  headerDeadline,
		Workspace: headerWorkspace,
		NotRun:    headerShed,

		TargetLeaving: headerTargetLeaving,
		TargetRate:    headerTargetRate,
		TargetCold:    headerTargetCold,
		KeyScheme:     "Bearer",
	}
}

// isReserved reports whether only the fleet may set a header towards targets,
// either by its default name or by the name in n.
func (n HeaderNames) isReserved(name string) bool {
	if isReservedHeader(name) {
		return true
	}
	name = strings.ReplaceAll(name, "_", "-")
	for _, reserved := range []string{n.RequestID, n.Deadline, n.Workspace, n.NotRun, n.Instance} {
		if reserved != "" && strings.EqualFold(name, reserved) {
			return true
		}
	}
	return false
}

// WithHeaderNames replaces the names of headers, which are DefaultHeaderNames
// otherwise.
func WithHeaderNames(n HeaderNames) Option {
	return func(s *settings) { s.headerNames = n }
}

// WithStatusPromise makes the status alone show whether a request was run, for
// callers that do not read the outcome header: 408, 421, 429 and 503 mean that it
// was not run, and other errors of this host that it may have been.
func WithStatusPromise() Option {
	return func(s *settings) { s.statusPromise = true }
}

// WithRetryFractions sends Retry-After with fractions of a second, for callers
// that can read them. By default whole seconds are sent, as RFC 9110 requires.
func WithRetryFractions() Option {
	return func(s *settings) { s.retryFractions = true }
}

// WithEndlessAnswers accepts answers that have neither a length nor chunks and so
// end with their connection. Such an answer counts as complete if the target
// closed the connection, but not if the connection was reset.
func WithEndlessAnswers() Option {
	return func(s *settings) { s.endlessAnswers = true }
}
