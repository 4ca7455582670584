package store

import (
	"errors"
	"fmt"
)

// ErrDamaged is returned if a file is missing or cut short, or if bytes that
// were once synced no longer match their checksum.
type ErrDamaged struct {
	File   string
	Offset int64
	Reason string
}

func (e ErrDamaged) Error() string {
	return fmt.Sprintf("file %q is damaged at byte %d: %s; move the data folder away and restart this host with an empty one, so that it copies the state from the other hosts", e.File, e.Offset, e.Reason)
}

// IsErrDamaged reports whether err is or wraps an ErrDamaged.
func IsErrDamaged(err error) bool {
	var e ErrDamaged
	return errors.As(err, &e)
}

// ErrFormat is returned if a file has the format of another version of this package.
type ErrFormat struct {
	File string
	Got  uint32
	Want uint32
}

func (e ErrFormat) Error() string {
	return fmt.Sprintf("file %q has format %d but this version reads format %d; start the version of tarragongauge that wrote it", e.File, e.Got, e.Want)
}

// IsErrFormat reports whether err is or wraps an ErrFormat.
func IsErrFormat(err error) bool {
	var e ErrFormat
	return errors.As(err, &e)
}

// ErrLocked is returned if another process uses the data folder.
type ErrLocked struct{ Dir string }

func (e ErrLocked) Error() string {
	return fmt.Sprintf("data folder %q is in use by another process; stop that process or choose another folder", e.Dir)
}

// IsErrLocked reports whether err is or wraps an ErrLocked.
func IsErrLocked(err error) bool {
	var e ErrLocked
	return errors.As(err, &e)
}

// ErrWriteFailed is returned if this or an earlier write or sync failed, or if the
// store is closed. What the failed call wrote may or may not be on the disk.
type ErrWriteFailed struct{ Cause error }

func (e ErrWriteFailed) Error() string {
	return fmt.Sprintf("the data folder can no longer be trusted: %v; check the disk, then restart this host, with an empty data folder if the disk lost data", e.Cause)
}

// Unwrap returns the error of the first write or sync that failed.
func (e ErrWriteFailed) Unwrap() error { return e.Cause }

// IsErrWriteFailed reports whether err is or wraps an ErrWriteFailed.
func IsErrWriteFailed(err error) bool {
	var e ErrWriteFailed
	return errors.As(err, &e)
}

// ErrTooLarge is returned if a record, the records of one Append to a Log
// together, or a snapshot exceed MaxRecordBytes. Nothing was written.
type ErrTooLarge struct{ Size int }

func (e ErrTooLarge) Error() string {
	return fmt.Sprintf("record of %d bytes exceeds the limit of %d; split it", e.Size, MaxRecordBytes)
}

// IsErrTooLarge reports whether err is or wraps an ErrTooLarge.
func IsErrTooLarge(err error) bool {
	var e ErrTooLarge
	return errors.As(err, &e)
}
