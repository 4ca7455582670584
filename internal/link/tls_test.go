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

// newAuthority returns a new authority of the test fleet.
func newAuthority(t *testing.T) trust.Authority {
	t.Helper()
	p, err := trust.CreateAuthority("tatws", 24*time.Hour, time.Now())
	require.NoError(t, err)
	a, err := trust.ParseAuthority(p)
	require.NoError(t, err)
	return a
}

// hostFiles holds the certificate files of one test host and, once started, the
// source that reads them.
type hostFiles struct {
	trust.Files
	source *trust.Source
}

// newFiles returns the paths of the files of a host. The files do not exist yet.
func newFiles(t *testing.T) *hostFiles {
	dir := t.TempDir()
	return &hostFiles{Files: trust.Files{Authority: filepath.Join(dir, "authority.crt"), Certificate: filepath.Join(dir, "host.crt"), Key: filepath.Join(dir, "host.key")}}
}

// writeAuthorities writes the file of the authorities that the host accepts.
func (f *hostFiles) writeAuthorities(t *testing.T, accepted ...trust.Authority) {
	t.Helper()
	var bundle []byte
	for _, a := range accepted {
		bundle = append(bundle, a.Certificate()...)
	}
	require.NoError(t, os.WriteFile(f.Authority, bundle, 0o600))
}

// issue writes a certificate that is valid for one hour from now.
func (f *hostFiles) issue(t *testing.T, by trust.Authority, host model.HostID, role trust.Role) {
	t.Helper()
	f.issueAt(t, by, host, role, time.Now(), time.Hour)
}

// issueAt writes a certificate that is valid from a time on.
func (f *hostFiles) issueAt(t *testing.T, by trust.Authority, host model.HostID, role trust.Role, at time.Time, validity time.Duration) {
	t.Helper()
	p, err := by.Issue(trust.CertificateRequest{Host: host, Roles: []trust.Role{role}, Validity: validity}, at)
	require.NoError(t, err)
	require.NoError(t, p.Write(f.Certificate, f.Key, true))
}

// start starts the source that reads the files.
func (f *hostFiles) start(t *testing.T, clock trust.Clock, opts ...trust.SourceOption) {
	t.Helper()
	tree, stop := super.New("trust")
	t.Cleanup(stop)
	var err error
	f.source, _, err = trust.NewSource(f.Files, trust.Expectation{}, clock, tree, opts...)
	require.NoError(t, err)
}

// reload makes the source read the files again.
func (f *hostFiles) reload(t *testing.T) {
	t.Helper()
	require.NoError(t, f.source.Reload())
}

// newValidFiles writes the files of an entry host with a valid certificate.
func newValidFiles(t *testing.T, by trust.Authority, host model.HostID) *hostFiles {
	t.Helper()
	f := newFiles(t)
	f.writeAuthorities(t, by)
	f.issue(t, by, host, trust.RoleEntry)
	return f
}

// logBuffer records the lines of a logger.
type logBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

// logger returns a logger that writes to the buffer.
func (l *logBuffer) logger() logr.Logger {
	return funcr.New(func(_, args string) {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.text.WriteString(args + "\n")
	}, funcr.Options{})
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// hasLine reports whether there is a line that contains both texts.
func (l *logBuffer) hasLine(a, b string) bool {
	for line := range strings.Lines(l.String()) {
		if strings.Contains(line, a) && strings.Contains(line, b) {
			return true
		}
	}
	return false
}

// withLongHandshake returns the option of a handshake timeout that a busy
// machine does not reach, so that a refusal has the cause that is tested.
func withLongHandshake() Option {
	timing := quickTiming()
	timing.HandshakeTimeout = eventTimeout
	return WithTiming(timing)
}

// Guards against a link, opened by either side, to a host that knows the secret
// but whose certificate is not valid now, or is of another authority, host or role.
func TestUnacceptableCertificateIsRefused(t *testing.T) {
	now := time.Now()
	ours, stranger := newAuthority(t), newAuthority(t)
	tests := []struct {
		name              string
		make              func(t *testing.T, f *hostFiles)
		clockOffset       time.Duration // of the clock of the host that refuses
		check             func(error) bool
		wantText          string
		isRefusedByDialer bool // refused by the dialing side before the handshake over the secret
	}{
		{"expired", func(t *testing.T, f *hostFiles) { f.issue(t, ours, "b", trust.RoleEntry) }, 2 * time.Hour, trust.IsErrExpired, "expired at", true},
		{"not yet valid", func(t *testing.T, f *hostFiles) { f.issue(t, ours, "b", trust.RoleEntry) }, -2 * time.Hour, trust.IsErrNotYetValid, "valid only from", true},
		{"unknown authority", func(t *testing.T, f *hostFiles) {
			f.issue(t, stranger, "b", trust.RoleEntry)
			f.writeAuthorities(t, stranger, ours)
		}, 0, trust.IsErrUntrusted, "unknown authority", true},
		{"wrong host", func(t *testing.T, f *hostFiles) { f.issue(t, ours, "z", trust.RoleEntry) }, 0, trust.IsErrWrongHost, `belongs to host \"z\" instead of \"b\"`, true},
		{"wrong role", func(t *testing.T, f *hostFiles) { f.issue(t, ours, "b", trust.RoleControl) }, 0, trust.IsErrMissingRole, "roles control but not entry", false},
		{"operators' role only", func(t *testing.T, f *hostFiles) { f.issue(t, ours, "b", trust.RoleOperators) }, 0, trust.IsErrMissingRole, "roles operators but not entry", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			faultyFiles, verifierFiles := newFiles(t), newFiles(t)
			faultyFiles.writeAuthorities(t, ours)
			tt.make(t, faultyFiles)
			faultyFiles.start(t, time.Now)
			// The certificate of the verifying host must be valid when it is loaded and at the time on its clock.
			verifierFiles.writeAuthorities(t, ours)
			verifierFiles.issueAt(t, ours, "a", trust.RoleEntry, now, 4*time.Hour)
			var logged logBuffer
			var clockOffset atomic.Int64
			verifierFiles.start(t, func() time.Time { return time.Now().Add(time.Duration(clockOffset.Load())) }, trust.WithLogger(logged.logger()))
			clockOffset.Store(int64(tt.clockOffset))

			a := startHost(t, "a", 1, withLongHandshake(), WithTLS(verifierFiles.source), WithLogger(logged.logger()))
			b := startHost(t, "b", 1, withLongHandshake(), WithTLS(faultyFiles.source))
			err := a.dial(context.Background(), a.ensurePeer("b"), b.member.Addr)
			require.True(t, tt.check(err), "got %v", err)
			require.Error(t, b.dial(context.Background(), b.ensurePeer("a"), a.member.Addr))
			require.Eventually(t, func() bool {
				return logged.hasLine(`"remote"=`, tt.wantText) && logged.hasLine(`"host"="b"`, tt.wantText) == tt.isRefusedByDialer
			}, eventTimeout, time.Millisecond, "%s", &logged)
			require.False(t, a.Stats()["b"].Linked)
			// The refused host sees its connection as a link until it reads that a closed it.
			require.Eventually(t, func() bool { return !b.Stats()["a"].Linked }, eventTimeout, time.Millisecond)
		})
	}
}

// Guards against a host that gets a link with a certificate but without the
// secret, and against links without TLS to a host that requires it.
func TestCertificateAndSecretAreBothNeeded(t *testing.T) {
	ours := newAuthority(t)
	fa, fb := newValidFiles(t, ours, "a"), newValidFiles(t, ours, "b")
	fa.start(t, time.Now)
	fb.start(t, time.Now)
	b := startHost(t, "b", 1, withLongHandshake(), WithTLS(fb.source))
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
			opts := append([]Option{WithFleet("tatws"), withLongHandshake()}, tt.opts...)
			m, closeMesh, err := New(proto.Member{Host: "a", Role: proto.RoleEntry}, []byte(tt.secret), tree, func(model.HostID, proto.Message) {}, opts...)
			require.NoError(t, err)
			defer closeMesh()
			err = m.dial(context.Background(), m.ensurePeer("b"), b.member.Addr)
			require.Equal(t, tt.linked, err == nil, "got %v", err)
			require.Equal(t, tt.linked, m.Stats()["b"].Linked)
		})
	}
	plain := startHost(t, "p", 1, withLongHandshake())
	a := startHost(t, "a", 2, withLongHandshake(), WithTLS(fa.source))
	require.Error(t, a.dial(context.Background(), a.ensurePeer("p"), plain.member.Addr))
	w := httptest.NewRecorder()
	b.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, Path, nil))
	require.Equal(t, http.StatusForbidden, w.Code, "a listener without TLS must not allow links without certificates")
}

// Guards against hosts that cannot link while TLS is enabled host by host, and
// against unencrypted links between two hosts that both support TLS.
func TestTLSCanBeEnabledHostByHost(t *testing.T) {
	ours := newAuthority(t)
	fa, fb := newValidFiles(t, ours, "a"), newValidFiles(t, ours, "b")
	fa.start(t, time.Now)
	fb.start(t, time.Now)
	modes := func(f *hostFiles) map[string][]Option {
		return map[string][]Option{
			"off":     {withLongHandshake()},
			"accept":  {withLongHandshake(), WithTLS(f.source), WithOptionalTLS()},
			"require": {withLongHandshake(), WithTLS(f.source)},
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
			err := a.dial(context.Background(), a.ensurePeer("b"), b.member.Addr)
			require.Equal(t, tt.linked, err == nil, "got %v", err)
			require.Equal(t, tt.linked, a.Stats()["b"].Linked)
			require.Equal(t, tt.encrypted, a.Stats()["b"].Encrypted)
			if tt.linked {
				require.Eventually(t, func() bool { return b.Stats()["a"].Linked }, eventTimeout, time.Millisecond)
				require.Equal(t, tt.encrypted, b.Stats()["a"].Encrypted)
			}
		})
	}
}

// Guards against optional TLS that falls back to an unencrypted link after a
// certificate was refused.
func TestOptionalTLSDoesNotFallBackOnRefusedCertificate(t *testing.T) {
	ours, stranger := newAuthority(t), newAuthority(t)
	fa, fb := newValidFiles(t, ours, "a"), newValidFiles(t, stranger, "b")
	fa.start(t, time.Now)
	fb.start(t, time.Now)
	a := startHost(t, "a", 1, withLongHandshake(), WithTLS(fa.source), WithOptionalTLS())
	b := startHost(t, "b", 1, withLongHandshake(), WithTLS(fb.source), WithOptionalTLS())
	require.Error(t, a.dial(context.Background(), a.ensurePeer("b"), b.member.Addr))
	require.Error(t, b.dial(context.Background(), b.ensurePeer("a"), a.member.Addr))
	require.False(t, a.Stats()["b"].Linked || b.Stats()["a"].Linked)
}

// Guards against a peer that negotiates an older version of TLS, and against one
// that presents no certificate.
func TestTLSDowngradeIsRefused(t *testing.T) {
	ours := newAuthority(t)
	fa, fb := newValidFiles(t, ours, "a"), newValidFiles(t, ours, "b")
	fa.start(t, time.Now)
	fb.start(t, time.Now)
	b := startHost(t, "b", 1, withLongHandshake(), WithTLS(fb.source))
	pair, err := tls.LoadX509KeyPair(fa.Certificate, fa.Key)
	require.NoError(t, err)
	tests := []struct {
		name       string
		minVersion uint16
		maxVersion uint16
		certs      []tls.Certificate
		ok         bool
	}{
		{"TLS 1.3", tls.VersionTLS13, tls.VersionTLS13, []tls.Certificate{pair}, true},
		{"no certificate", tls.VersionTLS13, tls.VersionTLS13, nil, false},
		{"TLS 1.2", tls.VersionTLS12, tls.VersionTLS12, []tls.Certificate{pair}, false},
		{"TLS 1.0 to 1.2", tls.VersionTLS10, tls.VersionTLS12, []tls.Certificate{pair}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, TLSClientConfig: &tls.Config{MinVersion: tt.minVersion, MaxVersion: tt.maxVersion, InsecureSkipVerify: true, Certificates: tt.certs}}}
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
	a := startHost(t, "a", 1, withLongHandshake(), WithTLS(fa.source))
	err = a.dial(context.Background(), a.ensurePeer("b"), old.Listener.Addr().String())
	require.ErrorContains(t, err, "protocol version")
}

// waitForSingleLink waits until hosts a and b use the same link and neither opens
// a second link. Both may open a link at the same time; the link of the host with
// the lesser name then replaces the other link.
func waitForSingleLink(t *testing.T, a, b *testHost) {
	t.Helper()
	dialing := func(p *peer) bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.isDialing
	}
	require.Eventually(t, func() bool {
		return !dialing(a.peer("b")) && !dialing(b.peer("a")) && a.statsFor(b).Linked && a.statsFor(b).Link == b.statsFor(a).Link
	}, eventTimeout, time.Millisecond)
}

// reconnect closes the link between hosts a and b and waits until messages arrive
// in both directions on a new one.
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
	waitForSingleLink(t, a, b)
}

// Guards against a rotation of certificates or of the authority that closes links,
// that leaves an old certificate in use, or after which hosts cannot link.
func TestRotationKeepsHostsLinked(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	t.Run("hosts", func(t *testing.T) {
		old, next := newAuthority(t), newAuthority(t)
		fa, fb := newValidFiles(t, old, "a"), newValidFiles(t, old, "b")
		fa.start(t, time.Now)
		fb.start(t, time.Now)
		a, b := startHost(t, "a", 1, withLongHandshake(), WithTLS(fa.source)), startHost(t, "b", 1, withLongHandshake(), WithTLS(fb.source))
		a.UpdateMembers([]proto.Member{b.member})
		b.UpdateMembers([]proto.Member{a.member})
		deliver(t, a, b, 1)
		deliver(t, b, a, 1)
		waitForSingleLink(t, a, b)

		steps := []struct {
			name string
			run  func()
		}{
			{"a has a new certificate", func() { fa.issue(t, old, "a", trust.RoleEntry) }},
			{"b has a new certificate", func() { fb.issue(t, old, "b", trust.RoleEntry) }},
			{"a accepts both authorities", func() { fa.writeAuthorities(t, old, next) }},
			{"b accepts both authorities", func() { fb.writeAuthorities(t, old, next) }},
			{"a is certified by the new authority", func() { fa.issue(t, next, "a", trust.RoleEntry) }},
			{"b is certified by the new authority", func() { fb.issue(t, next, "b", trust.RoleEntry) }},
			{"a accepts the new authority only", func() { fa.writeAuthorities(t, next) }},
			{"b accepts the new authority only", func() { fb.writeAuthorities(t, next) }},
		}
		for i, step := range steps {
			nonce := uint64(10 * (i + 2))
			before := fa.source.Current().Leaf
			link := a.statsFor(b)
			step.run()
			fa.reload(t)
			fb.reload(t)
			deliver(t, a, b, nonce)
			deliver(t, b, a, nonce)
			require.Equal(t, link.Link, a.statsFor(b).Link, "%s: the link must stay", step.name)
			require.Equal(t, link.Links, a.statsFor(b).Links, "%s: the link must stay", step.name)
			reconnect(t, a, b, nonce+1)
			require.LessOrEqual(t, a.statsFor(b).Links, link.Links+2, "%s: one new link from each side must do", step.name)
			require.Equal(t, strings.HasPrefix(step.name, "a has") || strings.HasPrefix(step.name, "a is"), !before.Equal(fa.source.Current().Leaf))
		}
		outdated := newValidFiles(t, old, "c")
		outdated.start(t, time.Now)
		c := startHost(t, "c", 1, withLongHandshake(), WithTLS(outdated.source))
		err := a.dial(context.Background(), a.ensurePeer("c"), c.member.Addr)
		require.True(t, trust.IsErrUntrusted(err), "the old authority is not accepted any more: %v", err)
	})
}

// Guards against new links with an expired certificate, against links in use that
// close when a certificate expires, and against hosts that cannot link after the
// certificate was replaced.
func TestExpiredCertificateOpensNoNewLinks(t *testing.T) {
	ours := newAuthority(t)
	var clockOffset atomic.Int64
	clock := func() time.Time { return time.Now().Add(time.Duration(clockOffset.Load())) }
	fa, fb := newValidFiles(t, ours, "a"), newValidFiles(t, ours, "b")
	fa.start(t, clock)
	fb.start(t, clock)
	a, b := startHost(t, "a", 1, withLongHandshake(), WithTLS(fa.source)), startHost(t, "b", 1, withLongHandshake(), WithTLS(fb.source))
	a.UpdateMembers([]proto.Member{b.member})
	deliver(t, a, b, 1)
	links := a.statsFor(b).Links

	clockOffset.Store(int64(2 * time.Hour))
	deliver(t, a, b, 2)
	require.Equal(t, links, a.statsFor(b).Links)
	err := a.dial(context.Background(), a.peer("b"), b.member.Addr)
	require.True(t, trust.IsErrExpired(err), "got %v", err)
	require.Equal(t, links, a.statsFor(b).Links)

	for host, f := range map[model.HostID]*hostFiles{"a": fa, "b": fb} {
		f.issueAt(t, ours, host, trust.RoleEntry, clock(), time.Hour)
		f.reload(t)
	}
	reconnect(t, a, b, 3)
}

// Guards against a process that does not log that its links are unencrypted, that
// logs it more than once, or that logs it although they are encrypted.
func TestUnencryptedLinksAreLoggedOnce(t *testing.T) {
	ours := newAuthority(t)
	f := newValidFiles(t, ours, "b")
	f.start(t, time.Now)
	var plain, encrypted logBuffer
	a, b := startHost(t, "a", 1, WithLogger(plain.logger())), startHost(t, "c", 1)
	a.UpdateMembers([]proto.Member{b.member})
	deliver(t, a, b, 1)
	startHost(t, "b", 1, WithTLS(f.source), WithLogger(encrypted.logger()))
	require.Equal(t, 1, strings.Count(plain.String(), "not encrypted"))
	require.NotContains(t, encrypted.String(), "not encrypted")
}
