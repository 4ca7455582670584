package wire

import (
	"errors"
	"fmt"
)

// ErrTooLong is returned for a frame that exceeds MaxFrame. Bytes is its length.
type ErrTooLong struct{ Bytes int }

func (e ErrTooLong) Error() string {
	return fmt.Sprintf("frame of %d bytes exceeds the limit of %d bytes; send a smaller message", e.Bytes, MaxFrame)
}

// IsErrTooLong reports whether err is or wraps an ErrTooLong.
func IsErrTooLong(err error) bool {
	var e ErrTooLong
	return errors.As(err, &e)
}

// ErrUnknownKind is returned for a message that has no encoding in this version.
// Kind is the number from the frame, or the Go type of a message to be encoded.
type ErrUnknownKind struct{ Kind string }

func (e ErrUnknownKind) Error() string {
	return fmt.Sprintf("message kind %s is unknown; run the same version of tarragongauge on all hosts", e.Kind)
}

// IsErrUnknownKind reports whether err is or wraps an ErrUnknownKind.
func IsErrUnknownKind(err error) bool {
	var e ErrUnknownKind
	return errors.As(err, &e)
}

// ErrMalformed is returned for a frame that is not an encoded envelope.
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
