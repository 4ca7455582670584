package trust

import (
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"encoding/binary"
	"time"
)

// Credentials holds the verified contents of the files of one process: its own
// certificate and key, and the authorities that it accepts. It is immutable.
type Credentials struct {
	Authorities Authorities
	// Identity is the fleet, host and roles in the host's certificate.
	Identity Identity
	// Leaf is the host's certificate.
	Leaf *x509.Certificate
	// tlsCertificate is Leaf with its private key.
	tlsCertificate tls.Certificate
}

// fileContents holds the raw bytes of the certificate files of one process.
type fileContents struct {
	authority, certificate, key []byte
}

func readContents(f Files) (fileContents, error) {
	var c fileContents
	var err error
	if c.authority, err = readFile(f.Authority, certificateForbiddenMode); err != nil {
		return c, err
	}
	if c.certificate, err = readFile(f.Certificate, certificateForbiddenMode); err != nil {
		return c, err
	}
	c.key, err = readFile(f.Key, keyForbiddenMode)
	return c, err
}

// digest returns a hash of all contents. Each part is preceded by its length, so
// that bytes moved from one file to another change the digest.
func (c fileContents) digest() [sha256.Size]byte {
	h := sha256.New()
	for _, part := range [][]byte{c.authority, c.certificate, c.key} {
		h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part))))
		h.Write(part)
	}
	return [sha256.Size]byte(h.Sum(nil))
}

// Load reads the files of a process. It returns an error unless the files belong
// together, meet the expectation and are valid at now.
func Load(f Files, want Expectation, now time.Time) (Credentials, error) {
	c, err := readContents(f)
	if err != nil {
		return Credentials{}, err
	}
	return c.credentials(f, want, now)
}

// credentials parses and verifies the contents. The paths in f are for error messages.
func (c fileContents) credentials(f Files, want Expectation, now time.Time) (Credentials, error) {
	authorities, err := ParseAuthorities(c.authority)
	if err != nil {
		return Credentials{}, withPath(f.Authority, err)
	}
	leaf, err := parseHostCertificate(c.certificate)
	if err != nil {
		return Credentials{}, withPath(f.Certificate, err)
	}
	key, err := parseKey(c.key)
	if err != nil {
		return Credentials{}, withPath(f.Key, err)
	}
	if !key.PublicKey.Equal(leaf.PublicKey) {
		return Credentials{}, ErrInvalidFile{Path: f.Key, Cause: "the key does not belong to " + f.Certificate + "; install the two files issued together"}
	}
	id, err := authorities.Verify(leaf, x509.ExtKeyUsageServerAuth, now, want)
	if err != nil {
		return Credentials{}, err
	}
	if _, err := authorities.Verify(leaf, x509.ExtKeyUsageClientAuth, now, want); err != nil {
		return Credentials{}, err
	}
	pair := tls.Certificate{Certificate: [][]byte{leaf.Raw}, PrivateKey: key, Leaf: leaf}
	return Credentials{Authorities: authorities, Identity: id, Leaf: leaf, tlsCertificate: pair}, nil
}

// Check returns all errors found in the files of a process, or none. Whether the
// files belong together is checked only if each file is valid by itself.
func (f Files) Check(want Expectation, now time.Time) []error {
	var faults []error
	add := func(err error) {
		if err != nil {
			faults = append(faults, err)
		}
	}
	_, err := ReadAuthorities(f.Authority)
	add(err)
	data, err := readFile(f.Certificate, certificateForbiddenMode)
	if err == nil {
		_, err = parseHostCertificate(data)
		err = withPath(f.Certificate, err)
	}
	add(err)
	data, err = readFile(f.Key, keyForbiddenMode)
	if err == nil {
		_, err = parseKey(data)
		err = withPath(f.Key, err)
	}
	add(err)
	if len(faults) == 0 {
		_, err := Load(f, want, now)
		add(err)
	}
	return faults
}
