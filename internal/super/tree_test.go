package super

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// recorder records the names of tasks in the order in which they ended.
type recorder struct {
	mu    sync.Mutex
	names []string
}

func (r *recorder) add(s string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.names = append(r.names, s)
}

// untilCanceled returns a task that runs until its context is canceled and then
// records its name.
func (r *recorder) untilCanceled(name string) Task {
	return func(ctx context.Context) error {
		<-ctx.Done()
		r.add(name)
		return ctx.Err()
	}
}

// Guards against a shutdown that stops a task before the tasks that were started
// after it and may depend on it.
func TestStopEndsTasksInReverseStartOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &recorder{}
		tree, stop := New("root")
		tree.Go("a", r.untilCanceled("a"))
		child := tree.Child("mid")
		child.Go("b", r.untilCanceled("b"))
		child.Go("c", r.untilCanceled("c"))
		tree.Go("d", r.untilCanceled("d"))
		synctest.Wait()
		stop()
		require.Equal(t, []string{"d", "c", "b", "a"}, r.names)
		require.NoError(t, tree.Wait())
		require.False(t, tree.Go("late", r.untilCanceled("late")), "a stopped tree must start nothing")
	})
}

// Guards against restarts in a tight loop and against a backoff without a maximum.
func TestRestartDelayGrowsToBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		var at []time.Duration
		tree, stop := New("root", WithRestartDelay(time.Second, 3*time.Second), WithRestartLimit(10, time.Hour))
		defer stop()
		tree.Go("flaky", func(context.Context) error {
			at = append(at, time.Since(start))
			if len(at) < 5 {
				return errors.New("disk busy")
			}
			return nil
		})
		require.NoError(t, tree.Wait())
		require.Equal(t, []time.Duration{0, time.Second, 3 * time.Second, 6 * time.Second, 9 * time.Second}, at)
	})
}

// Guards against a task that fails forever while its process looks healthy, and
// against a panic that ends the process before the other tasks are stopped.
func TestRestartLimitFailsParentTrees(t *testing.T) {
	cause := errors.New("listener lost")
	tests := []struct {
		name  string
		run   Task
		check func(error) bool
	}{
		{"error", func(context.Context) error { return cause }, func(err error) bool { return errors.Is(err, cause) }},
		{"panic", func(context.Context) error { panic("nil map") }, IsErrPanic},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := &recorder{}
				tree, stop := New("root", WithRestartLimit(3, time.Minute))
				defer stop()
				tree.Go("first", r.untilCanceled("first"))
				runs := 0
				tree.Child("sub").Go("bad", func(ctx context.Context) error {
					runs++
					return tt.run(ctx)
				})
				err := tree.Wait()
				require.True(t, IsErrTooManyRestarts(err), "got %v", err)
				require.True(t, tt.check(err))
				require.Contains(t, err.Error(), "root/sub/bad")
				require.Equal(t, 4, runs)
				require.Equal(t, []string{"first"}, r.names)
			})
		})
	}
}

// Guards against a shutdown that hangs on one task, and against failures outside
// the restart window that count towards the limit.
func TestStopTimeoutAndRestartWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tree, stop := New("root", WithRestartLimit(1, time.Minute), WithStopTimeout(time.Second))
		release := make(chan struct{})
		runs := 0
		tree.Go("rare", func(ctx context.Context) error {
			runs++
			if runs == 4 {
				<-release
				return nil
			}
			time.Sleep(2 * time.Minute)
			return errors.New("rare")
		})
		time.Sleep(10 * time.Minute)
		synctest.Wait()
		require.Equal(t, 4, runs)
		stop()
		close(release)
		require.NoError(t, tree.Wait())
	})
}

// Guards against a tree that keeps running after its context has ended, and
// against a failed tree whose Run returns no error.
func TestRunEndsWithContextOrFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &recorder{}
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		tree, _ := New("root")
		tree.Go("a", r.untilCanceled("a"))
		require.NoError(t, tree.Run(ctx))
		require.Equal(t, []string{"a"}, r.names)

		failing, _ := New("root", WithRestartLimit(0, time.Minute))
		failing.Go("a", r.untilCanceled("b"))
		failing.Go("bad", func(context.Context) error { return errors.New("bad") })
		require.True(t, IsErrTooManyRestarts(failing.Run(t.Context())))
		require.Equal(t, []string{"a", "b"}, r.names)
	})
}
