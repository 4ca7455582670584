package store

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
)

const (
	snapshotName = "snapshot"
	snapshotTemp = "snapshot.new"
	logPrefix    = "log-"
	logTemp      = "log.new"
)

func logName(generation uint64) string { return fmt.Sprintf("%s%020d", logPrefix, generation) }

// Option changes how a data folder is opened.
type Option func(*options)

type options struct {
	folder  Folder
	rewrite bool
}

// WithFolder replaces the folder of the operating system.
func WithFolder(f Folder) Option { return func(o *options) { o.folder = f } }

// WithRewrite opens a folder again after a write or sync has failed. What was
// read is written to new files and synced: after a failed sync the kernel may
// have dropped pages that it still returns to readers, and a later sync of the
// same file succeeds without them.
func WithRewrite() Option { return func(o *options) { o.rewrite = true } }

// request is one call of Append that waits for its sync.
type request struct {
	records [][]byte
	size    int
	done    bool
	err     error
}

// Log is an open data folder. It implements Store.
type Log struct {
	folder Folder
	// rewrite is set if the files are written anew while the log is opened.
	rewrite bool

	// writer is held by the caller that writes. Callers that wait for it find
	// their records synced by the caller before them, or write all that wait.
	writer sync.Mutex
	// file, seq, generation and failed are guarded by writer.
	file       File
	seq        uint64
	generation uint64
	failed     error
	frame      []byte

	// mu guards queue.
	mu    sync.Mutex
	queue []*request
}

var _ Store = (*Log)(nil)

// Open opens or creates the store in a data folder and returns what it holds.
// The returned function syncs nothing, since appends are synced already; it
// closes the files and releases the folder.
func Open(dir string, opts ...Option) (*Log, Contents, func() error, error) {
	o, err := applyOptions(dir, opts)
	if err != nil {
		return nil, Contents{}, nil, fmt.Errorf("open data folder %q: %w", dir, err)
	}
	unlock, err := o.folder.Lock()
	if err != nil {
		return nil, Contents{}, nil, fmt.Errorf("lock data folder %q: %w", dir, err)
	}
	l := &Log{folder: o.folder, rewrite: o.rewrite}
	contents, err := l.recover()
	if err != nil {
		return nil, Contents{}, nil, errors.Join(fmt.Errorf("recover data folder %q: %w", dir, err), l.closeFile(), unlock())
	}
	return l, contents, func() error { return errors.Join(l.close(), unlock()) }, nil
}

func applyOptions(dir string, opts []Option) (options, error) {
	var o options
	for _, opt := range opts {
		opt(&o)
	}
	if o.folder != nil {
		return o, nil
	}
	folder, err := openFolder(dir)
	o.folder = folder
	return o, err
}

// recover reads the folder and leaves the log open for appending.
func (l *Log) recover() (Contents, error) {
	names, err := l.folder.List()
	if err != nil {
		return Contents{}, err
	}
	if !holdsStore(names) {
		return Contents{Empty: true}, l.create()
	}
	contents := Contents{}
	if slices.Contains(names, snapshotName) {
		contents.Snapshot, l.generation, err = l.readSnapshot()
		if err != nil {
			return Contents{}, err
		}
		if l.rewrite {
			if err := l.replaceSnapshot(contents.Snapshot, l.generation); err != nil {
				return Contents{}, err
			}
		}
	}
	if err := l.readLog(&contents); err != nil {
		return Contents{}, err
	}
	return contents, l.removeStale(names)
}

func holdsStore(names []string) bool {
	return slices.ContainsFunc(names, func(n string) bool {
		return n == snapshotName || strings.HasPrefix(n, logPrefix)
	})
}

// HoldsLog reports whether a data folder holds a log or a snapshot of one.
func HoldsLog(dir string, opts ...Option) (bool, error) {
	o, err := applyOptions(dir, opts)
	if err != nil {
		return false, err
	}
	names, err := o.folder.List()
	return holdsStore(names), err
}

// RemoveLog removes a log and its snapshot, which must not be open.
func RemoveLog(dir string, opts ...Option) error {
	o, err := applyOptions(dir, opts)
	if err != nil {
		return err
	}
	names, err := o.folder.List()
	if err != nil {
		return err
	}
	for _, n := range names {
		if n != snapshotName && !strings.HasPrefix(n, logPrefix) {
			continue
		}
		if err := o.folder.Remove(n); err != nil {
			return err
		}
	}
	return o.folder.Sync()
}

// create writes the first log under another name, so that a crash leaves a folder that counts as empty.
func (l *Log) create() error {
	var err error
	l.file, err = l.replaceLog(logName(0), encodeFileHeader(0))
	return err
}

// writeFile creates a synced file and leaves it open.
func (l *Log) writeFile(name string, data []byte) (File, error) {
	return createSynced(l.folder, name, data)
}

func createSynced(folder Folder, name string, data []byte) (File, error) {
	f, err := folder.Create(name)
	if err != nil {
		return nil, err
	}
	_, err = f.Write(data)
	if err == nil {
		err = f.Sync()
	}
	if err != nil {
		return nil, errors.Join(err, f.Close())
	}
	return f, nil
}

func (l *Log) readSnapshot() ([]byte, uint64, error) {
	data, err := l.folder.Read(snapshotName)
	if err != nil {
		return nil, 0, err
	}
	generation, err := decodeFileHeader(snapshotName, data)
	if err != nil {
		return nil, 0, err
	}
	records, n, ok := decodeFrame(data[fileHeader:], 0)
	if !ok || len(records) != 1 || fileHeader+n != len(data) {
		return nil, 0, ErrDamaged{File: snapshotName, Offset: int64(fileHeader), Reason: "the snapshot does not match its checksum"}
	}
	return records[0], generation, nil
}

// readLog reads the log of the current generation, cuts an unfinished last
// append and syncs what is left: after a crash of the process alone, what was
// read may not have reached the disk yet.
func (l *Log) readLog(contents *Contents) error {
	name := logName(l.generation)
	data, err := l.folder.Read(name)
	if err != nil {
		return ErrDamaged{File: name, Reason: fmt.Sprintf("the log that continues the snapshot cannot be read (%v)", err)}
	}
	generation, err := decodeFileHeader(name, data)
	if err != nil {
		return err
	}
	if generation != l.generation {
		return ErrDamaged{File: name, Reason: fmt.Sprintf("it continues snapshot %d instead of %d", generation, l.generation)}
	}
	s, err := scan(name, data)
	if err != nil {
		return err
	}
	contents.Records = s.records
	contents.TornBytes = int64(len(data)) - s.good
	l.seq = s.seq
	if l.rewrite {
		l.file, err = l.replaceLog(name, data[:s.good])
		return err
	}
	l.file, err = l.folder.Open(name)
	if err != nil {
		return err
	}
	if contents.TornBytes > 0 {
		if err := l.file.Truncate(s.good); err != nil {
			return err
		}
	}
	return l.file.Sync()
}

// replaceLog atomically replaces a log by one with the same content and leaves it open.
func (l *Log) replaceLog(name string, data []byte) (File, error) {
	f, err := l.writeFile(logTemp, data)
	if err != nil {
		return nil, err
	}
	err = l.folder.Rename(logTemp, name)
	if err == nil {
		err = l.folder.Sync()
	}
	if err != nil {
		return nil, errors.Join(err, f.Close())
	}
	return f, nil
}

// removeStale removes files of older generations and of interrupted calls.
func (l *Log) removeStale(names []string) error {
	for _, n := range names {
		stale := n == snapshotTemp || n == logTemp || strings.HasPrefix(n, logPrefix) && n != logName(l.generation)
		if !stale {
			continue
		}
		if err := l.folder.Remove(n); err != nil {
			return err
		}
	}
	return l.folder.Sync()
}

// Append writes records in order and returns once they are synced.
func (l *Log) Append(records ...[]byte) error {
	r := &request{records: records}
	for _, rec := range records {
		if len(rec) > MaxRecordBytes {
			return ErrTooLarge{Size: len(rec)}
		}
		r.size += lengthSize + len(rec)
	}
	if r.size > MaxRecordBytes+lengthSize {
		return ErrTooLarge{Size: r.size}
	}
	l.mu.Lock()
	l.queue = append(l.queue, r)
	l.mu.Unlock()

	l.writer.Lock()
	defer l.writer.Unlock()
	for !r.done {
		l.writeBatch()
	}
	return r.err
}

// takeBatch removes the oldest requests that fit into one frame, and at least one.
func (l *Log) takeBatch() []*request {
	l.mu.Lock()
	defer l.mu.Unlock()
	n, size := 0, 0
	for n < len(l.queue) && (n == 0 || size+l.queue[n].size <= maxFrame) {
		size += l.queue[n].size
		n++
	}
	batch := slices.Clone(l.queue[:n])
	l.queue = slices.Delete(l.queue, 0, n)
	return batch
}

func (l *Log) writeBatch() {
	batch := l.takeBatch()
	var records [][]byte
	for _, r := range batch {
		records = append(records, r.records...)
	}
	err := l.write(records)
	for _, r := range batch {
		r.done, r.err = true, err
	}
}

func (l *Log) write(records [][]byte) error {
	if l.failed != nil {
		return l.failed
	}
	l.frame = appendFrame(l.frame[:0], l.seq, records)
	if _, err := l.file.Write(l.frame); err != nil {
		return l.fail(err)
	}
	if err := l.file.Sync(); err != nil {
		return l.fail(err)
	}
	l.seq++
	if cap(l.frame) > maxFrame {
		l.frame = nil
	}
	return nil
}

// fail refuses all later calls: after a failed sync the kernel may drop the
// unwritten pages, so that a second sync succeeds although data was lost.
func (l *Log) fail(err error) error {
	l.failed = ErrWriteFailed{Cause: err}
	return l.failed
}

// Snapshot atomically replaces the snapshot and drops all records appended
// before the call. The folder is synced between creating the new log and
// naming it, so that no crash leaves a snapshot without its log.
func (l *Log) Snapshot(data []byte) error {
	if len(data) > MaxRecordBytes {
		return ErrTooLarge{Size: len(data)}
	}
	l.writer.Lock()
	defer l.writer.Unlock()
	if l.failed != nil {
		return l.failed
	}
	next, err := l.writeFile(logName(l.generation+1), encodeFileHeader(l.generation+1))
	if err != nil {
		return l.fail(err)
	}
	if err := l.replaceSnapshot(data, l.generation+1); err != nil {
		return errors.Join(l.fail(err), next.Close())
	}
	old := l.file
	l.file, l.seq, l.generation = next, 0, l.generation+1
	if err := errors.Join(old.Close(), l.folder.Remove(logName(l.generation-1))); err != nil {
		return l.fail(err)
	}
	return nil
}

// replaceSnapshot atomically replaces the snapshot by one of a generation whose log exists.
func (l *Log) replaceSnapshot(data []byte, generation uint64) error {
	if err := l.folder.Sync(); err != nil {
		return err
	}
	content := appendFrame(encodeFileHeader(generation), 0, [][]byte{data})
	f, err := l.writeFile(snapshotTemp, content)
	if err != nil {
		return err
	}
	if err := f.Close(); err != nil {
		return err
	}
	if err := l.folder.Rename(snapshotTemp, snapshotName); err != nil {
		return err
	}
	return l.folder.Sync()
}

func (l *Log) closeFile() error {
	if l.file == nil {
		return nil
	}
	return l.file.Close()
}

// close refuses later calls and closes the log.
func (l *Log) close() error {
	l.writer.Lock()
	defer l.writer.Unlock()
	if l.failed == nil {
		l.failed = ErrWriteFailed{Cause: errors.New("the store was closed")}
	}
	return l.closeFile()
}
