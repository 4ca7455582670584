package conf

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tarragongauge.example/tarragongauge/internal/trust"
)

const tlsSection = `
[tls]
authority_file = %DIR%/authority.crt
certificate_file = %DIR%/c1.crt
key_file = %DIR%/c1.key
`

// issueCertificate writes a new authority and a certificate for host c1 to dir.
func issueCertificate(t *testing.T, dir, fleet string, r trust.CertificateRequest) {
	t.Helper()
	p, err := trust.CreateAuthority(fleet, 24*time.Hour, time.Now())
	require.NoError(t, err)
	crt, key := filepath.Join(dir, "authority.crt"), filepath.Join(dir, "authority.key")
	require.NoError(t, p.Write(crt, key, true))
	a, err := trust.ReadAuthority(crt, key)
	require.NoError(t, err)
	host, err := a.Issue(r, time.Now())
	require.NoError(t, err)
	require.NoError(t, host.Write(filepath.Join(dir, "c1.crt"), filepath.Join(dir, "c1.key"), true))
}

// TestTLSFaultsAreReported guards against certificate files that are accepted
// although other hosts would refuse them, and against faults without their line.
func TestTLSFaultsAreReported(t *testing.T) {
	valid := trust.CertificateRequest{Host: "c1", Roles: []trust.Role{trust.RoleControl, trust.RoleOperators}, Validity: time.Hour}
	tests := []struct {
		name    string
		fleet   string
		request func(r *trust.CertificateRequest)
		change  func(t *testing.T, dir string)
		replace [2]string
		after   time.Duration
		want    []string
	}{
		{name: "sound"},
		{name: "one key missing", replace: [2]string{"key_file = %DIR%/c1.key\n", ""}, want: []string{"[tls] key_file is missing or empty; allowed: all three files"}},
		{name: "two files missing", change: func(t *testing.T, dir string) {
			require.NoError(t, os.Remove(filepath.Join(dir, "c1.crt")))
			require.NoError(t, os.Remove(filepath.Join(dir, "c1.key")))
		}, want: []string{":23: [tls] certificate_file", ":24: [tls] key_file", "no such file"}},
		{name: "authority missing", replace: [2]string{"authority.crt", "none.crt"}, want: []string{":22: [tls] authority_file", "no such file"}},
		{name: "key open to others", change: func(t *testing.T, dir string) {
			require.NoError(t, os.Chmod(filepath.Join(dir, "c1.key"), 0o644))
		}, want: []string{":24: [tls] key_file", "chmod 600"}},
		{name: "expired", after: 2 * time.Hour, want: []string{":23: [tls] certificate_file", "expired at"}},
		{name: "authority expired", after: 48 * time.Hour, want: []string{":22: [tls] authority_file", "the authority of fleet \"tatws\" expired at"}},
		{name: "not yet valid", after: -time.Hour, want: []string{"valid only from"}},
		{name: "other fleet", fleet: "felt", want: []string{`belongs to fleet "felt" instead of "tatws"`}},
		{name: "other host", request: func(r *trust.CertificateRequest) { r.Host = "c2" }, want: []string{`belongs to host "c2" instead of "c1"`}},
		{name: "other role", request: func(r *trust.CertificateRequest) { r.Roles[0] = trust.RoleEntry }, want: []string{"issue one with --role control"}},
		{name: "not for operators", request: func(r *trust.CertificateRequest) { r.Roles = r.Roles[:1] }, want: []string{"issue one with --role operators"}},
		{name: "other authority", change: func(t *testing.T, dir string) {
			other := t.TempDir()
			issueCertificate(t, other, "tatws", valid)
			require.NoError(t, os.Rename(filepath.Join(other, "authority.crt"), filepath.Join(dir, "authority.crt")))
		}, want: []string{":23: [tls] certificate_file", "unknown authority"}},
		{name: "key of the client settings", replace: [2]string{"key_file", "token_file"}, want: []string{"a key that control does not know"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			path, dir := writeSettings(t, controlFile+strings.Replace(tlsSection, tt.replace[0], tt.replace[1], 1))
			request, fleet := valid, "tatws"
			request.Roles = append([]trust.Role{}, valid.Roles...)
			if tt.request != nil {
				tt.request(&request)
			}
			if tt.fleet != "" {
				fleet = tt.fleet
			}
			issueCertificate(t, dir, fleet, request)
			if tt.change != nil {
				tt.change(t, dir)
			}
			clock := WithClock(func() time.Time { return time.Now().Add(tt.after) })
			c, err := LoadControl(path, clock)
			if tt.want == nil {
				require.NoError(t, err)
				require.True(t, c.TLS.Enabled())
				require.Equal(t, filepath.Join(dir, "c1.key"), c.TLS.Files.Key)
				require.Equal(t, trust.Expectation{Fleet: "tatws", Host: "c1", Roles: valid.Roles}, c.TLS.Expect)
				return
			}
			require.True(t, IsErrSettings(err), "got %v", err)
			for _, want := range tt.want {
				require.ErrorContains(t, err, want)
			}
		})
	}
}

// TestClientAuthorityIsCheckedUnlessWithoutFiles guards against operators' tools
// that ignore their authority, and against settings that cannot be checked on a
// machine without the certificate files.
func TestClientAuthorityIsCheckedUnlessWithoutFiles(t *testing.T) {
	path, dir := writeSettings(t, "[client]\naddresses = c1=10.0.0.1:9500\ntoken_file = %DIR%/secret\n[tls]\nauthority_file = %DIR%/authority.crt\n")
	_, err := LoadClient(path)
	require.ErrorContains(t, err, ":5: [tls] authority_file")
	issueCertificate(t, dir, "tatws", trust.CertificateRequest{Host: "c1", Roles: []trust.Role{trust.RoleOperators}, Validity: time.Hour})
	c, err := LoadClient(path)
	require.NoError(t, err)
	require.Equal(t, filepath.Join(dir, "authority.crt"), c.AuthorityFile)
	_, err = LoadClient(path, WithClock(func() time.Time { return time.Now().Add(48 * time.Hour) }))
	require.ErrorContains(t, err, "expired at")

	path, _ = writeSettings(t, controlFile+tlsSection)
	require.True(t, IsErrSettings(Check(path, RoleControl)))
	require.NoError(t, Check(path, RoleControl, WithoutFiles()))
	path, _ = writeSettings(t, controlFile)
	control, err := LoadControl(path)
	require.NoError(t, err)
	require.False(t, control.TLS.Enabled())
}
