package part

import (
	"crypto/sha256"
	"slices"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// Sender holds the snapshots that a host offers, without copying them. The
// zero value is ready to use and sends parts of Size bytes.
type Sender struct {
	// size is the length of a part in bytes, or 0 for Size.
	size int
	held []heldSnapshot
}

// NewSender returns a sender of parts of the given size in bytes, which is at
// most Size. Tests use a small one to transfer short snapshots in parts.
func NewSender(size int) Sender { return Sender{size: size} }

// partSize returns the length of a part in bytes.
func (s *Sender) partSize() int {
	if s.size > 0 {
		return min(s.size, Size)
	}
	return Size
}

// heldSnapshot is the encoded bytes of a snapshot and the offer that names it.
type heldSnapshot struct {
	offer proto.SnapshotOffer
	data  []byte
	// lastUsedAt is the time when the snapshot was last requested, or last
	// offered if it was never requested. The flag requested is set by the first
	// request.
	lastUsedAt model.Instant
	requested  bool
}

// Offer returns what a message carries for a snapshot: the snapshot itself if
// it fits into one part, otherwise an offer that the receiver answers with
// requests. The data must not be changed afterwards. A new snapshot replaces
// those that were offered before but never requested.
func (s *Sender) Offer(now model.Instant, data []byte) ([]byte, *proto.SnapshotOffer) {
	if len(data) <= s.partSize() {
		return data, nil
	}
	s.Expire(now)
	i := slices.IndexFunc(s.held, func(k heldSnapshot) bool { return sameMemory(k.data, data) })
	if i < 0 {
		s.held = slices.DeleteFunc(s.held, func(k heldSnapshot) bool { return !k.requested })
		offer := proto.SnapshotOffer{ID: sha256.Sum256(data), Size: uint64(len(data))}
		s.held = append(s.held, heldSnapshot{offer: offer, data: data})
		i = len(s.held) - 1
	}
	if !s.held[i].requested {
		s.held[i].lastUsedAt = now
	}
	offer := s.held[i].offer
	return nil, &offer
}

// sameMemory reports whether two slices share one memory range, which is
// cheaper than a comparison of their bytes.
func sameMemory(a, b []byte) bool {
	return len(a) == len(b) && len(a) > 0 && &a[0] == &b[0]
}

// Answer returns the requested part, or a reply with NotHeld set if the
// snapshot is not held or ends before the requested offset.
func (s *Sender) Answer(now model.Instant, m proto.PartAsk) proto.Part {
	s.Expire(now)
	reply := proto.Part{Snapshot: m.Snapshot, Offset: m.Offset}
	i := slices.IndexFunc(s.held, func(k heldSnapshot) bool { return k.offer.ID == m.Snapshot })
	if i < 0 || m.Offset >= s.held[i].offer.Size {
		reply.NotHeld = true
		return reply
	}
	k := &s.held[i]
	k.lastUsedAt, k.requested = now, true
	reply.Data = k.data[m.Offset:min(m.Offset+uint64(s.partSize()), k.offer.Size)]
	return reply
}

// Holds reports whether the sender holds the snapshot with this id.
func (s *Sender) Holds(now model.Instant, id proto.SnapshotID) bool {
	s.Expire(now)
	return slices.ContainsFunc(s.held, func(k heldSnapshot) bool { return k.offer.ID == id })
}

// IsSending reports whether parts of a snapshot were requested within
// RetainFor. Until then a host offers this snapshot to further receivers too,
// as long as it holds the changes made after the snapshot. This limits the
// number of snapshots in memory when changes follow each other quickly.
func (s *Sender) IsSending(now model.Instant, data []byte) bool {
	s.Expire(now)
	return slices.ContainsFunc(s.held, func(k heldSnapshot) bool { return k.requested && sameMemory(k.data, data) })
}

// Expire drops the snapshots whose last use is RetainFor ago, and reports
// whether none is left. A request is a use, and so is an offer before the first
// request.
func (s *Sender) Expire(now model.Instant) bool {
	s.held = slices.DeleteFunc(s.held, func(k heldSnapshot) bool { return now.Sub(k.lastUsedAt) >= RetainFor })
	return len(s.held) == 0
}
