package super

import (
	"context"
	"runtime/debug"
	"time"

	"github.com/alitto/pond/v2"
)

// task is a supervised task with the pond group that runs it.
type task struct {
	tree   *Tree
	path   string
	run    Task
	group  pond.TaskGroup
	ctx    context.Context
	cancel context.CancelFunc
	// failureTimes are the times of the failures within the restart window.
	failureTimes []time.Time
}

func newTask(t *Tree, path string, run Task) *task {
	ctx, cancel := context.WithCancel(context.Background())
	return &task{tree: t, path: path, run: run, group: t.pool.NewGroup(), ctx: ctx, cancel: cancel}
}

func (tk *task) busy() bool { return true }

func (tk *task) stop() {
	tk.cancel()
	timer := time.NewTimer(tk.tree.opts.stopTimeout)
	defer timer.Stop()
	select {
	case <-tk.group.Done():
	case <-timer.C:
		tk.tree.opts.log.Info("task did not stop within the timeout and is left running", "task", tk.path, "timeout", tk.tree.opts.stopTimeout.String())
	}
}

// release cancels the contexts of the task and of its group, which the pool
// would otherwise keep.
func (tk *task) release() {
	tk.cancel()
	tk.group.Stop()
}

// supervise runs the task until it succeeds, the tree stops or the restart limit is exceeded.
func (tk *task) supervise() {
	defer tk.release()
	defer tk.tree.remove(tk)
	for {
		err := tk.runOnce()
		if tk.ctx.Err() != nil || err == nil {
			return
		}
		delay, ok := tk.recordFailure(time.Now())
		if !ok {
			tk.failTree(err)
			return
		}
		tk.tree.opts.log.Error(err, "task failed; restarting after the delay", "task", tk.path, "delay", delay.String())
		if !sleep(tk.ctx, delay) {
			return
		}
	}
}

func (tk *task) runOnce() (err error) {
	defer func() {
		if v := recover(); v != nil {
			p := ErrPanic{Task: tk.path, Value: v, Stack: debug.Stack()}
			tk.tree.opts.log.Error(p, "task panicked", "task", tk.path, "stack", string(p.Stack))
			err = p
		}
	}()
	return tk.run(tk.ctx)
}

// recordFailure counts a failure at now. It returns the delay before the next
// run, or false if the task has used up its restarts within the window.
func (tk *task) recordFailure(now time.Time) (time.Duration, bool) {
	o := tk.tree.opts
	recent := tk.failureTimes[:0]
	for _, at := range tk.failureTimes {
		if now.Sub(at) < o.restartWindow {
			recent = append(recent, at)
		}
	}
	tk.failureTimes = append(recent, now)
	n := len(tk.failureTimes)
	if n > o.maxRestarts {
		return 0, false
	}
	delay := o.minDelay
	for i := 1; i < n && delay < o.maxDelay; i++ {
		delay *= 2
	}
	return min(delay, o.maxDelay), true
}

func (tk *task) failTree(last error) {
	o := tk.tree.opts
	err := ErrTooManyRestarts{Task: tk.path, Restarts: o.maxRestarts, Window: o.restartWindow, LastErr: last}
	o.log.Error(err, "task tree failed: a task exceeded its restart limit", "tree", tk.tree.path)
	tk.tree.fail(err)
}

// sleep waits for d and reports whether ctx was still active at the end.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
