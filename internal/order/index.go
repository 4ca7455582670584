package order

import (
	"crypto/sha256"
	"maps"
	"slices"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// Digest names an order key of a workspace. Two keys share one only by a
// collision of 128 bits of SHA-256; the journal then votes for neither.
type Digest [16]byte

// DigestOf returns the digest of an order key. Workspace names contain no NUL.
func DigestOf(ws model.WorkspaceID, key string) Digest {
	sum := sha256.Sum256([]byte(string(ws) + "\x00" + key))
	return Digest(sum[:])
}

// Position is the place of a record on the disk.
type Position struct {
	Segment uint32
	Size    uint32
	Offset  uint64
}

// RecordState is the part of a record that the journal keeps in memory.
type RecordState uint8

// States of a record, from the least to the most advanced.
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

// Limits of a position in the index. A message of 8 MiB carries a record, and an
// hour at the peak of section 11 of the design is about 16 GB.
const (
	maxSize   = 1 << 24
	maxOffset = 1 << 40
)

// Fits reports whether the index can hold a position.
func (p Position) Fits() bool { return p.Size < maxSize && p.Offset < maxOffset }

// stateBits is how many bits of the time of creation hold the state.
const stateBits = 2

// slot is the newest synced copy of a record. Its size counts for each record
// in memory, so it is packed into words of 32 bits, which need no padding.
type slot struct {
	segment uint32
	// size holds the size, and above it the high bits of the offset.
	size   uint32
	offset uint32
	// made is the time of creation in Unix milliseconds, and below it the state.
	made [2]uint32
}

func newSlot(at Position, unixMilli int64, state RecordState) slot {
	made := uint64(max(unixMilli, 0))<<stateBits | uint64(state)
	return slot{
		segment: at.Segment,
		size:    at.Size | uint32(at.Offset>>32)*maxSize,
		offset:  uint32(at.Offset),
		made:    [2]uint32{uint32(made >> 32), uint32(made)},
	}
}

func (s slot) at() Position {
	return Position{Segment: s.segment, Size: s.size % maxSize, Offset: uint64(s.size/maxSize)<<32 | uint64(s.offset)}
}

func (s slot) state() RecordState { return RecordState(s.made[1] & (1<<stateBits - 1)) }

func (s slot) unixMilli() int64 {
	return int64((uint64(s.made[0])<<32 | uint64(s.made[1])) >> stateBits)
}

// Index holds a slot for each record on the disk.
type Index struct {
	slots map[Digest]slot
	// segments holds the time of the newest record of each segment, by ascending number.
	segments []segmentAge
}

type segmentAge struct {
	number uint32
	newest int64
}

// NewIndex returns an empty index.
func NewIndex() *Index { return &Index{slots: map[Digest]slot{}} }

// Len returns the number of records.
func (x *Index) Len() int { return len(x.slots) }

// Add enters a record. Records are added in the order in which they were
// written, so that the newest copy takes precedence.
func (x *Index) Add(key Digest, at Position, unixMilli int64, state RecordState) {
	x.slots[key] = newSlot(at, unixMilli, state)
	i := len(x.segments) - 1
	if i < 0 || x.segments[i].number != at.Segment {
		x.segments = append(x.segments, segmentAge{number: at.Segment, newest: unixMilli})
		return
	}
	x.segments[i].newest = max(x.segments[i].newest, unixMilli)
}

// expired returns the oldest segment if all its records are older than a time
// and it is not the newest one. Only the oldest one is ever deleted: it may hold
// copies that a later segment supersedes.
func (x *Index) expired(oldest int64) (uint32, bool) {
	if len(x.segments) < 2 || x.segments[0].newest >= oldest {
		return 0, false
	}
	return x.segments[0].number, true
}

// drop forgets the oldest segment and its records.
func (x *Index) drop() {
	number := x.segments[0].number
	x.segments = slices.Delete(x.segments, 0, 1)
	maps.DeleteFunc(x.slots, func(_ Digest, s slot) bool { return s.segment == number })
}
