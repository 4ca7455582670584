package admin

import (
	"context"
	"crypto/tls"
	"net/http"
	"time"

	"github.com/go-logr/logr"

	"tarragongauge.example/tarragongauge/pkg/opsapi"
)

const (
	defaultBody    = 1 << 20
	defaultTimeout = 30 * time.Second
)

// Server serves the API of one process.
type Server struct {
	health  Health
	backend Backend
	tokens  []Token
	vars    *Vars
	log     logr.Logger
	body    int64
	timeout time.Duration
	now     func() time.Time
	// tls is nil unless the port is encrypted.
	tls *tls.Config
	// optional is set while requests without TLS are served too.
	optional bool
	failed   *failures
}

// Option changes what a server serves.
type Option func(*Server)

// WithBackend serves changes and reports to operators who present one of the tokens.
func WithBackend(b Backend, tokens []Token) Option {
	return func(s *Server) {
		s.backend = b
		s.tokens = tokens
	}
}

// WithVars serves metrics.
func WithVars(v *Vars) Option {
	return func(s *Server) { s.vars = v }
}

// WithLogger logs changes and refused tokens.
func WithLogger(log logr.Logger) Option {
	return func(s *Server) { s.log = log }
}

// WithBodyLimit bounds the body of a request in bytes.
func WithBodyLimit(n int) Option {
	return func(s *Server) { s.body = int64(n) }
}

// WithTimeout bounds the answer to a request.
func WithTimeout(d time.Duration) Option {
	return func(s *Server) { s.timeout = d }
}

// New returns a server for the health checks of a process and whatever the options add.
func New(health Health, opts ...Option) *Server {
	s := &Server{health: health, log: logr.Discard(), body: defaultBody, timeout: defaultTimeout, now: time.Now, failed: newFailures()}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// Handler returns the handler of all paths.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+opsapi.PathHealth, s.serveHealth)
	mux.HandleFunc("GET "+opsapi.PathReady, s.serveReady)
	if s.vars != nil {
		mux.Handle("GET "+opsapi.PathVars, s.vars)
		mux.Handle("GET "+opsapi.PathMetrics, s.vars.PrometheusHandler())
	}
	if s.backend != nil {
		s.addOperators(mux)
	}
	return s.encrypted(s.bounded(mux))
}

func (s *Server) addOperators(mux *http.ServeMux) {
	routes := []struct {
		pattern string
		serve   operation
	}{
		{"POST " + opsapi.PathChanges, s.propose},
		{"GET " + opsapi.PathConfig, s.config},
		{"GET " + opsapi.PathVersion, s.version},
		{"GET " + opsapi.PathHistory, s.history},
		{"GET " + opsapi.PathSilence + "{workspace}", s.silence},
		{"GET " + opsapi.PathStatus, s.status},
		{"GET " + opsapi.PathBurn, s.burn},
		{"POST " + opsapi.PathQuarantine, s.clearQuarantine},
	}
	for _, r := range routes {
		mux.Handle(r.pattern, s.authenticated(r.serve))
	}
}

// bounded limits the body and the time of every request.
func (s *Server) bounded(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), s.timeout)
		defer cancel()
		r.Body = http.MaxBytesReader(w, r.Body, s.body)
		w.Header().Set("Cache-Control", "no-store")
		w.Header().Set("X-Content-Type-Options", "nosniff")
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

func (s *Server) serveHealth(w http.ResponseWriter, _ *http.Request) {
	writeText(w, http.StatusOK, "ok")
}

func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	if err := s.health.Ready(); err != nil {
		writeText(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	writeText(w, http.StatusOK, "ready")
}

func writeText(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	_, _ = w.Write([]byte(text + "\n")) // the client went away
}
