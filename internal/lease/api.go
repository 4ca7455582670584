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
	// Located names the control hosts and seats that the log of this host knows, in
	// addition to those of the settings: after all hosts of a fleet have
	// restarted, its leader may be none of the hosts that the settings name.
	Located struct{ Seats, Controls []model.HostID }
	// Heard is a heartbeat of a member that was answered without the seat.
	Heard struct{ Member proto.Member }
	// ConfigEncoded ends an EncodeConfig.
	ConfigEncoded struct {
		Version model.Version
		// Data is nil if the configuration could not be encoded.
		Data []byte
	}
	// Kept ends a Keep: its grants are on the disk.
	Kept struct{ Number uint64 }
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
	// Keep asks the runtime to write grants to the disk, then to send a message
	// and to return the number as Kept. After an error neither happens.
	Keep struct {
		Number uint64
		Grants []proto.Owner
		Then   Send
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
	// FreshUntil moves the instant up to which keyed requests may be admitted.
	FreshUntil struct{ Until model.Instant }
	// MembersChanged publishes the live members.
	MembersChanged struct{ Members []proto.Member }
	// SeatsLocated publishes where seats are, as control reports them. Until a
	// host has heard from a seat of its configuration it knows no other members.
	SeatsLocated struct{ Seats []proto.Member }
	// OwnersChanged publishes the owners of all shards as seats report them.
	OwnersChanged struct{ Owners []proto.Owner }
	// HostsCounted publishes how many entry hosts there are, as a relay tells it.
	HostsCounted struct{ Hosts int }
	// TargetsListed publishes all targets, as a relay tells it. Targets is nil
	// when the relay confirmed the list published last.
	TargetsListed struct{ Targets []model.Announcement }
	// TargetsDoubted publishes the targets at which attempts of other hosts failed lately.
	TargetsDoubted struct{ Targets []model.TargetID }
	// QuorumsChanged publishes the lists of seats of which an owner needs a
	// majority each. It is one list in the steady state, several while a change
	// of the seats comes into force, and none while this host cannot know them.
	QuorumsChanged struct {
		// Version is the version of the configuration that the lists belong to.
		Version model.Version
		Lists   [][]model.HostID
	}
	// Gained tells that this host owns a shard up to Until.
	Gained struct {
		Shard model.ShardID
		Epoch model.Epoch
		Until model.Instant
		// PreviousEpoch is the epoch directly before Epoch, or 0 if a majority of the
		// seats does not know it any more.
		PreviousEpoch model.Epoch
	}
	// Renewed moves the end of an owned shard's lease.
	Renewed struct {
		Shard model.ShardID
		Epoch model.Epoch
		Until model.Instant
	}
	// Lost tells that this host does not own a shard any more.
	Lost struct {
		Shard model.ShardID
		Epoch model.Epoch
	}
)

// Timing holds the durations that seats, entry hosts and owners must agree on.
type Timing struct {
	// Ask is the interval between two FreshAsk or LeaseAsk of a host.
	Ask time.Duration
	// Fresh is how long after the sending of a confirmed ask keyed requests may be admitted.
	Fresh time.Duration
	// Cut is how long after the end of freshness keyed requests in flight are ended.
	Cut time.Duration
	// Lease is how long a seat keeps a grant.
	Lease time.Duration
	// StageValid is how long after its sending a SeatStage counts towards acceptance.
	StageValid time.Duration
	// Silence is how long a restarted seat answers nothing. It exceeds Lease and StageValid by the drift margin.
	Silence time.Duration
	// Drift is the greatest relative error between two clocks, such as 0.02.
	Drift float64
	// MemberTimeout removes a member that has not asked. At 2 s shards waited for
	// the next candidate after the lease of their owner had ended.
	MemberTimeout time.Duration
}

// DefaultTiming ends keyed work within 5 s of a cut: 3 s of freshness and 1 s to end requests in flight.
func DefaultTiming() Timing {
	return Timing{
		Ask:           400 * time.Millisecond,
		Fresh:         3 * time.Second,
		Cut:           time.Second,
		Lease:         1500 * time.Millisecond,
		StageValid:    time.Second,
		Silence:       1700 * time.Millisecond,
		Drift:         0.02,
		MemberTimeout: 1500 * time.Millisecond,
	}
}

// Core is a state machine of this package: the freshness client of an entry
// host, a seat, or an ownership candidate.
type Core interface {
	Step(now model.Instant, ev Event) []Effect
}

func (Tick) isEvent()     {}
func (Received) isEvent() {}
func (Handover) isEvent() {}
func (Heard) isEvent()    {}
func (Located) isEvent()  {}

func (ConfigEncoded) isEvent()   {}
func (Kept) isEvent()            {}
func (SnapshotDecoded) isEvent() {}

func (ConfigChanged) isEvent()  {}
func (FreshUntil) isEvent()     {}
func (MembersChanged) isEvent() {}
func (QuorumsChanged) isEvent() {}

func (Send) isEffect()           {}
func (Keep) isEffect()           {}
func (EncodeConfig) isEffect()   {}
func (DecodeSnapshot) isEffect() {}
func (ConfigChanged) isEffect()  {}
func (FreshUntil) isEffect()     {}
func (MembersChanged) isEffect() {}
func (SeatsLocated) isEffect()   {}
func (OwnersChanged) isEffect()  {}
func (QuorumsChanged) isEffect() {}
func (HostsCounted) isEffect()   {}
func (TargetsListed) isEffect()  {}
func (TargetsDoubted) isEffect() {}
func (Gained) isEffect()         {}
func (Renewed) isEffect()        {}
func (Lost) isEffect()           {}
