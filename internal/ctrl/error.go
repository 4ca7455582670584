package ctrl

import "errors"

// ErrIncomplete tells that what the disk held is not a snapshot and the entries that follow it.
type ErrIncomplete struct{}

func (ErrIncomplete) Error() string {
	return "the control log does not continue its snapshot; move the data folder away and restart this host with an empty one, so that it copies the state from the leader"
}

// IsErrIncomplete reports whether err is or wraps an ErrIncomplete.
func IsErrIncomplete(err error) bool {
	var e ErrIncomplete
	return errors.As(err, &e)
}
