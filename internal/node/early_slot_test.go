package node

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/stretchr/testify/require"

	"tarragongauge.example/tarragongauge/internal/lease"
	"tarragongauge.example/tarragongauge/internal/pool"
	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/internal/stub"
	"tarragongauge.example/tarragongauge/pkg/model"
)

func (f *fleet) delayLinks(d time.Duration) {
	for _, e := range f.entries {
		e.faults.SetDelay(d)
	}
}

// ownerOf returns the index of the entry host that owns a shard, by the placement
// of all hosts.
func (f *fleet) ownerOf(id model.ShardID) int {
	var members []proto.Member
	for _, e := range f.entries {
		members = append(members, proto.Member{Host: e.cfg.Host.Name, Role: proto.RoleEntry})
	}
	owner := lease.CandidateOwners(members)[id]
	return slices.IndexFunc(f.entries, func(e *testEntry) bool { return e.cfg.Host.Name == owner })
}

// remoteEntry returns the index of an entry host that owns neither the sample
// workspace nor the sample service.
func (f *fleet) remoteEntry() int {
	for i := range f.entries {
		if i != f.ownerOf(model.WorkspaceShard(testShop)) && i != f.ownerOf(model.ServiceShard("stockbook")) {
			return i
		}
	}
	f.t.Fatal("every entry host owns a shard of the sample")
	return 0
}

// measureLookups returns the sorted durations of requests at an entry host that
// has no token for them.
func (f *fleet) measureLookups(i, n int) []time.Duration {
	return samples(n, func() {
		got := f.send(i, http.MethodGet, "/stock/a", "", "")
		require.Equal(f.t, http.StatusOK, got.status, got.body)
	})
}

// Guards against a request of a small workspace that waits for a second round
// trip between processes: first for its token, then for its slot.
func TestTokenAndSlotTakeOneRoundTrip(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 6)
	f.addTarget("stockbook-1", stub.Behavior{})
	entry := f.remoteEntry()
	f.waitStatus(entry, http.StatusOK)
	const oneWay = 8 * time.Millisecond
	f.delayLinks(oneWay)
	time.Sleep(2 * time.Second) // for a second after a shortage of tokens, requests ask for the token and the slot in sequence
	require.Less(t, f.measureLookups(entry, 30)[0], 4*oneWay)
}

// Guards against slots that stay in use when their request is canceled or refused
// before its token arrives, and against refused requests that run.
func TestEarlySlotIsReturnedWithoutToken(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 6)
	target, _ := f.addTarget("stockbook-1", stub.Behavior{})
	entry := f.remoteEntry()
	f.waitStatus(entry, http.StatusOK)
	f.delayLinks(4 * time.Millisecond)
	time.Sleep(2 * time.Second)
	h := f.entries[entry].host
	for i := range 20 {
		ctx, cancel := context.WithCancel(context.Background())
		stop := time.AfterFunc(time.Duration(i)*time.Millisecond/2, cancel)
		want := pool.TargetRequested{Request: model.RequestID(fmt.Sprint("canceled-", i)), Service: "stockbook", Workspace: testShop}
		if _, got, err := h.AdmitAndAssign(ctx, want); err == nil && got != nil && got.OK {
			h.EndAttempt(pool.AttemptEnded{Request: got.Assigned.Request, Attempt: model.Attempt{End: model.AttemptCanceled}})
		}
		stop.Stop()
		cancel()
		time.Sleep(20 * time.Millisecond)
	}
	f.requireFreeSlots("slots of canceled requests")

	d := h.Config().Defaults
	d.Limits = model.Limits{Rate: 2, Burst: 4}
	f.waitInForce(f.applyChange(model.SetDefaults{Defaults: d}))
	time.Sleep(2 * time.Second)
	ran := len(target.Journal())
	group := pond.NewResultPool[answer](30)
	defer group.StopAndWait()
	var tasks []pond.ResultTask[answer]
	for range 30 {
		tasks = append(tasks, group.Submit(func() answer { return f.send(entry, http.MethodGet, "/stock/a", "", "") }))
	}
	served := 0
	for _, task := range tasks {
		got, err := task.Wait()
		require.NoError(t, err)
		if got.status == http.StatusOK {
			served++
			continue
		}
		require.Equal(t, http.StatusTooManyRequests, got.status, got.body)
		require.Equal(t, "not_run", got.outcome)
	}
	require.Positive(t, served)
	require.Less(t, served, 10)
	require.Len(t, target.Journal(), ran+served, "a refused request ran")
	f.requireFreeSlots("slots of refused requests")
}

// requireFreeSlots waits for a short time until no target of the sample service has a slot in use.
func (f *fleet) requireFreeSlots(what string) {
	f.t.Helper()
	h := f.entries[f.ownerOf(model.ServiceShard("stockbook"))].host
	require.Eventually(f.t, func() bool {
		inUse, targets := 0, 0
		h.poolOwner.read(func(now model.Instant) {
			for _, s := range h.poolOwnerCore.Status(now) {
				for _, target := range s.Targets {
					targets++
					inUse += target.InUse
				}
			}
		})
		return targets > 0 && inUse == 0
	}, time.Second, 10*time.Millisecond, what)
}

// Guards against requests of a small workspace that are refused within its rate
// for seconds because the owner of its bucket is lost without a handover.
func TestStandbyReserveServesAfterOwnerLoss(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 6)
	f.addTarget("stockbook-1", stub.Behavior{})
	d := f.entries[0].host.Config().Defaults
	d.Limits, d.Deadline = model.Limits{Rate: 4, Burst: 30}, 10*time.Second
	f.waitInForce(f.applyChange(model.SetDefaults{Defaults: d}))
	lost := f.ownerOf(model.WorkspaceShard(testShop))
	entry := (lost + 1) % len(f.entries)
	// The bucket fills from empty under the new limits: 8 requests need a reserve of 8 of its 29.
	time.Sleep(8 * time.Second)
	require.Equal(t, http.StatusOK, f.send(entry, http.MethodGet, "/stock/a", "", "").status)
	time.Sleep(time.Second)

	f.isolate(lost)
	group := pond.NewResultPool[answer](8)
	defer group.StopAndWait()
	var tasks []pond.ResultTask[answer]
	for range 8 {
		tasks = append(tasks, group.Submit(func() answer { return f.send(entry, http.MethodGet, "/stock/a", "", "") }))
	}
	for _, task := range tasks {
		got, err := task.Wait()
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, got.status, got.body)
	}
}

// isolate cuts a host off from all others in both directions.
func (f *fleet) isolate(i int) {
	f.dropIncoming(i, true)
	for _, e := range f.entries {
		f.entries[i].faults.DropTo(e.cfg.Host.Name, true)
	}
	for _, c := range f.controls {
		f.entries[i].faults.DropTo(c.cfg.Host.Name, true)
	}
}

// BenchmarkAddedLatency measures requests of a small workspace with 0.5 ms
// between processes, against requests that callers send to a target directly.
func BenchmarkAddedLatency(b *testing.B) {
	f := newFleet(b, 6)
	f.addTarget("stockbook-1", stub.Behavior{})
	target := "http://" + f.addrs.last() + "/stock/a"
	entry := f.remoteEntry()
	f.waitStatus(entry, http.StatusOK)
	f.delayLinks(500 * time.Microsecond)
	time.Sleep(2 * time.Second)
	for b.Loop() {
		const n = 300
		took := f.measureLookups(entry, n)
		direct := samples(n, func() { requireGet(b, target) })
		b.ReportMetric((took[n/2]-direct[n/2]).Seconds()*1e3, "added-p50-ms")
		b.ReportMetric((took[n*99/100]-direct[n*99/100]).Seconds()*1e3, "added-p99-ms")
		b.ReportMetric(direct[n/2].Seconds()*1e3, "direct-p50-ms")
		b.ReportMetric(direct[n*99/100].Seconds()*1e3, "direct-p99-ms")
	}
}

// samples returns the sorted durations of n calls of do.
func samples(n int, do func()) []time.Duration {
	var took []time.Duration
	for range n {
		begin := time.Now()
		do()
		took = append(took, time.Since(begin))
		time.Sleep(30 * time.Millisecond)
	}
	slices.Sort(took)
	return took
}

func requireGet(tb testing.TB, url string) {
	tb.Helper()
	resp, err := http.Get(url) //nolint:gosec // a stub target of this test
	require.NoError(tb, err)
	_, err = io.Copy(io.Discard, resp.Body)
	require.NoError(tb, errors.Join(err, resp.Body.Close()))
}
