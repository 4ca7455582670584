package client

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"io"
	"log"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"tarragongauge.example/tarragongauge/internal/super"
	"tarragongauge.example/tarragongauge/internal/trust"
	"tarragongauge.example/tarragongauge/pkg/model"
	"tarragongauge.example/tarragongauge/pkg/opsapi"
)

// testAuthority is an authority that issues certificates of hosts in a test.
type testAuthority struct {
	trust.Authority
	// accepted holds the authority's certificate for the verification of hosts.
	accepted trust.Authorities
	// path is the file of the authority's certificate.
	path string
}

// newAuthority creates an authority in a temporary folder.
func newAuthority(t *testing.T) testAuthority {
	t.Helper()
	p, err := trust.CreateAuthority("tatws", 24*time.Hour, time.Now())
	require.NoError(t, err)
	path := filepath.Join(t.TempDir(), "authority.crt")
	require.NoError(t, p.Write(path, path+".key", false))
	a, err := trust.ParseAuthority(p)
	require.NoError(t, err)
	accepted, err := trust.ParseAuthorities(p.Certificate)
	require.NoError(t, err)
	return testAuthority{a, accepted, path}
}

// serve starts a control host with a certificate for the host and the role, which
// accepts each change. A changeConfig that is not nil changes a TLS configuration
// without verification, which is used instead of the usual one. The returned
// counter holds the number of requests.
func serve(t *testing.T, authority testAuthority, host model.HostID, role trust.Role, changeConfig func(c *tls.Config)) (Address, *atomic.Int64) {
	t.Helper()
	dir := t.TempDir()
	files := trust.Files{Authority: authority.path, Certificate: filepath.Join(dir, "host.crt"), Key: filepath.Join(dir, "host.key")}
	p, err := authority.Issue(trust.CertificateRequest{Host: host, Roles: []trust.Role{role}, Validity: time.Hour}, time.Now())
	require.NoError(t, err)
	require.NoError(t, p.Write(files.Certificate, files.Key, false))
	tree, stop := super.New("trust")
	source, _, err := trust.NewSource(files, trust.Expectation{}, time.Now, tree)
	require.NoError(t, err)
	config := source.OperatorsServer()
	if changeConfig != nil {
		pair, err := tls.LoadX509KeyPair(files.Certificate, files.Key)
		require.NoError(t, err)
		config = &tls.Config{Certificates: []tls.Certificate{pair}}
		changeConfig(config)
	}
	requests := &atomic.Int64{}
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requests.Add(1)
		var p opsapi.Proposal
		_ = json.NewDecoder(r.Body).Decode(&p)
		answerResult(model.ResultAccepted, "")(w, p)
	}))
	server.Config.ErrorLog = log.New(io.Discard, "", 0) // refused handshakes are expected
	server.Listener = tls.NewListener(server.Listener, config)
	server.Start()
	t.Cleanup(func() {
		server.Close()
		stop()
	})
	return Address{Host: "c1", Addr: strings.TrimPrefix(server.URL, "http://")}, requests
}

// Guards against a token that is sent to a server other than the intended control
// host, and against a change whose result is reported as unknown although no host
// received it.
func TestTLSRefusesUnexpectedServer(t *testing.T) {
	fleetAuthority, otherAuthority := newAuthority(t), newAuthority(t)
	later := func() time.Time { return time.Now().Add(2 * time.Hour) }
	tests := []struct {
		name      string
		authority testAuthority
		host      model.HostID
		role      trust.Role
		clock     trust.Clock
		change    func(c *tls.Config)
		check     func(error) bool
	}{
		{"sound", fleetAuthority, "c1", trust.RoleOperators, time.Now, nil, isNil},
		{"unknown authority", otherAuthority, "c1", trust.RoleOperators, time.Now, nil, trust.IsErrUntrusted},
		{"another host", fleetAuthority, "c2", trust.RoleOperators, time.Now, nil, trust.IsErrWrongHost},
		{"not for operators", fleetAuthority, "c1", trust.RoleControl, time.Now, nil, trust.IsErrMissingRole},
		{"expired", fleetAuthority, "c1", trust.RoleOperators, later, nil, trust.IsErrExpired},
		{"TLS 1.2", fleetAuthority, "c1", trust.RoleOperators, time.Now, func(c *tls.Config) { c.MaxVersion = tls.VersionTLS12 }, IsErrTLS},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
			t.Run("server", func(t *testing.T) {
				addr, requests := serve(t, tt.authority, tt.host, tt.role, tt.change)
				c, err := New([]Address{addr}, "t", WithRounds(1, time.Millisecond), WithTLS(trust.NewOperatorsClient(fleetAuthority.accepted, tt.clock)))
				require.NoError(t, err)
				t.Cleanup(c.http.GetClient().CloseIdleConnections)
				_, err = c.Propose(context.Background(), model.Proposal{Change: model.CreateWorkspace{Workspace: "w"}})
				require.True(t, tt.check(err), "got %v", err)
				require.Equal(t, err == nil, requests.Load() == 1)
				require.Equal(t, err != nil, IsErrUnreachable(err))
			})
		})
	}
}

// Guards against a client with TLS that falls back to plaintext, and against a host
// without TLS that prevents requests to the other hosts.
func TestTLSClientDoesNotFallBackToPlaintext(t *testing.T) {
	fleetAuthority := newAuthority(t)
	plaintextHost := &fakeFleet{script: []answerFunc{answerResult(model.ResultAccepted, "")}}
	plain := plaintextHost.start(t, "p")
	tlsAddr, requests := serve(t, fleetAuthority, "c1", trust.RoleOperators, nil)
	c, err := New(append(plain, tlsAddr), "t", WithRounds(1, time.Millisecond), WithTLS(trust.NewOperatorsClient(fleetAuthority.accepted, time.Now)))
	require.NoError(t, err)
	_, err = c.Propose(context.Background(), model.Proposal{Change: model.CreateWorkspace{Workspace: "w"}})
	require.NoError(t, err)
	require.Equal(t, int64(1), requests.Load())
	seen, _ := plaintextHost.recorded()
	require.Empty(t, seen)

	c, err = New([]Address{tlsAddr}, "t", WithRounds(1, time.Millisecond))
	require.NoError(t, err)
	_, err = c.Config(context.Background())
	require.ErrorContains(t, err, "authority_file")
	require.Equal(t, int64(1), requests.Load())
}
