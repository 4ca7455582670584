package trust

import (
	"crypto/x509"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
)

const (
	// maxFileSize is the largest accepted size of a file in bytes. The
	// maxAuthorities certificates of a file take less than 8 KiB.
	maxFileSize = 64 << 10
	// newFileMode is the mode of every file that KeyPair.Write creates.
	newFileMode = 0o600
	// keyForbiddenMode is the set of permission bits that a key file must not
	// have, since only its owner may access it.
	keyForbiddenMode = 0o077
	// certificateForbiddenMode is the set of permission bits that a certificate
	// file must not have. Certificates are public, but only the owner may replace them.
	certificateForbiddenMode = 0o022
)

// readFile reads a regular file of at most maxFileSize bytes that has none of
// the permission bits in forbidden. Its errors are ErrInvalidFile.
func readFile(path string, forbidden fs.FileMode) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, ErrInvalidFile{Path: path, Cause: withoutPath(err) + "; install the file and let the process read it"}
	}
	defer func() { _ = f.Close() }() // the file is only read, so closing loses no data
	info, err := f.Stat()
	if err != nil {
		return nil, ErrInvalidFile{Path: path, Cause: withoutPath(err)}
	}
	if !info.Mode().IsRegular() || info.Size() > maxFileSize {
		return nil, ErrInvalidFile{Path: path, Cause: fmt.Sprintf("not a regular file of at most %d bytes; name the right file", maxFileSize)}
	}
	if info.Mode().Perm()&forbidden != 0 {
		return nil, ErrInvalidFile{Path: path, Cause: fmt.Sprintf("the mode %#o gives others access; run chmod 600 on it", info.Mode().Perm())}
	}
	data, err := io.ReadAll(io.LimitReader(f, maxFileSize))
	if err != nil {
		return nil, ErrInvalidFile{Path: path, Cause: withoutPath(err)}
	}
	return data, nil
}

// withoutPath returns the message of err without the path of a fs.PathError,
// since ErrInvalidFile adds the path itself.
func withoutPath(err error) string {
	var p *fs.PathError
	if errors.As(err, &p) {
		return p.Err.Error()
	}
	return err.Error()
}

// withPath sets the path of an ErrInvalidFile that a parser returned, and
// returns other errors, also nil, unchanged.
func withPath(path string, err error) error {
	var e ErrInvalidFile
	if errors.As(err, &e) {
		return ErrInvalidFile{Path: path, Cause: e.Cause}
	}
	return err
}

// ReadCertificates reads a file of PEM-encoded certificates, of authorities or of a host.
func ReadCertificates(path string) ([]*x509.Certificate, error) {
	data, err := readFile(path, certificateForbiddenMode)
	if err != nil {
		return nil, err
	}
	certs, err := ParseCertificates(data)
	return certs, withPath(path, err)
}

// ReadAuthorities reads the file of the authorities that a process accepts.
func ReadAuthorities(path string) (Authorities, error) {
	data, err := readFile(path, certificateForbiddenMode)
	if err != nil {
		return Authorities{}, err
	}
	a, err := ParseAuthorities(data)
	return a, withPath(path, err)
}

// ReadAuthority reads an authority from the files of its certificate and its key.
func ReadAuthority(certificate, key string) (Authority, error) {
	var p KeyPair
	var err error
	if p.Certificate, err = readFile(certificate, certificateForbiddenMode); err != nil {
		return Authority{}, err
	}
	if p.Key, err = readFile(key, keyForbiddenMode); err != nil {
		return Authority{}, err
	}
	a, err := ParseAuthority(p)
	return a, withPath(certificate+" with "+key, err)
}

// Write writes the certificate and the key to files that only the owner can
// read. Without replace it returns an ErrInvalidFile if one of them exists, and
// writes neither. The key is written first. A Source that reads the files
// between the two writes keeps its current certificate and reads them again at
// its next interval.
func (p KeyPair) Write(certificate, key string, replace bool) error {
	files := []struct {
		path string
		data []byte
	}{{key, p.Key}, {certificate, p.Certificate}}
	for _, f := range files {
		if _, err := os.Lstat(f.path); !replace && !errors.Is(err, fs.ErrNotExist) {
			return ErrInvalidFile{Path: f.path, Cause: "the file exists; give another folder or --replace"}
		}
	}
	for _, f := range files {
		if err := writeFile(f.path, f.data); err != nil {
			return err
		}
	}
	return nil
}

// writeFile creates or replaces a file atomically, so that a reader never sees a part of it.
func writeFile(path string, data []byte) error {
	f, err := os.CreateTemp(filepath.Dir(path), ".new-*") // created with mode 0600
	if err != nil {
		return ErrInvalidFile{Path: path, Cause: withoutPath(err) + "; create the folder and let this account write to it"}
	}
	defer func() { _ = os.Remove(f.Name()) }() // has no effect after the rename; removes the file if a step failed
	_, err = f.Write(data)
	err = errors.Join(err, f.Chmod(newFileMode), f.Sync(), f.Close())
	if err == nil {
		err = os.Rename(f.Name(), path)
	}
	if err != nil {
		return ErrInvalidFile{Path: path, Cause: err.Error()}
	}
	return nil
}
