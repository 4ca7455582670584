package wire

import (
	"time"

	"tarragongauge.example/tarragongauge/internal/codec"
	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

type member struct {
	Host        model.HostID      `cbor:"1,keyasint"`
	Role        proto.Role        `cbor:"2,keyasint"`
	Zone        model.ZoneName    `cbor:"3,keyasint"`
	Addr        string            `cbor:"4,keyasint"`
	Incarnation model.Incarnation `cbor:"5,keyasint"`
	Draining    bool              `cbor:"6,keyasint,omitempty"`
}

type hello struct {
	Member   member `cbor:"1,keyasint"`
	Fleet    string `cbor:"2,keyasint"`
	Protocol int    `cbor:"3,keyasint"`
}

type freshAsk struct {
	Nonce         uint64        `cbor:"1,keyasint"`
	HeldVersion   model.Version `cbor:"2,keyasint"`
	Member        member        `cbor:"3,keyasint"`
	MembersDigest uint64        `cbor:"4,keyasint"`
	OwnersDigest  uint64        `cbor:"5,keyasint"`
	TargetsDigest uint64        `cbor:"6,keyasint,omitempty"`

	FailedTargets  []model.TargetID `cbor:"7,keyasint,omitempty"`
	PeersDigest    uint64           `cbor:"8,keyasint,omitempty"`
	Starting       bool             `cbor:"9,keyasint,omitempty"`
	LastReplyNonce uint64           `cbor:"10,keyasint,omitempty"`
}

type freshReply struct {
	Nonce             uint64         `cbor:"1,keyasint"`
	Newest            model.Version  `cbor:"2,keyasint"`
	FromControl       bool           `cbor:"3,keyasint,omitempty"`
	Age               time.Duration  `cbor:"4,keyasint"`
	Changes           [][]byte       `cbor:"5,keyasint"`
	Snapshot          []byte         `cbor:"6,keyasint"`
	Members           []member       `cbor:"7,keyasint"`
	MembersDigest     uint64         `cbor:"8,keyasint"`
	Owners            []owner        `cbor:"9,keyasint"`
	OwnersDigest      uint64         `cbor:"10,keyasint"`
	SeatsSettled      bool           `cbor:"11,keyasint,omitempty"`
	MembersBaseDigest uint64         `cbor:"12,keyasint,omitempty"`
	RemovedMembers    []model.HostID `cbor:"13,keyasint,omitempty"`
	Offer             *snapshotOffer `cbor:"14,keyasint,omitempty"`
	EntryHostCount    int            `cbor:"15,keyasint,omitempty"`

	Targets       []announcement `cbor:"16,keyasint,omitempty"`
	TargetsDigest uint64         `cbor:"17,keyasint,omitempty"`

	FailedTargets []model.TargetID `cbor:"18,keyasint,omitempty"`

	Peers       []model.HostID `cbor:"19,keyasint,omitempty"`
	PeersDigest uint64         `cbor:"20,keyasint,omitempty"`

	RemovedTargets    []model.TargetID `cbor:"21,keyasint,omitempty"`
	TargetsBaseDigest uint64           `cbor:"22,keyasint,omitempty"`

	Redirect bool `cbor:"23,keyasint,omitempty"`
}

type peerAsk struct {
	Nonce uint64 `cbor:"1,keyasint"`
}

type peerReply struct {
	Nonce uint64 `cbor:"1,keyasint"`
}

type seatStage struct {
	Term     model.Term    `cbor:"1,keyasint"`
	Newest   model.Version `cbor:"2,keyasint"`
	Changes  [][]byte      `cbor:"3,keyasint"`
	Snapshot []byte        `cbor:"4,keyasint"`
	Round    uint64        `cbor:"5,keyasint"`

	Offer *snapshotOffer `cbor:"6,keyasint,omitempty"`
}

type seatStageReply struct {
	Term        model.Term        `cbor:"1,keyasint"`
	HeldVersion model.Version     `cbor:"2,keyasint"`
	Incarnation model.Incarnation `cbor:"3,keyasint"`
	Round       uint64            `cbor:"4,keyasint"`
}

type seatLearn struct {
	Nonce       uint64        `cbor:"1,keyasint"`
	HeldVersion model.Version `cbor:"2,keyasint"`
}

type seatLearnReply struct {
	Nonce    uint64        `cbor:"1,keyasint"`
	Newest   model.Version `cbor:"2,keyasint"`
	Snapshot []byte        `cbor:"3,keyasint"`

	Offer   *snapshotOffer `cbor:"4,keyasint,omitempty"`
	Changes [][]byte       `cbor:"5,keyasint,omitempty"`
}

func freshBindings() []binding {
	return []binding{
		bind(20, toHello, fromHello),
		bind(21, toFreshAsk, fromFreshAsk),
		bind(22, toFreshReply, fromFreshReply),
		bind(23, toSeatStage, fromSeatStage),
		bindInfallible(24, func(m proto.SeatStageReply) seatStageReply { return seatStageReply(m) }, func(d seatStageReply) proto.SeatStageReply { return proto.SeatStageReply(d) }),
		bindInfallible(25, func(m proto.SeatLearn) seatLearn { return seatLearn(m) }, func(d seatLearn) proto.SeatLearn { return proto.SeatLearn(d) }),
		bind(26, toSeatLearnReply, fromSeatLearnReply),
		bindInfallible(29, func(m proto.PeerAsk) peerAsk { return peerAsk(m) }, func(d peerAsk) proto.PeerAsk { return proto.PeerAsk(d) }),
		bindInfallible(30, func(m proto.PeerReply) peerReply { return peerReply(m) }, func(d peerReply) proto.PeerReply { return proto.PeerReply(d) }),
	}
}

func toMember(m proto.Member) member { return member(m) }

// fromMember accepts a member without a role. A seat that recovers from a
// restart sends none, so that other hosts do not take it for a live entry host.
func fromMember(d member) (proto.Member, error) {
	if d.Role == 0 {
		return proto.Member(d), nil
	}
	return proto.Member(d), checkEnum("role", d.Role, proto.RoleSeat)
}

func toHello(m proto.Hello) (hello, error) {
	return hello{Member: toMember(m.Member), Fleet: m.Fleet, Protocol: m.Protocol}, nil
}

func fromHello(d hello) (proto.Hello, error) {
	m, err := fromMember(d.Member)
	return proto.Hello{Member: m, Fleet: d.Fleet, Protocol: d.Protocol}, err
}

func toFreshAsk(m proto.FreshAsk) (freshAsk, error) {
	return freshAsk{Nonce: m.Nonce, HeldVersion: m.HeldVersion, Member: toMember(m.Member), MembersDigest: m.MembersDigest, OwnersDigest: m.OwnersDigest, TargetsDigest: m.TargetsDigest, FailedTargets: m.FailedTargets, PeersDigest: m.PeersDigest, Starting: m.Starting, LastReplyNonce: m.LastReplyNonce}, nil
}

func fromFreshAsk(d freshAsk) (proto.FreshAsk, error) {
	m, err := fromMember(d.Member)
	return proto.FreshAsk{Nonce: d.Nonce, HeldVersion: d.HeldVersion, Member: m, MembersDigest: d.MembersDigest, OwnersDigest: d.OwnersDigest, TargetsDigest: d.TargetsDigest, FailedTargets: d.FailedTargets, PeersDigest: d.PeersDigest, Starting: d.Starting, LastReplyNonce: d.LastReplyNonce}, err
}

func toFreshReply(m proto.FreshReply) (freshReply, error) {
	changes, err := mapSlice(m.Changes, codec.EncodeCommitted)
	return freshReply{
		Nonce:             m.Nonce,
		Newest:            m.Newest,
		FromControl:       m.FromControl,
		Age:               m.Age,
		Changes:           changes,
		Snapshot:          m.Snapshot,
		Members:           convertSlice(m.Members, toMember),
		MembersDigest:     m.MembersDigest,
		Owners:            convertSlice(m.Owners, func(o proto.Owner) owner { return owner(o) }),
		OwnersDigest:      m.OwnersDigest,
		SeatsSettled:      m.SeatsSettled,
		MembersBaseDigest: m.MembersBaseDigest,
		RemovedMembers:    m.RemovedMembers,
		Offer:             toOffer(m.Offer),
		EntryHostCount:    m.EntryHostCount,
		Targets:           convertSlice(m.Targets, func(a model.Announcement) announcement { return announcement(a) }),
		TargetsDigest:     m.TargetsDigest,
		FailedTargets:     m.FailedTargets,
		Peers:             m.Peers,
		PeersDigest:       m.PeersDigest,
		RemovedTargets:    m.RemovedTargets,
		TargetsBaseDigest: m.TargetsBaseDigest,
		Redirect:          m.Redirect,
	}, err
}

func fromFreshReply(d freshReply) (proto.FreshReply, error) {
	changes, err := mapSlice(d.Changes, codec.DecodeCommitted)
	if err != nil {
		return proto.FreshReply{}, err
	}
	offer, err := fromOffer(d.Offer)
	if err != nil {
		return proto.FreshReply{}, err
	}
	targets, err := mapSlice(d.Targets, fromAnnouncement)
	if err != nil {
		return proto.FreshReply{}, err
	}
	members, err := mapSlice(d.Members, fromMember)
	return proto.FreshReply{
		Nonce:             d.Nonce,
		Newest:            d.Newest,
		FromControl:       d.FromControl,
		Age:               d.Age,
		Changes:           changes,
		Snapshot:          d.Snapshot,
		Members:           members,
		MembersDigest:     d.MembersDigest,
		Owners:            convertSlice(d.Owners, func(o owner) proto.Owner { return proto.Owner(o) }),
		OwnersDigest:      d.OwnersDigest,
		SeatsSettled:      d.SeatsSettled,
		MembersBaseDigest: d.MembersBaseDigest,
		RemovedMembers:    d.RemovedMembers,
		Offer:             offer,
		EntryHostCount:    d.EntryHostCount,
		Targets:           targets,
		TargetsDigest:     d.TargetsDigest,
		FailedTargets:     d.FailedTargets,
		Peers:             d.Peers,
		PeersDigest:       d.PeersDigest,
		RemovedTargets:    d.RemovedTargets,
		TargetsBaseDigest: d.TargetsBaseDigest,
		Redirect:          d.Redirect,
	}, err
}

func toSeatStage(m proto.SeatStage) (seatStage, error) {
	changes, err := mapSlice(m.Changes, codec.EncodeCommitted)
	return seatStage{Term: m.Term, Newest: m.Newest, Changes: changes, Snapshot: m.Snapshot, Round: m.Round, Offer: toOffer(m.Offer)}, err
}

func fromSeatStage(d seatStage) (proto.SeatStage, error) {
	changes, err := mapSlice(d.Changes, codec.DecodeCommitted)
	if err != nil {
		return proto.SeatStage{}, err
	}
	offer, err := fromOffer(d.Offer)
	return proto.SeatStage{Term: d.Term, Newest: d.Newest, Changes: changes, Snapshot: d.Snapshot, Round: d.Round, Offer: offer}, err
}

func toSeatLearnReply(m proto.SeatLearnReply) (seatLearnReply, error) {
	changes, err := mapSlice(m.Changes, codec.EncodeCommitted)
	return seatLearnReply{Nonce: m.Nonce, Newest: m.Newest, Snapshot: m.Snapshot, Offer: toOffer(m.Offer), Changes: changes}, err
}

func fromSeatLearnReply(d seatLearnReply) (proto.SeatLearnReply, error) {
	changes, err := mapSlice(d.Changes, codec.DecodeCommitted)
	if err != nil {
		return proto.SeatLearnReply{}, err
	}
	offer, err := fromOffer(d.Offer)
	return proto.SeatLearnReply{Nonce: d.Nonce, Newest: d.Newest, Snapshot: d.Snapshot, Offer: offer, Changes: changes}, err
}
