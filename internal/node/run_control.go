package node

import (
	"context"
	"errors"
	"time"

	"github.com/go-logr/logr"

	"tarragongauge.example/tarragongauge/internal/admin"
	"tarragongauge.example/tarragongauge/internal/conf"
	"tarragongauge.example/tarragongauge/internal/lease"
	"tarragongauge.example/tarragongauge/internal/link"
	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// controlTick is the interval at which the cores of a control host act on elapsed time.
const controlTick = 25 * time.Millisecond

// RunControl runs a control host until ctx ends.
func RunControl(ctx context.Context, c conf.Control, log logr.Logger) error {
	p, stop, err := startControl(c, log)
	if err != nil {
		return err
	}
	log.Info("control host started", "host", c.Host.Name, "operators", c.Listen.Operators, "data_dir", c.Host.DataDir)
	return p.runUntil(ctx, stop)
}

// diskHost is what runs on a host with a disk: control, an order journal or both.
type diskHost struct {
	control *controlHost
	journal *journalHost
}

func (d *diskHost) receive(from hostID, m proto.Message) {
	if d.journal != nil && d.journal.receive(from, m) {
		return
	}
	if d.control != nil {
		d.control.receive(from, m)
	}
}

func (d *diskHost) tick() {
	if d.journal != nil {
		d.journal.tick()
	}
	if d.control != nil {
		d.control.tick()
	}
}

func startControl(c conf.Control, log logr.Logger, extra ...link.Option) (*process, func() error, error) {
	d := &diskHost{}
	p, stopProcess, err := newProcess(processSetup{
		role: proto.RoleControl, host: c.Host, addr: c.Listen.Fleet, fleet: c.Fleet, tls: c.TLS, queue: c.Limits.LinkQueue, log: log,
	}, d.receive, extra)
	if err != nil {
		return nil, nil, err
	}
	stop := func() error { stopProcess(); return errors.Join(p.closeFiles()...) }
	send := func(to model.HostID, m proto.Message) { p.mesh.Send(to, m) }
	control, closeLog, err := openControl(controlSetup{
		self: p.self, dataDir: c.Host.DataDir, timing: lease.DefaultTiming(),
		controls: hostsOf(c.Fleet.Controls), seats: hostsOf(c.Fleet.Seats), create: c.CreateFleet,
		log: log, send: send, learn: p.mesh.Learn, run: p.background,
	})
	if err != nil {
		return nil, nil, errors.Join(err, stop())
	}
	p.files = append(p.files, closeLog)
	d.control = control
	p.tree.Go("log", control.disk.run)
	if c.Journal {
		if err := p.addJournal(d, c.Host.DataDir, c.Fleet, c.CreateFleet); err != nil {
			return nil, nil, errors.Join(err, stop())
		}
	}
	err = errors.Join(
		p.serveFleet(c.Listen.Fleet),
		p.serveOperators(c.Listen.Operators, control, p.vars(control),
			admin.WithBackend(control, tokens(c.Operators)), admin.WithBodyLimit(c.Limits.OperatorsBytes)),
	)
	if err != nil {
		return nil, nil, errors.Join(err, stop())
	}
	p.every(controlTick, d.tick)
	return p, stop, nil
}

func tokens(o conf.Operators) []admin.Token {
	out := make([]admin.Token, 0, len(o.Tokens))
	for _, t := range o.Tokens {
		out = append(out, admin.Token(t))
	}
	return out
}

// vars makes the figures of a control host available to the operators' port.
func (p *process) vars(c *controlHost) *admin.Vars {
	v := admin.NewVars()
	v.Func("links", func() any { return p.mesh.Stats() })
	v.Func("control", func() any { return c.figures() })
	return v
}

// addJournal opens the order journal of a disk host.
func (p *process) addJournal(d *diskHost, dataDir string, fleet conf.Fleet, create bool) error {
	send := func(to model.HostID, m proto.Message) { p.mesh.Send(to, m) }
	j, closeJournal, err := openJournal(journalSetup{
		dataDir: dataDir, self: p.self, journals: hostsOf(fleet.Journals), create: create, log: p.log, send: send,
	})
	if err != nil {
		return err
	}
	p.files = append(p.files, closeJournal)
	d.journal = j
	p.tree.Go("journal", j.disk.run)
	p.tree.Go("journal reads", j.reads.run)
	p.tree.Go("journal pages", j.pages.run)
	return nil
}

// RunJournal runs an order journal without control until ctx ends.
func RunJournal(ctx context.Context, c conf.Journal, log logr.Logger) error {
	p, stop, err := startJournal(c, log)
	if err != nil {
		return err
	}
	log.Info("journal host started", "host", c.Host.Name, "data_dir", c.Host.DataDir)
	return p.runUntil(ctx, stop)
}

func startJournal(c conf.Journal, log logr.Logger, extra ...link.Option) (*process, func() error, error) {
	d := &diskHost{}
	p, stopProcess, err := newProcess(processSetup{
		role: proto.RoleJournal, host: c.Host, addr: c.Listen.Fleet, fleet: c.Fleet, tls: c.TLS, queue: c.Limits.LinkQueue, log: log,
	}, d.receive, extra)
	if err != nil {
		return nil, nil, err
	}
	stop := func() error { stopProcess(); return errors.Join(p.closeFiles()...) }
	if err := p.addJournal(d, c.Host.DataDir, c.Fleet, c.CreateFleet); err != nil {
		return nil, nil, errors.Join(err, stop())
	}
	vars := admin.NewVars()
	vars.Func("links", func() any { return p.mesh.Stats() })
	err = errors.Join(p.serveFleet(c.Listen.Fleet), p.serveOperators(c.Listen.Operators, alwaysReady{}, vars))
	if err != nil {
		return nil, nil, errors.Join(err, stop())
	}
	p.every(controlTick, d.tick)
	return p, stop, nil
}

// alwaysReady is the health of a process that takes no traffic from a balancer.
type alwaysReady struct{}

// Ready returns nil.
func (alwaysReady) Ready() error { return nil }
