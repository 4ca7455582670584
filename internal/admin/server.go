package admin

import (
	"context"
	"crypto/tls"
	"net/http"
	"time"

	"github.com/go-logr/logr"

	"tarragongauge.example/tarragongauge/pkg/opsapi"
)

// Limits of a request that apply unless an option sets others: the size of the
// body in bytes and the time to answer.
const (
	defaultBodyLimit = 1 << 20
	defaultTimeout   = 30 * time.Second
)

// Server serves the operators' API, the health checks and the metrics of one process.
type Server struct {
	health    Health
	backend   Backend
	tokens    []Token
	vars      *Vars
	log       logr.Logger
	bodyLimit int64
	timeout   time.Duration
	now       func() time.Time
	// tls is nil if the port serves without TLS only.
	tls *tls.Config
	// tlsOptional is set if requests without TLS are served as well.
	tlsOptional bool
	wrongTokens *wrongTokenLimiter
}

// Option configures a Server.
type Option func(*Server)

// WithBackend adds the operators' API, served by b to requests with one of the tokens.
func WithBackend(b Backend, tokens []Token) Option {
	return func(s *Server) {
		s.backend = b
		s.tokens = tokens
	}
}

// WithVars adds the metrics of v.
func WithVars(v *Vars) Option {
	return func(s *Server) { s.vars = v }
}

// WithLogger sets the logger for changes, refused tokens and internal errors. The default discards them.
func WithLogger(log logr.Logger) Option {
	return func(s *Server) { s.log = log }
}

// WithBodyLimit sets the largest size of a request's body in bytes; the default is 1 MiB.
func WithBodyLimit(n int) Option {
	return func(s *Server) { s.bodyLimit = int64(n) }
}

// WithTimeout sets the time after which a request's context ends; the default is 30 s.
func WithTimeout(d time.Duration) Option {
	return func(s *Server) { s.timeout = d }
}

// New returns a server that serves the health checks of a process. The options
// add the operators' API and the metrics.
func New(health Health, opts ...Option) *Server {
	s := &Server{health: health, log: logr.Discard(), bodyLimit: defaultBodyLimit, timeout: defaultTimeout, now: time.Now, wrongTokens: newWrongTokenLimiter()}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// Handler returns the handler for all paths of the server.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+opsapi.PathHealth, s.serveHealth)
	mux.HandleFunc("GET "+opsapi.PathReady, s.serveReady)
	if s.vars != nil {
		mux.Handle("GET "+opsapi.PathVars, s.vars)
		mux.Handle("GET "+opsapi.PathMetrics, s.vars.PrometheusHandler())
	}
	if s.backend != nil {
		s.addOperatorRoutes(mux)
	}
	return s.requireTLS(s.withLimits(mux))
}

// addOperatorRoutes registers the paths that require an operator's token.
func (s *Server) addOperatorRoutes(mux *http.ServeMux) {
	routes := []struct {
		pattern string
		serve   operationFunc
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
		mux.Handle(r.pattern, s.withAuthentication(r.serve))
	}
}

// withLimits limits the body size and the time of every request, and sets the
// headers that keep responses from being cached or sniffed.
func (s *Server) withLimits(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), s.timeout)
		defer cancel()
		r.Body = http.MaxBytesReader(w, r.Body, s.bodyLimit)
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
	_, _ = w.Write([]byte(text + "\n")) // fails only if the client has disconnected
}
