package conf

import (
	"errors"
	"slices"
	"time"

	"tarragongauge.example/tarragongauge/internal/trust"
)

// TLSMode says whether connections must be encrypted.
type TLSMode string

// Modes of TLS. A fleet that turns TLS on goes through TLSAccept on all hosts.
const (
	// TLSOff makes and takes connections without TLS only.
	TLSOff TLSMode = "off"
	// TLSAccept takes connections with and without TLS, and makes them with TLS if the other side can.
	TLSAccept TLSMode = "accept"
	// TLSRequire makes and takes connections with TLS only.
	TLSRequire TLSMode = "require"
)

// TLS holds the certificate files of a process. All three are set or none is.
type TLS struct {
	Files trust.Files
	Mode  TLSMode
	// Expect is what the certificate of this process must say.
	Expect trust.Expectation
}

// Enabled reports whether links and the operators' port can be encrypted.
func (t TLS) Enabled() bool { return t.Files != trust.Files{} && t.Mode != TLSOff }

// Optional reports whether connections without TLS are taken too.
func (t TLS) Optional() bool { return t.Mode == TLSAccept }

// WithClock sets the time that the validity of certificates is checked against.
func WithClock(clock trust.Clock) Option {
	return func(o *options) { o.files.clock = clock }
}

func (f files) now() time.Time {
	if f.clock == nil {
		return time.Now()
	}
	return f.clock()
}

const allowCertificate = "the path of a file made by tarragongauge certificate issue that only its owner can change"

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
				return f.authorities(s)
			},
		},
		{
			Setting{Section: "tls", Key: "certificate_file", Roles: fleetRoles(), Allowed: allowCertificate, Help: "certificate of this host, with the role of the process and the role operators"},
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

func (f files) authorities(path string) []problem {
	if f.skip {
		return nil
	}
	a, err := trust.ReadAuthorities(path)
	if err == nil {
		err = a.CheckAnyValid(f.now())
	}
	if err != nil {
		return wrong(path, "%s", detailOf(err))
	}
	return nil
}

// detailOf leaves out the path, which the fault shows as what was read.
func detailOf(err error) string {
	var file trust.ErrInvalidFile
	if errors.As(err, &file) {
		return file.Cause
	}
	return err.Error()
}

// expect returns what the certificate of a process must say.
func expect(role Role, v values) trust.Expectation {
	return trust.Expectation{Fleet: v.fleet.Name, Host: v.host.Name, Roles: []trust.Role{trust.Role(role), trust.RoleOperators}}
}

// checkTLS finds files that are missing, do not belong together or belong to another host.
func (r *reader) checkTLS(v values, f files) {
	paths := v.tls.Files
	if !v.tls.Enabled() {
		return
	}
	keys := []struct{ key, path string }{{"authority_file", paths.Authority}, {"certificate_file", paths.Certificate}, {"key_file", paths.Key}}
	incomplete := false
	for _, k := range keys {
		if k.path == "" {
			incomplete = true
			r.fault("tls", k.key, problem{}, "all three files, or no [tls] at all")
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
		if key.key != "authority_file" { // its own setting has reported it
			r.fault("tls", key.key, problem{got: key.path, detail: detailOf(err)}, "")
		}
	}
}
