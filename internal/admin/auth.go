package admin

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strconv"
	"strings"

	"tarragongauge.example/tarragongauge/pkg/opsapi"
)

// HashToken returns the digest of a bearer token as it stands in the settings.
func HashToken(token string) [32]byte { return sha256.Sum256([]byte(token)) }

// presented returns the bearer token of a request.
func presented(r *http.Request) (string, bool) {
	values := r.Header.Values("Authorization")
	if len(values) != 1 {
		return "", false
	}
	scheme, token, ok := strings.Cut(values[0], " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") {
		return "", false
	}
	return strings.TrimSpace(token), true
}

// actor returns the operator whose token it is. It compares with every token,
// so that the time does not tell which one was close.
func (s *Server) actor(token string) (string, bool) {
	sum := HashToken(token)
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
		actor, refused := s.authenticate(r)
		if refused != nil {
			s.refuse(w, *refused)
			return
		}
		if err := op(w, r, actor); err != nil {
			s.writeError(w, r, err)
		}
	})
}

// authenticate returns the operator of a request, or why there is none. Only
// wrong tokens count towards the limit of a source; a missing one guesses nothing.
func (s *Server) authenticate(r *http.Request) (string, *opsapi.Fault) {
	actor, sound, limited := "", false, false
	if token, ok := presented(r); ok {
		sound, limited = s.failed.try(r.RemoteAddr, s.now(), func() bool {
			var known bool
			actor, known = s.actor(token)
			return known
		})
	}
	switch {
	case sound:
		return actor, nil
	case limited:
		s.log.V(1).Info("operator refused after too many wrong tokens", "remote", r.RemoteAddr, "path", r.URL.Path)
		return "", &opsapi.Fault{Kind: opsapi.FaultRateLimited, Message: "too many wrong tokens came from this address; correct token_file in the client settings and try again in a minute"}
	default:
		s.log.Info("operator refused", "remote", r.RemoteAddr, "path", r.URL.Path)
		return "", &opsapi.Fault{Kind: opsapi.FaultUnauthorized, Message: "the bearer token is missing or unknown; check token_file in the client settings and [operators] tokens on this host"}
	}
}

func (s *Server) refuse(w http.ResponseWriter, f opsapi.Fault) {
	if f.Kind == opsapi.FaultRateLimited {
		w.Header().Set("Retry-After", strconv.Itoa(wrongBurst/wrongPerSecond))
	} else {
		w.Header().Set("WWW-Authenticate", "Bearer")
	}
	s.writeFault(w, f)
}
