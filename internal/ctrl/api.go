// Package ctrl is the replicated configuration log: the project's own
// consensus among 3 or 5 control hosts as a pure state machine. It imports no
// clock, network, disk or lock; a runtime carries out its effects in order.
package ctrl

import (
	"time"

	"tarragongauge.example/tarragongauge/internal/codec"
	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// Event is an input of a Core. It is a sealed interface.
type Event interface{ isEvent() }

type (
	// Tick lets the core act on elapsed time; the runtime sends one every 20 to 50 ms.
	Tick struct{}
	// Received delivers a message of the log protocol, a SeatStageReply,
	// a ProposeAsk, a ProposeReply, a PartAsk or a Part.
	Received struct {
		From model.HostID
		Msg  proto.Message
	}
	// Persisted tells that the Persist effect with this sequence number is synced.
	Persisted struct{ Seq uint64 }
	// DiskFailed tells that a write or sync failed. The core answers nothing that needs the disk again.
	DiskFailed struct{}
	// Proposed is a change from an operator at this host.
	Proposed struct {
		Nonce    uint64
		Proposal model.Proposal
	}
	// Encoded ends an Encode with the same number. Data is nil if the state could not be encoded.
	Encoded struct {
		ID   uint64
		Data []byte
	}
)

// Effect is an output of a Core. It is a sealed interface.
type Effect interface{ isEffect() }

type (
	// Send sends a message; loss is allowed.
	Send struct {
		To  model.HostID
		Msg proto.Message
	}
	// Persist makes a record durable. Effects after it in the same step do not
	// wait for it; whatever must wait is emitted by the Persisted event.
	Persist struct {
		Seq uint64
		// Term and VotedFor are the hard state after this record.
		Term     model.Term
		VotedFor model.HostID
		// TruncateFrom removes entries from this index on before appending, unless 0.
		TruncateFrom uint64
		Entries      []proto.LogEntry
		// Snapshot replaces the log up to its index, unless nil. Such a record
		// is complete by itself: Entries then holds the whole log after it.
		Snapshot *Snapshot
		// LearnerID has the meaning of RecoveredState.LearnerID.
		LearnerID uint64
	}
	// Encode asks the runtime to encode a large state and to return it as
	// Encoded. Inside a step, 320,000 workspaces delay heartbeats beyond the
	// election timeout. With ConfigOnly the configuration alone is encoded.
	Encode struct {
		ID         uint64
		State      codec.ControlState
		ConfigOnly bool
	}
	// ConfigApplied publishes a new configuration on this host.
	ConfigApplied struct{ Config model.Config }
	// Reply answers the Proposed event with the same nonce.
	Reply struct {
		Nonce  uint64
		Result model.Result
	}
	// LeaderChanged tells who leads; Leader is empty when unknown.
	LeaderChanged struct {
		Term   model.Term
		Leader model.HostID
	}
)

// Snapshot is the state at a log index, encoded by package codec.
type Snapshot struct {
	Index uint64
	Term  model.Term
	Data  []byte
}

// RecoveredState is what the store found on disk when the host started.
type RecoveredState struct {
	Term     model.Term
	VotedFor model.HostID
	Snapshot *Snapshot
	Entries  []proto.LogEntry
	// Empty is set when the data folder held no state. Such a host gives no
	// vote and counts in no majority until it has caught up with a leader,
	// unless the fleet is being created.
	Empty bool
	// LearnerID is not 0 on a host that started empty and was not admitted yet.
	LearnerID uint64
}

// AuditEntry is one accepted or refused change.
type AuditEntry struct {
	Committed model.Committed
	Result    model.Result
}

// LeadershipConfirmation is what a host may tell an asker about the newest version.
type LeadershipConfirmation struct {
	// OK is set when the answer is safe: this host leads and a majority
	// acknowledged a heartbeat round that began Age ago.
	OK            bool
	NewestVersion model.Version
	Age           time.Duration
}

// Core is the consensus state machine of one control host.
type Core interface {
	Step(now model.Instant, ev Event) []Effect
	// Config returns the newest applied configuration.
	Config() model.Config
	// ConfirmLeadership answers a FreshAsk on behalf of the whole of control.
	ConfirmLeadership(now model.Instant) LeadershipConfirmation
	// Changes returns the applied changes after a version, and false if they are no longer held.
	Changes(after model.Version) ([]model.Committed, bool)
	// AuditEntries returns the newest n entries of the audit list, newest first.
	AuditEntries(n int) []AuditEntry
	// AcceptedAt returns when this host, as leader, accepted a version, and
	// false if it does not know. It starts the bound of the evidence report.
	AcceptedAt(v model.Version) (model.Instant, bool)
}

func (Tick) isEvent()       {}
func (Received) isEvent()   {}
func (Persisted) isEvent()  {}
func (DiskFailed) isEvent() {}
func (Proposed) isEvent()   {}
func (Encoded) isEvent()    {}

func (Send) isEffect()          {}
func (Persist) isEffect()       {}
func (Encode) isEffect()        {}
func (ConfigApplied) isEffect() {}
func (Reply) isEffect()         {}
func (LeaderChanged) isEffect() {}
