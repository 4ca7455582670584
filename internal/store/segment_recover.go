package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"slices"
)

// segmentLink is stored in the first frame of a segment and identifies the
// preceding segment.
type segmentLink struct {
	number uint32
	// size is the length in bytes that the segment before had when this one was
	// created.
	size int64
}

// segmentLinkSize is the length of an encoded segmentLink in bytes.
const segmentLinkSize = 4 + 8

func (l segmentLink) encode() []byte {
	return binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint32(nil, l.number), uint64(l.size))
}

func decodeSegmentLink(data []byte) (segmentLink, bool) {
	if len(data) != segmentLinkSize {
		return segmentLink{}, false
	}
	return segmentLink{number: binary.BigEndian.Uint32(data), size: int64(binary.BigEndian.Uint64(data[4:]))}, true
}

// segmentRecovery reads and checks one segment when its folder is opened.
type segmentRecovery struct {
	segment *segment
	// name is the name of the file.
	name string
	// isNewest is set for the newest segment, whose last append may be unfinished.
	isNewest bool
	// visit is called with each record.
	visit func(Position, []byte) error
	// nextSeq is the sequence number of the next frame.
	nextSeq uint64
	// tornBytes is the length of an unfinished last append.
	tornBytes int64
}

// run reads the whole segment and sets its syncedSize. The link names the segment
// that was read before this one; hasPrevious is false for the oldest segment.
func (r *segmentRecovery) run(previous segmentLink, hasPrevious bool) error {
	size, err := r.segment.file.Size()
	if err != nil {
		return err
	}
	in := newBufferedReader(r.segment.file, size)
	head, err := in.next(fileHeaderSize)
	if err != nil {
		return err
	}
	number, err := decodeFileHeader(r.name, segmentMagic, head)
	if err != nil {
		return err
	}
	if number != uint64(r.segment.number) {
		return ErrDamaged{File: r.name, Reason: fmt.Sprintf("it holds segment %d", number)}
	}
	for in.offset < size {
		start := in.offset
		ok, err := r.readFrame(in, previous, hasPrevious)
		if err != nil {
			return err
		}
		if !ok {
			in.offset = start
			return r.recoverTail(start, size)
		}
	}
	r.segment.syncedSize = in.offset
	if r.nextSeq == 0 {
		return ErrDamaged{File: r.name, Offset: in.offset, Reason: "the first frame is missing"}
	}
	return nil
}

// readFrame reads the next frame, passes its records to visit and reports whether
// the frame is valid.
func (r *segmentRecovery) readFrame(in *bufferedReader, previous segmentLink, hasPrevious bool) (bool, error) {
	start := in.offset
	head, err := in.next(frameHeaderSize)
	if err != nil {
		return false, err
	}
	h, ok := decodeFrameHeader(head)
	if !ok || h.seq != r.nextSeq || h.size > uint64(in.size-in.offset) {
		return false, nil
	}
	body, err := in.next(int(h.size))
	if err != nil {
		return false, err
	}
	if checksum(body) != h.sum {
		return false, nil
	}
	r.nextSeq++
	if h.seq == 0 {
		return true, r.checkLink(body, previous, hasPrevious)
	}
	base := uint64(start) + uint64(frameHeaderSize)
	err = forEachRecord(body, func(offset int, rec []byte) error {
		return r.visit(Position{Segment: r.segment.number, Size: uint32(checksumSize + len(rec)), Offset: base + uint64(offset)}, rec)
	})
	if errors.Is(err, errRecordChecksum) {
		err = ErrDamaged{File: r.name, Offset: start, Reason: err.Error()}
	}
	return true, err
}

// checkLink compares the segment that was read before with the link in the first
// frame of this one. The oldest segment is not compared, since the segment that
// its link names has been removed.
func (r *segmentRecovery) checkLink(body []byte, previous segmentLink, hasPrevious bool) error {
	records, ok := splitRecords(body)
	if !ok || len(records) != 1 {
		return ErrDamaged{File: r.name, Offset: int64(fileHeaderSize), Reason: "the first frame has no link to the segment before"}
	}
	want, ok := decodeSegmentLink(records[0])
	switch {
	case !ok:
		return ErrDamaged{File: r.name, Offset: int64(fileHeaderSize), Reason: "the first frame has no link to the segment before"}
	case hasPrevious && want.number != previous.number:
		return ErrDamaged{File: segmentName(want.number), Reason: "the segment is missing, and a later one continues it"}
	case hasPrevious && want.size != previous.size:
		return ErrDamaged{File: segmentName(want.number), Offset: previous.size, Reason: fmt.Sprintf("the segment ends here, but had %d bytes when the next one was begun", want.size)}
	}
	return nil
}

// recoverTail handles the invalid frame at the offset start. It marks the rest of
// the file as torn if this can be an unfinished append, which is possible in the
// newest segment only, and returns an ErrDamaged otherwise.
func (r *segmentRecovery) recoverTail(start, size int64) error {
	if !r.isNewest {
		return ErrDamaged{File: r.name, Offset: start, Reason: "a frame does not match its checksum, and a later segment exists"}
	}
	if r.nextSeq == 0 {
		return ErrDamaged{File: r.name, Offset: start, Reason: "the first frame does not match its checksum, although it was synced before the file got its name"}
	}
	base := start - start%sectorSize
	data := make([]byte, size-base)
	if _, err := r.segment.file.ReadAt(data, base); err != nil && !errors.Is(err, io.EOF) {
		return err
	}
	err := checkTail(r.name, data, scanResult{nextSeq: r.nextSeq, validEnd: start - base})
	var damaged ErrDamaged
	if errors.As(err, &damaged) {
		damaged.Offset += base
		return damaged
	}
	r.segment.syncedSize, r.tornBytes = start, size-start
	return err
}

// bufferedReader reads a file from its start to its size through a buffer.
type bufferedReader struct {
	file Reader
	size int64
	// offset is the position in the file of the next byte to return.
	offset int64
	buffer []byte
	// bufferOffset is where the buffer starts in the file.
	bufferOffset int64
}

// readBufferSize is the least number of bytes that a bufferedReader reads at once.
const readBufferSize = 1 << 20

// newBufferedReader returns a reader of the first size bytes of a file.
func newBufferedReader(file Reader, size int64) *bufferedReader {
	return &bufferedReader{file: file, size: size}
}

// next returns the next n bytes, or fewer at the end of the file. They are valid
// until the next call of next.
func (w *bufferedReader) next(n int) ([]byte, error) {
	n = int(min(int64(n), w.size-w.offset))
	if w.offset+int64(n) > w.bufferOffset+int64(len(w.buffer)) {
		part := int(min(int64(max(n, readBufferSize)), w.size-w.offset))
		w.buffer = slices.Grow(w.buffer[:0], part)[:part]
		w.bufferOffset = w.offset
		if _, err := w.file.ReadAt(w.buffer, w.offset); err != nil && !errors.Is(err, io.EOF) {
			return nil, err
		}
	}
	start := w.offset - w.bufferOffset
	w.offset += int64(n)
	return w.buffer[start : start+int64(n)], nil
}
