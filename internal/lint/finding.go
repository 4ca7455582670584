// Package lint checks a whole configuration before it is sent. It is pure: it reads
// no file, clock or network.
package lint

import (
	"fmt"
	"strings"
)

// Severity is how grave a finding is.
type Severity int

// Severities of findings. An Error would be refused by the fleet or could not be
// read; a Warning is accepted and probably not meant.
const (
	Warning Severity = iota + 1
	Error
)

// String returns the severity as it is printed.
func (s Severity) String() string {
	switch s {
	case Warning:
		return "warning"
	case Error:
		return "error"
	default:
		return fmt.Sprintf("severity %d", int(s))
	}
}

// Finding is one fault of a configuration.
type Finding struct {
	Severity Severity
	// Section is the list or object of the document, such as routes, or empty for
	// the whole document.
	Section string
	// Entry is the name of the entry in the section, or its position as in [2] if it
	// has none, or empty.
	Entry string
	// Key is the value within the entry, or empty for the whole entry.
	Key string
	// Text says what is wrong and what is allowed.
	Text string
}

// String returns the finding in one line.
func (f Finding) String() string {
	parts := []string{f.Severity.String()}
	if f.Section != "" {
		parts = append(parts, strings.TrimSpace(f.Section+" "+f.Entry))
	}
	if f.Key != "" {
		parts = append(parts, f.Key)
	}
	return strings.Join(append(parts, f.Text), ": ")
}

// Worst returns the gravest severity, or 0 without findings.
func Worst(list []Finding) Severity {
	var worst Severity
	for _, f := range list {
		worst = max(worst, f.Severity)
	}
	return worst
}
