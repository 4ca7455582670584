package model

import (
	"errors"
	"fmt"
)

// ErrNotFound means that a change names something that does not exist.
type ErrNotFound struct {
	// Kind is the kind of the missing item as the command line calls it, such as workspace.
	Kind string
	Name string
}

func (e ErrNotFound) Error() string {
	return fmt.Sprintf("%s %q does not exist; list the existing ones with `tarragongauge %s list`", e.Kind, e.Name, e.Kind)
}

// IsErrNotFound reports whether err is or wraps an ErrNotFound.
func IsErrNotFound(err error) bool { return isA[ErrNotFound](err) }

// ErrExists means that a change adds something under a name that is in use.
type ErrExists struct {
	// Kind is the kind of the existing item, such as workspace.
	Kind string
	Name string
}

func (e ErrExists) Error() string {
	return fmt.Sprintf("%s %q already exists; choose another name", e.Kind, e.Name)
}

// IsErrExists reports whether err is or wraps an ErrExists.
func IsErrExists(err error) bool { return isA[ErrExists](err) }

// ErrWithdrawn means that a change refers to a workspace that was withdrawn.
type ErrWithdrawn struct{ Workspace WorkspaceID }

func (e ErrWithdrawn) Error() string {
	return fmt.Sprintf("workspace %q was withdrawn and cannot be used again; create a workspace with another name", e.Workspace)
}

// IsErrWithdrawn reports whether err is or wraps an ErrWithdrawn.
func IsErrWithdrawn(err error) bool { return isA[ErrWithdrawn](err) }

// ErrInvalid means that a value is malformed or out of range.
type ErrInvalid struct {
	// Field is the name of the value in the API and the settings.
	Field string
	// Got is the value that was read, as text.
	Got string
	// Want describes the values that are allowed.
	Want string
}

func (e ErrInvalid) Error() string {
	return fmt.Sprintf("%s is %s; it must be %s", e.Field, e.Got, e.Want)
}

// IsErrInvalid reports whether err is or wraps an ErrInvalid.
func IsErrInvalid(err error) bool { return isA[ErrInvalid](err) }

// ErrConflict means that a change was based on a version that is not the newest.
type ErrConflict struct {
	Base   Version
	Newest Version
}

func (e ErrConflict) Error() string {
	return fmt.Sprintf("the change is based on version %d but version %d is in force; read the configuration again and submit the change with base %d", e.Base, e.Newest, e.Newest)
}

// IsErrConflict reports whether err is or wraps an ErrConflict.
func IsErrConflict(err error) bool { return isA[ErrConflict](err) }

// isA reports whether err is or wraps an error of the type E.
func isA[E error](err error) bool {
	_, ok := errors.AsType[E](err)
	return ok
}
