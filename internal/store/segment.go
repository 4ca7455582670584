package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"sync"
)

// A segment file has the header of a log, with its own magic and the number of
// the segment. Its first frame holds a link to the segment before it, so that a
// segment that was cut or lost is noticed. The other frames hold records, each
// with a checksum of its own, so that one record can be read alone.
const (
	segmentMagic  = "TGSEG\x00\x00\x00"
	segmentPrefix = "segment-"
	segmentTemp   = "segment.new"
	stateMagic    = "TGSTA\x00\x00\x00"
	stateName     = "state"
	stateTemp     = "state.new"
	sumSize       = 4
	// maxSegmentFrame bounds the records that are synced, or read by Scan, together; a longer record has a frame of its own.
	maxSegmentFrame = 512 << 10
)

// Position is the place of a record in a segment. Offset and Size are those of its checksum and bytes.
type Position struct {
	Segment uint32
	Size    uint32
	Offset  uint64
}

// Cursor is the place of a frame, from which Scan continues. Its zero value is the start of the oldest segment.
type Cursor struct {
	Segment uint32
	Offset  int64
	Frame   uint64
}

// SegmentContents is what a folder of segments held when it was opened.
type SegmentContents struct {
	// State is the last one that was set, or nil.
	State []byte
	// TornBytes counts the bytes of an unfinished last append that were cut.
	TornBytes int64
}

// segment is an open segment file.
type segment struct {
	number uint32
	file   Reader
	// end is the length of what is synced.
	end int64
}

// Segments keeps records in segment files with ascending numbers. Records are
// appended to the newest one and synced before Append returns. It is safe for
// concurrent use.
type Segments struct {
	folder Folder

	// writer is held by Append, SetState and RemoveThrough; it guards file, seq, frame and failed.
	writer sync.Mutex
	file   File
	seq    uint64
	frame  []byte
	failed error

	// mu guards open and is held for reading while a segment is read.
	mu   sync.RWMutex
	open []*segment
}

func segmentName(number uint32) string { return fmt.Sprintf("%s%010d", segmentPrefix, number) }

// OpenSegments opens or creates a folder of segments and passes each record to
// visit, oldest first; visit must not keep the bytes. The returned function
// closes the files and releases the folder.
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

func (s *Segments) recover(visit func(Position, []byte) error) (SegmentContents, error) {
	var contents SegmentContents
	names, err := s.folder.List()
	if err != nil {
		return contents, err
	}
	for _, temp := range []string{segmentTemp, stateTemp} {
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
	var before link
	for i, seg := range s.open {
		r := &recovery{segment: seg, name: segmentName(seg.number), last: i == len(s.open)-1, visit: visit}
		if err := r.run(before, i > 0); err != nil {
			return contents, err
		}
		before = link{number: seg.number, end: seg.end}
		contents.TornBytes, s.seq = r.torn, r.seq
	}
	return contents, s.reopen(contents.TornBytes)
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
		s.open = append(s.open, &segment{number: uint32(number), file: file})
	}
	return nil
}

// reopen opens the newest segment for appending, cuts an unfinished last append
// and syncs what is left, since it may not have reached the disk before a crash.
func (s *Segments) reopen(torn int64) error {
	if len(s.open) == 0 {
		return s.folder.Sync()
	}
	last := s.open[len(s.open)-1]
	file, err := s.folder.Open(segmentName(last.number))
	if err != nil {
		return err
	}
	s.file = file
	if torn > 0 {
		if err := file.Truncate(last.end); err != nil {
			return err
		}
	}
	if err := file.Sync(); err != nil {
		return err
	}
	return s.folder.Sync()
}

// Append writes records to the segment with this number, or to the newest one
// if that is later, and returns their positions once they are synced. After an
// error every later call fails with the same kind of error.
func (s *Segments) Append(number uint32, records [][]byte) ([]Position, error) {
	for _, rec := range records {
		if len(rec) > MaxRecordBytes {
			return nil, ErrTooLarge{Size: len(rec)}
		}
	}
	s.writer.Lock()
	defer s.writer.Unlock()
	if s.failed != nil {
		return nil, s.failed
	}
	seg := s.newest()
	if seg == nil || number > seg.number {
		var err error
		if seg, err = s.roll(number, seg); err != nil {
			return nil, s.fail(err)
		}
	}
	at := make([]Position, 0, len(records))
	for len(records) > 0 {
		n := frameOf(records)
		var err error
		if at, err = s.write(seg, records[:n], at); err != nil {
			return nil, s.fail(err)
		}
		records = records[n:]
	}
	return at, nil
}

// frameOf returns how many records share the next frame.
func frameOf(records [][]byte) int {
	n, size := 0, 0
	for n < len(records) && (n == 0 || size+len(records[n]) <= maxSegmentFrame) {
		size += len(records[n])
		n++
	}
	return n
}

func (s *Segments) newest() *segment {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if len(s.open) == 0 {
		return nil
	}
	return s.open[len(s.open)-1]
}

// write appends one frame.
func (s *Segments) write(seg *segment, records [][]byte, at []Position) ([]Position, error) {
	summed := make([][]byte, len(records))
	offset := uint64(seg.end) + uint64(frameHeader)
	for i, rec := range records {
		summed[i] = append(binary.BigEndian.AppendUint32(make([]byte, 0, sumSize+len(rec)), checksum(rec)), rec...)
		at = append(at, Position{Segment: seg.number, Size: uint32(len(summed[i])), Offset: offset + lengthSize})
		offset += lengthSize + uint64(len(summed[i]))
	}
	s.frame = appendFrame(s.frame[:0], s.seq, summed)
	if _, err := s.file.Write(s.frame); err != nil {
		return nil, err
	}
	if err := s.file.Sync(); err != nil {
		return nil, err
	}
	s.seq++
	s.mu.Lock()
	seg.end += int64(len(s.frame))
	s.mu.Unlock()
	if cap(s.frame) > maxFrame {
		s.frame = nil
	}
	return at, nil
}

// roll begins a segment. It is written under another name first, so that a
// crash leaves no segment without its first frame.
func (s *Segments) roll(number uint32, last *segment) (*segment, error) {
	before := link{}
	if last != nil {
		before = link{number: last.number, end: last.end}
	}
	content := appendFrame(header64(segmentMagic, uint64(number)), 0, [][]byte{before.encode()})
	file, err := s.replace(segmentTemp, segmentName(number), content)
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
	s.file, s.seq = file, 1
	seg := &segment{number: number, file: reader, end: int64(len(content))}
	s.mu.Lock()
	s.open = append(s.open, seg)
	s.mu.Unlock()
	return seg, nil
}

// replace writes a synced file under its name and leaves it open.
func (s *Segments) replace(temp, name string, content []byte) (File, error) {
	file, err := createSynced(s.folder, temp, content)
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

// fail refuses all later writes: after a failed sync the kernel may drop the
// unwritten pages, so that a second sync succeeds although data was lost.
func (s *Segments) fail(err error) error {
	s.failed = ErrWriteFailed{Cause: err}
	return s.failed
}

// SetState atomically replaces the state.
func (s *Segments) SetState(data []byte) error {
	s.writer.Lock()
	defer s.writer.Unlock()
	if s.failed != nil {
		return s.failed
	}
	file, err := s.replace(stateTemp, stateName, appendFrame(header64(stateMagic, 0), 0, [][]byte{data}))
	if err == nil {
		err = file.Close()
	}
	if err != nil {
		return s.fail(err)
	}
	return nil
}

func (s *Segments) readState() ([]byte, error) {
	data, err := s.folder.Read(stateName)
	if err != nil {
		return nil, err
	}
	if _, err := decodeHeader64(stateName, stateMagic, data); err != nil {
		return nil, err
	}
	records, n, ok := decodeFrame(data[fileHeader:], 0)
	if !ok || len(records) != 1 || fileHeader+n != len(data) {
		return nil, ErrDamaged{File: stateName, Offset: int64(fileHeader), Reason: "the state does not match its checksum"}
	}
	return records[0], nil
}

// RemoveThrough deletes the segments up to a number, oldest first, except the newest one.
func (s *Segments) RemoveThrough(number uint32) error {
	s.writer.Lock()
	defer s.writer.Unlock()
	for s.failed == nil {
		s.mu.Lock()
		if len(s.open) < 2 || s.open[0].number > number {
			s.mu.Unlock()
			return nil
		}
		oldest := s.open[0]
		s.open = slices.Delete(s.open, 0, 1)
		s.mu.Unlock()
		// The folder is synced after each removal, so that no crash keeps an older segment and loses a newer one.
		if err := errors.Join(oldest.file.Close(), s.folder.Remove(segmentName(oldest.number)), s.folder.Sync()); err != nil {
			return s.fail(err)
		}
	}
	return s.failed
}

// Read returns one record.
func (s *Segments) Read(p Position) ([]byte, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	i := slices.IndexFunc(s.open, func(seg *segment) bool { return seg.number == p.Segment })
	if i < 0 || p.Size < sumSize || p.Offset > math.MaxInt64 || int64(p.Offset)+int64(p.Size) > s.open[i].end {
		return nil, ErrDamaged{File: segmentName(p.Segment), Offset: int64(p.Offset), Reason: "the record is outside the segment"}
	}
	data := make([]byte, p.Size)
	if _, err := s.open[i].file.ReadAt(data, int64(p.Offset)); err != nil {
		return nil, err
	}
	if binary.BigEndian.Uint32(data) != checksum(data[sumSize:]) {
		return nil, ErrDamaged{File: segmentName(p.Segment), Offset: int64(p.Offset), Reason: "the record does not match its checksum"}
	}
	return data[sumSize:], nil
}

// Scan returns the records of the frames that follow a cursor, superseded
// copies included, and the cursor after them. It returns at least one frame and
// stops at a number of bytes. done is set at the end of what is synced. The
// cursor must be the zero value or come from the same open store.
func (s *Segments) Scan(from Cursor, limit int) (records [][]byte, next Cursor, done bool, err error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	size := 0
	for _, seg := range s.open {
		if seg.number < from.Segment {
			continue
		}
		if seg.number > from.Segment || from.Offset == 0 {
			from = Cursor{Segment: seg.number, Offset: int64(fileHeader)}
		}
		for from.Offset < seg.end {
			recs, n, err := seg.frame(from)
			if err != nil {
				return nil, from, false, err
			}
			for _, rec := range recs {
				size += len(rec)
			}
			if size > limit && len(records) > 0 {
				return records, from, false, nil
			}
			records = append(records, recs...)
			from.Offset += n
			from.Frame++
		}
	}
	return records, from, true, nil
}

// frame reads the records of one frame and its length.
func (g *segment) frame(at Cursor) ([][]byte, int64, error) {
	damaged := ErrDamaged{File: segmentName(g.number), Offset: at.Offset, Reason: "a frame does not match its checksum"}
	head := make([]byte, frameHeader)
	if _, err := g.file.ReadAt(head, at.Offset); err != nil {
		return nil, 0, err
	}
	h, ok := decodeHeader(head)
	if !ok || h.seq != at.Frame || at.Offset+int64(frameHeader)+int64(h.size) > g.end {
		return nil, 0, damaged
	}
	body := make([]byte, h.size)
	if _, err := g.file.ReadAt(body, at.Offset+int64(frameHeader)); err != nil {
		return nil, 0, err
	}
	if checksum(body) != h.sum {
		return nil, 0, damaged
	}
	length := int64(frameHeader) + int64(h.size)
	if at.Frame == 0 {
		return nil, length, nil // the link to the segment before
	}
	var records [][]byte
	err := eachRecord(body, func(_ int, rec []byte) error {
		records = append(records, rec)
		return nil
	})
	if err != nil {
		return nil, 0, damaged
	}
	return records, length, nil
}

// close refuses later writes and closes the files.
func (s *Segments) close() error {
	s.writer.Lock()
	defer s.writer.Unlock()
	if s.failed == nil {
		s.failed = ErrWriteFailed{Cause: errors.New("the store was closed")}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var errs []error
	if s.file != nil {
		errs = append(errs, s.file.Close())
		s.file = nil
	}
	for _, seg := range s.open {
		errs = append(errs, seg.file.Close())
	}
	s.open = nil
	return errors.Join(errs...)
}

var errRecord = errors.New("a record does not match its checksum")

// eachRecord passes the records of a frame's body with the place of their checksums.
func eachRecord(body []byte, visit func(offset int, rec []byte) error) error {
	for offset := 0; offset < len(body); {
		rest := body[offset:]
		if len(rest) < lengthSize+sumSize {
			return errRecord
		}
		n := uint64(binary.BigEndian.Uint32(rest))
		if n < sumSize || n > uint64(len(rest)-lengthSize) {
			return errRecord
		}
		summed := rest[lengthSize : lengthSize+int(n)]
		if binary.BigEndian.Uint32(summed) != checksum(summed[sumSize:]) {
			return errRecord
		}
		if err := visit(offset+lengthSize, summed[sumSize:]); err != nil {
			return err
		}
		offset += lengthSize + int(n)
	}
	return nil
}
