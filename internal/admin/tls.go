package admin

import (
	"crypto/tls"
	"net"
	"net/http"

	"tarragongauge.example/tarragongauge/internal/gate"
)

// WithTLS makes the server require TLS with a configuration such as that of
// trust.Source.OperatorsServer. The handler must then be served on the listener
// that Server.Listener returns.
func WithTLS(c *tls.Config) Option {
	return func(s *Server) { s.tls = c }
}

// WithOptionalTLS makes a server with WithTLS also serve requests without TLS. It has no effect without WithTLS.
func WithOptionalTLS() Option {
	return func(s *Server) { s.tlsOptional = true }
}

// Listener returns the listener to serve Handler on: l itself, or with WithTLS a
// gate listener that performs the TLS handshakes of the connections of l.
func (s *Server) Listener(l net.Listener) net.Listener {
	if s.tls == nil {
		return l
	}
	opts := []gate.Option{gate.WithLogger(s.log)}
	if s.tlsOptional {
		opts = append(opts, gate.WithOptionalTLS())
	}
	return gate.New(l, s.tls, opts...)
}

// requireTLS refuses requests without TLS if the server requires it. Such requests
// arrive only if the handler is served on a listener other than that of Listener.
func (s *Server) requireTLS(next http.Handler) http.Handler {
	if s.tls == nil || s.tlsOptional {
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
