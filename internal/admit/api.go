// Package admit decides which workspace a request runs for and whether it is
// within that workspace's rate and burst, counted over the whole fleet. The
// bucket lives at the owner of the workspace's shard; the wallet of each entry
// host draws tokens from it. Both are pure state machines.
package admit

import (
	"time"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// Event is an input of the cores of this package. It is a sealed interface.
type Event interface{ isEvent() }

type (
	// Tick lets a core act on elapsed time; the runtime sends one every 20 ms.
	Tick struct{}
	// Received delivers a DrawAsk, StandbyNote or StandbyAck to the owner or a DrawReply to the wallet.
	Received struct {
		From model.HostID
		Msg  proto.Message
	}
	// Configured replaces the configuration.
	Configured struct{ Config model.Config }
	// OwnersChanged replaces the table of owners, for the wallet.
	OwnersChanged struct{ Owners []proto.Owner }
	// StandbysChanged replaces the next candidate for each workspace shard, for the owner core.
	StandbysChanged struct {
		Standbys [model.WorkspaceShards]model.HostID
	}
	// OwnershipGained tells the owner core that this host owns a workspace shard up to Until.
	OwnershipGained struct {
		Shard model.ShardID
		Epoch model.Epoch
		Until model.Instant
		// PreviousEpoch is the epoch directly before Epoch, or 0 if the seats do not know it.
		PreviousEpoch model.Epoch
	}
	// OwnershipRenewed moves the end of an owned shard's lease.
	OwnershipRenewed struct {
		Shard model.ShardID
		Epoch model.Epoch
		Until model.Instant
	}
	// OwnershipLost tells the owner core that this host does not own a shard any more.
	OwnershipLost struct{ Shard model.ShardID }
	// Arrived asks the wallet for one token on behalf of a request that waits until Deadline at most.
	Arrived struct {
		Request   model.RequestID
		Workspace model.WorkspaceID
		Deadline  model.Instant
	}
	// EntryHostCountChanged tells the wallet how many entry hosts there are.
	EntryHostCountChanged struct{ Count int }
	// EntryHostsChanged replaces the list of the entry hosts that are heard, for the owner core.
	EntryHostsChanged struct {
		Hosts []model.HostID
		// StartedTogether are those of them that started together with the owner's process, and
		// so have used no shares.
		StartedTogether []model.HostID
	}
	// RequestAbandoned withdraws a waiting request.
	RequestAbandoned struct{ Request model.RequestID }
)

// Effect is an output of the cores of this package. It is a sealed interface.
type Effect interface{ isEffect() }

type (
	// Send sends a message; loss is allowed.
	Send struct {
		To  model.HostID
		Msg proto.Message
	}
	// Admitted lets a request go on.
	Admitted struct{ Request model.RequestID }
	// TokenExpected tells that a draw for a waiting request is under way and expected
	// to be granted, so a target may be asked for at the same time.
	TokenExpected struct{ Request model.RequestID }
	// TokenDelayed takes TokenExpected back: the token takes longer, and a target must not be kept for it.
	TokenDelayed struct{ Request model.RequestID }
	// Limited refuses a request as not run.
	Limited struct {
		Request    model.RequestID
		RetryAfter time.Duration
		// NoOwner is set when the refusal is due to a missing owner rather than the rate.
		NoOwner bool
	}
)

// Core is the wallet of an entry host or the bucket set of an owner.
type Core interface {
	Step(now model.Instant, ev Event) []Effect
}

func (Tick) isEvent()                  {}
func (Received) isEvent()              {}
func (Configured) isEvent()            {}
func (OwnersChanged) isEvent()         {}
func (StandbysChanged) isEvent()       {}
func (OwnershipGained) isEvent()       {}
func (OwnershipRenewed) isEvent()      {}
func (OwnershipLost) isEvent()         {}
func (Arrived) isEvent()               {}
func (EntryHostCountChanged) isEvent() {}
func (EntryHostsChanged) isEvent()     {}
func (RequestAbandoned) isEvent()      {}

func (Send) isEffect()          {}
func (Admitted) isEffect()      {}
func (TokenExpected) isEffect() {}
func (TokenDelayed) isEffect()  {}
func (Limited) isEffect()       {}
