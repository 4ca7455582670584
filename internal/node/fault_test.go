package node

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/stretchr/testify/require"

	"tarragongauge.example/tarragongauge/internal/stub"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// Guards against a withdrawn key that still works on a host that cannot receive
// the withdrawal, and against evidence that leaves out that host.
func TestWithdrawalReachesHostBehindOneWayPartition(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 6)
	target, _ := f.addTarget("stockbook-1", stub.Behavior{})
	const isolated = 5
	f.waitStatus(isolated, http.StatusOK)
	f.dropIncoming(isolated, true)
	accepted := time.Now()
	f.applyChange(model.WithdrawWorkspace{Workspace: testShop})

	require.Eventually(t, func() bool {
		for i := range f.entries {
			if s := f.send(i, http.MethodGet, "/stock/a", "", "").status; s != http.StatusUnauthorized && s != http.StatusServiceUnavailable {
				return false
			}
		}
		return true
	}, withdrawalBound-time.Since(accepted), 20*time.Millisecond)
	ran := len(target.Journal())
	for i := range f.entries {
		got := f.send(i, http.MethodGet, "/stock/a", "", "")
		require.Equal(t, "not_run", got.outcome, "host %d", i)
	}
	require.Len(t, target.Journal(), ran, "a withdrawn workspace reached a target")

	require.Eventually(t, func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		ev, err := f.client.Silence(ctx, testShop)
		if err != nil || !ev.Proved {
			return false
		}
		require.Len(t, ev.Hosts, len(f.entries))
		return true
	}, 10*time.Second, 100*time.Millisecond)
}

// Guards against a request of a withdrawn workspace that continues because it was
// in flight when its host lost its links.
func TestCutOffHostCancelsRequestsInFlight(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 6)
	target, _ := f.addTarget("stockbook-1", stub.Behavior{})
	const isolated = 5
	f.waitStatus(isolated, http.StatusOK)
	f.applyChange(model.SetDefaults{Defaults: withDeadline(f.entries[isolated].host.Config().Defaults, time.Minute)})
	require.NoError(t, target.SetBehavior(stub.Behavior{DelayMS: 14000}))

	group := pond.NewResultPool[answer](1)
	defer group.StopAndWait()
	task := group.Submit(func() answer { return f.send(isolated, http.MethodGet, "/stock/slow", "", "") })
	require.Eventually(t, func() bool { return target.Running() > 0 }, 3*time.Second, 5*time.Millisecond)
	f.dropIncoming(isolated, true)
	begin := time.Now()

	got, err := task.Wait()
	require.NoError(t, err)
	require.Less(t, time.Since(begin), withdrawalBound+time.Second, "in flight past the bound")
	require.NotEqual(t, "not_run", got.outcome, "the request had reached a target")
}

func withDeadline(d model.Defaults, deadline time.Duration) model.Defaults {
	d.Deadline = deadline
	return d
}

// Guards against a fleet that stops serving while all control hosts are down, and
// against changes that are lost when all of them restart.
func TestControlOutageAndRestart(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 6)
	f.addTarget("stockbook-1", stub.Behavior{})
	before := f.entries[0].host.Config()
	for _, c := range f.controls {
		require.NoError(t, c.stop())
		c.stop = nil
	}
	away := time.Now()
	for time.Since(away) < 4*time.Second {
		for i := range f.entries {
			require.Equal(t, http.StatusOK, f.send(i, http.MethodGet, "/stock/a", "", "").status, "host %d after %s", i, time.Since(away))
		}
		time.Sleep(100 * time.Millisecond)
	}
	for _, c := range f.controls {
		f.startControl(c)
	}
	v := f.applyChange(model.CreateWorkspace{Workspace: "shop-8"})
	require.Greater(t, v, before.Version)
	f.waitInForce(v)
	_, exists := f.entries[0].host.Config().Workspaces.Get(testShop)
	require.True(t, exists)
}

// Guards against an order that runs twice when its caller sends it again through
// another host, and against a different order that is answered like the first one
// under the same key.
func TestOrderRunsOnceThroughAnyHost(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 6)
	target, _ := f.addTarget("stockbook-1", stub.Behavior{})
	orders := func() int {
		n := 0
		for _, e := range target.Journal() {
			if e.Ran && e.OrderKey == "order-1" {
				n++
			}
		}
		return n
	}
	first := f.send(0, http.MethodPost, "/orders", "order-1", "two pallets")
	require.Equal(t, http.StatusOK, first.status, first.body)
	require.Equal(t, "ran", first.outcome)
	require.NoError(t, f.controls[0].stop())
	f.controls[0].stop = nil
	for i := 1; i < len(f.entries); i++ {
		again := f.send(i, http.MethodPost, "/orders", "order-1", "two pallets")
		require.Equal(t, first.status, again.status, again.body)
		require.Equal(t, first.body, again.body)
	}
	other := f.send(2, http.MethodPost, "/orders", "order-1", "three pallets")
	require.Equal(t, http.StatusConflict, other.status)
	require.Equal(t, "not_run", other.outcome)
	require.Equal(t, 1, orders())
}

// Guards against a shutdown that aborts requests, also on a host that is a seat
// and owns shards.
func TestGracefulShutdownCompletesRequests(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 6)
	target, _ := f.addTarget("stockbook-1", stub.Behavior{})
	f.addTarget("stockbook-2", stub.Behavior{})
	f.waitStatus(1, http.StatusOK)
	require.NoError(t, target.SetBehavior(stub.Behavior{DelayMS: 500}))

	const callers = 4
	group := pond.NewResultPool[answer](callers)
	defer group.StopAndWait()
	var tasks []pond.ResultTask[answer]
	for range callers {
		tasks = append(tasks, group.Submit(func() answer { return f.send(1, http.MethodGet, "/stock/a", "", "") }))
	}
	require.Eventually(t, func() bool { return f.entries[1].host.server.ActiveRequests() > 0 }, 3*time.Second, time.Millisecond)
	require.NoError(t, f.entries[1].stop())
	f.entries[1].stop = nil
	for _, task := range tasks {
		got, err := task.Wait()
		require.NoError(t, err)
		require.NoError(t, got.err, "the shutdown cut a request off")
		require.Contains(t, []int{http.StatusOK, http.StatusServiceUnavailable}, got.status)
	}
	f.waitStatus(0, http.StatusOK)
}

// Guards against new requests for a target that announced that it leaves.
func TestLeavingTargetGetsNoNewWork(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 6)
	f.addTarget("stockbook-1", stub.Behavior{})
	leaving, leave := f.addTarget("stockbook-2", stub.Behavior{})
	require.Eventually(t, func() bool {
		f.send(0, http.MethodGet, "/stock/a", "", "")
		return len(leaving.Journal()) > 0
	}, 10*time.Second, 10*time.Millisecond)
	leave()
	time.Sleep(3 * time.Second)
	after := len(leaving.Journal())
	for i := range f.entries {
		for range 5 {
			require.Equal(t, http.StatusOK, f.send(i, http.MethodGet, "/stock/a", "", "").status)
		}
	}
	require.Len(t, leaving.Journal(), after)
}
