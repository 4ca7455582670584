package super

import (
	"errors"
	"fmt"
	"time"
)

// ErrTooManyRestarts reports that a task failed more often than its tree allows.
type ErrTooManyRestarts struct {
	// Task is the path of the task from the root of the tree.
	Task string
	// Restarts is the maximum number of restarts within Window.
	Restarts int
	Window   time.Duration
	// LastErr is the error of the last run of the task.
	LastErr error
}

func (e ErrTooManyRestarts) Error() string {
	return fmt.Sprintf("task %s failed again after %d restarts within %s: %v; remove the cause and restart the process", e.Task, e.Restarts, e.Window, e.LastErr)
}

// Unwrap returns the error of the last run of the task.
func (e ErrTooManyRestarts) Unwrap() error { return e.LastErr }

// IsErrTooManyRestarts reports whether err is or wraps an ErrTooManyRestarts.
func IsErrTooManyRestarts(err error) bool {
	var e ErrTooManyRestarts
	return errors.As(err, &e)
}

// ErrPanic reports that a run of a task panicked.
type ErrPanic struct {
	// Task is the path of the task from the root of the tree.
	Task string
	// Value is the value that the task passed to panic.
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
