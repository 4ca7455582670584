package wire

import (
	"errors"
	"fmt"
)

// ErrTooLong tells that a frame exceeds MaxFrame.
type ErrTooLong struct{ Bytes int }

func (e ErrTooLong) Error() string {
	return fmt.Sprintf("frame of %d bytes exceeds the limit of %d bytes; send a smaller message", e.Bytes, MaxFrame)
}

// IsErrTooLong reports whether err is or wraps an ErrTooLong.
func IsErrTooLong(err error) bool {
	var e ErrTooLong
	return errors.As(err, &e)
}

// ErrUnknownKind tells that a message has no encoding in this version.
type ErrUnknownKind struct{ Kind string }

func (e ErrUnknownKind) Error() string {
	return fmt.Sprintf("message kind %s is unknown; run the same version of tarragongauge on all hosts", e.Kind)
}

// IsErrUnknownKind reports whether err is or wraps an ErrUnknownKind.
func IsErrUnknownKind(err error) bool {
	var e ErrUnknownKind
	return errors.As(err, &e)
}

// ErrMalformed tells that a frame is not an encoded envelope.
type ErrMalformed struct{ Cause error }

func (e ErrMalformed) Error() string {
	return fmt.Sprintf("malformed frame: %v; run the same version of tarragongauge on all hosts", e.Cause)
}

// Unwrap returns the cause.
func (e ErrMalformed) Unwrap() error { return e.Cause }

// IsErrMalformed reports whether err is or wraps an ErrMalformed.
func IsErrMalformed(err error) bool {
	var e ErrMalformed
	return errors.As(err, &e)
}
