package admin

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strconv"
	"strings"

	"tarragongauge.example/tarragongauge/pkg/opsapi"
)

// HashToken returns the SHA-256 digest of a bearer token, the form in which the settings hold tokens.
func HashToken(token string) [32]byte { return sha256.Sum256([]byte(token)) }

// bearerToken returns the token in the Authorization header of a request. It
// reports false unless there is exactly one such header with the scheme Bearer.
func bearerToken(r *http.Request) (string, bool) {
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

// lookupActor returns the operator to whom a token belongs, and whether there is
// one. Every known token is compared in constant time, so that the response time
// reveals nothing about them.
func (s *Server) lookupActor(token string) (string, bool) {
	sum := HashToken(token)
	actor, found := "", false
	for _, t := range s.tokens {
		if subtle.ConstantTimeCompare(sum[:], t.Hash[:]) == 1 {
			actor, found = t.Actor, true
		}
	}
	return actor, found
}

// operationFunc serves one request of the operator named actor. If it returns an
// error, it has not written a response.
type operationFunc func(w http.ResponseWriter, r *http.Request, actor string) error

// withAuthentication returns a handler that runs op for requests with a known
// token and refuses all others.
func (s *Server) withAuthentication(op operationFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		actor, refusal := s.authenticate(r)
		if refusal != nil {
			s.writeRefusal(w, *refusal)
			return
		}
		if err := op(w, r, actor); err != nil {
			s.writeError(w, r, err)
		}
	})
}

// authenticate returns the operator of a request, or the fault to answer with.
// Only wrong tokens count towards the limit of a source address; a request
// without a token is no attempt to guess one.
func (s *Server) authenticate(r *http.Request) (string, *opsapi.Fault) {
	actor, valid, limited := "", false, false
	if token, ok := bearerToken(r); ok {
		valid, limited = s.wrongTokens.checkToken(r.RemoteAddr, s.now(), func() bool {
			var known bool
			actor, known = s.lookupActor(token)
			return known
		})
	}
	switch {
	case valid:
		return actor, nil
	case limited:
		s.log.V(1).Info("operator refused after too many wrong tokens", "remote", r.RemoteAddr, "path", r.URL.Path)
		return "", &opsapi.Fault{Kind: opsapi.FaultRateLimited, Message: "too many wrong tokens came from this address; correct token_file in the client settings and try again in a minute"}
	default:
		s.log.Info("operator refused", "remote", r.RemoteAddr, "path", r.URL.Path)
		return "", &opsapi.Fault{Kind: opsapi.FaultUnauthorized, Message: "the bearer token is missing or unknown; check token_file in the client settings and [operators] tokens on this host"}
	}
}

// writeRefusal answers a request that was not authenticated.
func (s *Server) writeRefusal(w http.ResponseWriter, f opsapi.Fault) {
	if f.Kind == opsapi.FaultRateLimited {
		w.Header().Set("Retry-After", strconv.Itoa(wrongTokenBurst/wrongTokensPerSecond))
	} else {
		w.Header().Set("WWW-Authenticate", "Bearer")
	}
	s.writeFault(w, f)
}
