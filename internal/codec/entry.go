package codec

import (
	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

type logEntryDTO struct {
	Index        uint64       `cbor:"1,keyasint"`
	Term         model.Term   `cbor:"2,keyasint"`
	Proposal     *proposalDTO `cbor:"3,keyasint,omitempty"`
	SeatsInForce bool         `cbor:"4,keyasint,omitempty"`
}

// EncodeLogEntry encodes a log entry.
func EncodeLogEntry(e proto.LogEntry) ([]byte, error) {
	dto, err := logEntryToDTO(e)
	if err != nil {
		return nil, err
	}
	return encode("log entry", dto)
}

// DecodeLogEntry decodes a log entry.
func DecodeLogEntry(data []byte) (proto.LogEntry, error) {
	var dto logEntryDTO
	if err := decode("log entry", data, &dto); err != nil {
		return proto.LogEntry{}, err
	}
	return logEntryFromDTO(dto)
}

func logEntryToDTO(e proto.LogEntry) (logEntryDTO, error) {
	dto := logEntryDTO{Index: e.Index, Term: e.Term, SeatsInForce: e.SeatsInForce}
	if e.Proposal == nil {
		return dto, nil
	}
	p, err := proposalToDTO(*e.Proposal)
	dto.Proposal = &p
	return dto, err
}

func logEntryFromDTO(dto logEntryDTO) (proto.LogEntry, error) {
	e := proto.LogEntry{Index: dto.Index, Term: dto.Term, SeatsInForce: dto.SeatsInForce}
	if dto.Proposal == nil {
		return e, nil
	}
	p, err := proposalFromDTO(*dto.Proposal)
	e.Proposal = &p
	return e, err
}
