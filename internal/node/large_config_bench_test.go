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

// margins records how close entry hosts come to the end of their leases and of
// their right to serve.
type margins struct {
	mu        sync.Mutex
	lease     time.Duration
	fresh     time.Duration
	gained    int
	lost      int
	lastFresh map[model.HostID]model.Instant
	leases    map[model.HostID]map[model.ShardID]model.Instant
}

func newMargins() *margins {
	return &margins{lease: math.MaxInt64, fresh: math.MaxInt64, lastFresh: map[model.HostID]model.Instant{}, leases: map[model.HostID]map[model.ShardID]model.Instant{}}
}

// watch records the renewals of a host that starts.
func (m *margins) watch(h *entryHost) {
	m.mu.Lock()
	defer m.mu.Unlock()
	host := h.self.Host
	delete(m.lastFresh, host)
	m.leases[host] = map[model.ShardID]model.Instant{}
	applyFresh, applyClaimer := h.fresh.apply, h.claimer.apply
	h.fresh.apply = func(e lease.Effect) {
		if e, ok := e.(lease.FreshnessExtended); ok {
			m.mu.Lock()
			if last, ok := m.lastFresh[host]; ok {
				m.fresh = min(m.fresh, last.Sub(h.clock.now()))
			}
			m.lastFresh[host] = e.Until
			m.mu.Unlock()
		}
		applyFresh(e)
	}
	h.claimer.apply = func(e lease.Effect) {
		m.mu.Lock()
		switch e := e.(type) {
		case lease.OwnershipGained:
			m.gained++
			m.leases[host][e.Shard] = e.Until
		case lease.OwnershipRenewed:
			m.lease = min(m.lease, m.leases[host][e.Shard].Sub(h.clock.now()))
			m.leases[host][e.Shard] = e.Until
		case lease.OwnershipLost:
			m.lost++
		default:
		}
		m.mu.Unlock()
		applyClaimer(e)
	}
}

func (m *margins) reset() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lease, m.fresh, m.gained, m.lost = math.MaxInt64, math.MaxInt64, 0, 0
}

func (m *margins) report(b *testing.B, name string) {
	b.Helper()
	m.mu.Lock()
	defer m.mu.Unlock()
	b.ReportMetric(m.lease.Seconds()*1e3, name+"-lease-ms")
	b.ReportMetric(m.fresh.Seconds()*1e3, name+"-fresh-ms")
	b.ReportMetric(float64(m.lost), name+"-lost")
}

func liveHeap() float64 {
	sample := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
	metrics.Read(sample)
	return float64(sample[0].Value.Uint64()) / 1e6
}

// BenchmarkLargeConfiguration runs a whole fleet in one process with 320,000
// workspaces, restarts an entry host, a seat and a control host with an empty
// disk, and measures how long each takes. Meanwhile it records the least time
// left of any lease and of any host's right to serve when they were renewed,
// and the changes of the leader.
func BenchmarkLargeConfiguration(b *testing.B) {
	m := newMargins()
	f := startFleet(&fleet{t: b, onStart: m.watch, state: largeState(320_000)}, 6)
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
		for f.controlVars(follower).Role == int(ctrl.RoleLeader) {
			follower++
		}
		c := f.controls[follower]
		require.NoError(b, c.stop())
		require.NoError(b, os.RemoveAll(filepath.Join(c.cfg.Host.DataDir, logFolder)))
		c.cfg.CreateFleet = false
		settle()
		term := f.controlVars((follower + 1) % 3).Term
		start := time.Now()
		f.startControl(c)
		for v := f.controlVars(follower); v.Role != int(ctrl.RoleFollower) || v.Commit <= largeVersion; v = f.controlVars(follower) {
			time.Sleep(10 * time.Millisecond)
		}
		b.ReportMetric(time.Since(start).Seconds(), "control-s")
		m.report(b, "control")
		b.ReportMetric(float64(f.controlVars((follower+1)%3).Term-term), "elections")
		b.ReportMetric(liveHeap(), "heap-MB")
	}
}
