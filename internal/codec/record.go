package codec

import (
	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

type journalRecordDTO struct {
	Workspace model.WorkspaceID `cbor:"1,keyasint"`
	OrderKey  string            `cbor:"2,keyasint"`
	BodyHash  []byte            `cbor:"3,keyasint"`
	Holder    model.RequestID   `cbor:"4,keyasint"`
	Freed     bool              `cbor:"5,keyasint,omitempty"`
	Answer    *storedAnswerDTO  `cbor:"6,keyasint,omitempty"`
	UnixMilli int64             `cbor:"7,keyasint"`
}

type storedAnswerDTO struct {
	Status int                 `cbor:"1,keyasint"`
	Header map[string][]string `cbor:"2,keyasint"`
	Body   []byte              `cbor:"3,keyasint"`
}

// EncodeJournalRecord encodes an order reservation for the journal or a message.
func EncodeJournalRecord(r proto.JournalRecord) ([]byte, error) {
	dto := journalRecordDTO{
		Workspace: r.Workspace,
		OrderKey:  r.OrderKey,
		BodyHash:  r.BodyHash[:],
		Holder:    r.Holder,
		Freed:     r.Freed,
		UnixMilli: r.UnixMilli,
	}
	if r.Answer != nil {
		answer := storedAnswerDTO(*r.Answer)
		dto.Answer = &answer
	}
	return encode("order reservation", dto)
}

// DecodeJournalRecord decodes an order reservation.
func DecodeJournalRecord(data []byte) (proto.JournalRecord, error) {
	var dto journalRecordDTO
	if err := decode("order reservation", data, &dto); err != nil {
		return proto.JournalRecord{}, err
	}
	body, err := decodeDigest[model.BodyHash]("order reservation", dto.BodyHash)
	if err != nil {
		return proto.JournalRecord{}, err
	}
	r := proto.JournalRecord{
		Workspace: dto.Workspace,
		OrderKey:  dto.OrderKey,
		BodyHash:  body,
		Holder:    dto.Holder,
		Freed:     dto.Freed,
		UnixMilli: dto.UnixMilli,
	}
	if dto.Answer != nil {
		answer := proto.StoredAnswer(*dto.Answer)
		r.Answer = &answer
	}
	return r, nil
}
