package client

import (
	"errors"
	"fmt"

	"tarragongauge.example/tarragongauge/pkg/model"
	"tarragongauge.example/tarragongauge/pkg/opsapi"
)

// ErrConflict tells that a change was based on a version that is not in force any more. It was not accepted.
type ErrConflict struct{ Result model.Result }

func (e ErrConflict) Error() string {
	return fmt.Sprintf("change %s conflicts with version %d: %s", e.Result.ID, e.Result.Version, e.Result.Message)
}

// IsErrConflict reports whether err is or wraps an ErrConflict.
func IsErrConflict(err error) bool {
	var e ErrConflict
	return errors.As(err, &e)
}

// ErrInvalid tells that a change contradicts the configuration. It was not accepted.
type ErrInvalid struct{ Result model.Result }

func (e ErrInvalid) Error() string {
	return fmt.Sprintf("change %s was refused: %s", e.Result.ID, e.Result.Message)
}

// IsErrInvalid reports whether err is or wraps an ErrInvalid.
func IsErrInvalid(err error) bool {
	var e ErrInvalid
	return errors.As(err, &e)
}

// ErrUnknown tells that a change may or may not be accepted, now or later.
type ErrUnknown struct {
	Change model.ChangeID
	Cause  error
}

func (e ErrUnknown) Error() string {
	return fmt.Sprintf("the result of change %s is unknown (%v); submit it again with the same change id", e.Change, e.Cause)
}

// Unwrap returns the newest cause.
func (e ErrUnknown) Unwrap() error { return e.Cause }

// IsErrUnknown reports whether err is or wraps an ErrUnknown.
func IsErrUnknown(err error) bool {
	var e ErrUnknown
	return errors.As(err, &e)
}

// ErrUnreachable tells that no control host answered. A change was not accepted.
type ErrUnreachable struct{ Cause error }

func (e ErrUnreachable) Error() string {
	return fmt.Sprintf("no control host answered (%v); check addresses in the client settings and that the control hosts run", e.Cause)
}

// Unwrap returns the newest cause.
func (e ErrUnreachable) Unwrap() error { return e.Cause }

// IsErrUnreachable reports whether err is or wraps an ErrUnreachable.
func IsErrUnreachable(err error) bool {
	var e ErrUnreachable
	return errors.As(err, &e)
}

// ErrFault tells that a control host did not accept the request itself.
type ErrFault struct {
	Host  model.HostID
	Fault opsapi.Fault
}

func (e ErrFault) Error() string {
	return fmt.Sprintf("control host %s: %s", e.Host, e.Fault.Message)
}

// IsErrFault reports whether err is or wraps an ErrFault.
func IsErrFault(err error) bool {
	var e ErrFault
	return errors.As(err, &e)
}

// IsErrUnauthorized reports whether err is or wraps an ErrFault for a token that is not known.
func IsErrUnauthorized(err error) bool { return isFault(err, opsapi.FaultUnauthorized) }

func isFault(err error, kinds ...opsapi.FaultKind) bool {
	var e ErrFault
	if !errors.As(err, &e) {
		return false
	}
	for _, k := range kinds {
		if e.Fault.Kind == k {
			return true
		}
	}
	return false
}
