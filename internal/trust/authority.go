package trust

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"time"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// Validity of certificates. The defaults apply unless the operator gives another duration.
const (
	DefaultAuthorityValidity = 10 * 365 * 24 * time.Hour
	DefaultHostValidity      = 90 * 24 * time.Hour
	minValidity              = time.Minute
	// backdate is how long before its creation a certificate becomes valid, so
	// that a host whose clock is a few minutes slow can use it at once.
	backdate = 5 * time.Minute
)

// Authority signs the certificates of one fleet. Its key is ECDSA P-256, which
// common tools such as curl accept for TLS 1.3.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// KeyPair holds a certificate and its private key, both PEM-encoded as in their files.
type KeyPair struct {
	Certificate []byte
	Key         []byte
}

// CertificateRequest describes the certificate to issue for a host.
type CertificateRequest struct {
	Host  model.HostID
	Roles []Role
	// Addresses are the IP addresses that tools such as curl check; the hosts of a fleet check the host name only.
	Addresses []netip.Addr
	// Validity is how long the certificate is valid from the time of issue.
	Validity time.Duration
}

// CreateAuthority generates the key and the self-signed certificate of a new
// authority for a fleet. It returns an ErrInvalidRequest for an invalid fleet
// name or too short a validity.
func CreateAuthority(fleet string, validity time.Duration, now time.Time) (KeyPair, error) {
	if !validName(fleet) {
		return KeyPair{}, ErrInvalidRequest{Cause: fmt.Sprintf("fleet name %q is not 1 to %d letters, digits, '.', '-' or '_'; give the [fleet] name of the settings", fleet, model.MaxNameLength)}
	}
	if validity < minValidity {
		return KeyPair{}, ErrInvalidRequest{Cause: fmt.Sprintf("a validity of %s is too short; give at least %s", validity, minValidity)}
	}
	key, err := newKey()
	if err != nil {
		return KeyPair{}, err
	}
	template := &x509.Certificate{
		Subject:               pkix.Name{CommonName: "tarragongauge authority of " + fleet},
		URIs:                  authorityURIs(fleet),
		NotBefore:             now.Add(-backdate),
		NotAfter:              now.Add(validity),
		IsCA:                  true,
		BasicConstraintsValid: true,
		MaxPathLenZero:        true,
		KeyUsage:              x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature,
	}
	return sign(template, template, key, key)
}

// Issue generates a key for a host and signs a certificate for it. It returns
// an ErrInvalidRequest for an unsuitable request, and an ErrExpired or
// ErrNotYetValid if the authority is not valid at now.
func (a Authority) Issue(r CertificateRequest, now time.Time) (KeyPair, error) {
	if err := a.checkRequest(r, now); err != nil {
		return KeyPair{}, err
	}
	fleet, err := FleetOf(a.cert)
	if err != nil {
		return KeyPair{}, err
	}
	key, err := newKey()
	if err != nil {
		return KeyPair{}, err
	}
	id := Identity{Fleet: fleet, Host: r.Host, Roles: r.Roles}
	template := &x509.Certificate{
		Subject:               pkix.Name{CommonName: string(r.Host)},
		URIs:                  id.uris(),
		IPAddresses:           toIPs(r.Addresses),
		NotBefore:             now.Add(-backdate),
		NotAfter:              now.Add(r.Validity),
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageDigitalSignature,
		ExtKeyUsage:           []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	return sign(template, a.cert, key, a.key)
}

// checkRequest verifies that the authority can issue the requested certificate at now.
func (a Authority) checkRequest(r CertificateRequest, now time.Time) error {
	if err := CheckValidity(a.cert, now); err != nil {
		return err
	}
	if !validName(string(r.Host)) {
		return ErrInvalidRequest{Cause: fmt.Sprintf("host name %q is not 1 to %d letters, digits, '.', '-' or '_'; give the [host] name of the settings", r.Host, model.MaxNameLength)}
	}
	if len(r.Roles) == 0 {
		return ErrInvalidRequest{Cause: "no role is named; give one or more of " + joinRoles(Roles())}
	}
	for i, role := range r.Roles {
		if !slices.Contains(Roles(), role) || slices.Contains(r.Roles[:i], role) {
			return ErrInvalidRequest{Cause: fmt.Sprintf("role %q does not exist or is given twice; give one or more of %s", role, joinRoles(Roles()))}
		}
	}
	if r.Validity < minValidity {
		return ErrInvalidRequest{Cause: fmt.Sprintf("a validity of %s is too short; give at least %s", r.Validity, minValidity)}
	}
	if now.Add(r.Validity).After(a.cert.NotAfter) {
		return ErrInvalidRequest{Cause: fmt.Sprintf("the authority expires at %s, before the certificate would; give a shorter validity or rotate the authority", formatTime(a.cert.NotAfter))}
	}
	return nil
}

func toIPs(list []netip.Addr) []net.IP {
	ips := make([]net.IP, 0, len(list))
	for _, a := range list {
		ips = append(ips, a.AsSlice())
	}
	return ips
}

func newKey() (*ecdsa.PrivateKey, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("generate key: %w", err)
	}
	return key, nil
}

// sign returns a certificate for key, signed with the key of the parent certificate.
func sign(template, parent *x509.Certificate, key, parentKey *ecdsa.PrivateKey) (KeyPair, error) {
	cert, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, parentKey)
	if err != nil {
		return KeyPair{}, fmt.Errorf("sign certificate: %w", err)
	}
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return KeyPair{}, fmt.Errorf("encode key: %w", err)
	}
	return KeyPair{
		Certificate: pem.EncodeToMemory(&pem.Block{Type: certificateBlock, Bytes: cert}),
		Key:         pem.EncodeToMemory(&pem.Block{Type: keyBlock, Bytes: private}),
	}, nil
}

// Certificate returns the PEM-encoded certificate of the authority.
func (a Authority) Certificate() []byte {
	return pem.EncodeToMemory(&pem.Block{Type: certificateBlock, Bytes: a.cert.Raw})
}
