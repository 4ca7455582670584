// Package admit limits the requests of each workspace to its rate and burst,
// counted over the whole fleet.
//
// An Owner holds the token buckets of the workspace shards that its host owns.
// The Limiter of each entry host draws tokens from the owners and admits a
// request for each token. Both are pure state machines: they take events with
// an instant and return effects, without clocks, goroutines or I/O of their own.
package admit

import (
	"time"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// Event is an input of a Core. The interface is sealed.
type Event interface{ isEvent() }

type (
	// Tick lets a core act on elapsed time. The runtime sends one every 20 ms.
	Tick struct{}
	// Received delivers a DrawAsk, StandbyNote or StandbyAck to an Owner, or a
	// DrawReply, ShareAsk or ShareGift to a Limiter.
	Received struct {
		From model.HostID
		Msg  proto.Message
	}
	// Configured replaces the configuration, for both cores.
	Configured struct{ Config model.Config }
	// OwnersChanged replaces the table of shard owners, for a Limiter.
	OwnersChanged struct{ Owners []proto.Owner }
	// StandbysChanged tells an Owner the standby of each workspace shard: the
	// host that is the next candidate to own it, or "" if there is none.
	StandbysChanged struct {
		Standbys [model.WorkspaceShards]model.HostID
	}
	// OwnershipGained tells an Owner that this host owns a workspace shard up to Until.
	OwnershipGained struct {
		Shard model.ShardID
		Epoch model.Epoch
		Until model.Instant
		// PreviousEpoch is the epoch directly before Epoch, or 0 if a majority of the
		// seats does not know it any more.
		PreviousEpoch model.Epoch
	}
	// OwnershipRenewed tells an Owner the new end of the lease of a shard that it owns.
	OwnershipRenewed struct {
		Shard model.ShardID
		Epoch model.Epoch
		Until model.Instant
	}
	// OwnershipLost tells an Owner that this host does not own a shard any more.
	OwnershipLost struct{ Shard model.ShardID }
	// Arrived asks a Limiter for one token on behalf of a request, which waits for it until Deadline at most.
	Arrived struct {
		Request   model.RequestID
		Workspace model.WorkspaceID
		Deadline  model.Instant
	}
	// EntryHostCountChanged tells a Limiter how many entry hosts there are.
	EntryHostCountChanged struct{ Count int }
	// PeersListed tells a Limiter other entry hosts that it may ask for tokens.
	PeersListed struct{ Peers []model.HostID }
	// EntryHostsChanged replaces an Owner's list of the entry hosts that are present.
	EntryHostsChanged struct {
		Hosts []model.HostID
		// StartedTogether lists the members of Hosts that started together with the
		// owner's process and so have used no tokens of their local shares.
		StartedTogether []model.HostID
	}
	// RequestAbandoned tells a Limiter that a request does not wait any longer.
	RequestAbandoned struct{ Request model.RequestID }
)

// Effect is an output of a Core. The interface is sealed.
type Effect interface{ isEffect() }

type (
	// Send sends a message to a host. The message may be lost.
	Send struct {
		To  model.HostID
		Msg proto.Message
	}
	// Admitted gives a request its token.
	Admitted struct{ Request model.RequestID }
	// TokenExpected reports that a draw for a waiting request is in flight and is
	// expected to be granted, so a target may be asked for at the same time.
	TokenExpected struct{ Request model.RequestID }
	// TokenDelayed revokes TokenExpected: the token takes longer, and no target
	// may be kept for the request meanwhile.
	TokenDelayed struct{ Request model.RequestID }
	// Limited refuses a request, which then does not run.
	Limited struct {
		Request    model.RequestID
		RetryAfter time.Duration
		// NoOwner is set if the request is refused because no owner answered, rather than for the rate.
		NoOwner bool
	}
)

// Core is a state machine of this package: a Limiter or an Owner.
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
func (PeersListed) isEvent()           {}
func (RequestAbandoned) isEvent()      {}

func (Send) isEffect()          {}
func (Admitted) isEffect()      {}
func (TokenExpected) isEffect() {}
func (TokenDelayed) isEffect()  {}
func (Limited) isEffect()       {}
