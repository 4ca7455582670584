package trust

import (
	"bytes"
	"crypto/ecdsa"
	"crypto/x509"
	"encoding/pem"
	"fmt"
)

// Types of PEM blocks.
const (
	certificateBlock = "CERTIFICATE"
	keyBlock         = "PRIVATE KEY"
)

// maxAuthorities bounds the authorities accepted side by side; a rotation needs two.
const maxAuthorities = 8

// ParseCertificates reads a file that holds certificates in PEM form and nothing else.
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

// ParseAuthorities reads one authority certificate or several side by side.
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

// ParseAuthority reads an authority with its key.
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

// parseHost reads the single certificate of a host.
func parseHost(data []byte) (*x509.Certificate, error) {
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

// parseBlocks returns the contents of 1 to most blocks of one type. Text
// outside of blocks is refused, since a damaged block would pass as such text.
func parseBlocks(data []byte, kind string, most int) ([][]byte, error) {
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
		// pem.Decode skips damaged blocks in front of a sound one.
		if bytes.Count(rest[:len(rest)-len(after)], []byte("-----BEGIN ")) != 1 {
			return nil, ErrInvalidFile{Cause: "a PEM block is damaged; copy the file again"}
		}
		if block.Type != kind || len(block.Headers) > 0 {
			return nil, ErrInvalidFile{Cause: fmt.Sprintf("the file has a block %q instead of %q; name the right file", block.Type, kind)}
		}
		blocks = append(blocks, block.Bytes)
		if len(blocks) > most {
			return nil, ErrInvalidFile{Cause: fmt.Sprintf("the file has more than %d blocks; remove the ones not in use", most)}
		}
		rest = bytes.TrimSpace(after)
	}
	if len(blocks) == 0 {
		return nil, ErrInvalidFile{Cause: "the file is empty; copy it again"}
	}
	return blocks, nil
}
