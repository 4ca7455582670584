package client

import (
	"errors"
	"fmt"

	"tarragongauge.example/tarragongauge/pkg/model"
	"tarragongauge.example/tarragongauge/pkg/opsapi"
)

// ErrConflict means that a change was not accepted because it was based on a
// version that is no longer the newest.
type ErrConflict struct{ Result model.Result }

func (e ErrConflict) Error() string {
	return fmt.Sprintf("change %s conflicts with version %d: %s", e.Result.ID, e.Result.Version, e.Result.Message)
}

// IsErrConflict reports whether err is or wraps an ErrConflict.
func IsErrConflict(err error) bool {
	var e ErrConflict
	return errors.As(err, &e)
}

// ErrInvalid means that a change was not accepted because it contradicts the configuration.
type ErrInvalid struct{ Result model.Result }

func (e ErrInvalid) Error() string {
	return fmt.Sprintf("change %s was refused: %s", e.Result.ID, e.Result.Message)
}

// IsErrInvalid reports whether err is or wraps an ErrInvalid.
func IsErrInvalid(err error) bool {
	var e ErrInvalid
	return errors.As(err, &e)
}

// ErrUnknown means that it is not known whether a change was or will be accepted.
type ErrUnknown struct {
	Change model.ChangeID
	Cause  error
}

func (e ErrUnknown) Error() string {
	return fmt.Sprintf("the result of change %s is unknown (%v); submit it again with the same change id", e.Change, e.Cause)
}

// Unwrap returns the error of the last attempt.
func (e ErrUnknown) Unwrap() error { return e.Cause }

// IsErrUnknown reports whether err is or wraps an ErrUnknown.
func IsErrUnknown(err error) bool {
	var e ErrUnknown
	return errors.As(err, &e)
}

// ErrUnreachable means that no control host could take the request. If the request
// was a change, it was not accepted.
type ErrUnreachable struct{ Cause error }

func (e ErrUnreachable) Error() string {
	return fmt.Sprintf("no control host could take the request (%v); check addresses in the client settings and that a majority of the control hosts runs", e.Cause)
}

// Unwrap returns the error of the last attempt.
func (e ErrUnreachable) Unwrap() error { return e.Cause }

// IsErrUnreachable reports whether err is or wraps an ErrUnreachable.
func IsErrUnreachable(err error) bool {
	var e ErrUnreachable
	return errors.As(err, &e)
}

// ErrFault means that a control host answered a request with a fault, for example
// because the token is unknown.
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

// IsErrUnauthorized reports whether err is or wraps an ErrFault for a missing or unknown token.
func IsErrUnauthorized(err error) bool { return isFault(err, opsapi.FaultUnauthorized) }

// isFault reports whether err is or wraps an ErrFault of one of the kinds.
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
