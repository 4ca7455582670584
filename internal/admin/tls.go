package admin

import (
	"crypto/tls"
	"net"
	"net/http"

	"tarragongauge.example/tarragongauge/internal/gate"
)

// WithTLS serves over TLS with a configuration such as
// trust.Source.OperatorsServer. Serve on Server.Listener then.
func WithTLS(c *tls.Config) Option {
	return func(s *Server) { s.tls = c }
}

// WithOptionalTLS also serves requests without TLS. It has no effect without WithTLS.
func WithOptionalTLS() Option {
	return func(s *Server) { s.optional = true }
}

// Listener returns the listener to serve Handler on: l itself, or l behind a
// gate for TLS if the server was given a configuration.
func (s *Server) Listener(l net.Listener) net.Listener {
	if s.tls == nil {
		return l
	}
	opts := []gate.Option{gate.WithLogger(s.log)}
	if s.optional {
		opts = append(opts, gate.WithOptionalTLS())
	}
	return gate.New(l, s.tls, opts...)
}

// encrypted refuses requests that reached the handler past Listener.
func (s *Server) encrypted(next http.Handler) http.Handler {
	if s.tls == nil || s.optional {
		return next
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.TLS == nil {
			http.Error(w, "this port needs TLS; use https", http.StatusForbidden)
			return
		}
		next.ServeHTTP(w, r)
	})
}
