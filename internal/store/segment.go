package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
)

// A segment file has a header like that of a log, with its own magic and with
// the number of the segment in place of the generation. Its first frame holds a
// segmentLink, so that recovery detects a previous segment that was cut or lost.
// The other frames hold records, each with a checksum of its own, so that a
// single record can be read without the rest of its frame.
const (
	segmentMagic    = "TGSEG\x00\x00\x00"
	segmentPrefix   = "segment-"
	segmentTempName = "segment.new"
	stateMagic      = "TGSTA\x00\x00\x00"
	stateName       = "state"
	stateTempName   = "state.new"
	checksumSize    = 4
	// maxSegmentFrameBytes bounds the records that one frame holds, and so those
	// that are synced or read by Scan together. A longer record has a frame of its own.
	maxSegmentFrameBytes = 512 << 10
)

// Position is the segment, offset and size of a stored record.
type Position struct {
	// Segment is the number of the segment.
	Segment uint32
	// Size is the length in bytes of the record with its checksum.
	Size uint32
	// Offset is where the checksum before the record starts in the file.
	Offset uint64
}

// Cursor is the frame from which Scan continues. The zero value is the start of
// the oldest segment.
type Cursor struct {
	// Segment is the number of the segment.
	Segment uint32
	// Offset is where the frame starts in the file, or 0 for the first frame.
	Offset int64
	// Frame is the sequence number of the frame in its segment.
	Frame uint64
}

// SegmentContents holds what OpenSegments found in a data folder, except the records.
type SegmentContents struct {
	// State is the data of the last SetState, or nil if there was none.
	State []byte
	// TornBytes counts the bytes of an unfinished last append that were cut off.
	TornBytes int64
}

// segment is a segment file that is open for reading.
type segment struct {
	number uint32
	file   Reader
	// syncedSize is the length in bytes up to which the file is synced.
	syncedSize int64
}

// Segments keeps records in segment files with ascending numbers. Records are
// appended to the newest segment and synced before Append returns. The folder
// also holds a state, a value of the caller that SetState replaces. It is safe for
// concurrent use.
type Segments struct {
	folder Folder

	// writeMu is held by all methods that write. It guards file, nextSeq, frameBuf
	// and failure.
	writeMu sync.Mutex
	// file is the newest segment, open for appending, or nil before the first one.
	file File
	// nextSeq is the sequence number of the next frame in file.
	nextSeq  uint64
	frameBuf []byte
	// failure is the error of the first write or sync that failed.
	failure error

	// mu guards segments, which are in ascending order, and their syncedSize. It
	// is held for reading while a segment is read, so that no file is closed then.
	mu       sync.RWMutex
	segments []*segment
}

func segmentName(number uint32) string { return fmt.Sprintf("%s%010d", segmentPrefix, number) }

// OpenSegments opens or creates a folder of segments and passes each record to
// visit, oldest first; visit must not keep the bytes. The returned function
// closes the files and releases the lock of the folder.
func OpenSegments(dir string, visit func(Position, []byte) error, opts ...Option) (*Segments, SegmentContents, func() error, error) {
	o, err := applyOptions(dir, opts)
	if err != nil {
		return nil, SegmentContents{}, nil, fmt.Errorf("open data folder %q: %w", dir, err)
	}
	unlock, err := o.folder.Lock()
	if err != nil {
		return nil, SegmentContents{}, nil, fmt.Errorf("lock data folder %q: %w", dir, err)
	}
	s := &Segments{folder: o.folder}
	contents, err := s.recover(visit)
	if err != nil {
		return nil, SegmentContents{}, nil, errors.Join(fmt.Errorf("recover data folder %q: %w", dir, err), s.close(), unlock())
	}
	return s, contents, func() error { return errors.Join(s.close(), unlock()) }, nil
}

// recover removes leftover temporary files, reads the state and all segments and
// leaves the newest segment open for appending.
func (s *Segments) recover(visit func(Position, []byte) error) (SegmentContents, error) {
	var contents SegmentContents
	names, err := s.folder.List()
	if err != nil {
		return contents, err
	}
	for _, temp := range []string{segmentTempName, stateTempName} {
		if slices.Contains(names, temp) {
			if err := s.folder.Remove(temp); err != nil {
				return contents, err
			}
		}
	}
	if slices.Contains(names, stateName) {
		if contents.State, err = s.readState(); err != nil {
			return contents, err
		}
	}
	if err := s.openAll(names); err != nil {
		return contents, err
	}
	var previous segmentLink
	for i, seg := range s.segments {
		r := &segmentRecovery{segment: seg, name: segmentName(seg.number), isNewest: i == len(s.segments)-1, visit: visit}
		if err := r.run(previous, i > 0); err != nil {
			return contents, err
		}
		previous = segmentLink{number: seg.number, size: seg.syncedSize}
		contents.TornBytes, s.nextSeq = r.tornBytes, r.nextSeq
	}
	return contents, s.openForAppend(contents.TornBytes)
}

// openAll opens all segments for reading, by ascending number.
func (s *Segments) openAll(names []string) error {
	for _, name := range slices.Sorted(slices.Values(names)) {
		digits, ok := strings.CutPrefix(name, segmentPrefix)
		if !ok {
			continue
		}
		number, err := strconv.ParseUint(digits, 10, 32)
		if err != nil || segmentName(uint32(number)) != name {
			return ErrDamaged{File: name, Reason: "the name is not that of a segment"}
		}
		file, err := s.folder.Reader(name)
		if err != nil {
			return err
		}
		s.segments = append(s.segments, &segment{number: uint32(number), file: file})
	}
	return nil
}

// openForAppend opens the newest segment for appending, if there is one, and cuts
// off an unfinished last append of torn bytes. It syncs the segment, since the
// records that were read may not have reached the disk before a crash.
func (s *Segments) openForAppend(torn int64) error {
	if len(s.segments) == 0 {
		return s.folder.Sync()
	}
	last := s.segments[len(s.segments)-1]
	file, err := s.folder.Open(segmentName(last.number))
	if err != nil {
		return err
	}
	s.file = file
	if torn > 0 {
		if err := file.Truncate(last.syncedSize); err != nil {
			return err
		}
	}
	if err := file.Sync(); err != nil {
		return err
	}
	return s.folder.Sync()
}

// Append writes records to the segment with this number, or to the newest one
// if that is later, and returns their positions once they are synced. A segment
// that is missing is created. After a failed write or sync every later call
// fails with an ErrWriteFailed.
func (s *Segments) Append(number uint32, records [][]byte) ([]Position, error) {
	for _, rec := range records {
		if len(rec) > MaxRecordBytes {
			return nil, ErrTooLarge{Size: len(rec)}
		}
	}
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	if s.failure != nil {
		return nil, s.failure
	}
	seg := s.newest()
	if seg == nil || number > seg.number {
		var err error
		if seg, err = s.startSegment(number, seg); err != nil {
			return nil, s.fail(err)
		}
	}
	positions := make([]Position, 0, len(records))
	for len(records) > 0 {
		n := countForNextFrame(records)
		var err error
		if positions, err = s.write(seg, records[:n], positions); err != nil {
			return nil, s.fail(err)
		}
		records = records[n:]
	}
	return positions, nil
}

// countForNextFrame returns how many of the records fit into one frame, but at least one.
func countForNextFrame(records [][]byte) int {
	n, size := 0, 0
	for n < len(records) && (n == 0 || size+len(records[n]) <= maxSegmentFrameBytes) {
		size += len(records[n])
		n++
	}
	return n
}

// newest returns the segment with the highest number, or nil if there is none.
func (s *Segments) newest() *segment {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if len(s.segments) == 0 {
		return nil
	}
	return s.segments[len(s.segments)-1]
}

// write appends and syncs one frame with the records and returns positions with
// those of the records added.
func (s *Segments) write(seg *segment, records [][]byte, positions []Position) ([]Position, error) {
	summed := make([][]byte, len(records))
	offset := uint64(seg.syncedSize) + uint64(frameHeaderSize)
	for i, rec := range records {
		summed[i] = append(binary.BigEndian.AppendUint32(make([]byte, 0, checksumSize+len(rec)), checksum(rec)), rec...)
		positions = append(positions, Position{Segment: seg.number, Size: uint32(len(summed[i])), Offset: offset + recordLengthSize})
		offset += recordLengthSize + uint64(len(summed[i]))
	}
	s.frameBuf = appendFrame(s.frameBuf[:0], s.nextSeq, summed)
	if _, err := s.file.Write(s.frameBuf); err != nil {
		return nil, err
	}
	if err := s.file.Sync(); err != nil {
		return nil, err
	}
	s.nextSeq++
	s.mu.Lock()
	seg.syncedSize += int64(len(s.frameBuf))
	s.mu.Unlock()
	if cap(s.frameBuf) > maxFrameBytes {
		s.frameBuf = nil
	}
	return positions, nil
}

// startSegment creates the segment that follows previous, which is nil for the
// first one, and makes it the newest. The file is written under a temporary name
// and then renamed, so that a crash leaves no segment without its first frame.
func (s *Segments) startSegment(number uint32, previous *segment) (*segment, error) {
	previousLink := segmentLink{}
	if previous != nil {
		previousLink = segmentLink{number: previous.number, size: previous.syncedSize}
	}
	content := appendFrame(encodeFileHeader(segmentMagic, uint64(number)), 0, [][]byte{previousLink.encode()})
	file, err := s.replaceFile(segmentTempName, segmentName(number), content)
	if err != nil {
		return nil, err
	}
	reader, err := s.folder.Reader(segmentName(number))
	if err != nil {
		return nil, errors.Join(err, file.Close())
	}
	if s.file != nil {
		if err := s.file.Close(); err != nil {
			return nil, errors.Join(err, file.Close(), reader.Close())
		}
	}
	s.file, s.nextSeq = file, 1
	seg := &segment{number: number, file: reader, syncedSize: int64(len(content))}
	s.mu.Lock()
	s.segments = append(s.segments, seg)
	s.mu.Unlock()
	return seg, nil
}

// replaceFile atomically creates or replaces a file, by way of a temporary name, and leaves it open.
func (s *Segments) replaceFile(temp, name string, content []byte) (File, error) {
	file, err := createSyncedFile(s.folder, temp, content)
	if err != nil {
		return nil, err
	}
	if err := s.folder.Rename(temp, name); err != nil {
		return nil, errors.Join(err, file.Close())
	}
	if err := s.folder.Sync(); err != nil {
		return nil, errors.Join(err, file.Close())
	}
	return file, nil
}

// fail makes all later writes fail and returns their error: after a failed sync
// the kernel may drop the unwritten pages, so that a second sync would succeed
// although data was lost.
func (s *Segments) fail(err error) error {
	s.failure = ErrWriteFailed{Cause: err}
	return s.failure
}

// SetState atomically replaces the state, which OpenSegments returns.
func (s *Segments) SetState(data []byte) error {
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	if s.failure != nil {
		return s.failure
	}
	file, err := s.replaceFile(stateTempName, stateName, appendFrame(encodeFileHeader(stateMagic, 0), 0, [][]byte{data}))
	if err == nil {
		err = file.Close()
	}
	if err != nil {
		return s.fail(err)
	}
	return nil
}

// readState returns the data of the last SetState.
func (s *Segments) readState() ([]byte, error) {
	data, err := s.folder.Read(stateName)
	if err != nil {
		return nil, err
	}
	if _, err := decodeFileHeader(stateName, stateMagic, data); err != nil {
		return nil, err
	}
	records, n, ok := decodeFrame(data[fileHeaderSize:], 0)
	if !ok || len(records) != 1 || fileHeaderSize+n != len(data) {
		return nil, ErrDamaged{File: stateName, Offset: int64(fileHeaderSize), Reason: "the state does not match its checksum"}
	}
	return records[0], nil
}

// RemoveThrough deletes the segments with numbers up to the given one, oldest first,
// but never the newest segment.
func (s *Segments) RemoveThrough(number uint32) error {
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	for s.failure == nil {
		s.mu.Lock()
		if len(s.segments) < 2 || s.segments[0].number > number {
			s.mu.Unlock()
			return nil
		}
		oldest := s.segments[0]
		s.segments = slices.Delete(s.segments, 0, 1)
		s.mu.Unlock()
		// A sync after each removal makes sure that no crash keeps an older segment and loses a newer one.
		if err := errors.Join(oldest.file.Close(), s.folder.Remove(segmentName(oldest.number)), s.folder.Sync()); err != nil {
			return s.fail(err)
		}
	}
	return s.failure
}

// close makes all later writes fail and closes the files.
func (s *Segments) close() error {
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	if s.failure == nil {
		s.failure = ErrWriteFailed{Cause: errors.New("the store was closed")}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var errs []error
	if s.file != nil {
		errs = append(errs, s.file.Close())
		s.file = nil
	}
	for _, seg := range s.segments {
		errs = append(errs, seg.file.Close())
	}
	s.segments = nil
	return errors.Join(errs...)
}
