// Package lease implements the leases of a fleet: FreshnessClient decides how
// long an entry host may admit keyed requests without a new confirmation, Seat
// confirms configuration versions and grants leases on shards, and Claimer
// acquires the shards that a host owns. Detour finds an indirect route to the
// control hosts.
//
// A seat is a host that votes on leases and versions; a majority of the seats
// that the configuration names decides. An ask is a proto.FreshAsk or a
// proto.LeaseAsk, which hosts send at short intervals. All cores of this package
// are pure state machines: they import no clock, network, disk or lock.
package lease

import (
	"time"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// Event is an input of the cores of this package. It is a sealed interface.
type Event interface{ isEvent() }

type (
	// Tick lets a core act on elapsed time; the runtime sends one every 50 ms.
	Tick struct{}
	// Received delivers a message.
	Received struct {
		From model.HostID
		Msg  proto.Message
	}
	// Handover starts a graceful shutdown: the Claimer gives up all shards, and
	// the FreshnessClient announces this host as draining.
	Handover struct{}
	// HostsLocated adds the control hosts and seats found in this host's
	// configuration log to those of the settings. After a restart of the whole
	// fleet, the leader may be a host that the settings do not name.
	HostsLocated struct{ Seats, Controls []model.HostID }
	// HeartbeatReceived reports a member whose request the runtime answered
	// without passing it to the seat.
	HeartbeatReceived struct{ Member proto.Member }
	// ConfigEncoded returns the result of an EncodeConfig.
	ConfigEncoded struct {
		Version model.Version
		// Data is nil if the configuration could not be encoded.
		Data []byte
	}
	// GrantsPersisted reports that the grants of the PersistGrants with the same
	// number are on the disk.
	GrantsPersisted struct{ Number uint64 }
	// SnapshotDecoded returns the result of a DecodeSnapshot.
	SnapshotDecoded struct {
		Config model.Config
		// OK is false if the snapshot could not be decoded.
		OK bool
	}
)

// The effects ConfigChanged, FreshnessExtended, MembersChanged and
// QuorumsChanged of the FreshnessClient are also events: the runtime passes each
// of them to the Claimer and, where there is one, to the Seat of the same host.

// Effect is an output of the cores of this package. It is a sealed interface.
type Effect interface{ isEffect() }

type (
	// Send sends a message. The message may be lost.
	Send struct {
		To  model.HostID
		Msg proto.Message
	}
	// PersistGrants asks the runtime to write grants to the disk, then to send
	// Reply and to return Number in a GrantsPersisted. After a write error the
	// runtime does neither.
	PersistGrants struct {
		Number uint64
		Grants []proto.Owner
		Reply  Send
	}
	// EncodeConfig asks the runtime to encode a large configuration and to
	// return it in a ConfigEncoded. Encoding 320,000 workspaces inside a step
	// would delay every lease and confirmation of a seat by up to a second.
	EncodeConfig struct{ Config model.Config }
	// DecodeSnapshot asks the runtime to decode a large configuration and to
	// return it in a SnapshotDecoded.
	DecodeSnapshot struct{ Data []byte }
	// ConfigChanged publishes a newer configuration.
	ConfigChanged struct{ Config model.Config }
	// FreshnessExtended publishes a later instant up to which keyed requests may
	// be admitted.
	FreshnessExtended struct{ Until model.Instant }
	// MembersChanged publishes the live members.
	MembersChanged struct{ Members []proto.Member }
	// SeatsLocated publishes the addresses of the seats as control reports them.
	// A host without an answer from a seat of its configuration has no other
	// source of members.
	SeatsLocated struct{ Seats []proto.Member }
	// OwnersChanged publishes the owners of all shards as the seats report them.
	OwnersChanged struct{ Owners []proto.Owner }
	// EntryHostCountChanged publishes the number of entry hosts that a relay reported.
	EntryHostCountChanged struct{ Count int }
	// TargetsListed publishes all targets that a relay reported. Targets is nil
	// when the relay confirmed the list published last.
	TargetsListed struct{ Targets []model.Announcement }
	// FailedTargetsReported publishes the targets at which attempts of other
	// hosts failed recently.
	FailedTargetsReported struct{ Targets []model.TargetID }
	// QuorumsChanged publishes the lists of seats. An owner needs a majority of
	// each list. There is one list in the steady state, several while a change of
	// the seats comes into force, and none while this host cannot know them.
	QuorumsChanged struct {
		// Version is the configuration version that the lists belong to.
		Version model.Version
		Lists   [][]model.HostID
	}
	// OwnershipGained reports that this host owns a shard up to Until.
	OwnershipGained struct {
		Shard model.ShardID
		Epoch model.Epoch
		Until model.Instant
		// PreviousEpoch is the epoch granted directly before Epoch, or 0 if a majority
		// of the seats no longer knows it.
		PreviousEpoch model.Epoch
	}
	// OwnershipRenewed reports a later end of the lease on an owned shard.
	OwnershipRenewed struct {
		Shard model.ShardID
		Epoch model.Epoch
		Until model.Instant
	}
	// OwnershipLost reports that this host no longer owns a shard.
	OwnershipLost struct {
		Shard model.ShardID
		Epoch model.Epoch
	}
)

// Timing holds the durations that seats, entry hosts and owners must agree on.
type Timing struct {
	// AskInterval is the interval at which a host sends FreshAsk and LeaseAsk.
	AskInterval time.Duration
	// FreshnessDuration is how long keyed requests may be admitted after a
	// confirmed FreshAsk was sent.
	FreshnessDuration time.Duration
	// CutoffDelay is the time from the end of freshness until keyed requests in
	// flight are aborted.
	CutoffDelay time.Duration
	// LeaseDuration is how long a seat keeps a grant that is not renewed.
	LeaseDuration time.Duration
	// StageValid is how long an acknowledged SeatStage counts towards acceptance
	// after it was sent.
	StageValid time.Duration
	// SilencePeriod is how long a restarted seat waits until leases and
	// acknowledgements of its earlier run have expired. It exceeds LeaseDuration
	// and StageValid by the drift margin.
	SilencePeriod time.Duration
	// MaxClockDrift is the maximum relative error of a clock against true time,
	// such as 0.02.
	MaxClockDrift float64
	// MemberTimeout is how long a seat lists a member after its last request. With
	// a timeout of 2 s, which exceeds LeaseDuration, the shards of a lost owner have
	// no new candidate yet when its lease ends.
	MemberTimeout time.Duration
}

// DefaultTiming returns durations that end keyed requests within 5 s after a host
// is cut off: 3 s of freshness, 1 s until requests in flight are aborted, and the
// drift margins.
func DefaultTiming() Timing {
	return Timing{
		AskInterval:       400 * time.Millisecond,
		FreshnessDuration: 3 * time.Second,
		CutoffDelay:       time.Second,
		LeaseDuration:     1500 * time.Millisecond,
		StageValid:        time.Second,
		SilencePeriod:     1700 * time.Millisecond,
		MaxClockDrift:     0.02,
		MemberTimeout:     1500 * time.Millisecond,
	}
}

// Core is a state machine of this package: a FreshnessClient, a Seat, a Claimer
// or a Detour.
type Core interface {
	Step(now model.Instant, ev Event) []Effect
}

func (Tick) isEvent()              {}
func (Received) isEvent()          {}
func (Handover) isEvent()          {}
func (HeartbeatReceived) isEvent() {}
func (HostsLocated) isEvent()      {}

func (ConfigEncoded) isEvent()   {}
func (GrantsPersisted) isEvent() {}
func (SnapshotDecoded) isEvent() {}

func (ConfigChanged) isEvent()     {}
func (FreshnessExtended) isEvent() {}
func (MembersChanged) isEvent()    {}
func (QuorumsChanged) isEvent()    {}

func (Send) isEffect()                  {}
func (PersistGrants) isEffect()         {}
func (EncodeConfig) isEffect()          {}
func (DecodeSnapshot) isEffect()        {}
func (ConfigChanged) isEffect()         {}
func (FreshnessExtended) isEffect()     {}
func (MembersChanged) isEffect()        {}
func (SeatsLocated) isEffect()          {}
func (OwnersChanged) isEffect()         {}
func (QuorumsChanged) isEffect()        {}
func (EntryHostCountChanged) isEffect() {}
func (TargetsListed) isEffect()         {}
func (FailedTargetsReported) isEffect() {}
func (OwnershipGained) isEffect()       {}
func (OwnershipRenewed) isEffect()      {}
func (OwnershipLost) isEffect()         {}
