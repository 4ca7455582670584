package wire

import (
	"tarragongauge.example/tarragongauge/internal/codec"
	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

type reserveAsk struct {
	Nonce          uint64            `cbor:"1,keyasint"`
	Workspace      model.WorkspaceID `cbor:"2,keyasint"`
	OrderKey       string            `cbor:"3,keyasint"`
	BodyHash       []byte            `cbor:"4,keyasint"`
	Holder         model.RequestID   `cbor:"5,keyasint"`
	JournalsDigest uint64            `cbor:"6,keyasint"`
}

type storedAnswer struct {
	Status int                 `cbor:"1,keyasint"`
	Header map[string][]string `cbor:"2,keyasint"`
	Body   []byte              `cbor:"3,keyasint"`
}

type reserveReply struct {
	Nonce    uint64              `cbor:"1,keyasint"`
	Status   proto.ReserveStatus `cbor:"2,keyasint"`
	Holder   model.RequestID     `cbor:"3,keyasint"`
	BodyHash []byte              `cbor:"4,keyasint"`
	Answer   *storedAnswer       `cbor:"5,keyasint,omitempty"`
}

type reserveFree struct {
	Workspace model.WorkspaceID `cbor:"1,keyasint"`
	OrderKey  string            `cbor:"2,keyasint"`
	Holder    model.RequestID   `cbor:"3,keyasint"`
}

type answerSave struct {
	Workspace model.WorkspaceID `cbor:"1,keyasint"`
	OrderKey  string            `cbor:"2,keyasint"`
	Holder    model.RequestID   `cbor:"3,keyasint"`
	Answer    storedAnswer      `cbor:"4,keyasint"`
	BodyHash  []byte            `cbor:"5,keyasint"`
}

type journalCopyAsk struct {
	Nonce          uint64 `cbor:"1,keyasint"`
	After          string `cbor:"2,keyasint"`
	JournalsDigest uint64 `cbor:"3,keyasint"`
}

type journalCopyReply struct {
	Nonce   uint64   `cbor:"1,keyasint"`
	Records [][]byte `cbor:"2,keyasint"`
	Done    bool     `cbor:"3,keyasint"`
	Next    string   `cbor:"4,keyasint"`
}

func orderBindings() []binding {
	return []binding{
		bind(80, toReserveAsk, fromReserveAsk),
		bind(81, toReserveReply, fromReserveReply),
		bindInfallible(82, func(m proto.ReserveFree) reserveFree { return reserveFree(m) }, func(d reserveFree) proto.ReserveFree { return proto.ReserveFree(d) }),
		bind(83, toAnswerSave, fromAnswerSave),
		bindInfallible(84, func(m proto.JournalCopyAsk) journalCopyAsk { return journalCopyAsk(m) }, func(d journalCopyAsk) proto.JournalCopyAsk { return proto.JournalCopyAsk(d) }),
		bind(85, toJournalCopyReply, fromJournalCopyReply),
	}
}

func toReserveAsk(m proto.ReserveAsk) (reserveAsk, error) {
	return reserveAsk{Nonce: m.Nonce, Workspace: m.Workspace, OrderKey: m.OrderKey, BodyHash: m.BodyHash[:], Holder: m.Holder, JournalsDigest: m.JournalsDigest}, nil
}

func fromReserveAsk(d reserveAsk) (proto.ReserveAsk, error) {
	body, err := decodeDigest[model.BodyHash](d.BodyHash)
	return proto.ReserveAsk{Nonce: d.Nonce, Workspace: d.Workspace, OrderKey: d.OrderKey, BodyHash: body, Holder: d.Holder, JournalsDigest: d.JournalsDigest}, err
}

func toReserveReply(m proto.ReserveReply) (reserveReply, error) {
	d := reserveReply{Nonce: m.Nonce, Status: m.Status, Holder: m.Holder, BodyHash: m.BodyHash[:]}
	if m.Answer != nil {
		answer := storedAnswer(*m.Answer)
		d.Answer = &answer
	}
	return d, nil
}

func fromReserveReply(d reserveReply) (proto.ReserveReply, error) {
	body, err := decodeDigest[model.BodyHash](d.BodyHash)
	if err != nil {
		return proto.ReserveReply{}, err
	}
	m := proto.ReserveReply{Nonce: d.Nonce, Status: d.Status, Holder: d.Holder, BodyHash: body}
	if d.Answer != nil {
		answer := proto.StoredAnswer(*d.Answer)
		m.Answer = &answer
	}
	return m, checkEnum("reservation status", d.Status, proto.ReserveUnavailable)
}

func toAnswerSave(m proto.AnswerSave) (answerSave, error) {
	return answerSave{Workspace: m.Workspace, OrderKey: m.OrderKey, Holder: m.Holder, Answer: storedAnswer(m.Answer), BodyHash: m.BodyHash[:]}, nil
}

func fromAnswerSave(d answerSave) (proto.AnswerSave, error) {
	body, err := decodeDigest[model.BodyHash](d.BodyHash)
	return proto.AnswerSave{Workspace: d.Workspace, OrderKey: d.OrderKey, Holder: d.Holder, BodyHash: body, Answer: proto.StoredAnswer(d.Answer)}, err
}

func toJournalCopyReply(m proto.JournalCopyReply) (journalCopyReply, error) {
	records, err := mapSlice(m.Records, codec.EncodeJournalRecord)
	return journalCopyReply{Nonce: m.Nonce, Records: records, Done: m.Done, Next: m.Next}, err
}

func fromJournalCopyReply(d journalCopyReply) (proto.JournalCopyReply, error) {
	records, err := mapSlice(d.Records, codec.DecodeJournalRecord)
	return proto.JournalCopyReply{Nonce: d.Nonce, Records: records, Done: d.Done, Next: d.Next}, err
}
