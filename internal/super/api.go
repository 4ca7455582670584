// Package super runs the goroutines of a process as a tree of supervised tasks
// on pond groups. A task that fails or panics is restarted with exponential
// backoff. A task that exceeds its restart limit fails its tree and all parents,
// which stops all tasks from the root on.
package super

import "context"

// Task is the function of a supervised task. It runs until its work is done or
// ctx ends. After a nil error the task is not restarted.
type Task func(ctx context.Context) error
