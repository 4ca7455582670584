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

type recorder struct {
	mu   sync.Mutex
	seen []string
}

func (r *recorder) add(s string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seen = append(r.seen, s)
}

func (r *recorder) untilDone(name string) Task {
	return func(ctx context.Context) error {
		<-ctx.Done()
		r.add(name)
		return ctx.Err()
	}
}

// Guards against a clean-up that ends a task before the tasks that depend on it.
func TestStopsInReverseOrderOfStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &recorder{}
		tree, stop := New("root")
		tree.Go("a", r.untilDone("a"))
		child := tree.Child("mid")
		child.Go("b", r.untilDone("b"))
		child.Go("c", r.untilDone("c"))
		tree.Go("d", r.untilDone("d"))
		synctest.Wait()
		stop()
		require.Equal(t, []string{"d", "c", "b", "a"}, r.seen)
		require.NoError(t, tree.Wait())
		require.False(t, tree.Go("late", r.untilDone("late")), "a stopped tree must start nothing")
	})
}

// Guards against restarts in a tight loop and against a growing delay without a bound.
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

// Guards against a task that fails for ever while its process looks healthy,
// and against a panic that ends the process without the other tasks' clean-up.
func TestLimitOfRestartsFailsParents(t *testing.T) {
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
				tree.Go("first", r.untilDone("first"))
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
				require.Equal(t, []string{"first"}, r.seen)
			})
		})
	}
}

// Guards against a shutdown that hangs on one task, and against failures long
// ago counting towards the limit.
func TestStopTimeoutAndWindow(t *testing.T) {
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

// Guards against a process that goes on after its context ended, or that ends without naming its failure.
func TestRunEndsWithContextOrFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &recorder{}
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		tree, _ := New("root")
		tree.Go("a", r.untilDone("a"))
		require.NoError(t, tree.Run(ctx))
		require.Equal(t, []string{"a"}, r.seen)

		failing, _ := New("root", WithRestartLimit(0, time.Minute))
		failing.Go("a", r.untilDone("b"))
		failing.Go("bad", func(context.Context) error { return errors.New("bad") })
		require.True(t, IsErrTooManyRestarts(failing.Run(t.Context())))
		require.Equal(t, []string{"a", "b"}, r.seen)
	})
}
