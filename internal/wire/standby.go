package wire

import (
	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

type reserve struct {
	Workspace model.WorkspaceID `cbor:"1,keyasint"`
	Rate      float64           `cbor:"2,keyasint"`
	Burst     float64           `cbor:"3,keyasint"`
	Tokens    int               `cbor:"4,keyasint"`
}

type standbyNote struct {
	Shard    model.ShardID     `cbor:"1,keyasint"`
	Epoch    model.Epoch       `cbor:"2,keyasint"`
	Nonce    uint64            `cbor:"3,keyasint"`
	Run      model.Incarnation `cbor:"4,keyasint"`
	Heard    model.Instant     `cbor:"5,keyasint"`
	Reserves []reserve         `cbor:"6,keyasint"`
}

type standbyAck struct {
	Shard model.ShardID     `cbor:"1,keyasint"`
	Epoch model.Epoch       `cbor:"2,keyasint"`
	Nonce uint64            `cbor:"3,keyasint"`
	Held  bool              `cbor:"4,keyasint"`
	Run   model.Incarnation `cbor:"5,keyasint"`
	Heard model.Instant     `cbor:"6,keyasint"`
}

func standbyBindings() []binding {
	return []binding{
		plain(44, toStandbyNote, fromStandbyNote),
		plain(45, func(m proto.StandbyAck) standbyAck { return standbyAck(m) }, func(d standbyAck) proto.StandbyAck { return proto.StandbyAck(d) }),
	}
}

func toStandbyNote(m proto.StandbyNote) standbyNote {
	return standbyNote{
		Shard: m.Shard, Epoch: m.Epoch, Nonce: m.Nonce, Run: m.Run, Heard: m.Heard,
		Reserves: convert(m.Reserves, func(r proto.Reserve) reserve {
			return reserve{Workspace: r.Workspace, Rate: r.Limits.Rate, Burst: r.Limits.Burst, Tokens: r.Tokens}
		}),
	}
}

func fromStandbyNote(d standbyNote) proto.StandbyNote {
	return proto.StandbyNote{
		Shard: d.Shard, Epoch: d.Epoch, Nonce: d.Nonce, Run: d.Run, Heard: d.Heard,
		Reserves: convert(d.Reserves, func(r reserve) proto.Reserve {
			return proto.Reserve{Workspace: r.Workspace, Limits: model.Limits{Rate: r.Rate, Burst: r.Burst}, Tokens: r.Tokens}
		}),
	}
}
