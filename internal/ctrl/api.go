// Package ctrl implements the replicated configuration log, a consensus
// protocol in the manner of Raft among 3 or 5 control hosts. A control host is
// a pure state machine without a clock, network, disk or lock: the runtime
// passes it events with the current time, and carries out the effects that it
// returns in order.
//
// A change needs two majorities. It is committed once a majority of the control
// hosts holds it on disk. It is accepted, which is what its author is told,
// once a majority of the seats holds it too. Seats are the hosts that grant the
// ownership of shards; sending committed changes to them is called staging.
package ctrl

import (
	"time"

	"tarragongauge.example/tarragongauge/internal/codec"
	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// Event is an input of a Core. Only types of this package implement it.
type Event interface{ isEvent() }

type (
	// Tick lets the core act on elapsed time, such as an election timeout. The
	// runtime sends one every 20 to 50 ms.
	Tick struct{}
	// Received delivers a message of another host: one of the log protocol, a
	// SeatStageReply, a ProposeAsk, a ProposeReply, a PartAsk or a Part.
	Received struct {
		From model.HostID
		Msg  proto.Message
	}
	// Persisted reports that the records of the Persist effects up to this
	// sequence number are durable.
	Persisted struct{ Seq uint64 }
	// DiskFailed reports that a write or sync failed. Afterwards the core
	// ignores all events, except that it answers Proposed with ResultNotLeader.
	DiskFailed struct{}
	// Proposed submits a change from an operator at this host. The Reply with
	// the same nonce answers it.
	Proposed struct {
		Nonce    uint64
		Proposal model.Proposal
	}
	// Withdrawn ends the wait for the Reply with a nonce. A forwarded proposal is not
	// sent to the leader again, where it would follow changes that were acknowledged
	// meanwhile.
	Withdrawn struct{ Nonce uint64 }
	// Encoded returns the result of the Encode effect with the same ID. Data is
	// nil if the state could not be encoded.
	Encoded struct {
		ID   uint64
		Data []byte
	}
)

// Effect is an output of a Core. Only types of this package implement it.
type Effect interface{ isEffect() }

type (
	// Send sends a message to another host. The message may be lost.
	Send struct {
		To  model.HostID
		Msg proto.Message
	}
	// Persist makes a record durable. Effects after it in the same step do not
	// wait for it; effects that depend on the record are returned by the step
	// of its Persisted event.
	Persist struct {
		Seq uint64
		// Term and VotedFor are the hard state after this record.
		Term     model.Term
		VotedFor model.HostID
		// TruncateFrom is the index from which on entries are removed before
		// Entries are appended, or 0 to remove none.
		TruncateFrom uint64
		Entries      []proto.LogEntry
		// Snapshot replaces the log up to its index, unless nil. A record with
		// a snapshot is complete by itself: Entries then holds the whole log
		// after the snapshot.
		Snapshot *Snapshot
		// LearnerID has the meaning of RecoveredState.LearnerID.
		LearnerID uint64
	}
	// Encode asks the runtime to encode a large state and to return the result
	// as Encoded. Encoding 320,000 workspaces inside a step would delay
	// heartbeats beyond the election timeout. With ConfigOnly only the
	// configuration is encoded.
	Encode struct {
		ID         uint64
		State      codec.ControlState
		ConfigOnly bool
	}
	// ConfigApplied publishes a configuration that this host has newly applied.
	ConfigApplied struct{ Config model.Config }
	// Reply answers the Proposed event with the same nonce.
	Reply struct {
		Nonce  uint64
		Result model.Result
	}
	// LeaderChanged reports that this host follows another leader. Leader is
	// empty when no leader is known.
	LeaderChanged struct {
		Term   model.Term
		Leader model.HostID
	}
)

// Snapshot is the state after the log entry Index, encoded by
// codec.EncodeControlState.
type Snapshot struct {
	Index uint64
	Term  model.Term
	Data  []byte
}

// RecoveredState is the state that the store held on disk when the host
// started.
type RecoveredState struct {
	Term     model.Term
	VotedFor model.HostID
	Snapshot *Snapshot
	Entries  []proto.LogEntry
	// Empty is set when the data folder held no state. Such a host gives no
	// vote and counts in no majority until a leader has admitted it, unless the
	// fleet is being created.
	Empty bool
	// LearnerID is the random number of a host that started without state and
	// was not admitted since, or 0.
	LearnerID uint64
}

// AuditEntry is a committed change with its result, which may be a refusal.
type AuditEntry struct {
	Committed model.Committed
	Result    model.Result
}

// LeadershipConfirmation is the result of Core.ConfirmLeadership. The other
// fields are zero unless OK is set.
type LeadershipConfirmation struct {
	// OK is set when this host leads and a majority of the control hosts
	// answered a heartbeat round that began Age ago. No other leader can have
	// accepted a version newer than NewestVersion before that round.
	OK            bool
	NewestVersion model.Version
	Age           time.Duration
}

// Core is the consensus state machine of one control host.
type Core interface {
	// Step handles one event and returns its effects.
	Step(now model.Instant, ev Event) []Effect
	// Config returns the newest applied configuration.
	Config() model.Config
	// ConfirmLeadership reports whether this host leads with a live majority. A
	// leader that does may answer a FreshAsk for the whole fleet.
	ConfirmLeadership(now model.Instant) LeadershipConfirmation
	// Changes returns the applied changes after a version, and false if they
	// are no longer held or are too long for a message.
	Changes(after model.Version) ([]model.Committed, bool)
	// AuditEntries returns the newest n entries of the audit list, newest
	// first.
	AuditEntries(n int) []AuditEntry
	// AcceptedAt returns when this host, as the leader, accepted a version, and
	// false if it does not know. The evidence report counts its time limit from
	// then on.
	AcceptedAt(v model.Version) (model.Instant, bool)
}

func (Tick) isEvent()       {}
func (Received) isEvent()   {}
func (Persisted) isEvent()  {}
func (DiskFailed) isEvent() {}
func (Proposed) isEvent()   {}
func (Withdrawn) isEvent()  {}
func (Encoded) isEvent()    {}

func (Send) isEffect()          {}
func (Persist) isEffect()       {}
func (Encode) isEffect()        {}
func (ConfigApplied) isEffect() {}
func (Reply) isEffect()         {}
func (LeaderChanged) isEffect() {}
