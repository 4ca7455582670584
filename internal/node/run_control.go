package node

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/go-logr/logr"

	"tarragongauge.example/tarragongauge/internal/admin"
	"tarragongauge.example/tarragongauge/internal/admit"
	"tarragongauge.example/tarragongauge/internal/conf"
	"tarragongauge.example/tarragongauge/internal/lease"
	"tarragongauge.example/tarragongauge/internal/link"
	"tarragongauge.example/tarragongauge/internal/pool"
	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// controlTick is the interval at which the cores of a control host act on elapsed time.
const controlTick = 25 * time.Millisecond

// RunControl runs a control host until ctx ends.
func RunControl(ctx context.Context, c conf.Control, log logr.Logger) error {
	return RunControlWith(ctx, c, log)
}

// RunControlWith runs a control host with further ports.
func RunControlWith(ctx context.Context, c conf.Control, log logr.Logger, ports ...ControlHandler) error {
	p, stop, err := startControl(c, log, ports)
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
	// seat, owner and membership are nil unless the host joins by itself.
	seat       *seatHost
	owner      *ownerPart
	membership *membership
}

func (d *diskHost) receive(from hostID, m proto.Message) {
	if d.journal != nil && d.journal.receive(from, m) {
		return
	}
	if ask, ok := m.(proto.FreshAsk); ok && d.seat != nil && ask.Member.Role == proto.RoleEntry {
		d.seat.relay(from, ask, d.owner.known)
		d.control.see(ask)
		return
	}
	if d.owner != nil && d.owner.receive(from, m) {
		return
	}
	if taken, alone := seatMessages(m); taken && d.seat != nil {
		d.seat.receive(from, m)
		if alone {
			return
		}
	}
	if d.membership != nil && d.receiveJoined(from, m) {
		return
	}
	if d.control != nil {
		d.control.receive(from, m)
	}
}

// receiveJoined takes the messages for a host that joins by itself, and reports whether m is one.
func (d *diskHost) receiveJoined(from hostID, m proto.Message) bool {
	switch m := m.(type) {
	case proto.PeerAsk:
		if d.seat.confirmedWithin(announceAge) {
			d.seat.mesh.Send(from, proto.PeerReply(m))
		}
	case proto.JoinAsk:
		d.membership.receive(m)
	default:
		return false
	}
	return true
}

func (d *diskHost) tick() {
	if d.journal != nil {
		d.journal.tick()
	}
	if d.control != nil {
		d.control.tick()
	}
	if d.seat != nil {
		d.seat.tick()
		d.owner.tick()
	}
}

func startControl(c conf.Control, log logr.Logger, ports []ControlHandler, extra ...link.Option) (*process, func() error, error) {
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
	if c.Join.Size > 0 {
		if err := d.joinFleet(p, c, control); err != nil {
			return nil, nil, errors.Join(err, stop())
		}
	}
	d.control = control
	p.tree.Go("log", control.disk.run)
	if c.RunsJournal {
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
	for _, port := range ports {
		handler := port.New(&controlPort{control: control, seat: d.seat, owner: d.owner, minCopies: c.Join.MinCopies})
		if err := p.serveHTTP("adapter", port.Addr, handler, unwrapped); err != nil {
			return nil, nil, errors.Join(err, stop())
		}
	}
	p.every(controlTick, d.tick)
	if d.membership != nil {
		p.every(joinTick, d.membership.tick)
	}
	return p, stop, nil
}

// unwrapped serves a listener as it is.
func unwrapped(l net.Listener) net.Listener { return l }

// joinFleet adds what a control host needs that joins by itself: it is a seat
// too, takes announcements and asks to become a control host.
func (d *diskHost) joinFleet(p *process, c conf.Control, control *controlHost) error {
	send := func(to model.HostID, m proto.Message) { p.mesh.Send(to, m) }
	tune := tuning(c.Fleet)
	known, closeKnown, err := openKnown(newClock().now(), c.Host.DataDir, tune.StaleAfter, p.log, p.background)
	if err != nil {
		return err
	}
	p.files = append(p.files, closeKnown)
	var limits []admit.Option
	if c.Fleet.ServeUnconfirmed {
		limits = append(limits, admit.WithShares())
	}
	owner, stopOwner := newOwnerPart(p.self, lease.DefaultTiming(), tune, known, p.log, send, limits...)
	p.stops = append(p.stops, stopOwner)
	d.owner = owner
	memory, remembered, closeMemory, err := openSeatMemory(c.Host.DataDir, p.log)
	if err != nil {
		return err
	}
	p.files = append(p.files, closeMemory)
	d.seat = newSeatHost(p, c.Fleet, p.log, lease.WithPersistedState(remembered))
	d.seat.follow = owner.follow
	d.seat.remember(memory)
	p.tree.Go("seat", memory.disk.run)
	control.follow = d.seat.locate
	d.seat.locate(control.applied())
	d.membership = newMembership(control, hostsOf(c.Fleet.Controls), c.Join.Size)
	return nil
}

// tuning returns the target policy of a fleet.
func tuning(f conf.Fleet) pool.Tuning {
	t := pool.DefaultTuning()
	if f.OwnersAtControl {
		t = pool.CautiousTuning()
	}
	if f.Retries.Burst > 0 {
		t.Retries = pool.Retries(f.Retries)
	}
	if f.StaleAfter > 0 {
		t.StaleAfter = f.StaleAfter
		t.MaxAnnouncementAge = f.StaleAfter
		t.RemoveAfter = max(t.RemoveAfter, f.StaleAfter)
	}
	return t
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
	v.Func("link_traffic", func() any { return p.mesh.Traffic() })
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
	vars.Func("link_traffic", func() any { return p.mesh.Traffic() })
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
