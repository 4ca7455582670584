package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"slices"
)

// link names the segment before another one, with its full length.
type link struct {
	number uint32
	end    int64
}

const linkSize = 4 + 8

func (l link) encode() []byte {
	return binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint32(nil, l.number), uint64(l.end))
}

func decodeLink(data []byte) (link, bool) {
	if len(data) != linkSize {
		return link{}, false
	}
	return link{number: binary.BigEndian.Uint32(data), end: int64(binary.BigEndian.Uint64(data[4:]))}, true
}

// recovery reads one segment.
type recovery struct {
	segment *segment
	name    string
	// last is set for the newest segment, whose last append may be unfinished.
	last  bool
	visit func(Position, []byte) error
	seq   uint64
	torn  int64
}

func (r *recovery) run(before link, linked bool) error {
	size, err := r.segment.file.Size()
	if err != nil {
		return err
	}
	in := newWindow(r.segment.file, size)
	head, err := in.next(fileHeader)
	if err != nil {
		return err
	}
	number, err := decodeHeader64(r.name, segmentMagic, head)
	if err != nil {
		return err
	}
	if number != uint64(r.segment.number) {
		return ErrDamaged{File: r.name, Reason: fmt.Sprintf("it holds segment %d", number)}
	}
	for in.offset < size {
		start := in.offset
		ok, err := r.frame(in, before, linked)
		if err != nil {
			return err
		}
		if !ok {
			in.offset = start
			return r.tail(start, size)
		}
	}
	r.segment.end = in.offset
	if r.seq == 0 {
		return ErrDamaged{File: r.name, Offset: in.offset, Reason: "the first frame is missing"}
	}
	return nil
}

// frame reads one frame and reports whether it is valid.
func (r *recovery) frame(in *window, before link, linked bool) (bool, error) {
	start := in.offset
	head, err := in.next(frameHeader)
	if err != nil {
		return false, err
	}
	h, ok := decodeHeader(head)
	if !ok || h.seq != r.seq || h.size > uint64(in.size-in.offset) {
		return false, nil
	}
	body, err := in.next(int(h.size))
	if err != nil {
		return false, err
	}
	if checksum(body) != h.sum {
		return false, nil
	}
	r.seq++
	if h.seq == 0 {
		return true, r.checkLink(body, before, linked)
	}
	base := uint64(start) + uint64(frameHeader)
	err = eachRecord(body, func(offset int, rec []byte) error {
		return r.visit(Position{Segment: r.segment.number, Size: uint32(sumSize + len(rec)), Offset: base + uint64(offset)}, rec)
	})
	if errors.Is(err, errRecord) {
		err = ErrDamaged{File: r.name, Offset: start, Reason: err.Error()}
	}
	return true, err
}

// checkLink compares the segment before with what this one says of it. The
// oldest segment has none that is left.
func (r *recovery) checkLink(body []byte, before link, linked bool) error {
	records, ok := splitRecords(body)
	if !ok || len(records) != 1 {
		return ErrDamaged{File: r.name, Offset: int64(fileHeader), Reason: "the first frame has no link to the segment before"}
	}
	want, ok := decodeLink(records[0])
	switch {
	case !ok:
		return ErrDamaged{File: r.name, Offset: int64(fileHeader), Reason: "the first frame has no link to the segment before"}
	case linked && want.number != before.number:
		return ErrDamaged{File: segmentName(want.number), Reason: "the segment is missing, and a later one continues it"}
	case linked && want.end != before.end:
		return ErrDamaged{File: segmentName(want.number), Offset: before.end, Reason: fmt.Sprintf("the segment ends here, but had %d bytes when the next one was begun", want.end)}
	}
	return nil
}

// tail decides about an invalid frame. Only the newest segment may end in an unfinished append.
func (r *recovery) tail(start, size int64) error {
	if !r.last {
		return ErrDamaged{File: r.name, Offset: start, Reason: "a frame does not match its checksum, and a later segment exists"}
	}
	if r.seq == 0 {
		return ErrDamaged{File: r.name, Offset: start, Reason: "the first frame does not match its checksum, although it was synced before the file got its name"}
	}
	base := start - start%sectorSize
	data := make([]byte, size-base)
	if _, err := r.segment.file.ReadAt(data, base); err != nil && !errors.Is(err, io.EOF) {
		return err
	}
	err := checkTail(r.name, data, scanned{seq: r.seq, good: start - base})
	var damaged ErrDamaged
	if errors.As(err, &damaged) {
		damaged.Offset += base
		return damaged
	}
	r.segment.end, r.torn = start, size-start
	return err
}

// window reads a file from its start to its size, in parts of windowSize.
type window struct {
	file   Reader
	size   int64
	offset int64
	buffer []byte
	// from is where the buffer starts in the file.
	from int64
}

const windowSize = 1 << 20

func newWindow(file Reader, size int64) *window { return &window{file: file, size: size} }

// next returns the next n bytes, or fewer at the end of the file. They are valid until the next call.
func (w *window) next(n int) ([]byte, error) {
	n = int(min(int64(n), w.size-w.offset))
	if w.offset+int64(n) > w.from+int64(len(w.buffer)) {
		part := int(min(int64(max(n, windowSize)), w.size-w.offset))
		w.buffer = slices.Grow(w.buffer[:0], part)[:part]
		w.from = w.offset
		if _, err := w.file.ReadAt(w.buffer, w.offset); err != nil && !errors.Is(err, io.EOF) {
			return nil, err
		}
	}
	start := w.offset - w.from
	w.offset += int64(n)
	return w.buffer[start : start+int64(n)], nil
}
