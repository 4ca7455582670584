package trust

import (
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"encoding/binary"
	"time"
)

// Credentials is what one process holds at one time. It is immutable.
type Credentials struct {
	Authorities Authorities
	// Identity is that of the certificate.
	Identity Identity
	// Leaf is the host's certificate.
	Leaf *x509.Certificate
	pair tls.Certificate
}

// contents are the bytes of the files of one process.
type contents struct {
	authority, certificate, key []byte
}

func readContents(f Files) (contents, error) {
	var c contents
	var err error
	if c.authority, err = readFile(f.Authority, certificateMode); err != nil {
		return c, err
	}
	if c.certificate, err = readFile(f.Certificate, certificateMode); err != nil {
		return c, err
	}
	c.key, err = readFile(f.Key, keyMode)
	return c, err
}

func (c contents) digest() [sha256.Size]byte {
	h := sha256.New()
	for _, part := range [][]byte{c.authority, c.certificate, c.key} {
		h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part))))
		h.Write(part)
	}
	return [sha256.Size]byte(h.Sum(nil))
}

// Load reads the files of a process and checks that they belong together, to
// the expected host, and are valid now.
func Load(f Files, want Expectation, now time.Time) (Credentials, error) {
	c, err := readContents(f)
	if err != nil {
		return Credentials{}, err
	}
	return c.material(f, want, now)
}

func (c contents) material(f Files, want Expectation, now time.Time) (Credentials, error) {
	authorities, err := ParseAuthorities(c.authority)
	if err != nil {
		return Credentials{}, at(f.Authority, err)
	}
	leaf, err := parseHost(c.certificate)
	if err != nil {
		return Credentials{}, at(f.Certificate, err)
	}
	key, err := parseKey(c.key)
	if err != nil {
		return Credentials{}, at(f.Key, err)
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
	return Credentials{Authorities: authorities, Identity: id, Leaf: leaf, pair: pair}, nil
}

// Check returns everything that is wrong with the files of a process. Faults
// between files are looked for once each file is sound by itself.
func (f Files) Check(want Expectation, now time.Time) []error {
	var faults []error
	add := func(err error) {
		if err != nil {
			faults = append(faults, err)
		}
	}
	_, err := ReadAuthorities(f.Authority)
	add(err)
	data, err := readFile(f.Certificate, certificateMode)
	if err == nil {
		_, err = parseHost(data)
		err = at(f.Certificate, err)
	}
	add(err)
	data, err = readFile(f.Key, keyMode)
	if err == nil {
		_, err = parseKey(data)
		err = at(f.Key, err)
	}
	add(err)
	if len(faults) == 0 {
		_, err := Load(f, want, now)
		add(err)
	}
	return faults
}
