package part

import (
	"crypto/sha256"
	"slices"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// Sender holds the snapshots that a host has on offer. The zero value sends
// parts of Size. It refers to the snapshots without copying them.
type Sender struct {
	// size is the length of a part, or 0 for Size.
	size int
	kept []kept
}

// NewSender returns a sender of parts that are shorter than Size.
func NewSender(size int) Sender { return Sender{size: size} }

func (s *Sender) partSize() int {
	if s.size > 0 {
		return min(s.size, Size)
	}
	return Size
}

// kept is a snapshot on offer.
type kept struct {
	offer proto.SnapshotOffer
	data  []byte
	// used is when it was last offered or requested; begun is set by the first request.
	used  model.Instant
	begun bool
}

// Offer returns what a message carries for a snapshot: the snapshot itself if
// it fits into one part, otherwise an offer. The data must not be changed
// afterwards. A snapshot that was offered before but never requested is
// dropped in favour of the new one.
func (s *Sender) Offer(now model.Instant, data []byte) ([]byte, *proto.SnapshotOffer) {
	if len(data) <= s.partSize() {
		return data, nil
	}
	s.Expire(now)
	i := slices.IndexFunc(s.kept, func(k kept) bool { return same(k.data, data) })
	if i < 0 {
		s.kept = slices.DeleteFunc(s.kept, func(k kept) bool { return !k.begun })
		offer := proto.SnapshotOffer{ID: sha256.Sum256(data), Size: uint64(len(data))}
		s.kept = append(s.kept, kept{offer: offer, data: data})
		i = len(s.kept) - 1
	}
	if !s.kept[i].begun {
		s.kept[i].used = now
	}
	offer := s.kept[i].offer
	return nil, &offer
}

// same reports whether two slices are the same memory, which is cheaper than comparing them.
func same(a, b []byte) bool {
	return len(a) == len(b) && len(a) > 0 && &a[0] == &b[0]
}

// Answer returns the requested part.
func (s *Sender) Answer(now model.Instant, m proto.PartAsk) proto.Part {
	s.Expire(now)
	reply := proto.Part{Snapshot: m.Snapshot, Offset: m.Offset}
	i := slices.IndexFunc(s.kept, func(k kept) bool { return k.offer.ID == m.Snapshot })
	if i < 0 || m.Offset >= s.kept[i].offer.Size {
		reply.NotHeld = true
		return reply
	}
	k := &s.kept[i]
	k.used, k.begun = now, true
	reply.Data = k.data[m.Offset:min(m.Offset+uint64(s.partSize()), k.offer.Size)]
	return reply
}

// Holds reports whether a snapshot of this id is on offer.
func (s *Sender) Holds(now model.Instant, id proto.SnapshotID) bool {
	s.Expire(now)
	return slices.ContainsFunc(s.kept, func(k kept) bool { return k.offer.ID == id })
}

// IsSending reports whether parts of a snapshot were requested within RetainFor.
// While they are, a host offers this snapshot to further receivers too, as
// long as it holds the changes after it. This bounds the snapshots in memory
// when changes follow each other quickly.
func (s *Sender) IsSending(now model.Instant, data []byte) bool {
	s.Expire(now)
	return slices.ContainsFunc(s.kept, func(k kept) bool { return k.begun && same(k.data, data) })
}

// Expire drops the snapshots that were not requested for RetainFor, and reports whether none is left.
func (s *Sender) Expire(now model.Instant) bool {
	s.kept = slices.DeleteFunc(s.kept, func(k kept) bool { return now.Sub(k.used) >= RetainFor })
	return len(s.kept) == 0
}
