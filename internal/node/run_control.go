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
	"tarragongauge.example/tarragongauge/internal/member"
	"tarragongauge.example/tarragongauge/internal/pool"
	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// controlTickInterval is the interval at which the cores of a control host or a
// journal act on elapsed time.
const controlTickInterval = 25 * time.Millisecond

// RunControl runs a control host until ctx ends.
func RunControl(ctx context.Context, c conf.Control, log logr.Logger) error {
	return RunControlWithAdapters(ctx, c, log)
}

// RunControlWithAdapters runs a control host with additional ports until ctx
// ends.
func RunControlWithAdapters(ctx context.Context, c conf.Control, log logr.Logger, adapters ...ControlAdapter) error {
	p, stop, err := startControl(c, log, adapters)
	if err != nil {
		return err
	}
	log.Info("control host started", "host", c.Host.Name, "operators", c.Listen.Operators, "data_dir", c.Host.DataDir)
	return p.runUntil(ctx, stop)
}

// diskHost holds the runtimes of a host with a disk: control, an order journal or
// both.
type diskHost struct {
	control *controlHost
	journal *journalHost
	// seat, owner and membership are nil unless the host joins the fleet
	// automatically.
	seat       *seatHost
	owner      *ownerHost
	membership *membership
}

// receive passes a message to the components of this host that handle it.
func (d *diskHost) receive(from hostID, m proto.Message) {
	if d.journal != nil && d.journal.receive(from, m) {
		return
	}
	if ask, ok := m.(proto.FreshAsk); ok && d.seat != nil && ask.Member.Role == proto.RoleEntry {
		d.seat.answerRelayedAsk(from, ask, d.owner.knownTargets)
		d.control.recordMember(ask)
		return
	}
	if d.owner != nil && d.owner.receive(from, m) {
		return
	}
	if handles, exclusively := seatTakes(m); handles && d.seat != nil {
		d.seat.receive(from, m)
		if exclusively {
			return
		}
	}
	if d.membership != nil && d.receiveMembership(from, m) {
		return
	}
	if d.control != nil {
		d.control.receive(from, m)
	}
}

// receiveMembership handles the messages for a host that joins the fleet
// automatically. It returns false for other messages.
func (d *diskHost) receiveMembership(from hostID, m proto.Message) bool {
	switch m := m.(type) {
	case proto.PeerAsk:
		if d.seat.confirmedWithin(maxConfirmationAge) {
			d.seat.mesh.Send(from, proto.PeerReply(m))
		}
	case proto.JoinAsk:
		d.membership.receive(m)
	case proto.LeaveNotice:
		d.membership.core.post(member.LeaveAnnounced{Notice: m})
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

// startControl starts a control host. It returns its process and a function
// that stops it.
func startControl(c conf.Control, log logr.Logger, adapters []ControlAdapter, extra ...link.Option) (*process, func() error, error) {
	d := &diskHost{}
	p, stopProcess, err := newProcess(processSetup{
		role: proto.RoleControl, host: c.Host, addr: c.Listen.Fleet, fleet: c.Fleet, tls: c.TLS, linkQueue: c.Limits.LinkQueue, log: log,
	}, d.receive, extra)
	if err != nil {
		return nil, nil, err
	}
	stop := func() error { stopProcess(); return errors.Join(p.closeFiles()...) }
	send := func(to model.HostID, m proto.Message) { p.mesh.Send(to, m) }
	control, closeLog, err := openControl(controlSetup{
		self: p.self, dataDir: c.Host.DataDir, timing: lease.DefaultTiming(),
		controls: hostsOf(c.Fleet.Controls), seats: hostsOf(c.Fleet.Seats), createFleet: c.CreateFleet, serveUnconfirmed: c.Fleet.ServeUnconfirmed,
		log: log, send: send, learnMembers: p.mesh.UpdateMembers, background: p.background,
	})
	if err != nil {
		return nil, nil, errors.Join(err, stop())
	}
	p.closers = append(p.closers, closeLog)
	if c.Join.Size > 0 {
		if err := d.addMembership(p, c, control); err != nil {
			return nil, nil, errors.Join(err, stop())
		}
	}
	d.control = control
	p.tree.Go("log", control.logWrites.run)
	if c.RunsJournal {
		if err := p.addJournal(d, c.Host.DataDir, c.Fleet, c.CreateFleet); err != nil {
			return nil, nil, errors.Join(err, stop())
		}
	}
	err = errors.Join(
		p.serveFleet(c.Listen.Fleet),
		p.serveOperators(c.Listen.Operators, control, p.controlVars(control, d.owner),
			admin.WithBackend(control, operatorTokens(c.Operators)), admin.WithBodyLimit(c.Limits.OperatorsBytes)),
	)
	if err != nil {
		return nil, nil, errors.Join(err, stop())
	}
	for _, adapter := range adapters {
		handler := adapter.NewHandler(&controlAPI{control: control, seat: d.seat, owner: d.owner, minCopies: c.Join.MinCopies})
		if err := p.serveHTTP("adapter", adapter.Addr, handler, plainListener); err != nil {
			return nil, nil, errors.Join(err, stop())
		}
	}
	p.runEvery(controlTickInterval, d.tick)
	if d.membership != nil {
		p.runEvery(membershipTickInterval, d.membership.tick)
	}
	return p, stop, nil
}

// plainListener returns the listener unchanged.
func plainListener(l net.Listener) net.Listener { return l }

// addMembership adds what a control host needs that joins the fleet
// automatically: a seat, the owner cores, which also accept announcements, and
// the membership planner, which asks to make the host a control host.
func (d *diskHost) addMembership(p *process, c conf.Control, control *controlHost) error {
	send := func(to model.HostID, m proto.Message) { p.mesh.Send(to, m) }
	tuning := poolTuning(c.Fleet)
	known, closeKnown, err := openKnownTargets(newClock().now(), c.Host.DataDir, tuning.StaleAfter, p.log, p.background)
	if err != nil {
		return err
	}
	p.closers = append(p.closers, closeKnown)
	var admitOpts []admit.Option
	if c.Fleet.ServeUnconfirmed {
		admitOpts = append(admitOpts, admit.WithShares())
	}
	owner, stopOwner := newOwnerHost(p.self, lease.DefaultTiming(), tuning, known, p.log, send, admitOpts...)
	p.cleanups = append(p.cleanups, stopOwner)
	withColdHeader(c.Headers.TargetCold)(owner.prober)
	d.owner = owner
	store, persisted, closeStore, err := openSeatStore(c.Host.DataDir, p.log)
	if err != nil {
		return err
	}
	p.closers = append(p.closers, closeStore)
	d.seat = newSeatHost(p, c.Fleet, p.log, lease.WithPersistedState(persisted))
	d.seat.onFreshnessEffect = owner.applyFreshness
	d.seat.useStore(store)
	p.tree.Go("seat", store.writes.run)
	control.onConfigApplied = d.seat.setLocatedHosts
	control.ownerZones = owner.zones
	d.seat.setLocatedHosts(control.appliedConfig())
	d.membership = newMembership(control, hostsOf(c.Fleet.Controls), c.Join.Size)
	p.announceStop = d.membership.announceStop
	return nil
}

// poolTuning returns the parameters of the pool cores of a fleet.
func poolTuning(f conf.Fleet) pool.Tuning {
	t := pool.DefaultTuning()
	if f.OwnersAtControl {
		t = pool.CautiousTuning()
	}
	t.Pace = f.Pace
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

// operatorTokens converts the tokens of the settings for the operators' port.
func operatorTokens(o conf.Operators) []admin.Token {
	out := make([]admin.Token, 0, len(o.Tokens))
	for _, t := range o.Tokens {
		out = append(out, admin.Token(t))
	}
	return out
}

// controlVars returns the metrics of a control host for the operators' port. The
// owner is nil if the host owns no shards.
func (p *process) controlVars(c *controlHost, owner *ownerHost) *admin.Vars {
	v := admin.NewVars()
	if owner != nil {
		v.Registry().MustRegister(newLoadCollector(owner.poolOwner, owner.poolOwnerCore))
	}
	v.Func("links", func() any { return p.mesh.Stats() })
	v.Func("link_traffic", func() any { return p.mesh.Traffic() })
	v.Func("control", func() any { return c.metrics() })
	return v
}

// addJournal opens the order journal of a host and starts its tasks.
func (p *process) addJournal(d *diskHost, dataDir string, fleet conf.Fleet, create bool) error {
	send := func(to model.HostID, m proto.Message) { p.mesh.Send(to, m) }
	j, closeJournal, err := openJournal(journalSetup{
		dataDir: dataDir, self: p.self, journals: hostsOf(fleet.Journals), createFleet: create, log: p.log, send: send,
	})
	if err != nil {
		return err
	}
	p.closers = append(p.closers, closeJournal)
	d.journal = j
	p.tree.Go("journal", j.writes.run)
	p.tree.Go("journal reads", j.reads.run)
	p.tree.Go("journal pages", j.pageReads.run)
	return nil
}

// RunJournal runs an order journal without a control host until ctx ends.
func RunJournal(ctx context.Context, c conf.Journal, log logr.Logger) error {
	p, stop, err := startJournal(c, log)
	if err != nil {
		return err
	}
	log.Info("journal host started", "host", c.Host.Name, "data_dir", c.Host.DataDir)
	return p.runUntil(ctx, stop)
}

// startJournal starts a journal host. It returns its process and a function
// that stops it.
func startJournal(c conf.Journal, log logr.Logger, extra ...link.Option) (*process, func() error, error) {
	d := &diskHost{}
	p, stopProcess, err := newProcess(processSetup{
		role: proto.RoleJournal, host: c.Host, addr: c.Listen.Fleet, fleet: c.Fleet, tls: c.TLS, linkQueue: c.Limits.LinkQueue, log: log,
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
	p.runEvery(controlTickInterval, d.tick)
	return p, stop, nil
}

// alwaysReady is the health of a process that gets no traffic from a load
// balancer.
type alwaysReady struct{}

// Ready returns nil.
func (alwaysReady) Ready() error { return nil }
