package wire

import (
	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

type journalFormAsk struct {
	Nonce          uint64 `cbor:"1,keyasint"`
	JournalsDigest uint64 `cbor:"2,keyasint"`
}

type journalDisk struct {
	Host   model.HostID `cbor:"1,keyasint"`
	DiskID uint64       `cbor:"2,keyasint"`
}

type journalFormReply struct {
	Nonce       uint64             `cbor:"1,keyasint"`
	State       proto.JournalState `cbor:"2,keyasint"`
	DiskID      uint64             `cbor:"3,keyasint"`
	FormedDisks []journalDisk      `cbor:"4,keyasint"`
}

func journalFormBindings() []binding {
	return []binding{
		bindInfallible(86, func(m proto.JournalFormAsk) journalFormAsk { return journalFormAsk(m) }, func(d journalFormAsk) proto.JournalFormAsk { return proto.JournalFormAsk(d) }),
		bind(87, toJournalFormReply, fromJournalFormReply),
	}
}

func toJournalFormReply(m proto.JournalFormReply) (journalFormReply, error) {
	formed := convertSlice(m.FormedDisks, func(d proto.JournalDisk) journalDisk { return journalDisk(d) })
	return journalFormReply{Nonce: m.Nonce, State: m.State, DiskID: m.DiskID, FormedDisks: formed}, nil
}

func fromJournalFormReply(d journalFormReply) (proto.JournalFormReply, error) {
	formed := convertSlice(d.FormedDisks, func(d journalDisk) proto.JournalDisk { return proto.JournalDisk(d) })
	m := proto.JournalFormReply{Nonce: d.Nonce, State: d.State, DiskID: d.DiskID, FormedDisks: formed}
	return m, checkEnum("state of a journal", d.State, proto.JournalComplete)
}
