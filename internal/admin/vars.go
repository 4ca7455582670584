package admin

import (
	"expvar"
	"fmt"
	"net/http"
	"runtime"
	"strings"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Vars holds the metrics of one process: variables served as JSON, and counters
// and histograms served in the text format of Prometheus. The global registry of
// package expvar is not used, since several processes of a fleet may run within
// one binary. Vars is safe for concurrent use.
type Vars struct {
	// variables holds the values that are served as JSON.
	variables expvar.Map
	// registry holds the metrics that are served in the text format of Prometheus.
	registry *prometheus.Registry
}

// NewVars returns a Vars that holds the metrics of the Go runtime.
func NewVars() *Vars {
	v := &Vars{registry: prometheus.NewRegistry()}
	v.variables.Init()
	v.Func("runtime", func() any { return readRuntimeStats() })
	v.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return v
}

// Set publishes a variable as JSON under a name in snake case, and replaces an
// earlier variable of that name.
func (v *Vars) Set(name string, value expvar.Var) { v.variables.Set(name, value) }

// Func publishes the result of a function as JSON. The function is called for each request.
func (v *Vars) Func(name string, f func() any) { v.variables.Set(name, expvar.Func(f)) }

// Int publishes a new integer variable as JSON and returns it.
func (v *Vars) Int(name string) *expvar.Int {
	n := new(expvar.Int)
	v.variables.Set(name, n)
	return n
}

// Registry returns the registry of the metrics that PrometheusHandler serves.
func (v *Vars) Registry() prometheus.Registerer { return v.registry }

// PrometheusHandler returns a handler that serves the registered metrics in the text format of Prometheus.
func (v *Vars) PrometheusHandler() http.Handler {
	return promhttp.HandlerFor(v.registry, promhttp.HandlerOpts{MaxRequestsInFlight: maxScrapes, DisableCompression: true})
}

// maxScrapes is the largest number of concurrent Prometheus scrapes; further ones get status 503.
const maxScrapes = 2

// ServeHTTP writes the variables as one JSON object.
func (v *Vars) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	var parts []string
	v.variables.Do(func(kv expvar.KeyValue) {
		parts = append(parts, fmt.Sprintf("%q: %s", kv.Key, kv.Value.String()))
	})
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	_, _ = fmt.Fprintf(w, "{\n%s\n}\n", strings.Join(parts, ",\n"))
}

// runtimeStats holds the metrics of the Go runtime that are published as JSON.
type runtimeStats struct {
	Goroutines int    `json:"goroutines"`
	HeapBytes  uint64 `json:"heap_bytes"`
	SysBytes   uint64 `json:"sys_bytes"`
	Mallocs    uint64 `json:"mallocs"`
	Cycles     uint32 `json:"gc_cycles"`
	PauseNs    uint64 `json:"gc_pause_total_ns"`
}

func readRuntimeStats() runtimeStats {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return runtimeStats{
		Goroutines: runtime.NumGoroutine(),
		HeapBytes:  m.HeapAlloc,
		SysBytes:   m.Sys,
		Mallocs:    m.Mallocs,
		Cycles:     m.NumGC,
		PauseNs:    m.PauseTotalNs,
	}
}
