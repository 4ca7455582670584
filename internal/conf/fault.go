package conf

import (
	"errors"
	"fmt"
	"strings"
)

// Fault describes one thing that is wrong with a settings file, and where.
type Fault struct {
	File string
	// Line is the line number, starting at 1, or 0 if the section or key is missing.
	Line    int
	Section string
	Key     string
	// Got is the text that was read, or empty if the value is missing.
	Got string
	// Want describes the allowed values. It may be empty.
	Want string
	// Detail explains the cause further. It may be empty.
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

// ErrSettings is the error for a settings file with faults. Faults lists all of
// them and is never empty.
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
