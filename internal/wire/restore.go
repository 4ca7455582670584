package wire

import (
	"time"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

type restoreReport struct {
	Shard       model.ShardID     `cbor:"1,keyasint"`
	Epoch       model.Epoch       `cbor:"2,keyasint"`
	Incarnation model.Incarnation `cbor:"3,keyasint"`
	Serial      uint64            `cbor:"4,keyasint"`
	Services    []restoreService  `cbor:"5,keyasint"`
}

type restoreAck struct {
	Shard  model.ShardID `cbor:"1,keyasint"`
	Epoch  model.Epoch   `cbor:"2,keyasint"`
	Serial uint64        `cbor:"3,keyasint"`
	Ready  bool          `cbor:"4,keyasint"`
}

type restoreService struct {
	Service             model.ServiceName    `cbor:"1,keyasint"`
	Slots               []heldSlot           `cbor:"2,keyasint"`
	BrokenAttempts      []brokenAttempt      `cbor:"3,keyasint"`
	ViewEpoch           model.Epoch          `cbor:"4,keyasint"`
	ViewDigest          uint64               `cbor:"5,keyasint"`
	EjectedTargets      []ejectedTarget      `cbor:"6,keyasint"`
	QuarantinedRequests []quarantinedRequest `cbor:"7,keyasint"`
	NamedRates          []namedRate          `cbor:"8,keyasint,omitempty"`
}

type heldSlot struct {
	Slot        uint64            `cbor:"1,keyasint"`
	Target      model.TargetID    `cbor:"2,keyasint"`
	Incarnation model.Incarnation `cbor:"3,keyasint"`
	Workspace   model.WorkspaceID `cbor:"4,keyasint"`
	Fingerprint model.Fingerprint `cbor:"5,keyasint"`
	Remaining   time.Duration     `cbor:"6,keyasint"`
}

type brokenAttempt struct {
	Slot        uint64            `cbor:"1,keyasint"`
	Target      model.TargetID    `cbor:"2,keyasint"`
	Incarnation model.Incarnation `cbor:"3,keyasint"`
	Workspace   model.WorkspaceID `cbor:"4,keyasint"`
	Fingerprint model.Fingerprint `cbor:"5,keyasint"`
	Age         time.Duration     `cbor:"6,keyasint"`
}

type ejectedTarget struct {
	Target      model.TargetID    `cbor:"1,keyasint"`
	Incarnation model.Incarnation `cbor:"2,keyasint"`
	Remaining   time.Duration     `cbor:"3,keyasint"`
	Severity    float64           `cbor:"4,keyasint"`
	Ejections   int               `cbor:"5,keyasint"`
}

type quarantinedRequest struct {
	Workspace   model.WorkspaceID `cbor:"1,keyasint"`
	Fingerprint model.Fingerprint `cbor:"2,keyasint"`
	Remaining   time.Duration     `cbor:"3,keyasint"`
}

func restoreBindings() []binding {
	return []binding{
		bind(68, toRestoreReport, fromRestoreReport),
		bindInfallible(69, func(m proto.RestoreAck) restoreAck { return restoreAck(m) }, func(d restoreAck) proto.RestoreAck { return proto.RestoreAck(d) }),
	}
}

func toRestoreReport(m proto.RestoreReport) (restoreReport, error) {
	return restoreReport{
		Shard: m.Shard, Epoch: m.Epoch, Incarnation: m.Incarnation, Serial: m.Serial,
		Services: convertSlice(m.Services, toRestoreService),
	}, nil
}

func fromRestoreReport(d restoreReport) (proto.RestoreReport, error) {
	m := proto.RestoreReport{Shard: d.Shard, Epoch: d.Epoch, Incarnation: d.Incarnation, Serial: d.Serial}
	for _, x := range d.Services {
		s, err := fromRestoreService(x)
		if err != nil {
			return proto.RestoreReport{}, err
		}
		m.Services = append(m.Services, s)
	}
	return m, nil
}

func toRestoreService(m proto.RestoreService) restoreService {
	return restoreService{
		Service:             m.Service,
		Slots:               convertSlice(m.Slots, func(x proto.HeldSlot) heldSlot { return heldSlot(x) }),
		BrokenAttempts:      convertSlice(m.BrokenAttempts, func(x proto.BrokenAttempt) brokenAttempt { return brokenAttempt(x) }),
		ViewEpoch:           m.ViewEpoch,
		ViewDigest:          m.ViewDigest,
		EjectedTargets:      convertSlice(m.EjectedTargets, func(x proto.EjectedTarget) ejectedTarget { return ejectedTarget(x) }),
		QuarantinedRequests: convertSlice(m.QuarantinedRequests, toQuarantined),
		NamedRates:          toNamedRates(m.NamedRates),
	}
}

func fromRestoreService(d restoreService) (proto.RestoreService, error) {
	rates, err := fromNamedRates(d.NamedRates)
	return proto.RestoreService{
		Service:             d.Service,
		Slots:               convertSlice(d.Slots, func(x heldSlot) proto.HeldSlot { return proto.HeldSlot(x) }),
		BrokenAttempts:      convertSlice(d.BrokenAttempts, func(x brokenAttempt) proto.BrokenAttempt { return proto.BrokenAttempt(x) }),
		ViewEpoch:           d.ViewEpoch,
		ViewDigest:          d.ViewDigest,
		EjectedTargets:      convertSlice(d.EjectedTargets, func(x ejectedTarget) proto.EjectedTarget { return proto.EjectedTarget(x) }),
		QuarantinedRequests: convertSlice(d.QuarantinedRequests, fromQuarantined),
		NamedRates:          rates,
	}, err
}

func toQuarantined(x proto.QuarantinedRequest) quarantinedRequest { return quarantinedRequest(x) }

func fromQuarantined(x quarantinedRequest) proto.QuarantinedRequest {
	return proto.QuarantinedRequest(x)
}
