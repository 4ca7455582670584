package ctrl

import "errors"

// ErrIncompleteLog is returned by New when the disk does not hold a snapshot
// together with all entries that follow it.
type ErrIncompleteLog struct{}

func (ErrIncompleteLog) Error() string {
	return "the control log does not continue its snapshot; move the data folder away and restart this host with an empty one, so that it copies the state from the leader"
}

// IsErrIncompleteLog reports whether err is or wraps an ErrIncompleteLog.
func IsErrIncompleteLog(err error) bool {
	var e ErrIncompleteLog
	return errors.As(err, &e)
}
