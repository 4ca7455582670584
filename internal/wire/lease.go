package wire

import (
	"time"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

type owner struct {
	Shard model.ShardID `cbor:"1,keyasint"`
	Host  model.HostID  `cbor:"2,keyasint"`
	Epoch model.Epoch   `cbor:"3,keyasint"`
}

type claim struct {
	Shard model.ShardID `cbor:"1,keyasint"`
	Epoch model.Epoch   `cbor:"2,keyasint"`
}

type denial struct {
	Shard  model.ShardID `cbor:"1,keyasint"`
	Epoch  model.Epoch   `cbor:"2,keyasint"`
	Holder model.HostID  `cbor:"3,keyasint"`
}

type leaseAsk struct {
	Nonce    uint64  `cbor:"1,keyasint"`
	Claims   []claim `cbor:"2,keyasint"`
	Released []claim `cbor:"3,keyasint"`
}

type leaseReply struct {
	Nonce   uint64   `cbor:"1,keyasint"`
	Granted []claim  `cbor:"2,keyasint"`
	Denied  []denial `cbor:"3,keyasint"`
	// PreviousGrants is left out while it is empty.
	PreviousGrants []claim `cbor:"4,keyasint,omitempty"`
}

type drawAsk struct {
	Nonce     uint64            `cbor:"1,keyasint"`
	Workspace model.WorkspaceID `cbor:"2,keyasint"`
	Tokens    int               `cbor:"3,keyasint"`
}

type drawReply struct {
	Nonce         uint64            `cbor:"1,keyasint"`
	Workspace     model.WorkspaceID `cbor:"2,keyasint"`
	Epoch         model.Epoch       `cbor:"3,keyasint"`
	GrantedTokens int               `cbor:"4,keyasint"`
	ValidFor      time.Duration     `cbor:"5,keyasint"`
	RetryAfter    time.Duration     `cbor:"6,keyasint"`
	NotOwner      bool              `cbor:"7,keyasint,omitempty"`
}

func leaseBindings() []binding {
	return []binding{
		plain(40, toLeaseAsk, fromLeaseAsk),
		plain(41, toLeaseReply, fromLeaseReply),
		plain(42, func(m proto.DrawAsk) drawAsk { return drawAsk(m) }, func(d drawAsk) proto.DrawAsk { return proto.DrawAsk(d) }),
		plain(43, func(m proto.DrawReply) drawReply { return drawReply(m) }, func(d drawReply) proto.DrawReply { return proto.DrawReply(d) }),
	}
}

func toClaim(m proto.Claim) claim   { return claim(m) }
func fromClaim(d claim) proto.Claim { return proto.Claim(d) }

func toLeaseAsk(m proto.LeaseAsk) leaseAsk {
	return leaseAsk{Nonce: m.Nonce, Claims: convert(m.Claims, toClaim), Released: convert(m.Released, toClaim)}
}

func fromLeaseAsk(d leaseAsk) proto.LeaseAsk {
	return proto.LeaseAsk{Nonce: d.Nonce, Claims: convert(d.Claims, fromClaim), Released: convert(d.Released, fromClaim)}
}

func toLeaseReply(m proto.LeaseReply) leaseReply {
	return leaseReply{
		Nonce:          m.Nonce,
		Granted:        convert(m.Granted, toClaim),
		Denied:         convert(m.Denied, func(d proto.Denial) denial { return denial(d) }),
		PreviousGrants: convert(m.PreviousGrants, toClaim),
	}
}

func fromLeaseReply(d leaseReply) proto.LeaseReply {
	return proto.LeaseReply{
		Nonce:          d.Nonce,
		Granted:        convert(d.Granted, fromClaim),
		Denied:         convert(d.Denied, func(d denial) proto.Denial { return proto.Denial(d) }),
		PreviousGrants: convert(d.PreviousGrants, fromClaim),
	}
}
