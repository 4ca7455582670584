package trust

import (
	"bytes"
	"crypto/ecdsa"
	"crypto/x509"
	"encoding/pem"
	"fmt"
)

// Types of the PEM blocks in certificate and key files.
const (
	certificateBlock = "CERTIFICATE"
	keyBlock         = "PRIVATE KEY"
)

// maxAuthorities is the largest number of certificates in one file; a rotation of the authority needs two.
const maxAuthorities = 8

// ParseCertificates parses the contents of a file that holds 1 to maxAuthorities
// PEM-encoded certificates and nothing else. Its errors are ErrInvalidFile.
func ParseCertificates(data []byte) ([]*x509.Certificate, error) {
	blocks, err := parseBlocks(data, certificateBlock, maxAuthorities)
	if err != nil {
		return nil, err
	}
	certs := make([]*x509.Certificate, 0, len(blocks))
	for _, b := range blocks {
		c, err := x509.ParseCertificate(b)
		if err != nil {
			return nil, ErrInvalidFile{Cause: fmt.Sprintf("malformed certificate (%v); copy the file again", err)}
		}
		certs = append(certs, c)
	}
	return certs, nil
}

// ParseAuthorities parses the contents of a file with 1 to maxAuthorities authority certificates.
func ParseAuthorities(data []byte) (Authorities, error) {
	certs, err := ParseCertificates(data)
	if err != nil {
		return Authorities{}, err
	}
	for _, c := range certs {
		if _, err := FleetOf(c); err != nil {
			return Authorities{}, err
		}
	}
	return Authorities{certs: certs}, nil
}

// ParseAuthority parses the certificate of one authority and its key, which must belong together.
func ParseAuthority(p KeyPair) (Authority, error) {
	all, err := ParseAuthorities(p.Certificate)
	if err != nil {
		return Authority{}, err
	}
	key, err := parseKey(p.Key)
	if err != nil {
		return Authority{}, err
	}
	if len(all.certs) != 1 || !key.PublicKey.Equal(all.certs[0].PublicKey) {
		return Authority{}, ErrInvalidFile{Cause: "the key does not belong to one single authority; name the two files made together"}
	}
	return Authority{cert: all.certs[0], key: key}, nil
}

// parseHostCertificate parses the contents of a file with exactly one host certificate.
func parseHostCertificate(data []byte) (*x509.Certificate, error) {
	certs, err := ParseCertificates(data)
	if err != nil {
		return nil, err
	}
	if len(certs) != 1 {
		return nil, ErrInvalidFile{Cause: fmt.Sprintf("the file has %d certificates; keep only the host's own", len(certs))}
	}
	_, err = ParseIdentity(certs[0])
	return certs[0], err
}

// parseKey parses the contents of a file with exactly one ECDSA private key in PKCS #8 form.
func parseKey(data []byte) (*ecdsa.PrivateKey, error) {
	blocks, err := parseBlocks(data, keyBlock, 1)
	if err != nil {
		return nil, err
	}
	parsed, err := x509.ParsePKCS8PrivateKey(blocks[0])
	if err != nil {
		return nil, ErrInvalidFile{Cause: "malformed key; copy the file again"}
	}
	key, ok := parsed.(*ecdsa.PrivateKey)
	if !ok {
		return nil, ErrInvalidFile{Cause: fmt.Sprintf("the key has type %T instead of ECDSA; issue the certificate again", parsed)}
	}
	return key, nil
}

// parseBlocks returns the decoded contents of 1 to maxBlocks PEM blocks of one
// type. Text outside of blocks is an error, since a damaged block would
// otherwise be skipped as such text.
func parseBlocks(data []byte, kind string, maxBlocks int) ([][]byte, error) {
	var blocks [][]byte
	rest := bytes.TrimSpace(data)
	for len(rest) > 0 {
		if !bytes.HasPrefix(rest, []byte("-----BEGIN ")) {
			return nil, ErrInvalidFile{Cause: "the file has something beside PEM blocks; copy it again"}
		}
		block, after := pem.Decode(rest)
		if block == nil {
			return nil, ErrInvalidFile{Cause: "a PEM block is damaged; copy the file again"}
		}
		// pem.Decode skips damaged blocks in front of a valid one.
		if bytes.Count(rest[:len(rest)-len(after)], []byte("-----BEGIN ")) != 1 {
			return nil, ErrInvalidFile{Cause: "a PEM block is damaged; copy the file again"}
		}
		if block.Type != kind || len(block.Headers) > 0 {
			return nil, ErrInvalidFile{Cause: fmt.Sprintf("the file has a block %q instead of %q; name the right file", block.Type, kind)}
		}
		blocks = append(blocks, block.Bytes)
		if len(blocks) > maxBlocks {
			return nil, ErrInvalidFile{Cause: fmt.Sprintf("the file has more than %d blocks; remove the ones not in use", maxBlocks)}
		}
		rest = bytes.TrimSpace(after)
	}
	if len(blocks) == 0 {
		return nil, ErrInvalidFile{Cause: "the file is empty; copy it again"}
	}
	return blocks, nil
}
