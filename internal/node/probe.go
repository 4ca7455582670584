package node

import (
	"context"
	"net/http"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/go-resty/resty/v2"

	"tarragongauge.example/tarragongauge/internal/pool"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// Limits of the health probes.
const (
	probeTimeout   = time.Second
	probeWorkers   = 8
	probeQueueSize = 64
)

// prober sends the health probes that the pool cores request.
type prober struct {
	ctx     context.Context
	client  *resty.Client
	workers pond.Pool
	// healthPath returns the path of a service's health probes.
	healthPath func(model.ServiceName) string
	onResult   func(pool.Probed)
}

// defaultHealthPath is the path of probes for a service that configures none.
const defaultHealthPath = "/healthz"

func healthPathOf(cfg model.Config, name model.ServiceName) string {
	if s, ok := cfg.Services.Get(name); ok && s.HealthPath != "" {
		return s.HealthPath
	}
	return defaultHealthPath
}

// newProber returns a prober and a function that stops it. The function aborts
// the probes in flight, because a host that stops has no time to wait for targets
// that do not respond.
func newProber(ctx context.Context, path func(model.ServiceName) string, done func(pool.Probed)) (*prober, func()) {
	ctx, cancel := context.WithCancel(ctx)
	p := &prober{
		ctx:        ctx,
		client:     resty.New().SetTimeout(probeTimeout).SetRedirectPolicy(resty.NoRedirectPolicy()),
		workers:    pond.NewPool(probeWorkers, pond.WithQueueSize(probeQueueSize), pond.WithNonBlocking(true)),
		healthPath: path,
		onResult:   done,
	}
	return p, func() {
		cancel()
		p.workers.StopAndWait()
	}
}

// start queues a probe. If the queue is full, the probe is dropped, and the core
// requests it again.
func (p *prober) start(f pool.Probe) {
	_ = p.workers.Go(func() { p.probe(f) })
}

// probe sends a health probe and passes the result to onResult. A probe that
// stopping aborts has no result.
func (p *prober) probe(f pool.Probe) {
	begin := time.Now()
	resp, err := p.client.R().SetContext(p.ctx).Get("http://" + f.Addr + p.healthPath(f.Service))
	if p.ctx.Err() != nil {
		return // aborted by the stop; says nothing about the target
	}
	p.onResult(pool.Probed{
		Service:     f.Service,
		Target:      f.Target,
		Incarnation: f.Incarnation,
		OK:          err == nil && resp.StatusCode() == http.StatusOK,
		Latency:     time.Since(begin),
	})
}
