// Package super runs the goroutines of a process as a tree of supervised tasks
// on pond groups. A task that fails or panics is started again after a growing
// delay; a task that fails too often ends its parent.
package super

import "context"

// Task runs until ctx ends. A nil error means it is done and not started again.
type Task func(ctx context.Context) error
