package proto

// SnapshotID is the SHA-256 digest of an encoded snapshot. Hosts that hold the
// same state encode it to the same bytes, so they share the id.
type SnapshotID [32]byte

// SnapshotOffer names a snapshot that is too long for one message. The
// receiver requests its parts with PartAsk.
type SnapshotOffer struct {
	ID SnapshotID
	// Size is the length of the snapshot in bytes.
	Size uint64
}

// Messages that transfer a large snapshot in parts.
type (
	// PartAsk asks a host for the part of a snapshot that begins at an offset in bytes.
	PartAsk struct {
		Snapshot SnapshotID
		Offset   uint64
	}
	// Part answers PartAsk.
	Part struct {
		Snapshot SnapshotID
		Offset   uint64
		Data     []byte
		// NotHeld is set when the answerer does not hold the snapshot; Data is then empty.
		NotHeld bool
	}
)

func (PartAsk) isMessage() {}
func (Part) isMessage()    {}
