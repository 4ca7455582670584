package codec

import (
	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

type entryDTO struct {
	Index    uint64       `cbor:"1,keyasint"`
	Term     model.Term   `cbor:"2,keyasint"`
	Proposal *proposalDTO `cbor:"3,keyasint,omitempty"`
	InForce  bool         `cbor:"4,keyasint,omitempty"`
}

// EncodeLogEntry encodes a log entry.
func EncodeLogEntry(e proto.LogEntry) ([]byte, error) {
	dto, err := entryToDTO(e)
	if err != nil {
		return nil, err
	}
	return encode("log entry", dto)
}

// DecodeLogEntry decodes a log entry.
func DecodeLogEntry(data []byte) (proto.LogEntry, error) {
	var dto entryDTO
	if err := decode("log entry", data, &dto); err != nil {
		return proto.LogEntry{}, err
	}
	return entryFromDTO(dto)
}

func entryToDTO(e proto.LogEntry) (entryDTO, error) {
	dto := entryDTO{Index: e.Index, Term: e.Term, InForce: e.SeatsInForce}
	if e.Proposal == nil {
		return dto, nil
	}
	p, err := proposalToDTO(*e.Proposal)
	dto.Proposal = &p
	return dto, err
}

func entryFromDTO(dto entryDTO) (proto.LogEntry, error) {
	e := proto.LogEntry{Index: dto.Index, Term: dto.Term, SeatsInForce: dto.InForce}
	if dto.Proposal == nil {
		return e, nil
	}
	p, err := proposalFromDTO(*dto.Proposal)
	e.Proposal = &p
	return e, err
}
