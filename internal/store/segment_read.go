package store

import (
	"encoding/binary"
	"errors"
	"math"
	"slices"
)

// Read returns the record at a position and checks its checksum. The segment
// must not have been removed.
func (s *Segments) Read(p Position) ([]byte, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	i := slices.IndexFunc(s.segments, func(seg *segment) bool { return seg.number == p.Segment })
	if i < 0 || p.Size < checksumSize || p.Offset > math.MaxInt64 || int64(p.Offset)+int64(p.Size) > s.segments[i].syncedSize {
		return nil, ErrDamaged{File: segmentName(p.Segment), Offset: int64(p.Offset), Reason: "the record is outside the segment"}
	}
	data := make([]byte, p.Size)
	if _, err := s.segments[i].file.ReadAt(data, int64(p.Offset)); err != nil {
		return nil, err
	}
	if binary.BigEndian.Uint32(data) != checksum(data[checksumSize:]) {
		return nil, ErrDamaged{File: segmentName(p.Segment), Offset: int64(p.Offset), Reason: "the record does not match its checksum"}
	}
	return data[checksumSize:], nil
}

// Scan returns the records of the frames from a cursor on and the cursor after
// them. It returns every record that was appended, also those that the caller
// has superseded by later ones. It stops before the frame that would exceed
// limit bytes of records, but returns at least one frame with records if there
// is one. done is set once all synced frames were returned. The cursor must be
// the zero value or come from the same open store.
func (s *Segments) Scan(cursor Cursor, limit int) (records [][]byte, next Cursor, done bool, err error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	size := 0
	for _, seg := range s.segments {
		if seg.number < cursor.Segment {
			continue
		}
		if seg.number > cursor.Segment || cursor.Offset == 0 {
			cursor = Cursor{Segment: seg.number, Offset: int64(fileHeaderSize)}
		}
		for cursor.Offset < seg.syncedSize {
			recs, n, err := seg.readFrame(cursor)
			if err != nil {
				return nil, cursor, false, err
			}
			for _, rec := range recs {
				size += len(rec)
			}
			if size > limit && len(records) > 0 {
				return records, cursor, false, nil
			}
			records = append(records, recs...)
			cursor.Offset += n
			cursor.Frame++
		}
	}
	return records, cursor, true, nil
}

// readFrame returns the records of the frame at a cursor and the length of the
// frame in bytes. The first frame of a segment has no records.
func (g *segment) readFrame(cursor Cursor) ([][]byte, int64, error) {
	damaged := ErrDamaged{File: segmentName(g.number), Offset: cursor.Offset, Reason: "a frame does not match its checksum"}
	head := make([]byte, frameHeaderSize)
	if _, err := g.file.ReadAt(head, cursor.Offset); err != nil {
		return nil, 0, err
	}
	h, ok := decodeFrameHeader(head)
	if !ok || h.seq != cursor.Frame || cursor.Offset+int64(frameHeaderSize)+int64(h.size) > g.syncedSize {
		return nil, 0, damaged
	}
	body := make([]byte, h.size)
	if _, err := g.file.ReadAt(body, cursor.Offset+int64(frameHeaderSize)); err != nil {
		return nil, 0, err
	}
	if checksum(body) != h.sum {
		return nil, 0, damaged
	}
	length := int64(frameHeaderSize) + int64(h.size)
	if cursor.Frame == 0 {
		return nil, length, nil // this frame holds the segmentLink
	}
	var records [][]byte
	err := forEachRecord(body, func(_ int, rec []byte) error {
		records = append(records, rec)
		return nil
	})
	if err != nil {
		return nil, 0, damaged
	}
	return records, length, nil
}

// errRecordChecksum is returned by forEachRecord.
var errRecordChecksum = errors.New("a record does not match its checksum")

// forEachRecord checks the records in the body of a frame and passes each to
// visit, with the offset of its checksum in the body.
func forEachRecord(body []byte, visit func(offset int, rec []byte) error) error {
	for offset := 0; offset < len(body); {
		rest := body[offset:]
		if len(rest) < recordLengthSize+checksumSize {
			return errRecordChecksum
		}
		n := uint64(binary.BigEndian.Uint32(rest))
		if n < checksumSize || n > uint64(len(rest)-recordLengthSize) {
			return errRecordChecksum
		}
		summed := rest[recordLengthSize : recordLengthSize+int(n)]
		if binary.BigEndian.Uint32(summed) != checksum(summed[checksumSize:]) {
			return errRecordChecksum
		}
		if err := visit(offset+recordLengthSize, summed[checksumSize:]); err != nil {
			return err
		}
		offset += recordLengthSize + int(n)
	}
	return nil
}
