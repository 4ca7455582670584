package codec

import (
	"crypto/sha256"
	"fmt"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// configOfSize returns a configuration with the given number of workspaces and
// one key for each. It adds them one by one, as changes do.
func configOfSize(workspaces int) model.Config {
	cfg := model.NewConfig(nil, nil)
	for i := range workspaces {
		id := model.WorkspaceID(fmt.Sprintf("workspace-%06d", i))
		cfg.Workspaces = cfg.Workspaces.With(model.Workspace{ID: id})
		cfg.Keys = cfg.Keys.With(model.Key{ID: "main", Workspace: id, Hash: sha256.Sum256([]byte(id))})
	}
	return cfg.WithVersion(1)
}

// measureHeap builds a value and returns it with the number of heap bytes that it holds.
func measureHeap[V any](build func() V) (V, float64) {
	var before, after runtime.MemStats
	collectGarbage()
	runtime.ReadMemStats(&before)
	v := build()
	collectGarbage()
	runtime.ReadMemStats(&after)
	return v, float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// collectGarbage runs the collector twice, because the content of a sync.Pool
// survives one collection.
func collectGarbage() {
	runtime.GC()
	runtime.GC()
}

// measureMinHeap returns the least of up to five measurements, and stops at the
// first one within the bound. A measurement includes what the runtime itself
// allocates meanwhile, about 15 KB.
func measureMinHeap[V any](bound float64, build func() V) (V, float64) {
	v, minHeap := measureHeap(build)
	for i := 0; i < 4 && minHeap > bound; i++ {
		again, heap := measureHeap(build)
		v, minHeap = again, min(minHeap, heap)
	}
	return v, minHeap
}

// maxWorkspaceBytes is the number of heap bytes that a workspace with one key may use.
const maxWorkspaceBytes = 80

// Guards against a configuration that needs more than the 32 MB available on a
// node, both after it was decoded and after it grew by changes.
func TestConfigurationStaysWithinHeapBound(t *testing.T) {
	const workspaces = 50_000
	grown, heap := measureMinHeap(maxWorkspaceBytes*workspaces, func() model.Config { return configOfSize(workspaces) })
	require.LessOrEqual(t, heap/workspaces, float64(maxWorkspaceBytes), "grown")
	data, err := EncodeConfig(grown)
	require.NoError(t, err)
	decoded, heap := measureMinHeap(maxWorkspaceBytes*workspaces, func() model.Config {
		cfg, err := DecodeConfig(data)
		require.NoError(t, err)
		return cfg
	})
	require.LessOrEqual(t, heap/workspaces, float64(maxWorkspaceBytes), "decoded")
	require.Equal(t, workspaces, decoded.Keys.Len())
	runtime.KeepAlive(grown)
}

// BenchmarkConfigSize measures how the heap, the encoded size, and the times of a
// decoding, a change and a lookup grow with the number of workspaces. The slopes
// per workspace in docs/CAPACITY.md are results of this benchmark.
func BenchmarkConfigSize(b *testing.B) {
	for _, n := range []int{1000, 32000, 320000} {
		b.Run(fmt.Sprintf("workspaces=%d", n), func(b *testing.B) { benchmarkSize(b, n) })
	}
}

// benchmarkSize runs the parts of BenchmarkConfigSize with n workspaces.
func benchmarkSize(b *testing.B, n int) {
	cfg, grown := measureHeap(func() model.Config { return configOfSize(n) })
	data, err := EncodeConfig(cfg)
	require.NoError(b, err)
	b.Run("decode", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			_, err := DecodeConfig(data)
			require.NoError(b, err)
		}
		decoded, heap := measureHeap(func() model.Config {
			cfg, err := DecodeConfig(data)
			require.NoError(b, err)
			return cfg
		})
		b.ReportMetric(grown/float64(n), "grown-B/workspace")
		b.ReportMetric(heap/float64(n), "heap-B/workspace")
		b.ReportMetric(float64(len(data))/float64(n), "encoded-B/workspace")
		runtime.KeepAlive(decoded)
	})
	for _, c := range []struct {
		name   string
		change model.Change
	}{
		{"create", model.CreateWorkspace{Workspace: "one-more"}},
		{"issue", model.IssueKey{Key: model.Key{ID: "second", Workspace: "workspace-000007", Hash: model.KeyHash{7}}}},
		{"withdraw", model.WithdrawWorkspace{Workspace: "workspace-000007"}},
	} {
		b.Run(c.name, func(b *testing.B) { benchmarkChange(b, cfg, c.change) })
	}
	hash := model.KeyHash(sha256.Sum256([]byte("workspace-000777")))
	b.Run("lookup", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			_, ok := cfg.KeyFor(hash)
			if !ok {
				b.Fatal("the key is not found")
			}
		}
	})
	next, err := cfg.Apply(2, model.Proposal{Base: 1, Change: model.WithdrawWorkspace{Workspace: "workspace-000007"}})
	require.NoError(b, err)
	b.Run("difference", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			ended := 0
			for range cfg.Keys.RemovedIn(next.Keys) {
				ended++
			}
			for range next.Workspaces.ChangedSince(cfg.Workspaces) {
				ended++
			}
			require.Equal(b, 2, ended)
		}
	})
}

// benchmarkChange measures the application of one change to cfg.
func benchmarkChange(b *testing.B, cfg model.Config, change model.Change) {
	b.ReportAllocs()
	for b.Loop() {
		_, err := cfg.Apply(cfg.Version+1, model.Proposal{Base: cfg.Version, Change: change})
		require.NoError(b, err)
	}
}

// BenchmarkRoutes measures how the times of a match and of changes, and the heap,
// grow with the number of routes.
func BenchmarkRoutes(b *testing.B) {
	for _, n := range []int{100, 1500, 15000} {
		b.Run(fmt.Sprintf("routes=%d", n), func(b *testing.B) { benchmarkRoutes(b, n) })
	}
}

// benchmarkRoutes runs the parts of BenchmarkRoutes with n routes.
func benchmarkRoutes(b *testing.B, n int) {
	list := make([]model.Route, 0, n)
	for i := range n {
		list = append(list, model.Route{Name: model.RouteName(fmt.Sprintf("route-%05d", i)), PathPrefix: fmt.Sprintf("/service-%03d/part-%05d", i%970, i), Service: "s"})
	}
	cfg := model.NewConfig(nil, nil)
	cfg.Services = cfg.Services.With("s", model.Service{Name: "s"})
	routes, heap := measureHeap(func() model.Routes { return model.NewRoutes(list) })
	runtime.KeepAlive(list)
	cfg.Routes = routes
	path := fmt.Sprintf("/service-%03d/part-%05d/item/7", (n/2)%970, n/2)
	b.Run("match", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			if _, ok := cfg.Match("GET", path); !ok {
				b.Fatal("no route matches")
			}
		}
		b.ReportMetric(heap/float64(n), "heap-B/route")
	})
	b.Run("put-route", func(b *testing.B) {
		benchmarkChange(b, cfg, model.PutRoute{Route: model.Route{Name: "more", PathPrefix: "/more", Service: "s"}})
	})
	b.Run("create-workspace", func(b *testing.B) { benchmarkChange(b, cfg, model.CreateWorkspace{Workspace: "more"}) })
}
