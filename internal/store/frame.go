package store

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
	"slices"
)

// A file starts with a header and continues with frames. A frame holds the
// records that one sync covers. The next frame is written only after that sync,
// so a valid frame proves that all frames before it were once complete on disk.
const (
	formatVersion = 1
	// MaxRecordBytes bounds a record or a snapshot in bytes. The largest state that the design foresees is far smaller.
	MaxRecordBytes = 256 << 20
	// maxFrameBytes bounds how much one sync covers, so that a caller does not wait for an unbounded write.
	maxFrameBytes = 4 << 20
	// sectorSize is the number of bytes that a disk writes as a unit.
	sectorSize       = 512
	logMagic         = "TGLOG\x00\x00\x00"
	fileHeaderSize   = len(logMagic) + 4 + 8 + 4
	frameMagic       = uint32(0x54474652)
	frameHeaderSize  = 4 + 4 + 8 + 4 + 4
	recordLengthSize = 4
)

// checksum returns the CRC-32C of the concatenated parts.
func checksum(parts ...[]byte) uint32 {
	sum := uint32(0)
	for _, p := range parts {
		sum = crc32.Update(sum, crc32.MakeTable(crc32.Castagnoli), p)
	}
	return sum
}

// encodeFileHeader returns a file header: the magic, the format version, a
// number whose meaning depends on the kind of file, and a checksum.
func encodeFileHeader(magic string, number uint64) []byte {
	b := []byte(magic)
	b = binary.BigEndian.AppendUint32(b, formatVersion)
	b = binary.BigEndian.AppendUint64(b, number)
	return binary.BigEndian.AppendUint32(b, checksum(b))
}

// decodeFileHeader checks the header at the start of data and returns its
// number. The name of the file is for errors.
func decodeFileHeader(name, magic string, data []byte) (uint64, error) {
	if len(data) < fileHeaderSize || string(data[:len(magic)]) != magic {
		return 0, ErrDamaged{File: name, Reason: "the file header is missing"}
	}
	body := data[:fileHeaderSize-4]
	if binary.BigEndian.Uint32(data[fileHeaderSize-4:]) != checksum(body) {
		return 0, ErrDamaged{File: name, Reason: "the file header does not match its checksum"}
	}
	rest := body[len(magic):]
	if v := binary.BigEndian.Uint32(rest); v != formatVersion {
		return 0, ErrFormat{File: name, Got: v, Want: formatVersion}
	}
	return binary.BigEndian.Uint64(rest[4:]), nil
}

// encodeLogHeader returns the header of the log or the snapshot of a
// generation. A snapshot and the log that continues it have the same generation.
func encodeLogHeader(generation uint64) []byte { return encodeFileHeader(logMagic, generation) }

func decodeLogHeader(name string, data []byte) (uint64, error) {
	return decodeFileHeader(name, logMagic, data)
}

// appendFrame appends a frame with the sequence number and the records to dst.
func appendFrame(dst []byte, seq uint64, records [][]byte) []byte {
	size := 0
	for _, r := range records {
		size += recordLengthSize + len(r)
	}
	start := len(dst)
	dst = slices.Grow(dst, frameHeaderSize+size)
	dst = append(dst, make([]byte, frameHeaderSize)...)
	for _, r := range records {
		dst = binary.BigEndian.AppendUint32(dst, uint32(len(r)))
		dst = append(dst, r...)
	}
	head, body := dst[start:start+frameHeaderSize], dst[start+frameHeaderSize:]
	binary.BigEndian.PutUint32(head, frameMagic)
	binary.BigEndian.PutUint32(head[4:], uint32(size))
	binary.BigEndian.PutUint64(head[8:], seq)
	binary.BigEndian.PutUint32(head[16:], checksum(body))
	binary.BigEndian.PutUint32(head[20:], checksum(head[:20]))
	return dst
}

// frameHeader holds the decoded header of a frame.
type frameHeader struct {
	// size is the length of the frame in bytes without its header.
	size uint64
	// seq numbers the frames of a file from 0.
	seq uint64
	// sum is the checksum of the frame without its header.
	sum uint32
}

// decodeFrameHeader decodes the frame header at the start of data. It returns
// false if there is no valid one.
func decodeFrameHeader(data []byte) (frameHeader, bool) {
	if len(data) < frameHeaderSize || binary.BigEndian.Uint32(data) != frameMagic {
		return frameHeader{}, false
	}
	h := frameHeader{
		size: uint64(binary.BigEndian.Uint32(data[4:])),
		seq:  binary.BigEndian.Uint64(data[8:]),
		sum:  binary.BigEndian.Uint32(data[16:]),
	}
	return h, binary.BigEndian.Uint32(data[20:]) == checksum(data[:20])
}

// decodeFrame returns the records and the length in bytes of the frame at the
// start of data. It returns false if there is no valid frame with the sequence
// number.
func decodeFrame(data []byte, seq uint64) ([][]byte, int, bool) {
	h, ok := decodeFrameHeader(data)
	if !ok || h.seq != seq || h.size > uint64(len(data)-frameHeaderSize) {
		return nil, 0, false
	}
	end := frameHeaderSize + int(h.size)
	body := data[frameHeaderSize:end]
	if checksum(body) != h.sum {
		return nil, 0, false
	}
	records, ok := splitRecords(body)
	return records, end, ok
}

// splitRecords returns copies of the records in the body of a frame, or false
// if a length in the body does not fit.
func splitRecords(body []byte) ([][]byte, bool) {
	var records [][]byte
	for len(body) > 0 {
		if len(body) < recordLengthSize {
			return nil, false
		}
		n := uint64(binary.BigEndian.Uint32(body))
		body = body[recordLengthSize:]
		if n > uint64(len(body)) {
			return nil, false
		}
		records = append(records, bytes.Clone(body[:n]))
		body = body[n:]
	}
	return records, true
}

// scanResult holds what scanLog read from a log file.
type scanResult struct {
	records [][]byte
	// nextSeq is the sequence number of the next frame.
	nextSeq uint64
	// validEnd is the offset after the last valid frame, where the next frame starts.
	validEnd int64
}

// scanLog reads all frames after the file header. An unfinished last append ends
// the scan without an error; any other invalid frame is an ErrDamaged.
func scanLog(name string, data []byte) (scanResult, error) {
	s := scanResult{validEnd: int64(fileHeaderSize)}
	for s.validEnd < int64(len(data)) {
		rest := data[s.validEnd:]
		records, n, ok := decodeFrame(rest, s.nextSeq)
		if !ok {
			return s, checkTail(name, data, s)
		}
		s.records = append(s.records, records...)
		s.validEnd += int64(n)
		s.nextSeq++
	}
	return s, nil
}

// checkTail returns an ErrDamaged unless the invalid frame at s.validEnd can be an
// unfinished append: the file ends before the frame does, or a sector of the
// frame was never written and reads as zeros. A frame of full length with
// other bytes was complete and synced, since file systems do not expose old
// contents in a file that grows. A damaged last frame whose own records contain
// a whole sector of zeros cannot be told from an unfinished append and counts as
// one.
func checkTail(name string, data []byte, s scanResult) error {
	rest := data[s.validEnd:]
	if hasLaterFrame(rest[1:], s.nextSeq) {
		return ErrDamaged{File: name, Offset: s.validEnd, Reason: "a frame does not match its checksum, and a later one does"}
	}
	end := len(rest)
	if h, ok := decodeFrameHeader(rest); ok && h.seq == s.nextSeq {
		if h.size > uint64(len(rest)-frameHeaderSize) {
			return nil
		}
		end = frameHeaderSize + int(h.size)
	}
	if len(rest) < frameHeaderSize || hasZeroSector(data, s.validEnd, s.validEnd+int64(end)) {
		return nil
	}
	return ErrDamaged{File: name, Offset: s.validEnd, Reason: "the last frame is complete but does not match its checksum"}
}

// hasLaterFrame reports whether data contains, at any offset, a valid frame
// header with a sequence number above seq.
func hasLaterFrame(data []byte, seq uint64) bool {
	magic := binary.BigEndian.AppendUint32(nil, frameMagic)
	for {
		i := bytes.Index(data, magic)
		if i < 0 {
			return false
		}
		if h, ok := decodeFrameHeader(data[i:]); ok && h.seq > seq {
			return true
		}
		data = data[i+1:]
	}
}

// hasZeroSector reports whether data has only zeros in any of the sectors between
// the offsets from and to. Of a sector that lies partly outside these offsets, only
// the bytes between them are compared.
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
