package entry

import (
	"context"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// headerMargin is how many bytes net/http's header limit is above this package's,
// so that this package refuses first. net/http refuses in plain text.
const headerMargin = 8 << 10

// Server is the HTTP side of an entry host. It has one listener for callers
// and one for announcements from targets.
type Server struct {
	settings
	decider    Decider
	recorder   Recorder
	ids        *idSource
	registry   *registry
	transports transports
	// callers serves callers, and targets serves announcements.
	callers *http.Server
	targets *http.Server
	// startedAt is when the server was created.
	startedAt time.Time
	listeners listeners
	conns     *connSet
	// leaving is set once answers announce that their connection ends.
	leaving atomic.Bool
	// draining is set once new requests are refused.
	draining atomic.Bool
	stop     *stop
	// active counts the requests of callers that have not ended.
	active atomic.Int64
}

// NewServer returns a server and its clean-up function. The clean-up function
// refuses new requests and waits for those in flight until its context ends. Requests
// that wait for a target are refused as not run as soon as too little time is left to
// serve them; those that are with a target at the end are answered as unknown. Then
// the connections that are left are closed. NewServer returns model.ErrInvalid if
// decider or recorder is nil or a limit that must be positive is not.
func NewServer(decider Decider, recorder Recorder, opts ...Option) (*Server, func(context.Context) error, error) {
	if decider == nil || recorder == nil {
		return nil, nil, model.ErrInvalid{Field: "decider or recorder", Got: "nil", Want: "set"}
	}
	s := &Server{settings: settings{limits: DefaultLimits(), requireRequestID: true, log: logr.Discard(), requestLog: logr.Discard(), headerNames: DefaultHeaderNames()}, decider: decider, recorder: recorder, registry: newRegistry(), conns: newConnSet(), startedAt: time.Now(), stop: newStop()}
	for _, opt := range opts {
		opt(&s.settings)
	}
	if s.limits.MaxAttempts < 1 || s.limits.MaxTargetConns < 1 || s.limits.MaxHeader < 1 {
		return nil, nil, model.ErrInvalid{Field: "limits", Got: "not positive", Want: "at least 1 for attempts, target connections and header; start from DefaultLimits"}
	}
	s.ids = newIDSource(s.host)
	s.transports.set(s.limits)
	s.callers = s.newHTTPServer(s)
	s.callers.ConnContext = withConn
	s.callers.ConnState = s.onConnState
	s.targets = s.newHTTPServer(s.AnnouncementHandler())
	s.targets.ReadTimeout = s.limits.HeaderTimeout
	return s, s.shutdown, nil
}

func (s *Server) newHTTPServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:                      h,
		ReadHeaderTimeout:            s.limits.HeaderTimeout,
		IdleTimeout:                  s.limits.IdleTimeout,
		MaxHeaderBytes:               s.limits.MaxHeader + headerMargin,
		DisableGeneralOptionsHandler: true,
		// net/http logs each malformed request, with which a caller could fill the log.
		ErrorLog: log.New(io.Discard, "", 0),
	}
}

// ServeCallers serves callers on l until the clean-up function is called.
func (s *Server) ServeCallers(l net.Listener) error {
	cl := newCallerListener(l, s.limits)
	if !s.listeners.add(cl) {
		return cl.Close()
	}
	err := s.callers.Serve(cl)
	if cl.isStopping() && errors.Is(err, net.ErrClosed) {
		return nil
	}
	return ignoreServerClosed(err)
}

// ServeAnnouncements serves announcements of targets on l until the clean-up
// function is called.
func (s *Server) ServeAnnouncements(l net.Listener) error {
	return ignoreServerClosed(s.targets.Serve(l))
}

// ignoreServerClosed returns err, or nil if err is that the server was shut down.
func ignoreServerClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// onConnState implements http.Server.ConnState for the connections of callers.
func (s *Server) onConnState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*callerConn)
	if !ok {
		return
	}
	c.setState(state)
	switch state {
	case http.StateNew:
		s.conns.add(c)
	case http.StateIdle:
		if c.closeAfterAnswer.Load() {
			c.endAfterNotice()
		}
	case http.StateClosed, http.StateHijacked:
		s.registry.removeConn(c)
		s.conns.remove(c)
	default:
	}
}

// Leave makes each answer announce that its connection ends, while requests are
// still served. Callers then have moved to other hosts when Drain is called, and
// few requests are on their way on connections that are closed.
func (s *Server) Leave() { s.leaving.Store(true) }

// Drain refuses new requests as not run. Requests in flight continue.
func (s *Server) Drain() { s.draining.Store(true) }

// shutdown is the clean-up function that NewServer returns.
func (s *Server) shutdown(ctx context.Context) error {
	s.Drain()
	s.stop.beginUntil(ctx)
	s.endConns(ctx)
	err := s.callers.Shutdown(ctx)
	if err != nil {
		s.conns.dropInput()
		lastAnswers, cancel := context.WithTimeout(context.Background(), lastAnswersTime)
		defer cancel()
		_ = s.callers.Shutdown(lastAnswers) // what is left is closed
		err = errors.Join(err, s.callers.Close())
	}
	err = errors.Join(err, s.stopTargets(ctx))
	s.transports.closeIdle()
	return err
}

// stopTargets ends the server for announcements. It waits lastAnswersTime at most for
// what has arrived: net/http waits five seconds for a connection that sends nothing,
// and targets repeat their announcements.
func (s *Server) stopTargets(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, lastAnswersTime)
	defer cancel()
	if s.targets.Shutdown(ctx) != nil {
		return s.targets.Close()
	}
	return nil
}

// endConns stops the listeners and waits until all connections of callers have
// ended or ctx ends. http.Server.Shutdown alone would close connections on which
// requests have arrived: those that it holds for idle, pipelined requests behind
// the one that runs, and requests whose header is being read.
func (s *Server) endConns(ctx context.Context) {
	for _, l := range s.listeners.stop() {
		select {
		case <-l.stopped:
		case <-ctx.Done():
			return
		}
	}
	ticker := time.NewTicker(endPollInterval)
	defer ticker.Stop()
	for s.conns.endIdle() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// SetMaxTargetConns changes the maximum number of connections of this host to one
// target to n, at least 1. It is called when the number of live entry hosts or the
// configuration changes. Requests in flight keep their connections, so that until
// they end a target can have up to the old and the new maximum together. Setting
// the current maximum again changes nothing.
func (s *Server) SetMaxTargetConns(n int) {
	l := s.limits
	l.MaxTargetConns = max(1, n)
	s.transports.set(l)
}

// ActiveRequests returns the number of requests that have not ended, including
// those on open routes.
func (s *Server) ActiveRequests() int { return int(s.active.Load()) }

// KeyedInFlight returns the number of keyed requests that have not ended.
func (s *Server) KeyedInFlight() int { return s.registry.count() }

// Evidence returns what this host knows of a workspace's traffic.
func (s *Server) Evidence(ws model.WorkspaceID) Evidence { return s.registry.evidence(ws) }

// WithdrawWorkspace refuses the requests of a withdrawn workspace that are not with
// a target, as not run, and closes the connections that presented one of its keys,
// busy ones after their answer. Requests that are with a target go on until they end
// or CancelWorkspace is called, but are not retried. It returns the number of
// requests in flight. The Decider's configuration must already be without the
// workspace, so that requests that arrive meanwhile are refused.
func (s *Server) WithdrawWorkspace(ws model.WorkspaceID) int {
	n := s.registry.endWaits(errKeyWithdrawn, func(f *inFlightRequest) bool { return f.workspace == ws })
	s.registry.closeConns(func(_ model.KeyHash, w model.WorkspaceID) bool { return w == ws })
	return n
}

// WithdrawKey does for a withdrawn key what WithdrawWorkspace does for a workspace.
func (s *Server) WithdrawKey(hash model.KeyHash) int {
	n := s.registry.endWaits(errKeyWithdrawn, func(f *inFlightRequest) bool { return f.key == hash })
	s.registry.closeConns(func(k model.KeyHash, _ model.WorkspaceID) bool { return k == hash })
	return n
}

// CancelWorkspace ends the requests in flight of a withdrawn workspace at once, also
// those that are with a target, and returns their number.
func (s *Server) CancelWorkspace(ws model.WorkspaceID) int {
	return s.registry.cancel(errKeyWithdrawn, func(f *inFlightRequest) bool { return f.workspace == ws })
}

// CancelKey does for a withdrawn key what CancelWorkspace does for a workspace.
func (s *Server) CancelKey(hash model.KeyHash) int {
	return s.registry.cancel(errKeyWithdrawn, func(f *inFlightRequest) bool { return f.key == hash })
}

// CancelAllKeyed cancels all keyed requests in flight, on a host that cannot
// confirm its configuration any more, and returns their number. The connections
// stay open, since their keys may still be valid.
func (s *Server) CancelAllKeyed() int {
	return s.registry.cancel(errNotFresh, func(*inFlightRequest) bool { return true })
}
