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

// Bounds of health probes.
const (
	probeTimeout = time.Second
	probeWorkers = 8
	probeQueue   = 64
)

// prober makes the health probes that the pool owner asks for.
type prober struct {
	ctx    context.Context
	client *resty.Client
	group  pond.Pool
	// path returns the path that a service's probes ask for.
	path func(model.ServiceName) string
	done func(pool.Probed)
}

// defaultHealthPath is asked for where the service names none.
const defaultHealthPath = "/healthz"

func healthPathOf(cfg model.Config, name model.ServiceName) string {
	if s, ok := cfg.Services.Get(name); ok && s.HealthPath != "" {
		return s.HealthPath
	}
	return defaultHealthPath
}

// newProber returns a prober and its clean-up function, which breaks off probes
// under way: a host that stops has no time to wait for targets that hang.
func newProber(ctx context.Context, path func(model.ServiceName) string, done func(pool.Probed)) (*prober, func()) {
	ctx, cancel := context.WithCancel(ctx)
	p := &prober{
		ctx:    ctx,
		client: resty.New().SetTimeout(probeTimeout).SetRedirectPolicy(resty.NoRedirectPolicy()),
		group:  pond.NewPool(probeWorkers, pond.WithQueueSize(probeQueue), pond.WithNonBlocking(true)),
		path:   path,
		done:   done,
	}
	return p, func() {
		cancel()
		p.group.StopAndWait()
	}
}

// start queues a probe. A probe that finds the queue full is dropped; the owner asks again.
func (p *prober) start(f pool.Probe) {
	_ = p.group.Go(func() { p.probe(f) })
}

func (p *prober) probe(f pool.Probe) {
	begin := time.Now()
	resp, err := p.client.R().SetContext(p.ctx).Get("http://" + f.Addr + p.path(f.Service))
	if p.ctx.Err() != nil {
		return // broken off, which says nothing about the target
	}
	p.done(pool.Probed{
		Service:     f.Service,
		Target:      f.Target,
		Incarnation: f.Incarnation,
		OK:          err == nil && resp.StatusCode() == http.StatusOK,
		Latency:     time.Since(begin),
	})
}
