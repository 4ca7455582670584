package wire

import (
	"tarragongauge.example/tarragongauge/internal/codec"
	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

type voteAsk struct {
	Term            model.Term `cbor:"1,keyasint"`
	LastIndex       uint64     `cbor:"2,keyasint"`
	LastTerm        model.Term `cbor:"3,keyasint"`
	PreVote         bool       `cbor:"4,keyasint"`
	Nonce           uint64     `cbor:"5,keyasint"`
	BootstrapDigest uint64     `cbor:"6,keyasint"`
}

type voteReply struct {
	Term     model.Term `cbor:"1,keyasint"`
	Granted  bool       `cbor:"2,keyasint"`
	PreVote  bool       `cbor:"3,keyasint"`
	Nonce    uint64     `cbor:"4,keyasint"`
	LogEmpty bool       `cbor:"5,keyasint"`
}

type appendEntries struct {
	Term              model.Term `cbor:"1,keyasint"`
	PrevIndex         uint64     `cbor:"2,keyasint"`
	PrevTerm          model.Term `cbor:"3,keyasint"`
	Entries           [][]byte   `cbor:"4,keyasint"`
	CommitIndex       uint64     `cbor:"5,keyasint"`
	Round             uint64     `cbor:"6,keyasint"`
	AdmittedLearnerID uint64     `cbor:"7,keyasint"`
}

type appendReply struct {
	Term       model.Term `cbor:"1,keyasint"`
	OK         bool       `cbor:"2,keyasint"`
	MatchIndex uint64     `cbor:"3,keyasint"`
	Round      uint64     `cbor:"4,keyasint"`
	LearnerID  uint64     `cbor:"5,keyasint"`
}

type installSnapshot struct {
	Term      model.Term `cbor:"1,keyasint"`
	LastIndex uint64     `cbor:"2,keyasint"`
	LastTerm  model.Term `cbor:"3,keyasint"`
	Data      []byte     `cbor:"4,keyasint"`
	Round     uint64     `cbor:"5,keyasint"`

	Offer *snapshotOffer `cbor:"6,keyasint,omitempty"`
}

type proposeAsk struct {
	Nonce    uint64 `cbor:"1,keyasint"`
	Proposal []byte `cbor:"2,keyasint"`
}

type proposeReply struct {
	Nonce  uint64 `cbor:"1,keyasint"`
	Result []byte `cbor:"2,keyasint"`
}

func logBindings() []binding {
	return []binding{
		bindInfallible(1, func(m proto.VoteAsk) voteAsk { return voteAsk(m) }, func(d voteAsk) proto.VoteAsk { return proto.VoteAsk(d) }),
		bindInfallible(2, func(m proto.VoteReply) voteReply { return voteReply(m) }, func(d voteReply) proto.VoteReply { return proto.VoteReply(d) }),
		bind(3, toAppend, fromAppend),
		bindInfallible(4, func(m proto.AppendReply) appendReply { return appendReply(m) }, func(d appendReply) proto.AppendReply { return proto.AppendReply(d) }),
		bind(5, toInstallSnapshot, fromInstallSnapshot),
		bind(6, toProposeAsk, fromProposeAsk),
		bind(7, toProposeReply, fromProposeReply),
	}
}

func toAppend(m proto.Append) (appendEntries, error) {
	entries, err := mapSlice(m.Entries, codec.EncodeLogEntry)
	return appendEntries{Term: m.Term, PrevIndex: m.PrevIndex, PrevTerm: m.PrevTerm, Entries: entries, CommitIndex: m.CommitIndex, Round: m.Round, AdmittedLearnerID: m.AdmittedLearnerID}, err
}

func fromAppend(d appendEntries) (proto.Append, error) {
	entries, err := mapSlice(d.Entries, codec.DecodeLogEntry)
	return proto.Append{Term: d.Term, PrevIndex: d.PrevIndex, PrevTerm: d.PrevTerm, Entries: entries, CommitIndex: d.CommitIndex, Round: d.Round, AdmittedLearnerID: d.AdmittedLearnerID}, err
}

func toInstallSnapshot(m proto.InstallSnapshot) (installSnapshot, error) {
	return installSnapshot{Term: m.Term, LastIndex: m.LastIndex, LastTerm: m.LastTerm, Data: m.Data, Round: m.Round, Offer: toOffer(m.Offer)}, nil
}

func fromInstallSnapshot(d installSnapshot) (proto.InstallSnapshot, error) {
	offer, err := fromOffer(d.Offer)
	return proto.InstallSnapshot{Term: d.Term, LastIndex: d.LastIndex, LastTerm: d.LastTerm, Data: d.Data, Round: d.Round, Offer: offer}, err
}

func toProposeAsk(m proto.ProposeAsk) (proposeAsk, error) {
	data, err := codec.EncodeProposal(m.Proposal)
	return proposeAsk{Nonce: m.Nonce, Proposal: data}, err
}

func fromProposeAsk(d proposeAsk) (proto.ProposeAsk, error) {
	p, err := codec.DecodeProposal(d.Proposal)
	return proto.ProposeAsk{Nonce: d.Nonce, Proposal: p}, err
}

func toProposeReply(m proto.ProposeReply) (proposeReply, error) {
	data, err := codec.EncodeResult(m.Result)
	return proposeReply{Nonce: m.Nonce, Result: data}, err
}

func fromProposeReply(d proposeReply) (proto.ProposeReply, error) {
	r, err := codec.DecodeResult(d.Result)
	return proto.ProposeReply{Nonce: d.Nonce, Result: r}, err
}
