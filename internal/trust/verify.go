package trust

import (
	"crypto/x509"
	"fmt"
	"slices"
	"time"
)

// Authorities are the authorities that a process accepts: one or, during a
// rotation, an old and a new one. It is immutable and never empty.
type Authorities struct{ certs []*x509.Certificate }

// Certificates returns the certificates in the order of the file.
func (a Authorities) Certificates() []*x509.Certificate { return slices.Clone(a.certs) }

// Verify checks a certificate for a use at a time and returns its identity.
// Errors are ErrAuthority, ErrExpired, ErrNotYetValid, ErrFleet, ErrHost,
// ErrRole or, for a certificate of another kind, ErrFile.
func (a Authorities) Verify(leaf *x509.Certificate, use x509.ExtKeyUsage, now time.Time, want Expectation) (Identity, error) {
	issuer, err := a.issuer(leaf, now)
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
		return Identity{}, ErrUntrusted{Subject: subject(leaf), Cause: err.Error()}
	}
	id, err := ParseIdentity(leaf)
	if err != nil {
		return Identity{}, err
	}
	fleet, err := FleetOf(issuer)
	if err != nil {
		return Identity{}, err
	}
	// An authority speaks for its own fleet only, whatever the expectation is.
	if id.Fleet != fleet {
		return Identity{}, ErrWrongFleet{Host: id.Host, Got: id.Fleet, Want: fleet}
	}
	return id, want.check(id, fleet)
}

// issuer returns the authority that signed a certificate, and prefers one that is valid now.
func (a Authorities) issuer(leaf *x509.Certificate, now time.Time) (*x509.Certificate, error) {
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
	return nil, ErrUntrusted{Subject: subject(leaf), Cause: "it was signed by an unknown authority"}
}

// CheckValidity returns an ErrExpired or ErrNotYetValid unless a certificate is valid at a time.
func CheckValidity(c *x509.Certificate, now time.Time) error {
	switch {
	case now.Before(c.NotBefore):
		return ErrNotYetValid{Subject: subject(c), From: c.NotBefore}
	case now.After(c.NotAfter):
		return ErrExpired{Subject: subject(c), At: c.NotAfter}
	default:
		return nil
	}
}

// subject describes a certificate that need not be genuine.
func subject(c *x509.Certificate) string {
	if id, err := ParseIdentity(c); err == nil {
		return fmt.Sprintf("host %q in fleet %q", id.Host, id.Fleet)
	}
	if fleet, err := FleetOf(c); err == nil {
		return fmt.Sprintf("the authority of fleet %q", fleet)
	}
	return fmt.Sprintf("%q", c.Subject.CommonName)
}

// CheckAnyValid returns nil if one of the authorities is valid at a time, otherwise what is wrong with the last.
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
