package store

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
	"slices"
)

// A file starts with a header and continues with frames. A frame holds the
// records of one sync. The next frame is written only after that sync, so any
// valid later frame proves that an invalid frame was complete once.
const (
	formatVersion = 1
	// MaxRecordBytes bounds one record and a snapshot. It is far above any state foreseen in section 11 of the design.
	MaxRecordBytes = 256 << 20
	// maxFrame bounds how much one sync covers, so that a caller does not wait for an unbounded write.
	maxFrame = 4 << 20
	// sectorSize is the smallest unit that a disk writes as a whole.
	sectorSize = 512

	fileMagic   = "TGLOG\x00\x00\x00"
	fileHeader  = len(fileMagic) + 4 + 8 + 4
	frameMagic  = uint32(0x54474652)
	frameHeader = 4 + 4 + 8 + 4 + 4
	lengthSize  = 4
)

func checksum(parts ...[]byte) uint32 {
	sum := uint32(0)
	for _, p := range parts {
		sum = crc32.Update(sum, crc32.MakeTable(crc32.Castagnoli), p)
	}
	return sum
}

// header64 returns magic, format version, a number and a checksum.
func header64(magic string, number uint64) []byte {
	b := []byte(magic)
	b = binary.BigEndian.AppendUint32(b, formatVersion)
	b = binary.BigEndian.AppendUint64(b, number)
	return binary.BigEndian.AppendUint32(b, checksum(b))
}

func decodeHeader64(name, magic string, data []byte) (uint64, error) {
	if len(data) < fileHeader || string(data[:len(magic)]) != magic {
		return 0, ErrDamaged{File: name, Reason: "the file header is missing"}
	}
	body := data[:fileHeader-4]
	if binary.BigEndian.Uint32(data[fileHeader-4:]) != checksum(body) {
		return 0, ErrDamaged{File: name, Reason: "the file header does not match its checksum"}
	}
	rest := body[len(magic):]
	if v := binary.BigEndian.Uint32(rest); v != formatVersion {
		return 0, ErrFormat{File: name, Got: v, Want: formatVersion}
	}
	return binary.BigEndian.Uint64(rest[4:]), nil
}

// encodeFileHeader returns the header of a log or snapshot of a generation.
func encodeFileHeader(generation uint64) []byte { return header64(fileMagic, generation) }

func decodeFileHeader(name string, data []byte) (uint64, error) {
	return decodeHeader64(name, fileMagic, data)
}

// appendFrame appends a frame with the records to dst.
func appendFrame(dst []byte, seq uint64, records [][]byte) []byte {
	size := 0
	for _, r := range records {
		size += lengthSize + len(r)
	}
	start := len(dst)
	dst = slices.Grow(dst, frameHeader+size)
	dst = append(dst, make([]byte, frameHeader)...)
	for _, r := range records {
		dst = binary.BigEndian.AppendUint32(dst, uint32(len(r)))
		dst = append(dst, r...)
	}
	head, body := dst[start:start+frameHeader], dst[start+frameHeader:]
	binary.BigEndian.PutUint32(head, frameMagic)
	binary.BigEndian.PutUint32(head[4:], uint32(size))
	binary.BigEndian.PutUint64(head[8:], seq)
	binary.BigEndian.PutUint32(head[16:], checksum(body))
	binary.BigEndian.PutUint32(head[20:], checksum(head[:20]))
	return dst
}

// header is a decoded frame header.
type header struct {
	size uint64
	seq  uint64
	sum  uint32
}

// decodeHeader returns false if no valid frame header starts data.
func decodeHeader(data []byte) (header, bool) {
	if len(data) < frameHeader || binary.BigEndian.Uint32(data) != frameMagic {
		return header{}, false
	}
	h := header{
		size: uint64(binary.BigEndian.Uint32(data[4:])),
		seq:  binary.BigEndian.Uint64(data[8:]),
		sum:  binary.BigEndian.Uint32(data[16:]),
	}
	return h, binary.BigEndian.Uint32(data[20:]) == checksum(data[:20])
}

// decodeFrame returns the records and the length of the frame that starts
// data, and false if there is no valid frame with this sequence number.
func decodeFrame(data []byte, seq uint64) ([][]byte, int, bool) {
	h, ok := decodeHeader(data)
	if !ok || h.seq != seq || h.size > uint64(len(data)-frameHeader) {
		return nil, 0, false
	}
	end := frameHeader + int(h.size)
	body := data[frameHeader:end]
	if checksum(body) != h.sum {
		return nil, 0, false
	}
	records, ok := splitRecords(body)
	return records, end, ok
}

func splitRecords(body []byte) ([][]byte, bool) {
	var records [][]byte
	for len(body) > 0 {
		if len(body) < lengthSize {
			return nil, false
		}
		n := uint64(binary.BigEndian.Uint32(body))
		body = body[lengthSize:]
		if n > uint64(len(body)) {
			return nil, false
		}
		records = append(records, bytes.Clone(body[:n]))
		body = body[n:]
	}
	return records, true
}

// scanned is the content of a log file.
type scanned struct {
	records [][]byte
	// seq is the sequence number of the next frame.
	seq uint64
	// good is where the next frame starts.
	good int64
}

// scan reads all frames after the file header. An unfinished last append ends
// the scan; anything else that is invalid is an ErrDamaged.
func scan(name string, data []byte) (scanned, error) {
	s := scanned{good: int64(fileHeader)}
	for s.good < int64(len(data)) {
		rest := data[s.good:]
		records, n, ok := decodeFrame(rest, s.seq)
		if !ok {
			return s, checkTail(name, data, s)
		}
		s.records = append(s.records, records...)
		s.good += int64(n)
		s.seq++
	}
	return s, nil
}

// checkTail returns an error unless the invalid frame at s.good can be an
// unfinished append: the file ends before the frame does, or a sector of the
// frame was never written and reads as zeros. A frame of full length with
// other bytes was complete and synced, since file systems do not expose old
// contents in a file that grows. A damaged last frame that by itself holds a
// sector of zeros is taken for unfinished.
func checkTail(name string, data []byte, s scanned) error {
	rest := data[s.good:]
	if laterFrame(rest[1:], s.seq) {
		return ErrDamaged{File: name, Offset: s.good, Reason: "a frame does not match its checksum, and a later one does"}
	}
	end := len(rest)
	if h, ok := decodeHeader(rest); ok && h.seq == s.seq {
		if h.size > uint64(len(rest)-frameHeader) {
			return nil
		}
		end = frameHeader + int(h.size)
	}
	if len(rest) < frameHeader || hasZeroSector(data, s.good, s.good+int64(end)) {
		return nil
	}
	return ErrDamaged{File: name, Offset: s.good, Reason: "the last frame is complete but does not match its checksum"}
}

// laterFrame reports whether a frame header with a number above seq stands anywhere in data.
func laterFrame(data []byte, seq uint64) bool {
	magic := binary.BigEndian.AppendUint32(nil, frameMagic)
	for {
		i := bytes.Index(data, magic)
		if i < 0 {
			return false
		}
		if h, ok := decodeHeader(data[i:]); ok && h.seq > seq {
			return true
		}
		data = data[i+1:]
	}
}

// hasZeroSector reports whether the part of some sector that lies between from and to reads as zeros.
func hasZeroSector(data []byte, from, to int64) bool {
	for from < to {
		end := min((from/sectorSize+1)*sectorSize, to)
		if len(bytes.Trim(data[from:end], "\x00")) == 0 {
			return true
		}
		from = end
	}
	return false
}
