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
	// entryTick is the interval at which the cores of an entry host act on elapsed time.
	entryTick = 20 * time.Millisecond
	// readyGrace lets the balancer see that a host is not ready before it refuses new work.
	readyGrace = time.Second
)

// RunEntry runs an entry host until ctx ends, then drains it.
func RunEntry(ctx context.Context, c conf.Entry, log logr.Logger) error {
	return RunEntryWith(ctx, c, log)
}

// RunEntryWith runs an entry host with further ports.
func RunEntryWith(ctx context.Context, c conf.Entry, log logr.Logger, ports ...EntryHandler) error {
	h, stop, err := startEntry(c, log)
	if err != nil {
		return err
	}
	log.Info("entry host started", "host", c.Host.Name, "zone", c.Host.Zone, "callers", c.Listen.Callers, "announce", c.Listen.Announce)
	for _, port := range ports {
		if err := h.process.serveHTTP("adapter", port.Addr, port.New(h), unwrapped); err != nil {
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

// startEntry starts an entry host. The clean-up function drains it first.
func startEntry(c conf.Entry, log logr.Logger, extra ...link.Option) (*entryHost, func() error, error) {
	var h *entryHost
	p, stopProcess, err := newProcess(processSetup{
		role: proto.RoleEntry, host: c.Host, addr: c.Listen.Fleet, fleet: c.Fleet, tls: c.TLS, queue: c.Limits.LinkQueue, log: log,
	}, func(from hostID, m proto.Message) { h.receive(from, m) }, extra)
	if err != nil {
		return nil, nil, err
	}
	h = newEntryHost(entrySetup{
		self:     p.self,
		timing:   lease.DefaultTiming(),
		seats:    hostsOf(c.Fleet.Seats),
		controls: hostsOf(c.Fleet.Controls),
		journals: hostsOf(c.Fleet.Journals),
		log:      log,
		serve:    c.Fleet.ServeUnconfirmed,
		tune:     tuning(c.Fleet),
		relay:    c.Fleet.OwnersAtControl,
		forward:  c.Fleet.Forward,
	})
	h.process, h.mesh = p, p.mesh
	drain, err := h.open(c)
	if err != nil {
		stopProcess()
		return nil, nil, err
	}
	return h, func() error {
		err := h.drain(drain, max(readyGrace, c.Limits.LeaveTime), c.Limits.StopTimeout)
		stopProcess()
		return err
	}, nil
}

// open starts the listeners and the ticks of an entry host.
func (h *entryHost) open(c conf.Entry) (func(context.Context) error, error) {
	p := h.process
	h.vars = admin.NewVars()
	server, drain, err := entry.NewServer(h, h.burn, append(headerOptions(c.Headers), entry.WithMetrics(entry.NewMetrics(h.vars.Registry())), entry.WithHost(c.Host.Name), entry.WithLog(h.log), entry.WithRequestLog(h.log.WithName(logs.Requests)), entry.WithLimits(entryLimits(c.Limits)))...)
	if err != nil {
		return nil, err
	}
	h.server = server
	probes, stopProbes := newProber(context.Background(), h.healthPath, func(ev pool.Probed) { h.picker.post(ev) })
	h.prober = probes
	p.stops = append(p.stops, stopProbes)
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
	h.publish()
	if err := errors.Join(p.serveFleet(c.Listen.Fleet), p.serveOperators(c.Listen.Operators, h, h.vars)); err != nil {
		return nil, err
	}
	p.every(entryTick, h.tick)
	return drain, nil
}

// headerOptions returns the options for the headers that differ from the product's own.
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

func entryLimits(c conf.Limits) entry.Limits {
	l := entry.DefaultLimits()
	l.MaxHeader = c.HeaderBytes
	l.MaxBody = int64(c.BodyBytes)
	l.MaxAnswer = int64(c.AnswerBytes)
	l.HeaderTimeout = c.HeaderTimeout
	l.IdleTimeout = c.IdleTimeout
	return l
}

// publish makes the figures of this host available to the operators' port.
func (h *entryHost) publish() {
	h.vars.Func("entry", func() any { return h.status() })
	h.vars.Func("links", func() any { return h.process.mesh.Stats() })
	h.vars.Func("link_traffic", func() any { return h.process.mesh.Traffic() })
}

// Ready returns what this host waits for before it can serve callers.
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

// drain stops taking work, hands shards over and waits for requests in flight.
func (h *entryHost) drain(stop func(context.Context) error, leave, timeout time.Duration) error {
	h.draining.Store(true)
	h.fresh.post(lease.Handover{})
	h.claimer.post(lease.Handover{})
	time.Sleep(leave)
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return eris.Wrap(stop(ctx), "requests were still in flight at the end of [limits] stop_timeout")
}
