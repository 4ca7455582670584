package codec

import (
	"crypto/sha256"
	"fmt"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// sized returns a configuration with one key for each workspace, made by changes.
func sized(workspaces int) model.Config {
	cfg := model.NewConfig(nil, nil)
	for i := range workspaces {
		id := model.WorkspaceID(fmt.Sprintf("workspace-%06d", i))
		cfg.Workspaces = cfg.Workspaces.With(model.Workspace{ID: id})
		cfg.Keys = cfg.Keys.With(model.Key{ID: "main", Workspace: id, Hash: sha256.Sum256([]byte(id))})
	}
	return cfg.WithVersion(1)
}

// heapOf returns the heap bytes that a new value holds.
func heapOf[V any](build func() V) (V, float64) {
	var before, after runtime.MemStats
	collect()
	runtime.ReadMemStats(&before)
	v := build()
	collect()
	runtime.ReadMemStats(&after)
	return v, float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// collect frees pools as well, which survive one collection.
func collect() {
	runtime.GC()
	runtime.GC()
}

// leastHeapOf repeats a measurement that is above a bound: what the runtime
// itself allocates meanwhile, some 15 KB, comes on top of what the value holds.
func leastHeapOf[V any](bound float64, build func() V) (V, float64) {
	v, least := heapOf(build)
	for i := 0; i < 4 && least > bound; i++ {
		again, heap := heapOf(build)
		v, least = again, min(least, heap)
	}
	return v, least
}

// maxWorkspaceBytes is the heap that a workspace with its key may use.
const maxWorkspaceBytes = 80

// Guards against a configuration that outgrows the 32 MB of a node, as it is
// decoded and as it grows by changes.
func TestHeapOfConfiguration(t *testing.T) {
	const workspaces = 50_000
	grown, heap := leastHeapOf(maxWorkspaceBytes*workspaces, func() model.Config { return sized(workspaces) })
	require.LessOrEqual(t, heap/workspaces, float64(maxWorkspaceBytes), "grown")
	data, err := EncodeConfig(grown)
	require.NoError(t, err)
	decoded, heap := leastHeapOf(maxWorkspaceBytes*workspaces, func() model.Config {
		cfg, err := DecodeConfig(data)
		require.NoError(t, err)
		return cfg
	})
	require.LessOrEqual(t, heap/workspaces, float64(maxWorkspaceBytes), "decoded")
	require.Equal(t, workspaces, decoded.Keys.Len())
	runtime.KeepAlive(grown)
}

// BenchmarkConfigSize gives the slopes of docs/CAPACITY.md against the number
// of workspaces: heap, encoded size, and the time of a decode, a change and a lookup.
func BenchmarkConfigSize(b *testing.B) {
	for _, n := range []int{1000, 32000, 320000} {
		b.Run(fmt.Sprintf("workspaces=%d", n), func(b *testing.B) { benchmarkSize(b, n) })
	}
}

func benchmarkSize(b *testing.B, n int) {
	cfg, grown := heapOf(func() model.Config { return sized(n) })
	data, err := EncodeConfig(cfg)
	require.NoError(b, err)
	b.Run("decode", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			_, err := DecodeConfig(data)
			require.NoError(b, err)
		}
		decoded, heap := heapOf(func() model.Config {
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

func benchmarkChange(b *testing.B, cfg model.Config, change model.Change) {
	b.ReportAllocs()
	for b.Loop() {
		_, err := cfg.Apply(cfg.Version+1, model.Proposal{Base: cfg.Version, Change: change})
		require.NoError(b, err)
	}
}

// BenchmarkRoutes gives the time of a match and of changes, and the heap,
// against the number of routes.
func BenchmarkRoutes(b *testing.B) {
	for _, n := range []int{100, 1500, 15000} {
		b.Run(fmt.Sprintf("routes=%d", n), func(b *testing.B) { benchmarkRoutes(b, n) })
	}
}

func benchmarkRoutes(b *testing.B, n int) {
	list := make([]model.Route, 0, n)
	for i := range n {
		list = append(list, model.Route{Name: model.RouteName(fmt.Sprintf("route-%05d", i)), PathPrefix: fmt.Sprintf("/service-%03d/part-%05d", i%970, i), Service: "s"})
	}
	cfg := model.NewConfig(nil, nil)
	cfg.Services = cfg.Services.With("s", model.Service{Name: "s"})
	routes, heap := heapOf(func() model.Routes { return model.NewRoutes(list) })
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
