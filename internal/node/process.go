package node

import (
	"context"
	"errors"
	"log"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/go-logr/logr"
	"github.com/rotisserie/eris"

	"tarragongauge.example/tarragongauge/internal/admin"
	"tarragongauge.example/tarragongauge/internal/conf"
	"tarragongauge.example/tarragongauge/internal/gate"
	"tarragongauge.example/tarragongauge/internal/link"
	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/internal/super"
	"tarragongauge.example/tarragongauge/internal/trust"
	"tarragongauge.example/tarragongauge/pkg/model"
)

const (
	// headerTimeout bounds the time to read a request header on the fleet and
	// operators' ports.
	headerTimeout = 5 * time.Second
	// lastAnswersTime bounds how long a stop waits for answers on these ports. A
	// change that was accepted meanwhile is thus acknowledged. Within it, a leader
	// has the answers of the other control hosts.
	lastAnswersTime = 200 * time.Millisecond
)

// process holds what all runtimes share: a supervisor tree, links to other hosts
// and HTTP listeners.
type process struct {
	self  proto.Member
	fleet conf.Fleet
	log   logr.Logger
	tree  *super.Tree
	mesh  *link.Mesh
	// certs is nil without [tls] settings.
	certs *trust.Source
	// optionalTLS is set while connections without TLS are accepted too.
	optionalTLS bool
	// tlsListeners holds the listeners with TLS by the name of their port.
	tlsListeners map[string]*gate.Listener
	// watchers runs the goroutine that waits for the tree, which cannot be a task
	// of the tree itself.
	watchers pond.Pool
	// cleanups holds the clean-up functions in the order in which the components
	// were started.
	cleanups []func()
	// announceStop tells other hosts that this process is about to stop, or is nil.
	announceStop func()
	// closers holds the functions that close data folders. They are called once
	// all tasks have ended.
	closers []func() error
}

// hostID shortens the signatures of message handlers.
type hostID = model.HostID

func (p *process) closeFiles() []error {
	var errs []error
	for _, closeFile := range p.closers {
		errs = append(errs, closeFile())
	}
	p.closers = nil
	return errs
}

// failure returns a channel that receives the error that stopped the supervisor
// tree, if it ever fails.
func (p *process) failure() <-chan error {
	failed := make(chan error, 1)
	p.watchers.Submit(func() {
		if err := p.tree.Wait(); err != nil {
			failed <- err
		}
	})
	return failed
}

// runUntil waits until ctx ends or the supervisor tree fails, then stops the
// process.
func (p *process) runUntil(ctx context.Context, stop func() error) error {
	select {
	case <-ctx.Done():
		if p.announceStop != nil {
			p.announceStop()
		}
		return stop()
	case err := <-p.failure():
		return errors.Join(err, stop())
	}
}

// newIncarnation returns the number of this run of the process. Later runs get
// greater numbers as long as the wall clock of the host does not go back.
func newIncarnation() model.Incarnation {
	return model.Incarnation(time.Now().UnixMicro())
}

// processSetup holds the parameters of newProcess.
type processSetup struct {
	role      proto.Role
	host      conf.Host
	addr      string
	fleet     conf.Fleet
	tls       conf.TLS
	linkQueue int
	log       logr.Logger
}

// newProcess starts the supervisor tree and the links. The returned function
// stops everything in reverse order of start.
func newProcess(s processSetup, handler link.Handler, extra []link.Option) (*process, func(), error) {
	p := &process{
		self: proto.Member{
			Host:        s.host.Name,
			Role:        s.role,
			Zone:        s.host.Zone,
			Addr:        s.addr,
			Incarnation: newIncarnation(),
		},
		fleet:        s.fleet,
		log:          s.log,
		watchers:     pond.NewPool(1),
		tlsListeners: map[string]*gate.Listener{},
	}
	p.cleanups = append(p.cleanups, p.watchers.StopAndWait)
	tree, stopTree := super.New(string(s.host.Name), super.WithLogger(s.log))
	p.tree = tree
	p.cleanups = append(p.cleanups, stopTree)
	extra = append(extra, linkOptions(s.fleet)...)
	if s.fleet.AddressNames {
		extra = append(extra, link.WithResolver(resolveHostName))
	}
	opts := append([]link.Option{link.WithFleet(s.fleet.Name), link.WithLogger(s.log), link.WithQueueLimit(s.linkQueue)}, extra...)
	if s.tls.Enabled() {
		source, stopSource, err := trust.NewSource(s.tls.Files, s.tls.Expect, time.Now, tree, trust.WithLogger(s.log))
		if err != nil {
			p.stop()
			return nil, nil, err
		}
		p.cleanups = append(p.cleanups, stopSource)
		p.certs = source
		opts = append(opts, link.WithTLS(source))
		if p.optionalTLS = s.tls.Optional(); p.optionalTLS {
			opts = append(opts, link.WithOptionalTLS())
		}
	}
	mesh, stopMesh, err := link.New(p.self, s.fleet.Secret.Reveal(), tree, handler, opts...)
	if err != nil {
		p.stop()
		return nil, nil, eris.Wrap(err, "open the links of the fleet")
	}
	p.mesh = mesh
	p.cleanups = append(p.cleanups, stopMesh)
	p.mesh.UpdateMembers(fixedMembers(s.fleet))
	return p, p.stop, nil
}

// linkOptions returns the options with which the settings change the defaults of
// the links.
func linkOptions(f conf.Fleet) []link.Option {
	var opts []link.Option
	if f.Compress {
		opts = append(opts, link.WithCompression())
	}
	if f.Forward {
		opts = append(opts, link.WithForwarding())
	}
	if f.PingInterval > 0 {
		timing := link.DefaultTiming()
		timing.PingInterval = f.PingInterval
		opts = append(opts, link.WithTiming(timing))
	}
	return opts
}

// stop runs the clean-up functions, the last one added first.
func (p *process) stop() {
	for i := len(p.cleanups) - 1; i >= 0; i-- {
		p.cleanups[i]()
	}
	p.cleanups = nil
}

// fixedMembers returns the hosts that the settings name.
func fixedMembers(f conf.Fleet) []proto.Member {
	var out []proto.Member
	add := func(role proto.Role, peers []conf.Peer) {
		for _, peer := range peers {
			out = append(out, proto.Member{Host: peer.Host, Role: role, Addr: peer.Addr})
		}
	}
	add(proto.RoleControl, f.Controls)
	add(proto.RoleEntry, f.Seats)
	add(proto.RoleJournal, f.Journals)
	return out
}

func hostsOf(peers []conf.Peer) []model.HostID {
	out := make([]model.HostID, 0, len(peers))
	for _, p := range peers {
		out = append(out, p.Host)
	}
	return out
}

// listen opens a TCP listener. Its error names the setting that holds the
// address.
func listen(setting, addr string) (net.Listener, error) {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, eris.Wrapf(err, "listen on %s from the setting [listen] %s; choose an address of this host that is free", addr, setting)
	}
	return l, nil
}

// serveFleet serves the links from other hosts.
func (p *process) serveFleet(addr string) error {
	return p.serveHTTP("fleet", addr, p.mesh.Handler(), p.mesh.Listener)
}

// serveOperators serves the operators' port, with TLS when the settings name certificates.
func (p *process) serveOperators(addr string, health admin.Health, vars *admin.Vars, opts ...admin.Option) error {
	opts = append(opts, admin.WithVars(vars), admin.WithLogger(p.log))
	if p.certs != nil {
		opts = append(opts, admin.WithTLS(p.certs.OperatorsServer()))
		if p.optionalTLS {
			opts = append(opts, admin.WithOptionalTLS())
		}
		vars.Func("certificate", func() any { return p.certs.Stats() })
		vars.Func("handshakes", func() any { return p.handshakes() })
	}
	ops := admin.New(health, opts...)
	return p.serveHTTP("operators", addr, ops.Handler(), ops.Listener)
}

// handshakes returns the statistics of the listeners with TLS by the name of
// their port.
func (p *process) handshakes() map[string]gate.Stats {
	all := make(map[string]gate.Stats, len(p.tlsListeners))
	for name, g := range p.tlsListeners {
		all[name] = g.Stats()
	}
	return all
}

// serveHTTP serves a handler on an address until the process stops. The name is
// that of the port in the settings and the logs.
func (p *process) serveHTTP(name, addr string, h http.Handler, wrap func(net.Listener) net.Listener) error {
	l, err := listen(name, addr)
	if err != nil {
		return err
	}
	l = wrap(l)
	if g, ok := l.(*gate.Listener); ok {
		p.tlsListeners[name] = g
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, ErrorLog: p.httpLog(name)}
	p.tree.Go(name, func(context.Context) error {
		return ignoreClosed(server.Serve(l))
	})
	p.cleanups = append(p.cleanups, func() { stopHTTP(server) })
	return nil
}

// stopHTTP stops a server after it has answered the requests in flight, for at
// most lastAnswersTime.
func stopHTTP(server *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), lastAnswersTime)
	defer cancel()
	if server.Shutdown(ctx) != nil {
		_ = server.Close() // what is left is cut off
	}
}

// httpLog returns a logger that writes what net/http reports about single
// connections, such as failed handshakes, at the debug level.
func (p *process) httpLog(name string) *log.Logger {
	return log.New(connLog{p.log.WithValues("port", name)}, "", 0)
}

// connLog writes lines of net/http to the structured log.
type connLog struct{ log logr.Logger }

func (c connLog) Write(line []byte) (int, error) {
	c.log.V(1).Info("connection", "cause", strings.TrimSpace(string(line)))
	return len(line), nil
}

// ignoreClosed returns err, or nil if err is http.ErrServerClosed, which a
// server returns after a regular stop.
func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// background runs a task that must not block a core. The task is dropped if the
// process stops.
func (p *process) background(task func()) {
	p.tree.Go("background", func(context.Context) error {
		task()
		return nil
	})
}

// runEvery calls fn at an interval until the process stops.
func (p *process) runEvery(interval time.Duration, fn func()) {
	p.tree.Go("ticks", func(ctx context.Context) error {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return nil
			case <-ticker.C:
				fn()
			}
		}
	})
}
