// Package lease decides how long an entry host may serve without a new
// confirmation, what a seat confirms, and who owns a shard. All three are pure
// state machines: they import no clock, network, disk or lock.
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
	// Handover asks an owner to give up all shards before shutdown, and the
	// freshness client to announce this host as draining.
	Handover struct{}
	// HostsLocated names the control hosts and seats that the log of this host knows, in
	// addition to those of the settings: after all hosts of a fleet have
	// restarted, its leader may be none of the hosts that the settings name.
	HostsLocated struct{ Seats, Controls []model.HostID }
	// HeartbeatReceived is a heartbeat of a member that was answered without the seat.
	HeartbeatReceived struct{ Member proto.Member }
	// ConfigEncoded ends an EncodeConfig.
	ConfigEncoded struct {
		Version model.Version
		// Data is nil if the configuration could not be encoded.
		Data []byte
	}
	// GrantsPersisted ends a Keep: its grants are on the disk.
	GrantsPersisted struct{ Number uint64 }
	// SnapshotDecoded ends a DecodeSnapshot.
	SnapshotDecoded struct {
		Config model.Config
		// OK is not set if the snapshot could not be decoded.
		OK bool
	}
)

// The effects ConfigChanged, FreshUntil, MembersChanged and QuorumsChanged of
// the freshness client are also events: the runtime hands each of them to the
// Claimer and, where there is one, to the Seat of the same host.

// Effect is an output of the cores of this package. It is a sealed interface.
type Effect interface{ isEffect() }

type (
	// Send sends a message; loss is allowed.
	Send struct {
		To  model.HostID
		Msg proto.Message
	}
	// PersistGrants asks the runtime to write grants to the disk, then to send a message
	// and to return the number as Kept. After an error neither happens.
	PersistGrants struct {
		Number uint64
		Grants []proto.Owner
		Reply  Send
	}
	// EncodeConfig asks the runtime to encode a large configuration and to
	// return it as ConfigEncoded. Inside a step, 320,000 workspaces delay every
	// lease and confirmation of a seat by up to a second.
	EncodeConfig struct{ Config model.Config }
	// DecodeSnapshot asks the runtime to decode a large configuration and to
	// return it as SnapshotDecoded.
	DecodeSnapshot struct{ Data []byte }
	// ConfigChanged publishes a newer configuration.
	ConfigChanged struct{ Config model.Config }
	// FreshnessExtended moves the instant up to which keyed requests may be admitted.
	FreshnessExtended struct{ Until model.Instant }
	// MembersChanged publishes the live members.
	MembersChanged struct{ Members []proto.Member }
	// SeatsLocated publishes where seats are, as control reports them. Until a
	// host has heard from a seat of its configuration it knows no other members.
	SeatsLocated struct{ Seats []proto.Member }
	// OwnersChanged publishes the owners of all shards as seats report them.
	OwnersChanged struct{ Owners []proto.Owner }
	// EntryHostCountChanged publishes how many entry hosts there are, as a relay tells it.
	EntryHostCountChanged struct{ Count int }
	// TargetsListed publishes all targets, as a relay tells it. Targets is nil
	// when the relay confirmed the list published last.
	TargetsListed struct{ Targets []model.Announcement }
	// FailedTargetsReported publishes the targets at which attempts of other hosts failed lately.
	FailedTargetsReported struct{ Targets []model.TargetID }
	// QuorumsChanged publishes the lists of seats of which an owner needs a
	// majority each. It is one list in the steady state, several while a change
	// of the seats comes into force, and none while this host cannot know them.
	QuorumsChanged struct {
		// Version is the version of the configuration that the lists belong to.
		Version model.Version
		Lists   [][]model.HostID
	}
	// OwnershipGained tells that this host owns a shard up to Until.
	OwnershipGained struct {
		Shard model.ShardID
		Epoch model.Epoch
		Until model.Instant
		// PreviousEpoch is the epoch directly before Epoch, or 0 if a majority of the
		// seats does not know it any more.
		PreviousEpoch model.Epoch
	}
	// OwnershipRenewed moves the end of an owned shard's lease.
	OwnershipRenewed struct {
		Shard model.ShardID
		Epoch model.Epoch
		Until model.Instant
	}
	// OwnershipLost tells that this host does not own a shard any more.
	OwnershipLost struct {
		Shard model.ShardID
		Epoch model.Epoch
	}
)

// Timing holds the durations that seats, entry hosts and owners must agree on.
type Timing struct {
	// AskInterval is the interval between two FreshAsk or LeaseAsk of a host.
	AskInterval time.Duration
	// FreshnessDuration is how long after the sending of a confirmed ask keyed requests may be admitted.
	FreshnessDuration time.Duration
	// CutoffDelay is how long after the end of freshness keyed requests in flight are ended.
	CutoffDelay time.Duration
	// LeaseDuration is how long a seat keeps a grant.
	LeaseDuration time.Duration
	// StageValid is how long after its sending a SeatStage counts towards acceptance.
	StageValid time.Duration
	// SilencePeriod is how long a restarted seat answers nothing. It exceeds Lease and StageValid by the drift margin.
	SilencePeriod time.Duration
	// MaxClockDrift is the greatest relative error between two clocks, such as 0.02.
	MaxClockDrift float64
	// MemberTimeout removes a member that has not asked. At 2 s shards waited for
	// the next candidate after the lease of their owner had ended.
	MemberTimeout time.Duration
}

// DefaultTiming ends keyed work within 5 s of a cut: 3 s of freshness and 1 s to end requests in flight.
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

// Core is a state machine of this package: the freshness client of an entry
// host, a seat, or an ownership candidate.
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
