package super

import (
	"context"
	"runtime/debug"
	"time"

	"github.com/alitto/pond/v2"
)

// task is one supervised task with the pond group that runs it.
type task struct {
	tree   *Tree
	path   string
	run    Task
	group  pond.TaskGroup
	ctx    context.Context
	cancel context.CancelFunc
	// failures are the times of failures within the window.
	failures []time.Time
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
		tk.tree.opts.log.Info("task does not stop and is left behind", "task", tk.path, "timeout", tk.tree.opts.stopTimeout.String())
	}
}

// release ends the contexts of the task, which the pool would keep otherwise.
func (tk *task) release() {
	tk.cancel()
	tk.group.Stop()
}

// supervise runs the task until it is done, the tree stops or the limit of restarts is reached.
func (tk *task) supervise() {
	defer tk.release()
	defer tk.tree.remove(tk)
	for {
		err := tk.once()
		if tk.ctx.Err() != nil || err == nil {
			return
		}
		delay, ok := tk.failed(time.Now())
		if !ok {
			tk.giveUp(err)
			return
		}
		tk.tree.opts.log.Error(err, "task failed and is started again", "task", tk.path, "delay", delay.String())
		if !sleep(tk.ctx, delay) {
			return
		}
	}
}

func (tk *task) once() (err error) {
	defer func() {
		if v := recover(); v != nil {
			p := ErrPanic{Task: tk.path, Value: v, Stack: debug.Stack()}
			tk.tree.opts.log.Error(p, "task panicked", "task", tk.path, "stack", string(p.Stack))
			err = p
		}
	}()
	return tk.run(tk.ctx)
}

// failed counts a failure. It returns the delay before the next run, and false
// when the limit of restarts within the window is reached.
func (tk *task) failed(now time.Time) (time.Duration, bool) {
	o := tk.tree.opts
	recent := tk.failures[:0]
	for _, at := range tk.failures {
		if now.Sub(at) < o.window {
			recent = append(recent, at)
		}
	}
	tk.failures = append(recent, now)
	n := len(tk.failures)
	if n > o.restarts {
		return 0, false
	}
	delay := o.minDelay
	for i := 1; i < n && delay < o.maxDelay; i++ {
		delay *= 2
	}
	return min(delay, o.maxDelay), true
}

func (tk *task) giveUp(last error) {
	o := tk.tree.opts
	err := ErrTooManyRestarts{Task: tk.path, Restarts: o.restarts, Window: o.window, LastErr: last}
	o.log.Error(err, "tree fails", "tree", tk.tree.path)
	tk.tree.fail(err)
}

// sleep waits for d and reports whether ctx is still live.
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
