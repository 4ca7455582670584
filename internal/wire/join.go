package wire

import "tarragongauge.example/tarragongauge/internal/proto"

type joinAsk struct {
	Member    member `cbor:"1,keyasint"`
	Forwarded bool   `cbor:"2,keyasint,omitempty"`
}

func joinBindings() []binding {
	return []binding{bind(8, toJoinAsk, fromJoinAsk)}
}

func toJoinAsk(m proto.JoinAsk) (joinAsk, error) {
	return joinAsk{Member: toMember(m.Member), Forwarded: m.Forwarded}, nil
}

func fromJoinAsk(d joinAsk) (proto.JoinAsk, error) {
	m, err := fromMember(d.Member)
	return proto.JoinAsk{Member: m, Forwarded: d.Forwarded}, err
}
