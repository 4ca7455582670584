package wire

import (
	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

type tokenReserve struct {
	Workspace model.WorkspaceID `cbor:"1,keyasint"`
	Rate      float64           `cbor:"2,keyasint"`
	Burst     float64           `cbor:"3,keyasint"`
	Tokens    int               `cbor:"4,keyasint"`
}

type standbyNote struct {
	Shard              model.ShardID     `cbor:"1,keyasint"`
	Epoch              model.Epoch       `cbor:"2,keyasint"`
	Nonce              uint64            `cbor:"3,keyasint"`
	StandbyIncarnation model.Incarnation `cbor:"4,keyasint"`
	AckedAt            model.Instant     `cbor:"5,keyasint"`
	Reserves           []tokenReserve    `cbor:"6,keyasint"`
}

type standbyAck struct {
	Shard       model.ShardID     `cbor:"1,keyasint"`
	Epoch       model.Epoch       `cbor:"2,keyasint"`
	Nonce       uint64            `cbor:"3,keyasint"`
	Stored      bool              `cbor:"4,keyasint"`
	Incarnation model.Incarnation `cbor:"5,keyasint"`
	SentAt      model.Instant     `cbor:"6,keyasint"`
}

func standbyBindings() []binding {
	return []binding{
		bindInfallible(44, toStandbyNote, fromStandbyNote),
		bindInfallible(45, func(m proto.StandbyAck) standbyAck { return standbyAck(m) }, func(d standbyAck) proto.StandbyAck { return proto.StandbyAck(d) }),
	}
}

func toStandbyNote(m proto.StandbyNote) standbyNote {
	return standbyNote{
		Shard: m.Shard, Epoch: m.Epoch, Nonce: m.Nonce, StandbyIncarnation: m.StandbyIncarnation, AckedAt: m.AckedAt,
		Reserves: convertSlice(m.Reserves, func(r proto.TokenReserve) tokenReserve {
			return tokenReserve{Workspace: r.Workspace, Rate: r.Limits.Rate, Burst: r.Limits.Burst, Tokens: r.Tokens}
		}),
	}
}

func fromStandbyNote(d standbyNote) proto.StandbyNote {
	return proto.StandbyNote{
		Shard: d.Shard, Epoch: d.Epoch, Nonce: d.Nonce, StandbyIncarnation: d.StandbyIncarnation, AckedAt: d.AckedAt,
		Reserves: convertSlice(d.Reserves, func(r tokenReserve) proto.TokenReserve {
			return proto.TokenReserve{Workspace: r.Workspace, Limits: model.Limits{Rate: r.Rate, Burst: r.Burst}, Tokens: r.Tokens}
		}),
	}
}
