package node

import (
	"errors"
	"sync"

	"github.com/go-logr/logr"
	"github.com/rotisserie/eris"

	"tarragongauge.example/tarragongauge/internal/store"
)

// reopenableStore is a store whose folder is opened again after a disk failure.
// It has one writer at a time; only close may be called concurrently.
type reopenableStore struct {
	dir  string
	name string
	log  logr.Logger
	opts []store.Option

	mu sync.Mutex
	// current, closeCurrent and closed are guarded by mu. closeCurrent is nil
	// while the folder is not open.
	current      store.Store
	closeCurrent func() error
	closed       bool
}

// openReopenableStore opens the store in a folder. The name identifies the store
// in log messages.
func openReopenableStore(dir, name string, log logr.Logger, opts ...store.Option) (*reopenableStore, store.Contents, error) {
	file, contents, closeFile, err := store.Open(dir, opts...)
	if err != nil {
		return nil, store.Contents{}, err
	}
	return &reopenableStore{dir: dir, name: name, log: log, opts: opts, current: file, closeCurrent: closeFile}, contents, nil
}

// store returns the open store. After a failure that store refuses all calls
// until reopen succeeds.
func (d *reopenableStore) store() store.Store {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.current
}

// reopen opens the folder again, rewrites all files and returns their contents.
func (d *reopenableStore) reopen() (store.Contents, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return store.Contents{}, errors.New("the folder is closed")
	}
	if d.closeCurrent != nil {
		// All files are rewritten, so an error on closing the old ones does no
		// harm.
		if err := d.closeCurrent(); err != nil {
			d.log.Info("cannot close a file of the failed disk", "files", d.name, "cause", err.Error())
		}
		d.closeCurrent = nil
	}
	file, contents, closeFile, err := store.Open(d.dir, append(d.opts, store.WithRewrite())...)
	if err != nil {
		d.log.Info("the disk still fails; it is tried again", "files", d.name, "after", reopenInterval.String(), "cause", err.Error())
		return store.Contents{}, eris.Wrapf(err, "open %s again", d.name)
	}
	d.current, d.closeCurrent = file, closeFile
	d.log.Info("the disk takes writes again", "files", d.name, "records", len(contents.Records))
	return contents, nil
}

// close closes the folder. Later calls of reopen fail.
func (d *reopenableStore) close() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closed = true
	if d.closeCurrent == nil {
		return nil
	}
	closeFile := d.closeCurrent
	d.closeCurrent = nil
	return closeFile()
}
