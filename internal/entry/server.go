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

// headerMargin keeps net/http's own header limit, which it answers in plain text, above this package's.
const headerMargin = 8 << 10

// Server is the HTTP side of an entry host. It has one listener for callers
// and one for announcements from targets.
type Server struct {
	settings
	decider    Decider
	recorder   Recorder
	ids        *idSource
	registry   *registry
	targetSide transports
	callers    *http.Server
	targets    *http.Server
	// started is when the server was made.
	started  time.Time
	draining atomic.Bool
	active   atomic.Int64
}

// NewServer returns a server and its clean-up function. The clean-up function
// refuses new requests, waits for those in flight until its context ends, then
// closes what is left.
func NewServer(decider Decider, recorder Recorder, opts ...Option) (*Server, func(context.Context) error, error) {
	if decider == nil || recorder == nil {
		return nil, nil, model.ErrInvalid{Field: "decider or recorder", Got: "nil", Want: "set"}
	}
	s := &Server{settings: settings{limits: DefaultLimits(), echo: true, log: logr.Discard(), requests: logr.Discard(), names: DefaultHeaderNames()}, decider: decider, recorder: recorder, registry: newRegistry(), started: time.Now()}
	for _, opt := range opts {
		opt(&s.settings)
	}
	if s.limits.MaxAttempts < 1 || s.limits.MaxTargetConns < 1 || s.limits.MaxHeader < 1 {
		return nil, nil, model.ErrInvalid{Field: "limits", Got: "not positive", Want: "at least 1 for attempts, target connections and header; start from DefaultLimits"}
	}
	s.ids = newIDSource(s.host)
	s.targetSide.set(s.limits)
	s.callers = s.newHTTPServer(s)
	s.callers.ConnContext = withConn
	s.callers.ConnState = s.connState
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
		// net/http logs malformed input of callers line by line, which a caller could use to fill the log.
		ErrorLog: log.New(io.Discard, "", 0),
	}
}

// ServeCallers serves callers until the clean-up function is called.
func (s *Server) ServeCallers(l net.Listener) error {
	return ended(s.callers.Serve(callerListener{Listener: l, limits: s.limits}))
}

// ServeAnnouncements serves targets until the clean-up function is called.
func (s *Server) ServeAnnouncements(l net.Listener) error {
	return ended(s.targets.Serve(l))
}

func ended(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func (s *Server) connState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*callerConn)
	if !ok {
		return
	}
	c.idle.Store(state == http.StateIdle)
	switch state {
	case http.StateIdle:
		if c.ending.Load() && !c.pipelined() {
			c.Close() //nolint:errcheck // A connection that is closed already is fine.
		}
	case http.StateClosed, http.StateHijacked:
		s.registry.forget(c)
	default:
	}
}

// Drain refuses new requests as not run. Requests in flight go on.
func (s *Server) Drain() { s.draining.Store(true) }

func (s *Server) shutdown(ctx context.Context) error {
	s.Drain()
	err := s.callers.Shutdown(ctx)
	if err != nil {
		err = errors.Join(err, s.callers.Close())
	}
	if terr := s.targets.Shutdown(ctx); terr != nil {
		err = errors.Join(err, terr, s.targets.Close())
	}
	s.targetSide.closeIdle()
	return err
}

// SetMaxTargetConns changes the bound on the connections of this host to one
// target, when the number of live entry hosts or the configuration changes.
// Requests in flight keep their connections, so that for their duration the
// connections of both bounds add up. The same bound again changes nothing.
func (s *Server) SetMaxTargetConns(n int) {
	l := s.limits
	l.MaxTargetConns = max(1, n)
	s.targetSide.set(l)
}

// ActiveRequests counts all requests that have not ended, on open routes too.
func (s *Server) ActiveRequests() int { return int(s.active.Load()) }

// KeyedInFlight counts the keyed requests that have not ended.
func (s *Server) KeyedInFlight() int { return s.registry.count() }

// Evidence returns what this host knows of a workspace's traffic.
func (s *Server) Evidence(ws model.WorkspaceID) Evidence { return s.registry.evidence(ws) }

// CancelWorkspace ends the requests in flight of a withdrawn workspace and closes
// the idle connections that presented one of its keys. Those of which the caller
// has a part of the answer have a second to finish. It returns the number of
// requests. The Decider's configuration must already be without the
// workspace, so that requests that arrive meanwhile are refused.
func (s *Server) CancelWorkspace(ws model.WorkspaceID) int {
	n := s.registry.cancel(errKeyEnded, answerGrace, func(f *flight) bool { return f.workspace == ws })
	s.registry.closeConns(func(_ model.KeyHash, w model.WorkspaceID) bool { return w == ws })
	return n
}

// CancelKey is CancelWorkspace for one key.
func (s *Server) CancelKey(hash model.KeyHash) int {
	n := s.registry.cancel(errKeyEnded, answerGrace, func(f *flight) bool { return f.key == hash })
	s.registry.closeConns(func(k model.KeyHash, _ model.WorkspaceID) bool { return k == hash })
	return n
}

// CancelAllKeyed ends all keyed requests in flight of a host that is not fresh. The
// connections stay open: their keys may still be valid.
func (s *Server) CancelAllKeyed() int {
	return s.registry.cancel(errFreshEnded, 0, func(*flight) bool { return true })
}
