package conf

import (
	"errors"
	"fmt"
	"strings"
)

// Fault is one thing wrong with a settings file.
type Fault struct {
	File string
	// Line counts from 1; it is 0 for what is missing from the file.
	Line    int
	Section string
	Key     string
	// Got is what was read, or empty if nothing was.
	Got string
	// Want says what is allowed.
	Want string
	// Detail says more about the cause, or is empty.
	Detail string
}

func (f Fault) Error() string {
	var b strings.Builder
	b.WriteString(f.File)
	if f.Line > 0 {
		fmt.Fprintf(&b, ":%d", f.Line)
	}
	b.WriteString(": ")
	if f.Section != "" {
		fmt.Fprintf(&b, "[%s] ", f.Section)
	}
	if f.Key != "" {
		b.WriteString(f.Key + " ")
	}
	if f.Got == "" {
		b.WriteString("is missing or empty")
	} else {
		fmt.Fprintf(&b, "is %q", f.Got)
	}
	if f.Detail != "" {
		fmt.Fprintf(&b, " (%s)", f.Detail)
	}
	if f.Want != "" {
		fmt.Fprintf(&b, "; allowed: %s", f.Want)
	}
	return b.String()
}

// ErrSettings lists every fault of a settings file. It is never empty.
type ErrSettings struct{ Faults []Fault }

func (e ErrSettings) Error() string {
	lines := make([]string, 0, len(e.Faults))
	for _, f := range e.Faults {
		lines = append(lines, f.Error())
	}
	return strings.Join(lines, "\n")
}

// IsErrSettings reports whether err is or wraps an ErrSettings.
func IsErrSettings(err error) bool {
	var e ErrSettings
	return errors.As(err, &e)
}
