package super

import (
	"errors"
	"fmt"
	"time"
)

// ErrTooManyRestarts tells that a task failed more often than its tree allows.
type ErrTooManyRestarts struct {
	// Task is the path of the task from the root of the tree.
	Task     string
	Restarts int
	Window   time.Duration
	// LastErr is the error of the last run.
	LastErr error
}

func (e ErrTooManyRestarts) Error() string {
	return fmt.Sprintf("task %s failed again after %d restarts within %s: %v; remove the cause and start the process again", e.Task, e.Restarts, e.Window, e.LastErr)
}

// Unwrap returns the error of the last run.
func (e ErrTooManyRestarts) Unwrap() error { return e.LastErr }

// IsErrTooManyRestarts reports whether err is or wraps an ErrTooManyRestarts.
func IsErrTooManyRestarts(err error) bool {
	var e ErrTooManyRestarts
	return errors.As(err, &e)
}

// ErrPanic is the error of a run that ended in a panic.
type ErrPanic struct {
	Task  string
	Value any
	Stack []byte
}

func (e ErrPanic) Error() string {
	return fmt.Sprintf("task %s panicked: %v; report this with the stack in the log", e.Task, e.Value)
}

// IsErrPanic reports whether err is or wraps an ErrPanic.
func IsErrPanic(err error) bool {
	var e ErrPanic
	return errors.As(err, &e)
}
