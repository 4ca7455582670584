package wire

import (
	"time"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

type slotAsk struct {
	Nonce           uint64             `cbor:"1,keyasint"`
	Service         model.ServiceName  `cbor:"2,keyasint"`
	Workspace       model.WorkspaceID  `cbor:"3,keyasint"`
	Request         model.RequestID    `cbor:"4,keyasint"`
	Fingerprint     model.Fingerprint  `cbor:"5,keyasint"`
	Zone            model.ZoneName     `cbor:"6,keyasint"`
	Remaining       time.Duration      `cbor:"7,keyasint"`
	Objective       time.Duration      `cbor:"11,keyasint,omitempty"`
	Exclude         []model.TargetID   `cbor:"8,keyasint"`
	AtMostOnce      bool               `cbor:"9,keyasint,omitempty"`
	DeclinedTargets []model.TargetID   `cbor:"10,keyasint,omitempty"`
	Counted         bool               `cbor:"12,keyasint,omitempty"`
	Rank            rank               `cbor:"13,keyasint"`
	Class           model.RequestClass `cbor:"14,keyasint,omitempty"`
}

type rank struct {
	_         struct{} `cbor:",toarray"`
	Workspace int
	Route     int
}

type slotReply struct {
	Nonce       uint64            `cbor:"1,keyasint"`
	Status      proto.SlotStatus  `cbor:"2,keyasint"`
	Slot        uint64            `cbor:"3,keyasint"`
	Target      model.TargetID    `cbor:"4,keyasint"`
	Addr        string            `cbor:"5,keyasint"`
	Incarnation model.Incarnation `cbor:"6,keyasint"`
	RetryAfter  time.Duration     `cbor:"7,keyasint"`
	Epoch       model.Epoch       `cbor:"8,keyasint"`
	ListsRates  bool              `cbor:"9,keyasint,omitempty"`
	NamedRates  []namedRate       `cbor:"10,keyasint,omitempty"`
	// ConfigVersion is absent unless the target's zone has returned.
	ConfigVersion model.Version `cbor:"11,keyasint,omitempty"`
}

type attempt struct {
	Target      model.TargetID    `cbor:"1,keyasint"`
	Incarnation model.Incarnation `cbor:"2,keyasint"`
	End         model.AttemptEnd  `cbor:"3,keyasint"`
	Latency     time.Duration     `cbor:"4,keyasint"`
	Limited     bool              `cbor:"5,keyasint,omitempty"`
	Rate        float64           `cbor:"6,keyasint,omitempty"`
	Pause       time.Duration     `cbor:"7,keyasint,omitempty"`
	Leaving     bool              `cbor:"8,keyasint,omitempty"`
	Moved       bool              `cbor:"9,keyasint,omitempty"`
	ReportsCold bool              `cbor:"11,keyasint,omitempty"`
	Cold        time.Duration     `cbor:"10,keyasint,omitempty"`
}

func encodeAttempt(m model.Attempt) attempt {
	return attempt{
		Target: m.Target, Incarnation: m.Incarnation, End: m.End, Latency: m.Latency,
		Limited: m.Notice.Limited, Rate: m.Notice.Rate, Pause: m.Notice.Pause, Leaving: m.Notice.Leaving, Moved: m.Notice.Moved,
		ReportsCold: m.Notice.ReportsCold, Cold: m.Notice.ColdRemaining,
	}
}

func decodeAttempt(d attempt) model.Attempt {
	return model.Attempt{
		Target: d.Target, Incarnation: d.Incarnation, End: d.End, Latency: d.Latency,
		Notice: model.TargetNotice{
			Limited: d.Limited, Rate: d.Rate, Pause: d.Pause, Leaving: d.Leaving, Moved: d.Moved, ReportsCold: d.ReportsCold, ColdRemaining: d.Cold,
		},
	}
}

type slotDone struct {
	Service     model.ServiceName `cbor:"1,keyasint"`
	Slot        uint64            `cbor:"2,keyasint"`
	Workspace   model.WorkspaceID `cbor:"3,keyasint"`
	Fingerprint model.Fingerprint `cbor:"4,keyasint"`
	Attempt     attempt           `cbor:"5,keyasint"`
}

type slotCancel struct {
	Service model.ServiceName `cbor:"1,keyasint"`
	Nonce   uint64            `cbor:"2,keyasint"`
}

type announcement struct {
	Service       model.ServiceName `cbor:"1,keyasint"`
	Target        model.TargetID    `cbor:"2,keyasint"`
	Addr          string            `cbor:"3,keyasint"`
	Zone          model.ZoneName    `cbor:"4,keyasint"`
	Slots         int               `cbor:"5,keyasint"`
	Incarnation   model.Incarnation `cbor:"6,keyasint"`
	State         model.TargetState `cbor:"7,keyasint"`
	Load          float64           `cbor:"8,keyasint"`
	ColdRemaining time.Duration     `cbor:"9,keyasint,omitempty"`
}

type targetNews struct {
	Announcement announcement  `cbor:"1,keyasint"`
	Listed       bool          `cbor:"2,keyasint,omitempty"`
	Age          time.Duration `cbor:"3,keyasint,omitempty"`
	Silent       bool          `cbor:"4,keyasint,omitempty"`
}

type probeResult struct {
	Service     model.ServiceName `cbor:"1,keyasint"`
	Target      model.TargetID    `cbor:"2,keyasint"`
	Incarnation model.Incarnation `cbor:"3,keyasint"`
	OK          bool              `cbor:"4,keyasint"`
	Latency     time.Duration     `cbor:"5,keyasint"`

	ReportsCold   bool          `cbor:"6,keyasint,omitempty"`
	ColdRemaining time.Duration `cbor:"7,keyasint,omitempty"`
}

type viewAsk struct {
	Service  model.ServiceName `cbor:"1,keyasint"`
	Digest   uint64            `cbor:"2,keyasint"`
	PingOnly bool              `cbor:"3,keyasint,omitempty"`
}

type targetView struct {
	Target            model.TargetID    `cbor:"1,keyasint"`
	Addr              string            `cbor:"2,keyasint"`
	Zone              model.ZoneName    `cbor:"3,keyasint"`
	Slots             int               `cbor:"4,keyasint"`
	Incarnation       model.Incarnation `cbor:"5,keyasint"`
	Ejected           bool              `cbor:"6,keyasint,omitempty"`
	EjectionRemaining time.Duration     `cbor:"7,keyasint,omitempty"`
	Severity          float64           `cbor:"8,keyasint,omitempty"`
	Ejections         int               `cbor:"9,keyasint,omitempty"`
	ColdRemaining     time.Duration     `cbor:"10,keyasint,omitempty"`
}

type viewReply struct {
	Service model.ServiceName `cbor:"1,keyasint"`
	Epoch   model.Epoch       `cbor:"2,keyasint"`
	Digest  uint64            `cbor:"3,keyasint"`
	Targets []targetView      `cbor:"4,keyasint"`
	// QuarantinedRequests has no omitempty, which would turn an empty list into nil.
	QuarantinedRequests []quarantinedRequest `cbor:"5,keyasint"`
}

type targetRun struct {
	Target      model.TargetID    `cbor:"1,keyasint"`
	Incarnation model.Incarnation `cbor:"2,keyasint"`
	State       model.TargetState `cbor:"3,keyasint"`
}

type targetsStored struct {
	Runs []targetRun `cbor:"1,keyasint"`
}

func poolBindings() []binding {
	return []binding{
		bindInfallible(60, toSlotAsk, fromSlotAsk),
		bind(61, toSlotReply, fromSlotReply),
		bind(62, toSlotDone, fromSlotDone),
		bindInfallible(63, func(m proto.SlotCancel) slotCancel { return slotCancel(m) }, func(d slotCancel) proto.SlotCancel { return proto.SlotCancel(d) }),
		bind(64, toTargetNews, fromTargetNews),
		bindInfallible(65, func(m proto.ProbeResult) probeResult { return probeResult(m) }, func(d probeResult) proto.ProbeResult { return proto.ProbeResult(d) }),
		bindInfallible(66, func(m proto.ViewAsk) viewAsk { return viewAsk(m) }, func(d viewAsk) proto.ViewAsk { return proto.ViewAsk(d) }),
		bindInfallible(67, toViewReply, fromViewReply),
		bind(72, func(m proto.TargetsStored) (targetsStored, error) { return toTargetsStored(m), nil }, fromTargetsStored),
	}
}

func toSlotAsk(m proto.SlotAsk) slotAsk {
	return slotAsk{
		Nonce: m.Nonce, Service: m.Service, Workspace: m.Workspace, Request: m.Request, Fingerprint: m.Fingerprint, Zone: m.Zone,
		Remaining: m.Remaining, Objective: m.Objective, Exclude: m.Exclude, AtMostOnce: m.AtMostOnce, DeclinedTargets: m.DeclinedTargets,
		Counted: m.Counted, Rank: rank{Workspace: m.Rank.Workspace, Route: m.Rank.Route}, Class: m.Class,
	}
}

func fromSlotAsk(d slotAsk) proto.SlotAsk {
	return proto.SlotAsk{
		Nonce: d.Nonce, Service: d.Service, Workspace: d.Workspace, Request: d.Request, Fingerprint: d.Fingerprint, Zone: d.Zone,
		Remaining: d.Remaining, Objective: d.Objective, Exclude: d.Exclude, AtMostOnce: d.AtMostOnce, DeclinedTargets: d.DeclinedTargets,
		Counted: d.Counted, Rank: model.Rank{Workspace: d.Rank.Workspace, Route: d.Rank.Route}, Class: d.Class,
	}
}

func toSlotReply(m proto.SlotReply) (slotReply, error) {
	return slotReply{
		Nonce: m.Nonce, Status: m.Status, Slot: m.Slot, Target: m.Target, Addr: m.Addr, Incarnation: m.Incarnation,
		RetryAfter: m.RetryAfter, Epoch: m.Epoch, ListsRates: m.ListsRates, NamedRates: toNamedRates(m.NamedRates),
		ConfigVersion: m.ConfigVersion,
	}, nil
}

func fromSlotReply(d slotReply) (proto.SlotReply, error) {
	rates, err := fromNamedRates(d.NamedRates)
	if err != nil {
		return proto.SlotReply{}, err
	}
	return proto.SlotReply{
		Nonce: d.Nonce, Status: d.Status, Slot: d.Slot, Target: d.Target, Addr: d.Addr, Incarnation: d.Incarnation,
		RetryAfter: d.RetryAfter, Epoch: d.Epoch, ListsRates: d.ListsRates, NamedRates: rates,
		ConfigVersion: d.ConfigVersion,
	}, checkEnum("slot status", d.Status, proto.SlotDisplaced)
}

func toSlotDone(m proto.SlotDone) (slotDone, error) {
	return slotDone{Service: m.Service, Slot: m.Slot, Workspace: m.Workspace, Fingerprint: m.Fingerprint, Attempt: encodeAttempt(m.Attempt)}, nil
}

func fromSlotDone(d slotDone) (proto.SlotDone, error) {
	m := proto.SlotDone{Service: d.Service, Slot: d.Slot, Workspace: d.Workspace, Fingerprint: d.Fingerprint, Attempt: decodeAttempt(d.Attempt)}
	if err := checkRate(d.Attempt.Rate); err != nil {
		return m, err
	}
	return m, checkEnum("end of an attempt", d.Attempt.End, model.AttemptInvalid)
}

func toTargetsStored(m proto.TargetsStored) targetsStored {
	d := targetsStored{}
	for _, r := range m.Runs {
		d.Runs = append(d.Runs, targetRun(r))
	}
	return d
}

func fromTargetsStored(d targetsStored) (proto.TargetsStored, error) {
	var m proto.TargetsStored
	for _, r := range d.Runs {
		if err := checkEnum("target state", r.State, model.TargetLeaving); err != nil {
			return m, err
		}
		m.Runs = append(m.Runs, model.TargetRun(r))
	}
	return m, nil
}

func toTargetNews(m proto.TargetNews) (targetNews, error) {
	return targetNews{Announcement: announcement(m.Announcement), Listed: m.Listed, Age: m.Age, Silent: m.Silent}, nil
}

func fromTargetNews(d targetNews) (proto.TargetNews, error) {
	a, err := fromAnnouncement(d.Announcement)
	return proto.TargetNews{Announcement: a, Listed: d.Listed, Age: d.Age, Silent: d.Silent}, err
}

func fromAnnouncement(d announcement) (model.Announcement, error) {
	return model.Announcement(d), checkEnum("target state", d.State, model.TargetLeaving)
}

func toViewReply(m proto.ViewReply) viewReply {
	return viewReply{
		Service: m.Service, Epoch: m.Epoch, Digest: m.Digest,
		Targets:             convertSlice(m.Targets, func(t proto.TargetView) targetView { return targetView(t) }),
		QuarantinedRequests: convertSlice(m.QuarantinedRequests, toQuarantined),
	}
}

func fromViewReply(d viewReply) proto.ViewReply {
	return proto.ViewReply{
		Service: d.Service, Epoch: d.Epoch, Digest: d.Digest,
		Targets:             convertSlice(d.Targets, func(t targetView) proto.TargetView { return proto.TargetView(t) }),
		QuarantinedRequests: convertSlice(d.QuarantinedRequests, fromQuarantined),
	}
}
