package wire

import (
	"time"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

type evidenceAsk struct {
	Nonce     uint64            `cbor:"1,keyasint"`
	Workspace model.WorkspaceID `cbor:"2,keyasint"`
}

type evidenceReply struct {
	Nonce              uint64            `cbor:"1,keyasint"`
	Workspace          model.WorkspaceID `cbor:"2,keyasint"`
	HeldVersion        model.Version     `cbor:"3,keyasint"`
	InFlight           int               `cbor:"4,keyasint"`
	EndsWithin         time.Duration     `cbor:"8,keyasint,omitempty"`
	EverAdmitted       bool              `cbor:"5,keyasint"`
	SinceLastAdmission time.Duration     `cbor:"6,keyasint"`
	FreshFor           time.Duration     `cbor:"7,keyasint"`
}

type burnAsk struct {
	Nonce uint64 `cbor:"1,keyasint"`
}

type burnReply struct {
	Nonce uint64 `cbor:"1,keyasint"`
	Data  []byte `cbor:"2,keyasint"`
}

type statusAsk struct {
	Nonce uint64 `cbor:"1,keyasint"`
}

type statusReply struct {
	Nonce uint64 `cbor:"1,keyasint"`
	Data  []byte `cbor:"2,keyasint"`
}

type quarantineClear struct {
	Service   model.ServiceName `cbor:"1,keyasint"`
	Workspace model.WorkspaceID `cbor:"2,keyasint"`
}

func reportBindings() []binding {
	return []binding{
		bindInfallible(100, func(m proto.EvidenceAsk) evidenceAsk { return evidenceAsk(m) }, func(d evidenceAsk) proto.EvidenceAsk { return proto.EvidenceAsk(d) }),
		bindInfallible(101, func(m proto.EvidenceReply) evidenceReply { return evidenceReply(m) }, func(d evidenceReply) proto.EvidenceReply { return proto.EvidenceReply(d) }),
		bindInfallible(102, func(m proto.BurnAsk) burnAsk { return burnAsk(m) }, func(d burnAsk) proto.BurnAsk { return proto.BurnAsk(d) }),
		bindInfallible(103, func(m proto.BurnReply) burnReply { return burnReply(m) }, func(d burnReply) proto.BurnReply { return proto.BurnReply(d) }),
		bindInfallible(104, func(m proto.StatusAsk) statusAsk { return statusAsk(m) }, func(d statusAsk) proto.StatusAsk { return proto.StatusAsk(d) }),
		bindInfallible(105, func(m proto.StatusReply) statusReply { return statusReply(m) }, func(d statusReply) proto.StatusReply { return proto.StatusReply(d) }),
		bindInfallible(106, func(m proto.QuarantineClear) quarantineClear { return quarantineClear(m) }, func(d quarantineClear) proto.QuarantineClear { return proto.QuarantineClear(d) }),
	}
}
