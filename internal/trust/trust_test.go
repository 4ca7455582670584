package trust

import (
	"crypto/tls"
	"crypto/x509"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr/funcr"
	"github.com/stretchr/testify/require"

	"tarragongauge.example/tarragongauge/internal/super"
	"tarragongauge.example/tarragongauge/pkg/model"
)

func epoch() time.Time { return time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC) }

func fixedClock(at time.Time) Clock { return func() time.Time { return at } }

func newAuthority(t testing.TB, fleet string, validity time.Duration, at time.Time) Authority {
	t.Helper()
	p, err := CreateAuthority(fleet, validity, at)
	require.NoError(t, err)
	a, err := ParseAuthority(p)
	require.NoError(t, err)
	return a
}

func issue(t testing.TB, a Authority, host model.HostID, at time.Time, roles ...Role) KeyPair {
	t.Helper()
	p, err := a.Issue(CertificateRequest{Host: host, Roles: roles, Addresses: []netip.Addr{netip.MustParseAddr("127.0.0.1")}, Validity: time.Hour}, at)
	require.NoError(t, err)
	return p
}

func authoritiesOf(list ...Authority) Authorities {
	var a Authorities
	for _, authority := range list {
		a.certs = append(a.certs, authority.cert)
	}
	return a
}

// Guards against a certificate that is accepted for a host, role, fleet or time
// other than its own, and against a rejection with the wrong type of error, whose
// message would name the wrong remedy.
func TestVerifyRejectsWrongHostRoleFleetOrTime(t *testing.T) {
	now := epoch()
	ours, next, felt := newAuthority(t, "tatws", 24*time.Hour, now), newAuthority(t, "tatws", 24*time.Hour, now), newAuthority(t, "felt", 24*time.Hour, now)
	shortLived := newAuthority(t, "tatws", time.Minute, now)
	foreign := Identity{Fleet: "felt", Host: "c1", Roles: []Role{RoleControl}}
	template := func(by Authority, change func(c *x509.Certificate)) KeyPair {
		key, err := newKey()
		require.NoError(t, err)
		c := &x509.Certificate{URIs: Identity{Fleet: "tatws", Host: "c1", Roles: []Role{RoleControl}}.uris(), NotBefore: now, NotAfter: now.Add(time.Hour), ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth}}
		change(c)
		p, err := sign(c, by.cert, key, by.key)
		require.NoError(t, err)
		return p
	}
	good := issue(t, ours, "c1", now, RoleControl, RoleOperators)
	outlives := template(shortLived, func(*x509.Certificate) {})
	want := Expectation{Fleet: "tatws", Host: "c1", Roles: []Role{RoleControl}}
	tests := []struct {
		name     string
		pair     KeyPair
		accepted Authorities
		at       time.Time
		want     Expectation
		check    func(error) bool
	}{
		{"sound", good, authoritiesOf(ours), now, want, func(err error) bool { return err == nil }},
		{"sound with two authorities", good, authoritiesOf(next, ours), now, want, func(err error) bool { return err == nil }},
		{"sound at its last moment", good, authoritiesOf(ours), now.Add(time.Hour), want, func(err error) bool { return err == nil }},
		{"expired", good, authoritiesOf(ours), now.Add(time.Hour + time.Second), want, IsErrExpired},
		{"not yet valid", good, authoritiesOf(ours), now.Add(-backdate - time.Second), want, IsErrNotYetValid},
		{"authority expired", outlives, authoritiesOf(shortLived), now.Add(2 * time.Minute), want, IsErrExpired},
		{"unknown authority", good, authoritiesOf(next), now, want, IsErrUntrusted},
		{"unknown authority, expired too", good, authoritiesOf(next), now.Add(2 * time.Hour), want, IsErrUntrusted},
		{"other fleet expected", good, authoritiesOf(ours), now, Expectation{Fleet: "felt"}, IsErrWrongFleet},
		{"other fleet in a mixed file", issue(t, felt, "c1", now, RoleControl), authoritiesOf(ours, felt), now, want, IsErrWrongFleet},
		{"authority speaks for another fleet", template(ours, func(c *x509.Certificate) { c.URIs = foreign.uris() }), authoritiesOf(ours), now, Expectation{Fleet: "felt"}, IsErrWrongFleet},
		{"wrong role", issue(t, ours, "c1", now, RoleEntry), authoritiesOf(ours), now, want, IsErrMissingRole},
		{"one role missing", good, authoritiesOf(ours), now, Expectation{Roles: []Role{RoleControl, RoleJournal}}, IsErrMissingRole},
		{"wrong host", issue(t, ours, "c2", now, RoleControl), authoritiesOf(ours), now, want, IsErrWrongHost},
		{"authority as a host", KeyPair{}, authoritiesOf(ours), now, want, IsErrInvalidFile},
		{"not for servers", template(ours, func(c *x509.Certificate) { c.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth} }), authoritiesOf(ours), now, want, IsErrUntrusted},
		{"without an identity", template(ours, func(c *x509.Certificate) { c.URIs = nil }), authoritiesOf(ours), now, want, IsErrInvalidFile},
		{"two hosts", template(ours, func(c *x509.Certificate) {
			c.URIs = append(c.URIs, Identity{Fleet: "tatws", Host: "c2", Roles: []Role{RoleEntry}}.uris()...)
		}), authoritiesOf(ours), now, want, IsErrInvalidFile},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			leaf := ours.cert
			if tt.pair.Certificate != nil {
				certs, err := ParseCertificates(tt.pair.Certificate)
				require.NoError(t, err)
				leaf = certs[0]
			}
			_, err := tt.accepted.Verify(leaf, x509.ExtKeyUsageServerAuth, tt.at, tt.want)
			require.True(t, tt.check(err), "got %v", err)
		})
	}
}

// Guards against issuing a certificate that the hosts of the fleet would refuse.
func TestIssueRejectsInvalidRequests(t *testing.T) {
	now := epoch()
	a := newAuthority(t, "tatws", time.Hour, now)
	valid := CertificateRequest{Host: "c1", Roles: []Role{RoleControl}, Validity: time.Minute}
	tests := []struct {
		name   string
		change func(r *CertificateRequest)
		at     time.Time
		check  func(error) bool
	}{
		{"host name", func(r *CertificateRequest) { r.Host = "c1/entry" }, now, IsErrInvalidRequest},
		{"no role", func(r *CertificateRequest) { r.Roles = nil }, now, IsErrInvalidRequest},
		{"unknown role", func(r *CertificateRequest) { r.Roles = []Role{"root"} }, now, IsErrInvalidRequest},
		{"role twice", func(r *CertificateRequest) { r.Roles = []Role{RoleEntry, RoleEntry} }, now, IsErrInvalidRequest},
		{"too short", func(r *CertificateRequest) { r.Validity = time.Second }, now, IsErrInvalidRequest},
		{"longer than the authority", func(r *CertificateRequest) { r.Validity = 2 * time.Hour }, now, IsErrInvalidRequest},
		{"authority expired", func(*CertificateRequest) {}, now.Add(2 * time.Hour), IsErrExpired},
		{"authority not yet valid", func(*CertificateRequest) {}, now.Add(-time.Hour), IsErrNotYetValid},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := valid
			tt.change(&r)
			_, err := a.Issue(r, tt.at)
			require.True(t, tt.check(err), "got %v", err)
		})
	}
	_, err := CreateAuthority("tatws/x", time.Hour, now)
	require.True(t, IsErrInvalidRequest(err))
	_, err = CreateAuthority("tatws", 0, now)
	require.True(t, IsErrInvalidRequest(err))
}

// installFiles writes the files of a host: its key pair and the accepted authorities.
func installFiles(t *testing.T, f Files, p KeyPair, accepted ...Authority) {
	t.Helper()
	var bundle []byte
	for _, a := range accepted {
		bundle = append(bundle, a.Certificate()...)
	}
	require.NoError(t, os.WriteFile(f.Authority, bundle, 0o600))
	require.NoError(t, p.Write(f.Certificate, f.Key, true))
}

func filesIn(dir string) Files {
	return Files{Authority: filepath.Join(dir, "authority.crt"), Certificate: filepath.Join(dir, "host.crt"), Key: filepath.Join(dir, "host.key")}
}

// Guards against loading files that are damaged, accessible to other users or do not belong together.
func TestLoadRejectsFaultyFiles(t *testing.T) {
	now := epoch()
	a := newAuthority(t, "tatws", 24*time.Hour, now)
	good, other := issue(t, a, "c1", now, RoleControl), issue(t, a, "c1", now, RoleControl)
	write := func(path string, data ...[]byte) func(t *testing.T) {
		return func(t *testing.T) { require.NoError(t, os.WriteFile(path, slices.Concat(data...), 0o600)) }
	}
	mode := func(path string, m os.FileMode) func(t *testing.T) {
		return func(t *testing.T) { require.NoError(t, os.Chmod(path, m)) }
	}
	dir := t.TempDir()
	f := filesIn(dir)
	tests := []struct {
		name   string
		change func(t *testing.T)
		path   string
		want   string
	}{
		{"key readable by the group", mode(f.Key, 0o640), f.Key, "chmod 600"},
		{"certificate writable by others", mode(f.Certificate, 0o602), f.Certificate, "chmod 600"},
		{"authority writable by the group", mode(f.Authority, 0o620), f.Authority, "chmod 600"},
		{"missing", func(t *testing.T) { require.NoError(t, os.Remove(f.Key)) }, f.Key, "no such file"},
		{"folder", func(t *testing.T) {
			require.NoError(t, os.Remove(f.Key))
			require.NoError(t, os.Mkdir(f.Key, 0o700))
		}, f.Key, "not a regular file"},
		{"too long", write(f.Authority, make([]byte, maxFileSize+1)), f.Authority, "not a regular file"},
		{"empty", write(f.Certificate), f.Certificate, "empty"},
		{"cut off", write(f.Certificate, good.Certificate[:200]), f.Certificate, "damaged"},
		{"damaged block before a sound one", write(f.Authority, good.Certificate[:100], []byte("\n"), a.Certificate()), f.Authority, "damaged"},
		{"text beside the block", write(f.Certificate, []byte("x\n"), good.Certificate), f.Certificate, "beside"},
		{"key as a certificate", write(f.Certificate, good.Key), f.Certificate, "block"},
		{"certificate as a key", write(f.Key, good.Certificate), f.Key, "block"},
		{"host as an authority", write(f.Authority, good.Certificate), f.Authority, "authority create"},
		{"authority as a host", write(f.Certificate, a.Certificate()), f.Certificate, "certificate issue"},
		{"two hosts", write(f.Certificate, good.Certificate, other.Certificate), f.Certificate, "2 certificates"},
		{"nine authorities", write(f.Authority, []byte(strings.Repeat(string(a.Certificate()), maxAuthorities+1))), f.Authority, "more than"},
		{"key of another certificate", write(f.Key, other.Key), f.Key, "does not belong"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			require.NoError(t, os.RemoveAll(f.Key))
			installFiles(t, f, good, a)
			require.NoError(t, os.Chmod(f.Authority, 0o600))
			_, err := Load(f, Expectation{}, now)
			require.NoError(t, err)
			tt.change(t)
			_, err = Load(f, Expectation{}, now)
			require.True(t, IsErrInvalidFile(err), "got %v", err)
			require.ErrorContains(t, err, tt.path+": ")
			require.ErrorContains(t, err, tt.want)
		})
	}
}

// Guards against keys that other users can read, and against overwriting a key
// in use without being asked to replace it.
func TestWriteProtectsKeysAndExistingFiles(t *testing.T) {
	dir := t.TempDir()
	p, err := CreateAuthority("tatws", time.Hour, epoch())
	require.NoError(t, err)
	crt, key := filepath.Join(dir, "a.crt"), filepath.Join(dir, "a.key")
	require.NoError(t, p.Write(crt, key, false))
	_, err = ReadAuthority(crt, key)
	require.NoError(t, err)
	for _, path := range []string{crt, key} {
		info, err := os.Stat(path)
		require.NoError(t, err)
		require.Equal(t, os.FileMode(0o600), info.Mode())
	}
	require.True(t, IsErrInvalidFile(p.Write(crt, filepath.Join(dir, "b.key"), false)))
	require.NoFileExists(t, filepath.Join(dir, "b.key"))
	require.NoError(t, p.Write(crt, key, true))
	entries, err := os.ReadDir(dir)
	require.NoError(t, err)
	require.Len(t, entries, 2, "no temporary file is left behind")
	other, err := CreateAuthority("tatws", time.Hour, epoch())
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(key, other.Key, 0o600))
	_, err = ReadAuthority(crt, key)
	require.ErrorContains(t, err, "does not belong")
}

// Guards against a source that misses replaced files, that drops a valid
// certificate when its files become faulty, or that repeats a log line at each
// reload.
func TestSourceReplacesFilesWhileItRuns(t *testing.T) {
	dir := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		f := filesIn(dir)
		old, next := newAuthority(t, "tatws", 48*time.Hour, time.Now().Add(-3*time.Hour)), newAuthority(t, "tatws", 24*time.Hour, time.Now())
		installFiles(t, f, issue(t, old, "c1", time.Now(), RoleControl), old)
		var mu sync.Mutex
		var lines []string
		log := funcr.New(func(_, args string) {
			mu.Lock()
			defer mu.Unlock()
			lines = append(lines, args)
		}, funcr.Options{})
		logged := func() []string {
			mu.Lock()
			defer mu.Unlock()
			return slices.Clone(lines)
		}
		tree, stop := super.New("test")
		defer stop()
		s, _, err := NewSource(f, Expectation{Fleet: "tatws", Host: "c1", Roles: []Role{RoleControl}}, time.Now, tree, WithLogger(log))
		require.NoError(t, err)
		first := s.Current().Leaf
		waitForReload := func() { time.Sleep(DefaultReloadInterval + time.Second) }
		waitForReload()
		require.Empty(t, logged())

		faults := []struct {
			want string
			make func()
		}{
			{"no such file", func() { require.NoError(t, os.Remove(f.Certificate)) }},
			{"instead of", func() { installFiles(t, f, issue(t, old, "c2", time.Now(), RoleControl), old) }},
			{"--role control", func() { installFiles(t, f, issue(t, old, "c1", time.Now(), RoleEntry), old) }},
			{"unknown authority", func() { installFiles(t, f, issue(t, next, "c1", time.Now(), RoleControl), old) }},
			{"expired", func() { installFiles(t, f, issue(t, old, "c1", time.Now().Add(-2*time.Hour), RoleControl), old) }},
		}
		for i, fault := range faults {
			fault.make()
			waitForReload()
			waitForReload()
			require.Equal(t, first, s.Current().Leaf)
			require.Len(t, logged(), i+1)
			require.Contains(t, logged()[i], fault.want)
			require.Contains(t, s.Stats().Fault, fault.want)
		}

		installFiles(t, f, issue(t, old, "c1", time.Now(), RoleControl), old, next)
		waitForReload()
		require.NotEqual(t, first, s.Current().Leaf)
		require.Equal(t, Stats{ExpiresUnix: s.Current().Leaf.NotAfter.Unix(), Authorities: 2}, s.Stats())
		require.Len(t, logged(), len(faults)+1)
		require.Contains(t, logged()[len(faults)], "replaced")
		time.Sleep(50 * time.Minute)
		require.Len(t, logged(), len(faults)+2)
		require.Contains(t, logged()[len(faults)+1], "expires soon")
		time.Sleep(2 * time.Hour)
		require.Len(t, logged(), len(faults)+3)
		require.Contains(t, logged()[len(faults)+2], "has expired")
		stop()
		require.NoError(t, tree.Wait())
	})
}

// Guards against accepting a connection without a peer certificate, and against a
// link client that accepts the certificate of another host. The configurations
// replace the standard library's verification, so that nothing else would refuse
// these.
func TestPeerNeedsACertificate(t *testing.T) {
	_, err := PeerIdentity(nil)
	require.True(t, IsErrUntrusted(err))
	_, err = PeerIdentity(&tls.ConnectionState{})
	require.True(t, IsErrUntrusted(err))
	a := newAuthority(t, "tatws", 24*time.Hour, epoch())
	err = NewOperatorsClient(authoritiesOf(a), fixedClock(epoch())).Config("c1").VerifyConnection(tls.ConnectionState{})
	require.True(t, IsErrUntrusted(err))
	f := filesIn(t.TempDir())
	installFiles(t, f, issue(t, a, "c1", epoch(), RoleControl), a)
	tree, stop := super.New("test")
	defer stop()
	s, _, err := NewSource(f, Expectation{}, fixedClock(epoch()), tree)
	require.NoError(t, err)
	state := tls.ConnectionState{PeerCertificates: []*x509.Certificate{s.Current().Leaf}}
	require.NoError(t, s.FleetClient("c1").VerifyConnection(state))
	require.True(t, IsErrWrongHost(s.FleetClient("c2").VerifyConnection(state)), "refused before anything is sent")
	require.Equal(t, uint64(1), s.Stats().RefusedPeers)
	require.NoError(t, s.Current().Leaf.VerifyHostname("127.0.0.1"), "tools such as curl check the address")
	require.Error(t, s.Current().Leaf.VerifyHostname("127.0.0.2"))
}

// Guards against a panic while parsing a file, and against verifying a
// certificate that the accepted authority did not sign.
func FuzzParseCertificates(f *testing.F) {
	now := epoch()
	a, accepted := newAuthority(f, "tatws", 24*time.Hour, now), authoritiesOf(newAuthority(f, "felt", time.Hour, now))
	host := issue(f, a, "c1", now, RoleControl)
	f.Add(a.Certificate())
	f.Add(append(host.Certificate, a.Certificate()...))
	f.Add(host.Key)
	f.Add([]byte("-----BEGIN CERTIFICATE-----\n-----END CERTIFICATE-----"))
	f.Fuzz(func(t *testing.T, data []byte) {
		if _, err := parseKey(data); err != nil && !IsErrInvalidFile(err) {
			t.Fatalf("error other than ErrInvalidFile: %v", err)
		}
		all, err := ParseCertificates(data)
		if err != nil && !IsErrInvalidFile(err) {
			t.Fatalf("error other than ErrInvalidFile: %v", err)
		}
		for _, c := range all {
			if _, err := accepted.Verify(c, x509.ExtKeyUsageServerAuth, now, Expectation{}); err == nil {
				t.Fatalf("accepted %q", c.Subject)
			}
		}
	})
}
