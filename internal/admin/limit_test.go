package admin

import (
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tarragongauge.example/tarragongauge/pkg/opsapi"
)

// statusFrom sends a request from a remote address and returns the status of the
// response. The request has no Authorization header if the token is empty.
func statusFrom(s *Server, remote, token string) int {
	r := httptest.NewRequest(http.MethodGet, opsapi.PathVersion, nil)
	r.RemoteAddr = remote
	if token != "" {
		r.Header.Set("Authorization", "Bearer "+token)
	}
	w := httptest.NewRecorder()
	s.Handler().ServeHTTP(w, r)
	return w.Code
}

// Guards against guessing tokens at an unlimited rate, against a guesser who locks
// out operators on other addresses, and against valid tokens that use up the
// limit.
func TestWrongTokensAreLimitedBySource(t *testing.T) {
	now := time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)
	s := New(&fakeBackend{}, WithBackend(&fakeBackend{}, testTokens()))
	s.now = func() time.Time { return now }
	const guesser = "10.0.0.9:1234"
	for range 3 * wrongTokenBurst {
		require.Equal(t, http.StatusOK, statusFrom(s, guesser, validToken))
		require.Equal(t, http.StatusUnauthorized, statusFrom(s, guesser, ""))
	}
	for range wrongTokenBurst {
		require.Equal(t, http.StatusUnauthorized, statusFrom(s, guesser, "wrong"))
	}
	tests := []struct {
		name, remote, token string
		want                int
	}{
		{"wrong token", guesser, "wrong", http.StatusTooManyRequests},
		{"sound token of the guesser", guesser, validToken, http.StatusTooManyRequests},
		{"another port", "10.0.0.9:4321", "wrong", http.StatusTooManyRequests},
		{"the same address in IPv6 form", "[::ffff:10.0.0.9]:1", "wrong", http.StatusTooManyRequests},
		{"no token", guesser, "", http.StatusUnauthorized},
		{"another address", "10.0.0.8:1234", validToken, http.StatusOK},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { require.Equal(t, tt.want, statusFrom(s, tt.remote, tt.token)) })
	}
	now = now.Add(time.Second)
	require.Equal(t, http.StatusOK, statusFrom(s, guesser, validToken))
	require.Equal(t, http.StatusUnauthorized, statusFrom(s, guesser, "wrong"))
	require.Equal(t, http.StatusTooManyRequests, statusFrom(s, guesser, "wrong"), "one more a second")
	require.Equal(t, sourceOf("[2001:db8::1]:1"), sourceOf("[2001:db8::ffff:2]:9"))
	require.NotEqual(t, sourceOf("[2001:db8::1]:1"), sourceOf("[2001:db8:0:1::1]:1"))
}

// Guards against memory that grows with the number of addresses a guesser uses, and
// against evicting a source that is limited.
func TestWrongTokenSourcesAreBounded(t *testing.T) {
	now := time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)
	f := newWrongTokenLimiter()
	wrong := func() bool { return false }
	for range wrongTokenBurst {
		f.checkToken("10.0.0.9:1", now, wrong)
	}
	for i := range 2 * maxSources {
		f.checkToken(fmt.Sprintf("10.1.%d.%d:1", i/256, i%256), now, wrong)
	}
	require.Len(t, f.sources, maxSources)
	_, limited := f.checkToken("10.0.0.9:1", now, wrong)
	require.True(t, limited)
}

// Guards against a port that requires TLS but also serves requests without it.
func TestRequiredTLSRefusesPlainRequests(t *testing.T) {
	s := New(&fakeBackend{}, WithBackend(&fakeBackend{}, testTokens()), WithTLS(&tls.Config{MinVersion: tls.VersionTLS13}))
	require.Equal(t, http.StatusForbidden, statusFrom(s, "10.0.0.9:1", validToken))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	require.NotEqual(t, l, s.Listener(l))
	require.Equal(t, l, New(&fakeBackend{}).Listener(l))
}
