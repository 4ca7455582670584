package store

import (
	"errors"
	"io"
	"os"
	"path/filepath"
	"syscall"
)

// File is an open file to which data is appended.
type File interface {
	io.Writer
	io.Closer
	// Sync makes all earlier writes durable.
	Sync() error
	// Truncate cuts the file to a size in bytes.
	Truncate(size int64) error
}

// Reader is an open file for reads at any offset.
type Reader interface {
	io.ReaderAt
	io.Closer
	// Size returns the current length of the file in bytes.
	Size() (int64, error)
}

// Folder gives access to the files of a data folder. Tests implement it to inject faults.
type Folder interface {
	// Lock locks the folder for this process or returns ErrLocked. The returned
	// function releases the lock.
	Lock() (func() error, error)
	// List returns the names of all files in the folder.
	List() ([]string, error)
	// Read returns the whole content of a file.
	Read(name string) ([]byte, error)
	// Reader opens an existing file for reading.
	Reader(name string) (Reader, error)
	// Create opens a new file for appending, or empties an existing one.
	Create(name string) (File, error)
	// Open opens an existing file for appending.
	Open(name string) (File, error)
	// Rename replaces the file named to, if there is one.
	Rename(from, to string) error
	Remove(name string) error
	// Sync makes earlier creations, renames and removals of files durable.
	Sync() error
}

const (
	lockName   = "lock"
	fileMode   = 0o600
	folderMode = 0o700
)

// diskFolder implements Folder on a directory of the operating system.
type diskFolder struct{ dir string }

// NewFolder returns the Folder of a directory and creates the directory if it is missing.
func NewFolder(dir string) (Folder, error) { return openFolder(dir) }

func openFolder(dir string) (diskFolder, error) {
	return diskFolder{dir: dir}, os.MkdirAll(dir, folderMode)
}

func (d diskFolder) path(name string) string { return filepath.Join(d.dir, name) }

// Lock takes an advisory lock on the lock file, which the operating system
// releases when the process ends.
func (d diskFolder) Lock() (func() error, error) {
	f, err := os.OpenFile(d.path(lockName), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, err
	}
	err = syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
	if errors.Is(err, syscall.EWOULDBLOCK) {
		err = ErrLocked{Dir: d.dir}
	}
	if err != nil {
		return nil, errors.Join(err, f.Close())
	}
	return f.Close, nil
}

func (d diskFolder) List() ([]string, error) {
	entries, err := os.ReadDir(d.dir)
	names := make([]string, 0, len(entries))
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names, err
}

func (d diskFolder) Read(name string) ([]byte, error) { return os.ReadFile(d.path(name)) }

func (d diskFolder) Reader(name string) (Reader, error) {
	f, err := os.Open(d.path(name))
	if err != nil {
		return nil, err
	}
	return diskReader{f}, nil
}

// diskReader implements Reader on an open file of the operating system.
type diskReader struct{ *os.File }

// Size returns the current length of the file.
func (r diskReader) Size() (int64, error) {
	info, err := r.Stat()
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}

func (d diskFolder) Create(name string) (File, error) {
	return os.OpenFile(d.path(name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND, fileMode)
}

func (d diskFolder) Open(name string) (File, error) {
	return os.OpenFile(d.path(name), os.O_WRONLY|os.O_APPEND, fileMode)
}

func (d diskFolder) Rename(from, to string) error { return os.Rename(d.path(from), d.path(to)) }

func (d diskFolder) Remove(name string) error { return os.Remove(d.path(name)) }

func (d diskFolder) Sync() error {
	f, err := os.Open(d.dir)
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}
