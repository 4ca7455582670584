package node

import (
	"errors"
	"sync"

	"github.com/go-logr/logr"
	"github.com/rotisserie/eris"

	"tarragongauge.example/tarragongauge/internal/store"
)

// diskFile is a store in a folder that is opened again after its disk failed.
// It is used by one persister; only its closing may come from elsewhere.
type diskFile struct {
	dir  string
	name string
	log  logr.Logger
	opts []store.Option

	mu sync.Mutex
	// file, closeFile and closed are guarded by mu. closeFile is nil while the
	// folder is not open.
	file      store.Store
	closeFile func() error
	closed    bool
}

// openDiskFile opens a store; name is for the log.
func openDiskFile(dir, name string, log logr.Logger, opts ...store.Option) (*diskFile, store.Contents, error) {
	file, contents, closeFile, err := store.Open(dir, opts...)
	if err != nil {
		return nil, store.Contents{}, err
	}
	return &diskFile{dir: dir, name: name, log: log, opts: opts, file: file, closeFile: closeFile}, contents, nil
}

// store returns the open store. After a failure it refuses all calls until reopen succeeds.
func (d *diskFile) store() store.Store {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.file
}

// reopen opens the folder again, with all files written anew, and returns what they hold.
func (d *diskFile) reopen() (store.Contents, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return store.Contents{}, errors.New("the folder was closed")
	}
	if d.closeFile != nil {
		// The files are written anew, so nothing depends on how the old ones close.
		if err := d.closeFile(); err != nil {
			d.log.Info("a file of the failed disk did not close", "files", d.name, "cause", err.Error())
		}
		d.closeFile = nil
	}
	file, contents, closeFile, err := store.Open(d.dir, append(d.opts, store.WithRewrite())...)
	if err != nil {
		d.log.Info("the disk still fails; it is tried again", "files", d.name, "after", reopenEvery.String(), "cause", err.Error())
		return store.Contents{}, eris.Wrapf(err, "open %s again", d.name)
	}
	d.file, d.closeFile = file, closeFile
	d.log.Info("the disk takes writes again", "files", d.name, "records", len(contents.Records))
	return contents, nil
}

// close closes the folder for good.
func (d *diskFile) close() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closed = true
	if d.closeFile == nil {
		return nil
	}
	closeFile := d.closeFile
	d.closeFile = nil
	return closeFile()
}
