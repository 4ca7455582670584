package admin

import (
	"crypto/tls"
	"net"
	"net/http"
)

// WithTLS serves over TLS with a configuration such as
// trust.Source.OperatorsServer. Serve on Server.Listener then.
func WithTLS(c *tls.Config) Option {
	return func(s *Server) { s.tls = c }
}

// Listener returns the listener to serve Handler on: l itself, or l with TLS
// if the server was given a configuration. The http.Server needs a
// ReadHeaderTimeout, which also bounds the TLS handshake.
func (s *Server) Listener(l net.Listener) net.Listener {
	if s.tls == nil {
		return l
	}
	return tls.NewListener(l, s.tls)
}

// encrypted refuses requests that reached the handler past Listener.
func (s *Server) encrypted(next http.Handler) http.Handler {
	if s.tls == nil {
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
