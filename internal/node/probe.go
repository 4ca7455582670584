package node

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/go-resty/resty/v2"

	"tarragongauge.example/tarragongauge/internal/entry"
	"tarragongauge.example/tarragongauge/internal/pool"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// Limits of the health probes.
const (
	probeTimeout   = time.Second
	probeWorkers   = 8
	probeQueueSize = 64
	// maxProbeHeader bounds the head of an answer to a probe in bytes.
	maxProbeHeader = 64 << 10
	// maxProbeBody bounds in bytes how much of the body is read, so that the
	// connection can be reused. A target with a longer one fails the probe.
	maxProbeBody = 64 << 10
	// probeIdleTimeout is how long a connection waits for the next probe.
	probeIdleTimeout = 90 * time.Second
)

// prober sends the health probes that the pool cores request. A probe is decided
// by the status and the end of the answer. Nothing that a target sends is kept
// beyond the probe, and at most maxProbeHeader of it in memory at a time.
type prober struct {
	ctx     context.Context
	client  *resty.Client
	workers pond.Pool
	// healthPath returns the path of a service's health probes.
	healthPath func(model.ServiceName) string
	onResult   func(pool.Probed)
	// coldHeader names the header in which a target says how much longer it is cold.
	coldHeader string
}

// proberOption changes a setting of a prober.
type proberOption func(*prober)

// withColdHeader replaces the name of the header in which a target says how much
// longer it is cold, unless the name is empty.
func withColdHeader(name string) proberOption {
	return func(p *prober) {
		if name != "" {
			p.coldHeader = name
		}
	}
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
func newProber(ctx context.Context, path func(model.ServiceName) string, done func(pool.Probed), opts ...proberOption) (*prober, func()) {
	ctx, cancel := context.WithCancel(ctx)
	p := &prober{
		ctx:        ctx,
		client:     newProbeClient(),
		workers:    pond.NewPool(probeWorkers, pond.WithQueueSize(probeQueueSize), pond.WithNonBlocking(true)),
		healthPath: path,
		onResult:   done,
		coldHeader: entry.DefaultHeaderNames().TargetCold,
	}
	for _, opt := range opts {
		opt(p)
	}
	return p, func() {
		cancel()
		p.workers.StopAndWait()
	}
}

// newProbeClient returns a client without cookies, redirects, decompression and
// HTTP proxies. A malformed answer is an error.
func newProbeClient() *resty.Client {
	transport := &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return entry.NewCheckedConn(conn, maxProbeHeader), nil
		},
		DisableCompression:     true,
		MaxIdleConnsPerHost:    1,
		IdleConnTimeout:        probeIdleTimeout,
		MaxResponseHeaderBytes: maxProbeHeader,
	}
	return resty.NewWithClient(&http.Client{Transport: transport}).
		SetTimeout(probeTimeout).
		SetRedirectPolicy(resty.NoRedirectPolicy()).
		SetDoNotParseResponse(true)
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
	ok, header := p.get("http://" + f.Addr + p.healthPath(f.Service))
	if p.ctx.Err() != nil {
		return // aborted by the stop; says nothing about the target
	}
	result := pool.Probed{
		Service:     f.Service,
		Target:      f.Target,
		Incarnation: f.Incarnation,
		OK:          ok,
		Latency:     time.Since(begin),
	}
	result.ColdRemaining, result.ReportsCold = entry.ParseColdRemaining(header.Get(p.coldHeader))
	p.onResult(result)
}

// get reports whether a GET of the URL returns status 200 and a complete body of at
// most maxProbeBody bytes. The body is discarded as it arrives. It also returns the
// header of the answer, which is nil without an answer.
func (p *prober) get(url string) (bool, http.Header) {
	resp, err := p.client.R().SetContext(p.ctx).Get(url)
	if err != nil {
		return false, nil
	}
	body := resp.RawBody()
	defer func() { _ = body.Close() }() // the answer was judged already
	if resp.StatusCode() != http.StatusOK {
		return false, resp.Header()
	}
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxProbeBody+1))
	return err == nil && n <= maxProbeBody, resp.Header()
}
