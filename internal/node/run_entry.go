package node

import (
	"context"
	"errors"
	"time"

	"github.com/go-logr/logr"
	"github.com/rotisserie/eris"

	"tarragongauge.example/tarragongauge/internal/admin"
	"tarragongauge.example/tarragongauge/internal/conf"
	"tarragongauge.example/tarragongauge/internal/entry"
	"tarragongauge.example/tarragongauge/internal/lease"
	"tarragongauge.example/tarragongauge/internal/link"
	"tarragongauge.example/tarragongauge/internal/logs"
	"tarragongauge.example/tarragongauge/internal/pool"
	"tarragongauge.example/tarragongauge/internal/proto"
)

const (
	// entryTickInterval is the interval at which the cores of an entry host or a
	// seat host act on elapsed time.
	entryTickInterval = 20 * time.Millisecond
	// minLeaveTime is the minimum time for which a stopping host reports that it
	// is not ready and still accepts requests, so that the load balancer can
	// notice.
	minLeaveTime = time.Second
)

// RunEntry runs an entry host until ctx ends, then drains it.
func RunEntry(ctx context.Context, c conf.Entry, log logr.Logger) error {
	return RunEntryWithAdapters(ctx, c, log)
}

// RunEntryWithAdapters runs an entry host with additional ports until ctx ends,
// then drains it.
func RunEntryWithAdapters(ctx context.Context, c conf.Entry, log logr.Logger, adapters ...EntryAdapter) error {
	h, stop, err := startEntry(c, log)
	if err != nil {
		return err
	}
	log.Info("entry host started", "host", c.Host.Name, "zone", c.Host.Zone, "callers", c.Listen.Callers, "announce", c.Listen.Announce)
	for _, adapter := range adapters {
		if err := h.process.serveHTTP("adapter", adapter.Addr, adapter.NewHandler(h), plainListener); err != nil {
			return errors.Join(err, stop())
		}
	}
	failed := h.process.failure()
	select {
	case <-ctx.Done():
		log.Info("draining", "requests", h.server.ActiveRequests())
		return stop()
	case err := <-failed:
		return errors.Join(err, stop())
	}
}

// startEntry starts an entry host. The returned function drains and stops it.
func startEntry(c conf.Entry, log logr.Logger, extra ...link.Option) (*entryHost, func() error, error) {
	var h *entryHost
	p, stopProcess, err := newProcess(processSetup{
		role: proto.RoleEntry, host: c.Host, addr: c.Listen.Fleet, fleet: c.Fleet, tls: c.TLS, linkQueue: c.Limits.LinkQueue, log: log,
	}, func(from hostID, m proto.Message) { h.receive(from, m) }, extra)
	if err != nil {
		return nil, nil, err
	}
	h = newEntryHost(entrySetup{
		self:             p.self,
		timing:           lease.DefaultTiming(),
		seats:            hostsOf(c.Fleet.Seats),
		controls:         hostsOf(c.Fleet.Controls),
		journals:         hostsOf(c.Fleet.Journals),
		log:              log,
		serveUnconfirmed: c.Fleet.ServeUnconfirmed,
		tuning:           poolTuning(c.Fleet),
		usesRelay:        c.Fleet.OwnersAtControl,
		forwarding:       c.Fleet.Forward,
	})
	h.process, h.mesh = p, p.mesh
	drain, err := h.open(c)
	if err != nil {
		stopProcess()
		return nil, nil, err
	}
	return h, func() error {
		err := h.drain(drain, max(minLeaveTime, c.Limits.LeaveTime), c.Limits.StopTimeout)
		stopProcess()
		return err
	}, nil
}

// open starts the listeners and the ticks of an entry host. It returns the
// function that drains the server.
func (h *entryHost) open(c conf.Entry) (func(context.Context) error, error) {
	p := h.process
	h.vars = admin.NewVars()
	server, drain, err := entry.NewServer(h, h.burn, append(headerOptions(c.Headers), entry.WithMetrics(entry.NewMetrics(h.vars.Registry())), entry.WithHost(c.Host.Name), entry.WithLog(h.log), entry.WithRequestLog(h.log.WithName(logs.RequestLoggerName)), entry.WithLimits(entryLimits(c.Limits)))...)
	if err != nil {
		return nil, err
	}
	h.server = server
	probes, stopProbes := newProber(context.Background(), h.healthPath, func(ev pool.Probed) { h.picker.post(ev) }, withColdHeader(c.Headers.TargetCold))
	h.prober = probes
	p.cleanups = append(p.cleanups, stopProbes)
	callers, err := listen("callers", c.Listen.Callers)
	if err != nil {
		return nil, err
	}
	p.tree.Go("callers", func(context.Context) error { return server.ServeCallers(callers) })
	if c.Listen.Announce != "" {
		announce, err := listen("announce", c.Listen.Announce)
		if err != nil {
			return nil, err
		}
		p.tree.Go("announce", func(context.Context) error { return server.ServeAnnouncements(announce) })
	}
	h.publishVars()
	if err := errors.Join(p.serveFleet(c.Listen.Fleet), p.serveOperators(c.Listen.Operators, h, h.vars)); err != nil {
		return nil, err
	}
	p.runEvery(entryTickInterval, h.tick)
	return drain, nil
}

// headerOptions returns the options for headers whose names or behavior differ
// from the defaults.
func headerOptions(h conf.Headers) []entry.Option {
	n := entry.DefaultHeaderNames()
	for _, name := range []struct {
		to   *string
		from string
	}{
		{&n.RequestID, h.RequestID},
		{&n.Deadline, h.Deadline},
		{&n.Workspace, h.Workspace},
		{&n.NotRun, h.NotRun},
		{&n.Instance, h.Instance},
		{&n.TargetLeaving, h.TargetLeaving},
		{&n.TargetRate, h.TargetRate},
		{&n.TargetCold, h.TargetCold},
		{&n.KeyScheme, h.KeyScheme},
	} {
		if name.from != "" {
			*name.to = name.from
		}
	}
	n.PassCallerIDs = h.PassCallerIDs
	opts := []entry.Option{entry.WithHeaderNames(n)}
	if h.StatusPromise {
		opts = append(opts, entry.WithStatusPromise())
	}
	if h.RetryFractions {
		opts = append(opts, entry.WithRetryFractions())
	}
	if h.EndlessAnswers {
		opts = append(opts, entry.WithEndlessAnswers())
	}
	return opts
}

// entryLimits returns the default limits with those that the settings
// configure.
func entryLimits(c conf.Limits) entry.Limits {
	l := entry.DefaultLimits()
	l.MaxHeader = c.HeaderBytes
	l.MaxBody = int64(c.BodyBytes)
	l.MaxAnswer = int64(c.AnswerBytes)
	l.HeaderTimeout = c.HeaderTimeout
	l.IdleTimeout = c.IdleTimeout
	return l
}

// publishVars publishes the metrics of this host on the operators' port.
func (h *entryHost) publishVars() {
	h.vars.Func("entry", func() any { return h.status() })
	h.vars.Registry().MustRegister(newLoadCollector(h.poolOwner, h.poolOwnerCore))
	h.vars.Func("links", func() any { return h.process.mesh.Stats() })
	h.vars.Func("link_traffic", func() any { return h.process.mesh.Traffic() })
}

// Ready returns an error that says what this host waits for before it can serve
// callers, or nil.
func (h *entryHost) Ready() error {
	switch {
	case h.draining.Load():
		return errors.New("this host is draining")
	case h.cfg.Load().Routes.Len() == 0 && h.serveUnconfirmed:
		return errors.New("this host knows no route yet; check that control is reachable and a configuration was applied")
	case !h.Fresh():
		return errors.New("this host waits for a confirmation of its configuration; check that a majority of seats or the leader of control is reachable")
	default:
		return nil
	}
}

// drain reports the host as not ready, makes callers leave its connections, hands
// its shards over and, after leaveTime, stops accepting requests and waits for
// those in flight.
func (h *entryHost) drain(stop func(context.Context) error, leaveTime, timeout time.Duration) error {
	h.draining.Store(true)
	h.server.Leave()
	h.freshness.post(lease.Handover{})
	h.claimer.post(lease.Handover{})
	time.Sleep(leaveTime)
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return eris.Wrap(stop(ctx), "requests were still in flight at the end of [limits] stop_timeout")
}
