package codec

import (
	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

type recordDTO struct {
	Workspace model.WorkspaceID `cbor:"1,keyasint"`
	OrderKey  string            `cbor:"2,keyasint"`
	BodyHash  []byte            `cbor:"3,keyasint"`
	Holder    model.RequestID   `cbor:"4,keyasint"`
	Freed     bool              `cbor:"5,keyasint,omitempty"`
	Answer    *answerDTO        `cbor:"6,keyasint,omitempty"`
	UnixMilli int64             `cbor:"7,keyasint"`
}

type answerDTO struct {
	Status int                 `cbor:"1,keyasint"`
	Header map[string][]string `cbor:"2,keyasint"`
	Body   []byte              `cbor:"3,keyasint"`
}

// EncodeJournalRecord encodes an order reservation.
func EncodeJournalRecord(r proto.JournalRecord) ([]byte, error) {
	dto := recordDTO{
		Workspace: r.Workspace,
		OrderKey:  r.OrderKey,
		BodyHash:  r.BodyHash[:],
		Holder:    r.Holder,
		Freed:     r.Freed,
		UnixMilli: r.UnixMilli,
	}
	if r.Answer != nil {
		answer := answerDTO(*r.Answer)
		dto.Answer = &answer
	}
	return encode("order reservation", dto)
}

// DecodeJournalRecord decodes an order reservation.
func DecodeJournalRecord(data []byte) (proto.JournalRecord, error) {
	var dto recordDTO
	if err := decode("order reservation", data, &dto); err != nil {
		return proto.JournalRecord{}, err
	}
	body, err := decodeHash[model.BodyHash]("order reservation", dto.BodyHash)
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
