package node

import (
	"math"
	"os"
	"path/filepath"
	"runtime/metrics"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tarragongauge.example/tarragongauge/internal/ctrl"
	"tarragongauge.example/tarragongauge/internal/lease"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// margins records the least time that was left of any lease, and of any host's
// freshness, when they were renewed.
type margins struct {
	mu                 sync.Mutex
	minLeaseMargin     time.Duration
	minFreshnessMargin time.Duration
	gainedCount        int
	lostCount          int
	freshUntil         map[model.HostID]model.Instant
	leaseUntil         map[model.HostID]map[model.ShardID]model.Instant
}

func newMargins() *margins {
	return &margins{minLeaseMargin: math.MaxInt64, minFreshnessMargin: math.MaxInt64, freshUntil: map[model.HostID]model.Instant{}, leaseUntil: map[model.HostID]map[model.ShardID]model.Instant{}}
}

// watch records the renewals on a host that starts.
func (m *margins) watch(h *entryHost) {
	m.mu.Lock()
	defer m.mu.Unlock()
	host := h.self.Host
	delete(m.freshUntil, host)
	m.leaseUntil[host] = map[model.ShardID]model.Instant{}
	applyFreshness, applyClaimer := h.freshness.apply, h.claimer.apply
	h.freshness.apply = func(e lease.Effect) {
		if e, ok := e.(lease.FreshnessExtended); ok {
			m.mu.Lock()
			if last, ok := m.freshUntil[host]; ok {
				m.minFreshnessMargin = min(m.minFreshnessMargin, last.Sub(h.clock.now()))
			}
			m.freshUntil[host] = e.Until
			m.mu.Unlock()
		}
		applyFreshness(e)
	}
	h.claimer.apply = func(e lease.Effect) {
		m.mu.Lock()
		switch e := e.(type) {
		case lease.OwnershipGained:
			m.gainedCount++
			m.leaseUntil[host][e.Shard] = e.Until
		case lease.OwnershipRenewed:
			m.minLeaseMargin = min(m.minLeaseMargin, m.leaseUntil[host][e.Shard].Sub(h.clock.now()))
			m.leaseUntil[host][e.Shard] = e.Until
		case lease.OwnershipLost:
			m.lostCount++
		default:
		}
		m.mu.Unlock()
		applyClaimer(e)
	}
}

func (m *margins) reset() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.minLeaseMargin, m.minFreshnessMargin, m.gainedCount, m.lostCount = math.MaxInt64, math.MaxInt64, 0, 0
}

// report adds the margins in milliseconds and the number of lost shards to the
// metrics of the benchmark.
func (m *margins) report(b *testing.B, name string) {
	b.Helper()
	m.mu.Lock()
	defer m.mu.Unlock()
	b.ReportMetric(m.minLeaseMargin.Seconds()*1e3, name+"-lease-ms")
	b.ReportMetric(m.minFreshnessMargin.Seconds()*1e3, name+"-fresh-ms")
	b.ReportMetric(float64(m.lostCount), name+"-lost")
}

// liveHeap returns the size of the objects on the heap in megabytes.
func liveHeap() float64 {
	sample := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
	metrics.Read(sample)
	return float64(sample[0].Value.Uint64()) / 1e6
}

// BenchmarkLargeConfiguration runs a fleet with 320,000 workspaces in one
// process. It restarts an entry host, a seat and, with an empty disk, a control
// host, and measures how long each restart takes. Meanwhile it records the least
// time that was left of any lease and of any host's freshness when they were
// renewed, the lost shards and the elections.
func BenchmarkLargeConfiguration(b *testing.B) {
	m := newMargins()
	f := startFleet(&fleet{t: b, onStart: m.watch, controlState: largeState(320_000)}, 6)
	settle := func() {
		time.Sleep(3 * time.Second)
		m.reset()
	}
	for b.Loop() {
		settle()
		time.Sleep(5 * time.Second)
		m.report(b, "rest")

		for name, i := range map[string]int{"entry": 5, "seat": 4} {
			require.NoError(b, f.entries[i].stop())
			settle()
			start := time.Now()
			f.startEntry(f.entries[i])
			for !f.entries[i].host.Fresh() || f.entries[i].host.Config().Version < largeVersion {
				time.Sleep(time.Millisecond)
			}
			b.ReportMetric(time.Since(start).Seconds(), name+"-s")
			m.report(b, name)
		}

		follower := 0
		for f.readControlMetrics(follower).Role == int(ctrl.RoleLeader) {
			follower++
		}
		c := f.controls[follower]
		require.NoError(b, c.stop())
		require.NoError(b, os.RemoveAll(filepath.Join(c.cfg.Host.DataDir, logFolder)))
		c.cfg.CreateFleet = false
		settle()
		term := f.readControlMetrics((follower + 1) % 3).Term
		start := time.Now()
		f.startControl(c)
		for v := f.readControlMetrics(follower); v.Role != int(ctrl.RoleFollower) || v.CommitIndex <= largeVersion; v = f.readControlMetrics(follower) {
			time.Sleep(10 * time.Millisecond)
		}
		b.ReportMetric(time.Since(start).Seconds(), "control-s")
		m.report(b, "control")
		b.ReportMetric(float64(f.readControlMetrics((follower+1)%3).Term-term), "elections")
		b.ReportMetric(liveHeap(), "heap-MB")
	}
}
