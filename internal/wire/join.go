package wire

import (
	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

type joinAsk struct {
	Member    member `cbor:"1,keyasint"`
	Forwarded bool   `cbor:"2,keyasint,omitempty"`
}

type leaveNotice struct {
	Host model.HostID `cbor:"1,keyasint"`
}

func joinBindings() []binding {
	return []binding{
		bind(8, toJoinAsk, fromJoinAsk),
		bindInfallible(9, func(m proto.LeaveNotice) leaveNotice { return leaveNotice(m) }, func(d leaveNotice) proto.LeaveNotice { return proto.LeaveNotice(d) }),
	}
}

func toJoinAsk(m proto.JoinAsk) (joinAsk, error) {
	return joinAsk{Member: toMember(m.Member), Forwarded: m.Forwarded}, nil
}

func fromJoinAsk(d joinAsk) (proto.JoinAsk, error) {
	m, err := fromMember(d.Member)
	return proto.JoinAsk{Member: m, Forwarded: d.Forwarded}, err
}
