package order

import (
	"crypto/sha256"
	"maps"
	"slices"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// Digest identifies an order key of a workspace by 128 bits of SHA-256. If the
// digests of two keys collide, the journal does not vote on the second one.
type Digest [16]byte

// DigestOf returns the digest of an order key. Workspace names contain no NUL.
func DigestOf(ws model.WorkspaceID, key string) Digest {
	sum := sha256.Sum256([]byte(string(ws) + "\x00" + key))
	return Digest(sum[:])
}

// Position is the segment, size in bytes and byte offset of a record on the disk.
type Position struct {
	Segment uint32
	Size    uint32
	Offset  uint64
}

// RecordState is the state of a reservation: held, freed or answered. The index
// keeps the state in memory, so that some messages need no read of the disk.
type RecordState uint8

// Values of RecordState, from the least to the most advanced.
const (
	RecordHeld RecordState = iota
	RecordFreed
	RecordAnswered
)

// StateOf returns the state of a record.
func StateOf(rec proto.JournalRecord) RecordState {
	switch {
	case rec.Answer != nil:
		return RecordAnswered
	case rec.Freed:
		return RecordFreed
	default:
		return RecordHeld
	}
}

// maxSize and maxOffset, in bytes, bound the positions that the index can hold.
// Records come in messages of at most 8 MiB. A segment holds one hour of records,
// which is about 16 GB at the peak load that the design allows for.
const (
	maxSize   = 1 << 24
	maxOffset = 1 << 40
)

// Fits reports whether the index can hold a position.
func (p Position) Fits() bool { return p.Size < maxSize && p.Offset < maxOffset }

// stateBits is the number of low bits of createdAndState that hold the state.
const stateBits = 2

// indexEntry is the position, creation time and state of the newest synced copy
// of a record. There is one for each record in memory, so the fields are packed
// into words of 32 bits, which need no padding.
type indexEntry struct {
	segment uint32
	// sizeAndOffset holds the size in the low 24 bits and the high bits of the
	// offset above them; offsetLow holds the low 32 bits of the offset.
	sizeAndOffset uint32
	offsetLow     uint32
	// createdAndState holds the state in the low stateBits bits and the creation
	// time in Unix milliseconds above them. The first word is the high one.
	createdAndState [2]uint32
}

func newIndexEntry(at Position, unixMilli int64, state RecordState) indexEntry {
	createdAndState := uint64(max(unixMilli, 0))<<stateBits | uint64(state)
	return indexEntry{
		segment:         at.Segment,
		sizeAndOffset:   at.Size | uint32(at.Offset>>32)*maxSize,
		offsetLow:       uint32(at.Offset),
		createdAndState: [2]uint32{uint32(createdAndState >> 32), uint32(createdAndState)},
	}
}

func (e indexEntry) position() Position {
	return Position{Segment: e.segment, Size: e.sizeAndOffset % maxSize, Offset: uint64(e.sizeAndOffset/maxSize)<<32 | uint64(e.offsetLow)}
}

func (e indexEntry) state() RecordState {
	return RecordState(e.createdAndState[1] & (1<<stateBits - 1))
}

func (e indexEntry) unixMilli() int64 {
	return int64((uint64(e.createdAndState[0])<<32 | uint64(e.createdAndState[1])) >> stateBits)
}

// Index holds an entry for each record on the disk, by the digest of its key.
type Index struct {
	entries map[Digest]indexEntry
	// segments holds the segments by ascending number.
	segments []segmentAge
}

// segmentAge is the number of a segment and the latest creation time, in Unix
// milliseconds, of its records.
type segmentAge struct {
	number          uint32
	newestUnixMilli int64
}

// NewIndex returns an empty index.
func NewIndex() *Index { return &Index{entries: map[Digest]indexEntry{}} }

// Len returns the number of records.
func (x *Index) Len() int { return len(x.entries) }

// Add sets the entry of a record. Records must be added in the order in which
// they were written, so that the newest copy takes precedence.
func (x *Index) Add(key Digest, at Position, unixMilli int64, state RecordState) {
	x.entries[key] = newIndexEntry(at, unixMilli, state)
	i := len(x.segments) - 1
	if i < 0 || x.segments[i].number != at.Segment {
		x.segments = append(x.segments, segmentAge{number: at.Segment, newestUnixMilli: unixMilli})
		return
	}
	x.segments[i].newestUnixMilli = max(x.segments[i].newestUnixMilli, unixMilli)
}

// expiredSegment returns the number of the oldest segment if all its records were
// created before cutoff and a newer segment exists. Segments are deleted only from
// the oldest on: deleting a later one first could bring back older copies of its
// records.
func (x *Index) expiredSegment(cutoff int64) (uint32, bool) {
	if len(x.segments) < 2 || x.segments[0].newestUnixMilli >= cutoff {
		return 0, false
	}
	return x.segments[0].number, true
}

// dropOldestSegment removes the oldest segment and its records from the index.
func (x *Index) dropOldestSegment() {
	number := x.segments[0].number
	x.segments = slices.Delete(x.segments, 0, 1)
	maps.DeleteFunc(x.entries, func(_ Digest, e indexEntry) bool { return e.segment == number })
}
