package conf

import (
	"errors"
	"slices"
	"time"

	"tarragongauge.example/tarragongauge/internal/trust"
)

// TLSMode controls which connections of a process use TLS.
type TLSMode string

// Modes of TLS. To turn TLS on in a running fleet, all hosts are first set to
// TLSAccept, then to TLSRequire.
const (
	// TLSOff makes and accepts only connections without TLS.
	TLSOff TLSMode = "off"
	// TLSAccept accepts connections with and without TLS, and makes them with TLS
	// to hosts that support it.
	TLSAccept TLSMode = "accept"
	// TLSRequire makes and accepts only connections with TLS.
	TLSRequire TLSMode = "require"
)

// TLS holds the section [tls] of a process.
type TLS struct {
	// Files has either all three paths or none.
	Files trust.Files
	Mode  TLSMode
	// Expect holds the fleet, host and roles that this process's certificate must name.
	Expect trust.Expectation
}

// Enabled reports whether links and the operators' port can be encrypted.
func (t TLS) Enabled() bool { return t.Files != trust.Files{} && t.Mode != TLSOff }

// Optional reports whether connections without TLS are accepted too.
func (t TLS) Optional() bool { return t.Mode == TLSAccept }

// WithClock sets the clock by which certificates are checked to be valid now.
func WithClock(clock trust.Clock) Option {
	return func(o *options) { o.files.clock = clock }
}

// now returns the time for the validity of certificates.
func (f files) now() time.Time {
	if f.clock == nil {
		return time.Now()
	}
	return f.clock()
}

const allowedCertificateFile = "the path of a file made by tarragongauge certificate issue that only its owner can change"

func tlsSettings() []setting {
	return []setting{
		{
			Setting{Section: "tls", Key: "mode", Roles: fleetRoles(), Default: string(TLSRequire), Allowed: "off, accept or require", Help: "require makes and takes connections with TLS only; accept also takes and, to hosts that do not speak it, makes them without, while a fleet turns TLS on"},
			func(v *values, _ files, s string) []problem {
				return parseChoice((*string)(&v.tls.Mode), s, string(TLSOff), string(TLSAccept), string(TLSRequire))
			},
		},
		{
			Setting{Section: "tls", Key: "authority_file", Roles: append(fleetRoles(), RoleClient), Allowed: "the path of a file with one authority certificate or, during a rotation, several, that only its owner can change", Help: "authorities whose certificates are accepted; without [tls], nothing is encrypted between hosts and towards operators"},
			func(v *values, f files, s string) []problem {
				v.tls.Files.Authority = s
				return f.checkAuthorities(s)
			},
		},
		{
			Setting{Section: "tls", Key: "certificate_file", Roles: fleetRoles(), Allowed: allowedCertificateFile, Help: "certificate of this host, with the role of the process and the role operators"},
			func(v *values, _ files, s string) []problem {
				v.tls.Files.Certificate = s
				return nil
			},
		},
		{
			Setting{Section: "tls", Key: "key_file", Roles: fleetRoles(), Allowed: "the path of the key made with the certificate, that only its owner can read", Help: "key of the certificate"},
			func(v *values, _ files, s string) []problem {
				v.tls.Files.Key = s
				return nil
			},
		},
	}
}

// checkAuthorities checks that a file has at least one authority that is valid now.
func (f files) checkAuthorities(path string) []problem {
	if f.skip {
		return nil
	}
	a, err := trust.ReadAuthorities(path)
	if err == nil {
		err = a.CheckAnyValid(f.now())
	}
	if err != nil {
		return newProblem(path, "%s", errorDetail(err))
	}
	return nil
}

// errorDetail returns the text of err without the path of the file, since Fault.Got shows it.
func errorDetail(err error) string {
	var file trust.ErrInvalidFile
	if errors.As(err, &file) {
		return file.Cause
	}
	return err.Error()
}

// expectedCertificate returns the fleet, host and roles that the certificate of
// a process must name. Each process serves its operators, so it needs their role too.
func expectedCertificate(role Role, v values) trust.Expectation {
	return trust.Expectation{Fleet: v.fleet.Name, Host: v.host.Name, Roles: []trust.Role{trust.Role(role), trust.RoleOperators}}
}

// checkTLS reports certificate files that are missing, do not belong together or
// were issued for another host.
func (r *fileReader) checkTLS(v values, f files) {
	paths := v.tls.Files
	if !v.tls.Enabled() {
		return
	}
	keys := []struct{ key, path string }{{"authority_file", paths.Authority}, {"certificate_file", paths.Certificate}, {"key_file", paths.Key}}
	incomplete := false
	for _, k := range keys {
		if k.path == "" {
			incomplete = true
			r.addFault("tls", k.key, problem{}, "all three files, or no [tls] at all")
		}
	}
	if incomplete || f.skip {
		return
	}
	for _, err := range paths.Check(v.tls.Expect, f.now()) {
		key := keys[1]
		var file trust.ErrInvalidFile
		if errors.As(err, &file) {
			if i := slices.IndexFunc(keys, func(k struct{ key, path string }) bool { return k.path == file.Path }); i >= 0 {
				key = keys[i]
			}
		}
		if key.key != "authority_file" { // checkAuthorities has reported it
			r.addFault("tls", key.key, problem{got: key.path, detail: errorDetail(err)}, "")
		}
	}
}
