package trust

import (
	"crypto/x509"
	"fmt"
	"slices"
	"time"
)

// Authorities holds the certificates of the authorities that a process accepts:
// one or, during a rotation, an old and a new one. It is immutable and never empty.
type Authorities struct{ certs []*x509.Certificate }

// Certificates returns the certificates of the authorities in the order of their file.
func (a Authorities) Certificates() []*x509.Certificate { return slices.Clone(a.certs) }

// Verify checks that a host's certificate was signed by one of the authorities,
// is valid at now for a use and meets an expectation, and returns its identity.
// Its errors are ErrUntrusted, ErrExpired, ErrNotYetValid, ErrWrongFleet,
// ErrWrongHost, ErrMissingRole or, for a certificate of another kind,
// ErrInvalidFile.
func (a Authorities) Verify(leaf *x509.Certificate, use x509.ExtKeyUsage, now time.Time, want Expectation) (Identity, error) {
	issuer, err := a.findIssuer(leaf, now)
	if err != nil {
		return Identity{}, err
	}
	if err := CheckValidity(leaf, now); err != nil {
		return Identity{}, err
	}
	roots := x509.NewCertPool()
	roots.AddCert(issuer)
	_, err = leaf.Verify(x509.VerifyOptions{Roots: roots, CurrentTime: now, KeyUsages: []x509.ExtKeyUsage{use}})
	if err != nil {
		return Identity{}, ErrUntrusted{Subject: describeSubject(leaf), Cause: err.Error()}
	}
	id, err := ParseIdentity(leaf)
	if err != nil {
		return Identity{}, err
	}
	fleet, err := FleetOf(issuer)
	if err != nil {
		return Identity{}, err
	}
	// An authority may issue certificates for its own fleet only, whatever fleet is expected.
	if id.Fleet != fleet {
		return Identity{}, ErrWrongFleet{Host: id.Host, Got: id.Fleet, Want: fleet}
	}
	return id, want.check(id, fleet)
}

// findIssuer returns an authority that signed the certificate and is valid at
// now. If every signing authority is outside its validity, it returns an
// ErrExpired or ErrNotYetValid; if there is none, an ErrUntrusted.
func (a Authorities) findIssuer(leaf *x509.Certificate, now time.Time) (*x509.Certificate, error) {
	var expired error
	for _, c := range a.certs {
		if leaf.CheckSignatureFrom(c) != nil {
			continue
		}
		err := CheckValidity(c, now)
		if err == nil {
			return c, nil
		}
		expired = err
	}
	if expired != nil {
		return nil, expired
	}
	return nil, ErrUntrusted{Subject: describeSubject(leaf), Cause: "it was signed by an unknown authority"}
}

// CheckValidity returns an ErrExpired or ErrNotYetValid unless the certificate is valid at now.
func CheckValidity(c *x509.Certificate, now time.Time) error {
	switch {
	case now.Before(c.NotBefore):
		return ErrNotYetValid{Subject: describeSubject(c), From: c.NotBefore}
	case now.After(c.NotAfter):
		return ErrExpired{Subject: describeSubject(c), At: c.NotAfter}
	default:
		return nil
	}
}

// describeSubject names the holder of a certificate in an error message. The
// certificate may be unverified.
func describeSubject(c *x509.Certificate) string {
	if id, err := ParseIdentity(c); err == nil {
		return fmt.Sprintf("host %q in fleet %q", id.Host, id.Fleet)
	}
	if fleet, err := FleetOf(c); err == nil {
		return fmt.Sprintf("the authority of fleet %q", fleet)
	}
	return fmt.Sprintf("%q", c.Subject.CommonName)
}

// CheckAnyValid returns nil if at least one of the authorities is valid at now,
// otherwise the ErrExpired or ErrNotYetValid of the last authority in the list.
func (a Authorities) CheckAnyValid(now time.Time) error {
	var last error
	for _, c := range a.certs {
		last = CheckValidity(c, now)
		if last == nil {
			return nil
		}
	}
	return last
}
