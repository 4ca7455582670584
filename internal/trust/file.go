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
	// maxFile bounds a file in bytes; eight certificates take less than 8 KiB.
	maxFile = 64 << 10
	// ownerMode is the mode of every file written.
	ownerMode = 0o600
	// keyMode are the permission bits that a key must not have: any for others than its owner.
	keyMode = 0o077
	// certificateMode are the bits a certificate must not have: it is public, but only its owner may replace it.
	certificateMode = 0o022
)

// readFile reads a regular file that has none of the permission bits in forbidden.
func readFile(path string, forbidden fs.FileMode) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, ErrInvalidFile{Path: path, Cause: plain(err) + "; install the file and let the process read it"}
	}
	defer func() { _ = f.Close() }() // nothing was written
	info, err := f.Stat()
	if err != nil {
		return nil, ErrInvalidFile{Path: path, Cause: plain(err)}
	}
	if !info.Mode().IsRegular() || info.Size() > maxFile {
		return nil, ErrInvalidFile{Path: path, Cause: fmt.Sprintf("not a regular file of at most %d bytes; name the right file", maxFile)}
	}
	if info.Mode().Perm()&forbidden != 0 {
		return nil, ErrInvalidFile{Path: path, Cause: fmt.Sprintf("the mode %#o gives others access; run chmod 600 on it", info.Mode().Perm())}
	}
	data, err := io.ReadAll(io.LimitReader(f, maxFile))
	if err != nil {
		return nil, ErrInvalidFile{Path: path, Cause: plain(err)}
	}
	return data, nil
}

// plain drops the path, which ErrFile names already.
func plain(err error) string {
	var p *fs.PathError
	if errors.As(err, &p) {
		return p.Err.Error()
	}
	return err.Error()
}

// at adds the path to the error of a parser.
func at(path string, err error) error {
	var e ErrInvalidFile
	if errors.As(err, &e) {
		return ErrInvalidFile{Path: path, Cause: e.Cause}
	}
	return err
}

// ReadCertificates reads the certificates of a file, of authorities or of a host.
func ReadCertificates(path string) ([]*x509.Certificate, error) {
	data, err := readFile(path, certificateMode)
	if err != nil {
		return nil, err
	}
	certs, err := ParseCertificates(data)
	return certs, at(path, err)
}

// ReadAuthorities reads the authorities that a process accepts.
func ReadAuthorities(path string) (Authorities, error) {
	data, err := readFile(path, certificateMode)
	if err != nil {
		return Authorities{}, err
	}
	a, err := ParseAuthorities(data)
	return a, at(path, err)
}

// ReadAuthority reads an authority with its key.
func ReadAuthority(certificate, key string) (Authority, error) {
	var p KeyPair
	var err error
	if p.Certificate, err = readFile(certificate, certificateMode); err != nil {
		return Authority{}, err
	}
	if p.Key, err = readFile(key, keyMode); err != nil {
		return Authority{}, err
	}
	a, err := ParseAuthority(p)
	return a, at(certificate+" with "+key, err)
}

// Write writes a pair with modes that only the owner can read. Without replace
// it touches no file that exists. The key comes first; a Source that reads
// between the two keeps its running certificate and reads again.
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

// writeFile replaces a file in one step, so that a reader never sees half of it.
func writeFile(path string, data []byte) error {
	f, err := os.CreateTemp(filepath.Dir(path), ".new-*") // its mode is 0600
	if err != nil {
		return ErrInvalidFile{Path: path, Cause: plain(err) + "; create the folder and let this account write to it"}
	}
	defer func() { _ = os.Remove(f.Name()) }() // renamed by then unless a step failed
	_, err = f.Write(data)
	err = errors.Join(err, f.Chmod(ownerMode), f.Sync(), f.Close())
	if err == nil {
		err = os.Rename(f.Name(), path)
	}
	if err != nil {
		return ErrInvalidFile{Path: path, Cause: err.Error()}
	}
	return nil
}
