package entry

import "strings"

// HeaderNames are the headers between callers, entry hosts and targets, in canonical
// case. The zero value of a field other than Instance and KeyScheme is replaced
// by the default.
type HeaderNames struct {
	// RequestID identifies a request to its target.
	RequestID string
	// Deadline holds the time left in milliseconds.
	Deadline string
	// Workspace tells a target whose request it runs.
	Workspace string
	// NotRun marks a target's answer that says that the request was not run.
	NotRun string
	// Instance tells a target which one is meant, or is empty if targets do not check it.
	Instance string
	// KeyScheme is the scheme of the Authorization header that precedes a key.
	KeyScheme string
	// PassCallerIDs passes on the request ids that callers send, instead of new ones.
	PassCallerIDs bool
}

// DefaultHeaderNames are the names of the product's own interface.
func DefaultHeaderNames() HeaderNames {
	return HeaderNames{
		RequestID: headerRequestID,
		Deadline:  headerDeadline,
		Workspace: headerWorkspace,
		NotRun:    headerShed,
		KeyScheme: "Bearer",
	}
}

// controlled reports whether only the fleet may set a header.
func (n HeaderNames) controlled(name string) bool {
	if controlled(name) {
		return true
	}
	name = strings.ReplaceAll(name, "_", "-")
	for _, own := range []string{n.RequestID, n.Deadline, n.Workspace, n.NotRun, n.Instance} {
		if own != "" && strings.EqualFold(name, own) {
			return true
		}
	}
	return false
}

// WithHeaderNames replaces the names of headers.
func WithHeaderNames(n HeaderNames) Option {
	return func(s *settings) { s.names = n }
}

// WithStatusPromise makes the status alone tell the outcome, for callers that do
// not read the outcome header: 408, 421, 429 and 503 mean that the request was
// not run, and other errors of this host that it may have run.
func WithStatusPromise() Option {
	return func(s *settings) { s.promise = true }
}

// WithRetryFractions sends fractions of a second in Retry-After, for callers
// that read them.
func WithRetryFractions() Option {
	return func(s *settings) { s.fractions = true }
}

// WithEndlessAnswers takes answers that end with their connection. Such an
// answer is whole if the target closed the connection, not if it was reset.
func WithEndlessAnswers() Option {
	return func(s *settings) { s.endless = true }
}
