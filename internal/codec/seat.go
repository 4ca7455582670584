package codec

import (
	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// SeatRecord is one record in the file that the host of a seat keeps on its disk.
type SeatRecord struct {
	// Config is an encoded configuration whose list of seats had settled, or nil.
	// A list has settled once no host with another list may still serve.
	Config []byte
	// Grants are the newest leases that the seat granted, for some of the shards.
	Grants []proto.Owner
}

type grantDTO struct {
	Shard model.ShardID `cbor:"1,keyasint"`
	Host  model.HostID  `cbor:"2,keyasint"`
	Epoch model.Epoch   `cbor:"3,keyasint"`
}

type seatRecordDTO struct {
	Config []byte     `cbor:"1,keyasint,omitempty"`
	Grants []grantDTO `cbor:"2,keyasint,omitempty"`
}

// EncodeSeatRecord encodes a record of a seat's file.
func EncodeSeatRecord(r SeatRecord) ([]byte, error) {
	dto := seatRecordDTO{Config: r.Config}
	for _, o := range r.Grants {
		dto.Grants = append(dto.Grants, grantDTO(o))
	}
	return encode("seat record", dto)
}

// DecodeSeatRecord decodes a record of a seat's file. It refuses unknown shards.
func DecodeSeatRecord(data []byte) (SeatRecord, error) {
	var dto seatRecordDTO
	if err := decode("seat record", data, &dto); err != nil {
		return SeatRecord{}, err
	}
	r := SeatRecord{Config: dto.Config}
	for _, g := range dto.Grants {
		if g.Shard >= model.Shards {
			return SeatRecord{}, malformed("seat record", "unknown shard %d", g.Shard)
		}
		r.Grants = append(r.Grants, proto.Owner(g))
	}
	return r, nil
}
