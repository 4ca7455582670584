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

type fleetAuthority struct {
	trust.Authority
	accepted trust.Authorities
	path     string
}

func newAuthority(t *testing.T) fleetAuthority {
	t.Helper()
	p, err := trust.CreateAuthority("tatws", 24*time.Hour, time.Now())
	require.NoError(t, err)
	path := filepath.Join(t.TempDir(), "authority.crt")
	require.NoError(t, p.Write(path, path+".key", false))
	a, err := trust.ParseAuthority(p)
	require.NoError(t, err)
	accepted, err := trust.ParseAuthorities(p.Certificate)
	require.NoError(t, err)
	return fleetAuthority{a, accepted, path}
}

// serve starts a control host; change replaces its TLS configuration.
func serve(t *testing.T, by fleetAuthority, host model.HostID, role trust.Role, change func(c *tls.Config)) (Address, *atomic.Int64) {
	t.Helper()
	dir := t.TempDir()
	files := trust.Files{Authority: by.path, Certificate: filepath.Join(dir, "host.crt"), Key: filepath.Join(dir, "host.key")}
	p, err := by.Issue(trust.CertificateRequest{Host: host, Roles: []trust.Role{role}, Validity: time.Hour}, time.Now())
	require.NoError(t, err)
	require.NoError(t, p.Write(files.Certificate, files.Key, false))
	tree, stop := super.New("trust")
	source, _, err := trust.NewSource(files, trust.Expectation{}, time.Now, tree)
	require.NoError(t, err)
	config := source.OperatorsServer()
	if change != nil {
		pair, err := tls.LoadX509KeyPair(files.Certificate, files.Key)
		require.NoError(t, err)
		config = &tls.Config{Certificates: []tls.Certificate{pair}}
		change(config)
	}
	asked := &atomic.Int64{}
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked.Add(1)
		var p opsapi.Proposal
		_ = json.NewDecoder(r.Body).Decode(&p)
		result(model.ResultAccepted, "")(w, p)
	}))
	server.Config.ErrorLog = log.New(io.Discard, "", 0) // refused handshakes are expected
	server.Listener = tls.NewListener(server.Listener, config)
	server.Start()
	t.Cleanup(func() {
		server.Close()
		stop()
	})
	return Address{Host: "c1", Addr: strings.TrimPrefix(server.URL, "http://")}, asked
}

// Guards against a token that reaches a host which is not the one meant, and
// against a change reported as unknown that no host ever got.
func TestTLSRefusals(t *testing.T) {
	ours, stranger := newAuthority(t), newAuthority(t)
	later := func() time.Time { return time.Now().Add(2 * time.Hour) }
	tests := []struct {
		name   string
		by     fleetAuthority
		host   model.HostID
		role   trust.Role
		clock  trust.Clock
		change func(c *tls.Config)
		check  func(error) bool
	}{
		{"sound", ours, "c1", trust.RoleOperators, time.Now, nil, isNil},
		{"unknown authority", stranger, "c1", trust.RoleOperators, time.Now, nil, trust.IsErrUntrusted},
		{"another host", ours, "c2", trust.RoleOperators, time.Now, nil, trust.IsErrWrongHost},
		{"not for operators", ours, "c1", trust.RoleControl, time.Now, nil, trust.IsErrMissingRole},
		{"expired", ours, "c1", trust.RoleOperators, later, nil, trust.IsErrExpired},
		{"TLS 1.2", ours, "c1", trust.RoleOperators, time.Now, func(c *tls.Config) { c.MaxVersion = tls.VersionTLS12 }, IsErrTLS},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
			t.Run("server", func(t *testing.T) {
				addr, asked := serve(t, tt.by, tt.host, tt.role, tt.change)
				c, err := New([]Address{addr}, "t", WithRounds(1, time.Millisecond), WithTLS(trust.NewOperatorsClient(ours.accepted, tt.clock)))
				require.NoError(t, err)
				t.Cleanup(c.http.GetClient().CloseIdleConnections)
				_, err = c.Propose(context.Background(), model.Proposal{Change: model.CreateWorkspace{Workspace: "w"}})
				require.True(t, tt.check(err), "got %v", err)
				require.Equal(t, err == nil, asked.Load() == 1)
				require.Equal(t, err != nil, IsErrUnreachable(err))
			})
		})
	}
}

// Guards against a client with an authority that falls back to no encryption,
// and against one faulty host that keeps operators from the others.
func TestTLSWithoutFallback(t *testing.T) {
	ours := newAuthority(t)
	f := &fleet{script: []step{result(model.ResultAccepted, "")}}
	plain := f.start(t, "p")
	sound, asked := serve(t, ours, "c1", trust.RoleOperators, nil)
	c, err := New(append(plain, sound), "t", WithRounds(1, time.Millisecond), WithTLS(trust.NewOperatorsClient(ours.accepted, time.Now)))
	require.NoError(t, err)
	_, err = c.Propose(context.Background(), model.Proposal{Change: model.CreateWorkspace{Workspace: "w"}})
	require.NoError(t, err)
	require.Equal(t, int64(1), asked.Load())
	seen, _ := f.seen()
	require.Empty(t, seen)

	c, err = New([]Address{sound}, "t", WithRounds(1, time.Millisecond))
	require.NoError(t, err)
	_, err = c.Config(context.Background())
	require.ErrorContains(t, err, "authority_file")
	require.Equal(t, int64(1), asked.Load())
}
