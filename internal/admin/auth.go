package admin

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"

	"tarragongauge.example/tarragongauge/pkg/opsapi"
)

// HashToken returns the digest of a bearer token as it stands in the settings.
func HashToken(token string) [32]byte { return sha256.Sum256([]byte(token)) }

// actor returns the operator whose token a request presents. It compares with
// every token, so that the time does not tell which one was close.
func (s *Server) actor(r *http.Request) (string, bool) {
	values := r.Header.Values("Authorization")
	if len(values) != 1 {
		return "", false
	}
	scheme, token, ok := strings.Cut(values[0], " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") {
		return "", false
	}
	sum := HashToken(strings.TrimSpace(token))
	actor, found := "", false
	for _, t := range s.tokens {
		if subtle.ConstantTimeCompare(sum[:], t.Hash[:]) == 1 {
			actor, found = t.Actor, true
		}
	}
	return actor, found
}

// operation answers one request of an operator.
type operation func(w http.ResponseWriter, r *http.Request, actor string) error

func (s *Server) authenticated(op operation) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		actor, ok := s.actor(r)
		if !ok {
			s.log.Info("operator refused", "remote", r.RemoteAddr, "path", r.URL.Path)
			w.Header().Set("WWW-Authenticate", "Bearer")
			s.writeFault(w, opsapi.Fault{Kind: opsapi.FaultUnauthorized, Message: "the bearer token is missing or unknown; check token_file in the client settings and [operators] tokens on this host"})
			return
		}
		if err := op(w, r, actor); err != nil {
			s.writeError(w, r, err)
		}
	})
}
