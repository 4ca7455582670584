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

// Vars holds the metrics of one process. It does not use the registry of
// package expvar, since several processes of the fleet may live in one binary.
// It is safe for concurrent use.
type Vars struct {
	all  expvar.Map
	text *prometheus.Registry
}

// NewVars returns metrics with the figures of the Go runtime.
func NewVars() *Vars {
	v := &Vars{text: prometheus.NewRegistry()}
	v.all.Init()
	v.Func("runtime", func() any { return readRuntime() })
	v.text.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return v
}

// Set publishes a variable under a name in snake case, and replaces an earlier one of that name.
func (v *Vars) Set(name string, value expvar.Var) { v.all.Set(name, value) }

// Func publishes the value of a function, which is called for each request and encoded as JSON.
func (v *Vars) Func(name string, f func() any) { v.all.Set(name, expvar.Func(f)) }

// Int publishes a new counter.
func (v *Vars) Int(name string) *expvar.Int {
	n := new(expvar.Int)
	v.all.Set(name, n)
	return n
}

// Registry holds the counters and histograms that are served as text.
func (v *Vars) Registry() prometheus.Registerer { return v.text }

// PrometheusHandler serves the counters and histograms in the text format of Prometheus.
func (v *Vars) PrometheusHandler() http.Handler {
	return promhttp.HandlerFor(v.text, promhttp.HandlerOpts{MaxRequestsInFlight: maxScrapes, DisableCompression: true})
}

// maxScrapes bounds the scrapes at the same time; further ones get status 503.
const maxScrapes = 2

// ServeHTTP writes all variables as one JSON object.
func (v *Vars) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	var parts []string
	v.all.Do(func(kv expvar.KeyValue) {
		parts = append(parts, fmt.Sprintf("%q: %s", kv.Key, kv.Value.String()))
	})
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	_, _ = fmt.Fprintf(w, "{\n%s\n}\n", strings.Join(parts, ",\n"))
}

type runtimeFigures struct {
	Goroutines int    `json:"goroutines"`
	HeapBytes  uint64 `json:"heap_bytes"`
	SysBytes   uint64 `json:"sys_bytes"`
	Mallocs    uint64 `json:"mallocs"`
	Cycles     uint32 `json:"gc_cycles"`
	PauseNs    uint64 `json:"gc_pause_total_ns"`
}

func readRuntime() runtimeFigures {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return runtimeFigures{
		Goroutines: runtime.NumGoroutine(),
		HeapBytes:  m.HeapAlloc,
		SysBytes:   m.Sys,
		Mallocs:    m.Mallocs,
		Cycles:     m.NumGC,
		PauseNs:    m.PauseTotalNs,
	}
}
