package store

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
)

const (
	snapshotName     = "snapshot"
	snapshotTempName = "snapshot.new"
	logPrefix        = "log-"
	logTempName      = "log.new"
)

// logName returns the name of the log file that continues the snapshot of a generation.
func logName(generation uint64) string { return fmt.Sprintf("%s%020d", logPrefix, generation) }

// Option changes how a data folder is opened.
type Option func(*options)

type options struct {
	// folder is nil to use the directory that is passed to Open.
	folder Folder
	// rewrite is set by WithRewrite.
	rewrite bool
}

// WithFolder uses f instead of the directory of the operating system, whose path is then ignored.
func WithFolder(f Folder) Option { return func(o *options) { o.folder = f } }

// WithRewrite is for opening a folder again after a write or sync has failed.
// Open then writes all contents to new files and syncs these: after a failed
// sync the kernel may still return pages to readers that never reach the disk,
// and a later sync of the same file succeeds without them.
func WithRewrite() Option { return func(o *options) { o.rewrite = true } }

// appendRequest is one call of Append that waits for its sync.
type appendRequest struct {
	records [][]byte
	// size is the encoded length of the records in bytes.
	size int
	// done is set, together with err, once the records are synced or have failed.
	done bool
	err  error
}

// Log is an open data folder with a snapshot and the log of the records appended
// since. It implements Store.
type Log struct {
	folder Folder
	// rewrite is set if Open writes all contents to new files.
	rewrite bool

	// writeMu is held by the caller that writes. It also writes the requests of
	// callers that wait for the lock, so that they share a sync.
	writeMu sync.Mutex
	// file, nextSeq, generation, failure and frameBuf are guarded by writeMu.
	file       File
	nextSeq    uint64
	generation uint64
	failure    error
	frameBuf   []byte

	// mu guards queue, the requests that are not written yet, oldest first.
	mu    sync.Mutex
	queue []*appendRequest
}

var _ Store = (*Log)(nil)

// Open opens or creates the store in a data folder and returns its contents.
// The returned function closes the files and releases the lock of the folder. It
// has nothing to sync, since every append is synced before it returns.
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

// applyOptions returns the options with a folder, by default the directory dir,
// which it creates if it is missing.
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

// recover returns the contents of the folder, creates a log if there is no
// store, removes leftover files and leaves the log open for appending.
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

// holdsStore reports whether the files of a folder include a log or a snapshot.
func holdsStore(names []string) bool {
	return slices.ContainsFunc(names, func(n string) bool {
		return n == snapshotName || strings.HasPrefix(n, logPrefix)
	})
}

// HoldsLog reports whether a data folder holds a log or the snapshot of a log.
func HoldsLog(dir string, opts ...Option) (bool, error) {
	o, err := applyOptions(dir, opts)
	if err != nil {
		return false, err
	}
	names, err := o.folder.List()
	return holdsStore(names), err
}

// RemoveLog deletes the log and the snapshot in a data folder, which must not be open.
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

// create creates the first log. The file is written under a temporary name and
// then renamed, so that a crash in between leaves a folder that counts as empty.
func (l *Log) create() error {
	var err error
	l.file, err = l.replaceLog(logName(0), encodeLogHeader(0))
	return err
}

// writeFile creates a file of the folder with synced content and leaves it open.
func (l *Log) writeFile(name string, data []byte) (File, error) {
	return createSyncedFile(l.folder, name, data)
}

// createSyncedFile creates a file, writes and syncs its content and leaves it open.
func createSyncedFile(folder Folder, name string, data []byte) (File, error) {
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

// readSnapshot returns the content and the generation of the snapshot.
func (l *Log) readSnapshot() ([]byte, uint64, error) {
	data, err := l.folder.Read(snapshotName)
	if err != nil {
		return nil, 0, err
	}
	generation, err := decodeLogHeader(snapshotName, data)
	if err != nil {
		return nil, 0, err
	}
	records, n, ok := decodeFrame(data[fileHeaderSize:], 0)
	if !ok || len(records) != 1 || fileHeaderSize+n != len(data) {
		return nil, 0, ErrDamaged{File: snapshotName, Offset: int64(fileHeaderSize), Reason: "the snapshot does not match its checksum"}
	}
	return records[0], generation, nil
}

// readLog reads the log of the current generation into contents, cuts off an
// unfinished last append and opens the log for appending. It syncs the log,
// since after a crash of the process alone the records that were read may not
// have reached the disk yet.
func (l *Log) readLog(contents *Contents) error {
	name := logName(l.generation)
	data, err := l.folder.Read(name)
	if err != nil {
		return ErrDamaged{File: name, Reason: fmt.Sprintf("the log that continues the snapshot cannot be read (%v)", err)}
	}
	generation, err := decodeLogHeader(name, data)
	if err != nil {
		return err
	}
	if generation != l.generation {
		return ErrDamaged{File: name, Reason: fmt.Sprintf("it continues snapshot %d instead of %d", generation, l.generation)}
	}
	s, err := scanLog(name, data)
	if err != nil {
		return err
	}
	contents.Records = s.records
	contents.TornBytes = int64(len(data)) - s.validEnd
	l.nextSeq = s.nextSeq
	if l.rewrite {
		l.file, err = l.replaceLog(name, data[:s.validEnd])
		return err
	}
	l.file, err = l.folder.Open(name)
	if err != nil {
		return err
	}
	if contents.TornBytes > 0 {
		if err := l.file.Truncate(s.validEnd); err != nil {
			return err
		}
	}
	return l.file.Sync()
}

// replaceLog atomically creates or replaces a log file with the given content and leaves it open.
func (l *Log) replaceLog(name string, data []byte) (File, error) {
	f, err := l.writeFile(logTempName, data)
	if err != nil {
		return nil, err
	}
	err = l.folder.Rename(logTempName, name)
	if err == nil {
		err = l.folder.Sync()
	}
	if err != nil {
		return nil, errors.Join(err, f.Close())
	}
	return f, nil
}

// removeStale removes the logs of older generations and the temporary files of interrupted calls.
func (l *Log) removeStale(names []string) error {
	for _, n := range names {
		stale := n == snapshotTempName || n == logTempName || strings.HasPrefix(n, logPrefix) && n != logName(l.generation)
		if !stale {
			continue
		}
		if err := l.folder.Remove(n); err != nil {
			return err
		}
	}
	return l.folder.Sync()
}

// Append writes records in order and returns once they are synced. After a
// failed write or sync every later call fails with an ErrWriteFailed.
func (l *Log) Append(records ...[]byte) error {
	r := &appendRequest{records: records}
	for _, rec := range records {
		if len(rec) > MaxRecordBytes {
			return ErrTooLarge{Size: len(rec)}
		}
		r.size += recordLengthSize + len(rec)
	}
	if r.size > MaxRecordBytes+recordLengthSize {
		return ErrTooLarge{Size: r.size}
	}
	l.mu.Lock()
	l.queue = append(l.queue, r)
	l.mu.Unlock()

	l.writeMu.Lock()
	defer l.writeMu.Unlock()
	for !r.done {
		l.writeBatch()
	}
	return r.err
}

// takeBatch removes and returns the oldest requests that fit into one frame, but at least one.
func (l *Log) takeBatch() []*appendRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	n, size := 0, 0
	for n < len(l.queue) && (n == 0 || size+l.queue[n].size <= maxFrameBytes) {
		size += l.queue[n].size
		n++
	}
	batch := slices.Clone(l.queue[:n])
	l.queue = slices.Delete(l.queue, 0, n)
	return batch
}

// writeBatch writes the oldest requests in one frame and completes them. The
// caller holds writeMu.
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

// write appends and syncs one frame with the records.
func (l *Log) write(records [][]byte) error {
	if l.failure != nil {
		return l.failure
	}
	l.frameBuf = appendFrame(l.frameBuf[:0], l.nextSeq, records)
	if _, err := l.file.Write(l.frameBuf); err != nil {
		return l.fail(err)
	}
	if err := l.file.Sync(); err != nil {
		return l.fail(err)
	}
	l.nextSeq++
	if cap(l.frameBuf) > maxFrameBytes {
		l.frameBuf = nil
	}
	return nil
}

// fail makes all later writes fail and returns their error: after a failed sync
// the kernel may drop the unwritten pages, so that a second sync would succeed
// although data was lost.
func (l *Log) fail(err error) error {
	l.failure = ErrWriteFailed{Cause: err}
	return l.failure
}

// Snapshot atomically replaces the snapshot and drops all records appended
// before the call. The folder is synced after the next log is created and before
// the snapshot that refers to it is renamed into place, so that no crash leaves
// a snapshot without its log.
func (l *Log) Snapshot(data []byte) error {
	if len(data) > MaxRecordBytes {
		return ErrTooLarge{Size: len(data)}
	}
	l.writeMu.Lock()
	defer l.writeMu.Unlock()
	if l.failure != nil {
		return l.failure
	}
	next, err := l.writeFile(logName(l.generation+1), encodeLogHeader(l.generation+1))
	if err != nil {
		return l.fail(err)
	}
	if err := l.replaceSnapshot(data, l.generation+1); err != nil {
		return errors.Join(l.fail(err), next.Close())
	}
	old := l.file
	l.file, l.nextSeq, l.generation = next, 0, l.generation+1
	if err := errors.Join(old.Close(), l.folder.Remove(logName(l.generation-1))); err != nil {
		return l.fail(err)
	}
	return nil
}

// replaceSnapshot atomically replaces the snapshot by data. The log of the
// generation must exist already.
func (l *Log) replaceSnapshot(data []byte, generation uint64) error {
	if err := l.folder.Sync(); err != nil {
		return err
	}
	content := appendFrame(encodeLogHeader(generation), 0, [][]byte{data})
	f, err := l.writeFile(snapshotTempName, content)
	if err != nil {
		return err
	}
	if err := f.Close(); err != nil {
		return err
	}
	if err := l.folder.Rename(snapshotTempName, snapshotName); err != nil {
		return err
	}
	return l.folder.Sync()
}

// closeFile closes the log file if one is open.
func (l *Log) closeFile() error {
	if l.file == nil {
		return nil
	}
	return l.file.Close()
}

// close makes all later calls fail and closes the log file.
func (l *Log) close() error {
	l.writeMu.Lock()
	defer l.writeMu.Unlock()
	if l.failure == nil {
		l.failure = ErrWriteFailed{Cause: errors.New("the store was closed")}
	}
	return l.closeFile()
}
