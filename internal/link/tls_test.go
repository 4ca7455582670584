package link

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"log"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/internal/super"
	"tarragongauge.example/tarragongauge/internal/trust"
	"tarragongauge.example/tarragongauge/pkg/model"
)

func newAuthority(t *testing.T) trust.Authority {
	t.Helper()
	p, err := trust.CreateAuthority("tatws", 24*time.Hour, time.Now())
	require.NoError(t, err)
	a, err := trust.ParseAuthority(p)
	require.NoError(t, err)
	return a
}

// hostFiles are the files of one test host.
type hostFiles struct {
	trust.Files
	source *trust.Source
}

func newFiles(t *testing.T) *hostFiles {
	dir := t.TempDir()
	return &hostFiles{Files: trust.Files{Authority: filepath.Join(dir, "authority.crt"), Certificate: filepath.Join(dir, "host.crt"), Key: filepath.Join(dir, "host.key")}}
}

func (f *hostFiles) accept(t *testing.T, accepted ...trust.Authority) {
	t.Helper()
	var bundle []byte
	for _, a := range accepted {
		bundle = append(bundle, a.Certificate()...)
	}
	require.NoError(t, os.WriteFile(f.Authority, bundle, 0o600))
}

func (f *hostFiles) issue(t *testing.T, by trust.Authority, host model.HostID, role trust.Role) {
	t.Helper()
	f.issueAt(t, by, host, role, time.Now(), time.Hour)
}

func (f *hostFiles) issueAt(t *testing.T, by trust.Authority, host model.HostID, role trust.Role, at time.Time, validity time.Duration) {
	t.Helper()
	p, err := by.Issue(trust.CertificateRequest{Host: host, Roles: []trust.Role{role}, Validity: validity}, at)
	require.NoError(t, err)
	require.NoError(t, p.Write(f.Certificate, f.Key, true))
}

func (f *hostFiles) start(t *testing.T, clock trust.Clock, opts ...trust.SourceOption) {
	t.Helper()
	tree, stop := super.New("trust")
	t.Cleanup(stop)
	var err error
	f.source, _, err = trust.NewSource(f.Files, trust.Expectation{}, clock, tree, opts...)
	require.NoError(t, err)
}

func (f *hostFiles) reload(t *testing.T) {
	t.Helper()
	require.NoError(t, f.source.Reload())
}

func sound(t *testing.T, by trust.Authority, host model.HostID) *hostFiles {
	t.Helper()
	f := newFiles(t)
	f.accept(t, by)
	f.issue(t, by, host, trust.RoleEntry)
	return f
}

// lines is a log that tests read.
type lines struct {
	mu   sync.Mutex
	text strings.Builder
}

func (l *lines) logger() logr.Logger {
	return funcr.New(func(_, args string) {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.text.WriteString(args + "\n")
	}, funcr.Options{})
}

func (l *lines) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// has reports whether one line contains both texts.
func (l *lines) has(a, b string) bool {
	for line := range strings.Lines(l.String()) {
		if strings.Contains(line, a) && strings.Contains(line, b) {
			return true
		}
	}
	return false
}

// patient leaves the handshake enough time on a busy machine, so that the cause of a refusal is the one tested.
func patient() Option {
	timing := quickTiming()
	timing.Handshake = patience
	return WithTiming(timing)
}

// Guards against a host that links with the certificate of another time,
// fleet, host or role, in either direction, although it knows the secret.
func TestCertificateRefusals(t *testing.T) {
	now := time.Now()
	ours, stranger := newAuthority(t), newAuthority(t)
	tests := []struct {
		name  string
		make  func(t *testing.T, f *hostFiles)
		ahead time.Duration // of the clock of the host that refuses
		check func(error) bool
		text  string
		early bool // refused by the dialing side before the handshake over the secret
	}{
		{"expired", func(t *testing.T, f *hostFiles) { f.issue(t, ours, "b", trust.RoleEntry) }, 2 * time.Hour, trust.IsErrExpired, "expired at", true},
		{"not yet valid", func(t *testing.T, f *hostFiles) { f.issue(t, ours, "b", trust.RoleEntry) }, -2 * time.Hour, trust.IsErrNotYetValid, "valid only from", true},
		{"unknown authority", func(t *testing.T, f *hostFiles) {
			f.issue(t, stranger, "b", trust.RoleEntry)
			f.accept(t, stranger, ours)
		}, 0, trust.IsErrUntrusted, "unknown authority", true},
		{"wrong host", func(t *testing.T, f *hostFiles) { f.issue(t, ours, "z", trust.RoleEntry) }, 0, trust.IsErrWrongHost, `belongs to host \"z\" instead of \"b\"`, true},
		{"wrong role", func(t *testing.T, f *hostFiles) { f.issue(t, ours, "b", trust.RoleControl) }, 0, trust.IsErrMissingRole, "roles control but not entry", false},
		{"operators' role only", func(t *testing.T, f *hostFiles) { f.issue(t, ours, "b", trust.RoleOperators) }, 0, trust.IsErrMissingRole, "roles operators but not entry", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			faulty, judge := newFiles(t), newFiles(t)
			faulty.accept(t, ours)
			tt.make(t, faulty)
			faulty.start(t, time.Now)
			// The judge's own certificate must load at the time on its clock.
			judge.accept(t, ours)
			judge.issueAt(t, ours, "a", trust.RoleEntry, now, 4*time.Hour)
			var logged lines
			var ahead atomic.Int64
			judge.start(t, func() time.Time { return time.Now().Add(time.Duration(ahead.Load())) }, trust.WithLogger(logged.logger()))
			ahead.Store(int64(tt.ahead))

			a := startHost(t, "a", 1, patient(), WithTLS(judge.source), WithLogger(logged.logger()))
			b := startHost(t, "b", 1, patient(), WithTLS(faulty.source))
			err := a.dial(context.Background(), a.ensure("b"), b.member.Addr)
			require.True(t, tt.check(err), "got %v", err)
			require.Error(t, b.dial(context.Background(), b.ensure("a"), a.member.Addr))
			require.Eventually(t, func() bool { return logged.has(`"remote"=`, tt.text) && logged.has(`"host"="b"`, tt.text) == tt.early }, patience, time.Millisecond, "%s", &logged)
			require.False(t, a.Stats()["b"].Linked || b.Stats()["a"].Linked)
		})
	}
}

// Guards against certificates that replace the secret, and against a host that
// links without TLS to one that has it.
func TestCertificateAndSecretAreBothNeeded(t *testing.T) {
	ours := newAuthority(t)
	fa, fb := sound(t, ours, "a"), sound(t, ours, "b")
	fa.start(t, time.Now)
	fb.start(t, time.Now)
	b := startHost(t, "b", 1, patient(), WithTLS(fb.source))
	tests := []struct {
		name   string
		secret string
		opts   []Option
		linked bool
	}{
		{"both", "0123456789abcdef", []Option{WithTLS(fa.source)}, true},
		{"certificate alone", "another secret of the fleet", []Option{WithTLS(fa.source)}, false},
		{"secret alone", "0123456789abcdef", nil, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tree, stop := super.New("x")
			defer stop()
			opts := append([]Option{WithCluster("tatws"), patient()}, tt.opts...)
			m, closeMesh, err := New(proto.Member{Host: "a", Role: proto.RoleEntry}, []byte(tt.secret), tree, func(model.HostID, proto.Message) {}, opts...)
			require.NoError(t, err)
			defer closeMesh()
			err = m.dial(context.Background(), m.ensure("b"), b.member.Addr)
			require.Equal(t, tt.linked, err == nil, "got %v", err)
			require.Equal(t, tt.linked, m.Stats()["b"].Linked)
		})
	}
	plain := startHost(t, "p", 1, patient())
	a := startHost(t, "a", 2, patient(), WithTLS(fa.source))
	require.Error(t, a.dial(context.Background(), a.ensure("p"), plain.member.Addr))
	w := httptest.NewRecorder()
	b.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, Path, nil))
	require.Equal(t, http.StatusForbidden, w.Code, "a listener without TLS must not open the way around certificates")
}

// Guards against a fleet that cannot turn TLS on host by host, and against
// optional TLS that stays off between hosts that both have it.
func TestTLSIsTurnedOnHostByHost(t *testing.T) {
	ours := newAuthority(t)
	fa, fb := sound(t, ours, "a"), sound(t, ours, "b")
	fa.start(t, time.Now)
	fb.start(t, time.Now)
	modes := func(f *hostFiles) map[string][]Option {
		return map[string][]Option{
			"off":     {patient()},
			"accept":  {patient(), WithTLS(f.source), WithOptionalTLS()},
			"require": {patient(), WithTLS(f.source)},
		}
	}
	tests := []struct {
		a, b              string
		linked, encrypted bool
	}{
		{"off", "accept", true, false},
		{"accept", "off", true, false},
		{"accept", "accept", true, true},
		{"accept", "require", true, true},
		{"require", "accept", true, true},
		{"off", "require", false, false},
		{"require", "off", false, false},
	}
	for _, tt := range tests {
		t.Run(tt.a+" to "+tt.b, func(t *testing.T) {
			a := startHost(t, "a", 1, modes(fa)[tt.a]...)
			b := startHost(t, "b", 1, modes(fb)[tt.b]...)
			err := a.dial(context.Background(), a.ensure("b"), b.member.Addr)
			require.Equal(t, tt.linked, err == nil, "got %v", err)
			require.Equal(t, tt.linked, a.Stats()["b"].Linked)
			require.Equal(t, tt.encrypted, a.Stats()["b"].Encrypted)
			if tt.linked {
				require.Eventually(t, func() bool { return b.Stats()["a"].Linked }, patience, time.Millisecond)
				require.Equal(t, tt.encrypted, b.Stats()["a"].Encrypted)
			}
		})
	}
}

// Guards against optional TLS that falls back to a link without it when a certificate is refused.
func TestRefusedCertificateIsNoReasonToGoWithoutTLS(t *testing.T) {
	ours, stranger := newAuthority(t), newAuthority(t)
	fa, fb := sound(t, ours, "a"), sound(t, stranger, "b")
	fa.start(t, time.Now)
	fb.start(t, time.Now)
	a := startHost(t, "a", 1, patient(), WithTLS(fa.source), WithOptionalTLS())
	b := startHost(t, "b", 1, patient(), WithTLS(fb.source), WithOptionalTLS())
	require.Error(t, a.dial(context.Background(), a.ensure("b"), b.member.Addr))
	require.Error(t, b.dial(context.Background(), b.ensure("a"), a.member.Addr))
	require.False(t, a.Stats()["b"].Linked || b.Stats()["a"].Linked)
}

// Guards against a peer that talks a host into an older version of TLS, and
// against one that presents no certificate.
func TestDowngradeIsRefused(t *testing.T) {
	ours := newAuthority(t)
	fa, fb := sound(t, ours, "a"), sound(t, ours, "b")
	fa.start(t, time.Now)
	fb.start(t, time.Now)
	b := startHost(t, "b", 1, patient(), WithTLS(fb.source))
	pair, err := tls.LoadX509KeyPair(fa.Certificate, fa.Key)
	require.NoError(t, err)
	tests := []struct {
		name  string
		least uint16
		most  uint16
		certs []tls.Certificate
		ok    bool
	}{
		{"TLS 1.3", tls.VersionTLS13, tls.VersionTLS13, []tls.Certificate{pair}, true},
		{"no certificate", tls.VersionTLS13, tls.VersionTLS13, nil, false},
		{"TLS 1.2", tls.VersionTLS12, tls.VersionTLS12, []tls.Certificate{pair}, false},
		{"TLS 1.0 to 1.2", tls.VersionTLS10, tls.VersionTLS12, []tls.Certificate{pair}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, TLSClientConfig: &tls.Config{MinVersion: tt.least, MaxVersion: tt.most, InsecureSkipVerify: true, Certificates: tt.certs}}}
			resp, err := client.Get("https://" + b.member.Addr + Path)
			require.Equal(t, tt.ok, err == nil, "got %v", err)
			if err == nil {
				require.Equal(t, http.StatusUpgradeRequired, resp.StatusCode)
				require.NoError(t, resp.Body.Close())
			}
		})
	}

	old := httptest.NewUnstartedServer(http.NotFoundHandler())
	pair, err = tls.LoadX509KeyPair(fb.Certificate, fb.Key)
	require.NoError(t, err)
	old.Config.ErrorLog = log.New(io.Discard, "", 0) // the refusal is expected
	old.Listener = tls.NewListener(old.Listener, &tls.Config{MaxVersion: tls.VersionTLS12, Certificates: []tls.Certificate{pair}})
	old.Start()
	defer old.Close()
	a := startHost(t, "a", 1, patient(), WithTLS(fa.source))
	err = a.dial(context.Background(), a.ensure("b"), old.Listener.Addr().String())
	require.ErrorContains(t, err, "protocol version")
}

// settle waits until both hosts use the same link and neither opens another. Both
// may open one at the same time, of which the lesser host's replaces the other.
func settle(t *testing.T, a, b *testHost) {
	t.Helper()
	dialing := func(p *peer) bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.dialing
	}
	require.Eventually(t, func() bool {
		return !dialing(a.peer("b")) && !dialing(b.peer("a")) && a.linkTo(b).Linked && a.linkTo(b).Link == b.linkTo(a).Link
	}, patience, time.Millisecond)
}

// reconnect ends the link between two hosts and waits until both carry messages on a new one.
func reconnect(t *testing.T, a, b *testHost, nonce uint64) {
	t.Helper()
	p := a.peer("b")
	p.mu.Lock()
	l := p.link
	p.mu.Unlock()
	require.NotNil(t, l)
	l.close(errors.New("closed by the test"))
	deliver(t, a, b, nonce)
	deliver(t, b, a, nonce)
	settle(t, a, b)
}

// Guards against a rotation of certificates or of the authority that ends
// links, that leaves an old certificate in use, or that keeps hosts apart.
func TestRotationKeepsHostsLinked(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	t.Run("hosts", func(t *testing.T) {
		old, next := newAuthority(t), newAuthority(t)
		fa, fb := sound(t, old, "a"), sound(t, old, "b")
		fa.start(t, time.Now)
		fb.start(t, time.Now)
		a, b := startHost(t, "a", 1, patient(), WithTLS(fa.source)), startHost(t, "b", 1, patient(), WithTLS(fb.source))
		a.Learn([]proto.Member{b.member})
		b.Learn([]proto.Member{a.member})
		deliver(t, a, b, 1)
		deliver(t, b, a, 1)
		settle(t, a, b)

		steps := []struct {
			name string
			run  func()
		}{
			{"a has a new certificate", func() { fa.issue(t, old, "a", trust.RoleEntry) }},
			{"b has a new certificate", func() { fb.issue(t, old, "b", trust.RoleEntry) }},
			{"a accepts both authorities", func() { fa.accept(t, old, next) }},
			{"b accepts both authorities", func() { fb.accept(t, old, next) }},
			{"a is certified by the new authority", func() { fa.issue(t, next, "a", trust.RoleEntry) }},
			{"b is certified by the new authority", func() { fb.issue(t, next, "b", trust.RoleEntry) }},
			{"a accepts the new authority only", func() { fa.accept(t, next) }},
			{"b accepts the new authority only", func() { fb.accept(t, next) }},
		}
		for i, step := range steps {
			nonce := uint64(10 * (i + 2))
			before := fa.source.Current().Leaf
			link := a.linkTo(b)
			step.run()
			fa.reload(t)
			fb.reload(t)
			deliver(t, a, b, nonce)
			deliver(t, b, a, nonce)
			require.Equal(t, link.Link, a.linkTo(b).Link, "%s: the link must stay", step.name)
			require.Equal(t, link.Links, a.linkTo(b).Links, "%s: the link must stay", step.name)
			reconnect(t, a, b, nonce+1)
			require.LessOrEqual(t, a.linkTo(b).Links, link.Links+2, "%s: one new link from each side must do", step.name)
			require.Equal(t, strings.HasPrefix(step.name, "a has") || strings.HasPrefix(step.name, "a is"), !before.Equal(fa.source.Current().Leaf))
		}
		outdated := sound(t, old, "c")
		outdated.start(t, time.Now)
		c := startHost(t, "c", 1, patient(), WithTLS(outdated.source))
		err := a.dial(context.Background(), a.ensure("c"), c.member.Addr)
		require.True(t, trust.IsErrUntrusted(err), "the old authority is not accepted any more: %v", err)
	})
}

// Guards against an expired certificate that opens new links, against one that
// ends links in use, and against hosts that stay apart once it was replaced.
func TestExpiredCertificateOpensNoNewLinks(t *testing.T) {
	ours := newAuthority(t)
	var ahead atomic.Int64
	clock := func() time.Time { return time.Now().Add(time.Duration(ahead.Load())) }
	fa, fb := sound(t, ours, "a"), sound(t, ours, "b")
	fa.start(t, clock)
	fb.start(t, clock)
	a, b := startHost(t, "a", 1, patient(), WithTLS(fa.source)), startHost(t, "b", 1, patient(), WithTLS(fb.source))
	a.Learn([]proto.Member{b.member})
	deliver(t, a, b, 1)
	links := a.linkTo(b).Links

	ahead.Store(int64(2 * time.Hour))
	deliver(t, a, b, 2)
	require.Equal(t, links, a.linkTo(b).Links)
	err := a.dial(context.Background(), a.peer("b"), b.member.Addr)
	require.True(t, trust.IsErrExpired(err), "got %v", err)
	require.Equal(t, links, a.linkTo(b).Links)

	for host, f := range map[model.HostID]*hostFiles{"a": fa, "b": fb} {
		f.issueAt(t, ours, host, trust.RoleEntry, clock(), time.Hour)
		f.reload(t)
	}
	reconnect(t, a, b, 3)
}

// Guards against a process that does not tell that its links are not
// encrypted, that tells it more than once, or that tells it although they are.
func TestUnencryptedLinksAreLoggedOnce(t *testing.T) {
	ours := newAuthority(t)
	f := sound(t, ours, "b")
	f.start(t, time.Now)
	var plain, encrypted lines
	a, b := startHost(t, "a", 1, WithLogger(plain.logger())), startHost(t, "c", 1)
	a.Learn([]proto.Member{b.member})
	deliver(t, a, b, 1)
	startHost(t, "b", 1, WithTLS(f.source), WithLogger(encrypted.logger()))
	require.Equal(t, 1, strings.Count(plain.String(), "not encrypted"))
	require.NotContains(t, encrypted.String(), "not encrypted")
}
