package wire

import (
	"tarragongauge.example/tarragongauge/internal/proto"
)

type snapshotOffer struct {
	ID   []byte `cbor:"1,keyasint"`
	Size uint64 `cbor:"2,keyasint"`
}

type partAsk struct {
	Snapshot []byte `cbor:"1,keyasint"`
	Offset   uint64 `cbor:"2,keyasint"`
}

type part struct {
	Snapshot []byte `cbor:"1,keyasint"`
	Offset   uint64 `cbor:"2,keyasint"`
	Data     []byte `cbor:"3,keyasint"`
	NotHeld  bool   `cbor:"4,keyasint,omitempty"`
}

func partBindings() []binding {
	return []binding{
		bind(27, toPartAsk, fromPartAsk),
		bind(28, toPart, fromPart),
	}
}

func toPartAsk(m proto.PartAsk) (partAsk, error) {
	return partAsk{Snapshot: m.Snapshot[:], Offset: m.Offset}, nil
}

func fromPartAsk(d partAsk) (proto.PartAsk, error) {
	id, err := decodeDigest[proto.SnapshotID](d.Snapshot)
	return proto.PartAsk{Snapshot: id, Offset: d.Offset}, err
}

func toPart(m proto.Part) (part, error) {
	return part{Snapshot: m.Snapshot[:], Offset: m.Offset, Data: m.Data, NotHeld: m.NotHeld}, nil
}

func fromPart(d part) (proto.Part, error) {
	id, err := decodeDigest[proto.SnapshotID](d.Snapshot)
	return proto.Part{Snapshot: id, Offset: d.Offset, Data: d.Data, NotHeld: d.NotHeld}, err
}

// toOffer returns nil for the nil offer of a message that carries the snapshot
// itself or none.
func toOffer(o *proto.SnapshotOffer) *snapshotOffer {
	if o == nil {
		return nil
	}
	return &snapshotOffer{ID: o.ID[:], Size: o.Size}
}

// fromOffer is the reverse of toOffer.
func fromOffer(d *snapshotOffer) (*proto.SnapshotOffer, error) {
	if d == nil {
		return nil, nil
	}
	id, err := decodeDigest[proto.SnapshotID](d.ID)
	return &proto.SnapshotOffer{ID: id, Size: d.Size}, err
}
