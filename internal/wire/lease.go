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
	// PreviousGrants is left out of the frame if it is empty.
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

type shareAsk struct {
	Nonce     uint64            `cbor:"1,keyasint"`
	Workspace model.WorkspaceID `cbor:"2,keyasint"`
}

type shareGift struct {
	Nonce     uint64            `cbor:"1,keyasint"`
	Workspace model.WorkspaceID `cbor:"2,keyasint"`
	ValidFor  time.Duration     `cbor:"3,keyasint"`
}

func leaseBindings() []binding {
	return []binding{
		bindInfallible(40, toLeaseAsk, fromLeaseAsk),
		bindInfallible(41, toLeaseReply, fromLeaseReply),
		bindInfallible(42, func(m proto.DrawAsk) drawAsk { return drawAsk(m) }, func(d drawAsk) proto.DrawAsk { return proto.DrawAsk(d) }),
		bindInfallible(43, func(m proto.DrawReply) drawReply { return drawReply(m) }, func(d drawReply) proto.DrawReply { return proto.DrawReply(d) }),
		bindInfallible(46, func(m proto.ShareAsk) shareAsk { return shareAsk(m) }, func(d shareAsk) proto.ShareAsk { return proto.ShareAsk(d) }),
		bindInfallible(47, func(m proto.ShareGift) shareGift { return shareGift(m) }, func(d shareGift) proto.ShareGift { return proto.ShareGift(d) }),
	}
}

func toClaim(m proto.Claim) claim   { return claim(m) }
func fromClaim(d claim) proto.Claim { return proto.Claim(d) }

func toLeaseAsk(m proto.LeaseAsk) leaseAsk {
	return leaseAsk{Nonce: m.Nonce, Claims: convertSlice(m.Claims, toClaim), Released: convertSlice(m.Released, toClaim)}
}

func fromLeaseAsk(d leaseAsk) proto.LeaseAsk {
	return proto.LeaseAsk{Nonce: d.Nonce, Claims: convertSlice(d.Claims, fromClaim), Released: convertSlice(d.Released, fromClaim)}
}

func toLeaseReply(m proto.LeaseReply) leaseReply {
	return leaseReply{
		Nonce:          m.Nonce,
		Granted:        convertSlice(m.Granted, toClaim),
		Denied:         convertSlice(m.Denied, func(d proto.Denial) denial { return denial(d) }),
		PreviousGrants: convertSlice(m.PreviousGrants, toClaim),
	}
}

func fromLeaseReply(d leaseReply) proto.LeaseReply {
	return proto.LeaseReply{
		Nonce:          d.Nonce,
		Granted:        convertSlice(d.Granted, fromClaim),
		Denied:         convertSlice(d.Denied, func(d denial) proto.Denial { return proto.Denial(d) }),
		PreviousGrants: convertSlice(d.PreviousGrants, fromClaim),
	}
}
