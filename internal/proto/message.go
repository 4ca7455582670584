// Package proto holds the messages between the processes of the fleet. Messages
// are plain values without encoding tags; package wire maps them to CBOR by hand.
// Every message may be lost, delayed, repeated or reordered.
package proto

import (
	"time"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// Message is a sealed interface over everything one process sends another.
type Message interface{ isMessage() }

// Envelope carries one message over a link.
type Envelope struct {
	From model.HostID
	To   model.HostID
	Body Message
}

// Role says what a process does.
type Role int

// Roles of processes.
const (
	RoleControl Role = iota + 1
	RoleEntry
	RoleJournal
	// RoleSeat confirms versions and grants leases without taking traffic.
	RoleSeat
)

// Hello is the first message on a link in each direction.
type Hello struct {
	Member Member
	// Fleet is the name of the fleet; a link between different fleets is refused.
	Fleet string
	// Protocol is the version of the message set.
	Protocol int
}

// Member describes one live process.
type Member struct {
	Host        model.HostID
	Role        Role
	Zone        model.ZoneName
	Addr        string
	Incarnation model.Incarnation
	// Draining members take no new ownership.
	Draining bool
}

// Messages of the replicated configuration log, between control hosts.
type (
	// VoteAsk asks for a vote, or with Pre whether a vote would be given.
	VoteAsk struct {
		Term      model.Term
		LastIndex uint64
		LastTerm  model.Term
		PreVote   bool
		// Nonce is set by a host without state, which asks whether the fleet already exists; the reply echoes it.
		Nonce uint64
		// BootstrapDigest is the digest of the asker's initial host lists, set together with Nonce.
		BootstrapDigest uint64
	}
	// VoteReply answers VoteAsk. A host whose log is empty after the loss of its disk does not vote.
	VoteReply struct {
		Term    model.Term
		Granted bool
		PreVote bool
		Nonce   uint64
		// LogEmpty is set when the answerer holds no log entry and has the asker's initial host lists.
		LogEmpty bool
	}
	// Append replicates entries and serves as the leader's heartbeat.
	Append struct {
		Term        model.Term
		PrevIndex   uint64
		PrevTerm    model.Term
		Entries     []LogEntry
		CommitIndex uint64
		// Round numbers heartbeat rounds; a round acknowledged by a majority proves the leadership at its start.
		Round uint64
		// AdmittedLearnerID echoes the LearnerID of a follower that may vote and count again.
		AdmittedLearnerID uint64
	}
	// AppendReply answers Append.
	AppendReply struct {
		Term model.Term
		OK   bool
		// MatchIndex is the last index known to be the same, synced to disk.
		MatchIndex uint64
		Round      uint64
		// LearnerID is a random number drawn by a host that started without state. While it is
		// not 0, the answerer counts in no majority.
		LearnerID uint64
	}
	// InstallSnapshot replaces a follower's log by an encoded state.
	InstallSnapshot struct {
		Term      model.Term
		LastIndex uint64
		LastTerm  model.Term
		Data      []byte
		Round     uint64
		// Offer is set in place of Data when the state is too long for one message.
		Offer *SnapshotOffer
	}
	// ProposeAsk forwards an operator's change from a control host to the leader.
	ProposeAsk struct {
		Nonce    uint64
		Proposal model.Proposal
	}
	// ProposeReply answers ProposeAsk.
	ProposeReply struct {
		Nonce  uint64
		Result model.Result
	}
)

// JoinAsk asks to become a control host. A host that does not lead passes it on to the leader.
type JoinAsk struct {
	Member Member
	// Forwarded is set once a host has passed it on, so that it is passed on once.
	Forwarded bool
}

// LogEntry is one entry of the replicated log. An entry without a proposal
// starts a term, or lets a host that started without state count again.
type LogEntry struct {
	Index    uint64
	Term     model.Term
	Proposal *model.Proposal
	// SeatsInForce marks, in an entry without a proposal, that the seats of the
	// last SetSeats hold it and the seats before it are no longer needed.
	SeatsInForce bool
}

// Messages that keep configurations fresh.
type (
	// FreshAsk asks a seat, the leader of control or a relay to confirm that Have is the newest version.
	// It is also the heartbeat of the member.
	FreshAsk struct {
		Nonce       uint64
		HeldVersion model.Version
		Member      Member
		// MembersDigest and OwnersDigest identify the lists the asker holds; a reply carries a list only when it differs.
		MembersDigest uint64
		OwnersDigest  uint64
		// TargetsDigest identifies the list of targets that the asker holds.
		TargetsDigest uint64
		// FailedTargets lists the targets at which attempts of the asker failed since its last ask.
		FailedTargets []model.TargetID
		// PeersDigest identifies the other entry hosts that the asker knows.
		PeersDigest uint64
		// LastReplyNonce is the nonce of the newest reply that the asker had from this relay, or 0.
		LastReplyNonce uint64
		// Starting is set while the asker knows no configuration and no control host
		// of its zone. A relay of another zone then only tells it of that one.
		Starting bool
	}
	// PeerAsk asks another host whether it reaches the owners.
	PeerAsk struct{ Nonce uint64 }
	// PeerReply says that it does.
	PeerReply struct{ Nonce uint64 }
	// FreshReply answers FreshAsk.
	FreshReply struct {
		Nonce uint64
		// Newest is the newest accepted version the answerer knows.
		Newest model.Version
		// FromControl is set when a control leader with a live quorum answers alone for the fleet.
		FromControl bool
		// Age bounds how long before the answer the confirmation was known to hold.
		Age time.Duration
		// Changes lead from the asker's version to Newest when the answerer still has them.
		Changes []model.Committed
		// Snapshot is an encoded configuration, sent when Changes cannot be.
		Snapshot []byte
		// Offer is set in place of Snapshot when that is too long for one message. The
		// configuration offered may be older than Newest.
		Offer *SnapshotOffer
		// Members and Owners are nil when the digests agree. The Members of
		// control are the seats of Newest that it has heard from, without Owners.
		Members       []Member
		MembersDigest uint64
		// MembersBaseDigest is 0 when Members is the whole list. Otherwise it is the digest of the
		// list that Members adds to or replaces in, and that Gone is removed from.
		MembersBaseDigest uint64
		RemovedMembers    []model.HostID
		Owners            []Owner
		OwnersDigest      uint64
		// SeatsSettled is set when the answerer knows that no host with another list of seats
		// than that of Newest can still have the right to serve.
		SeatsSettled bool
		// EntryHostCount is the number of live entry hosts, or 0 if the answerer does not tell it.
		EntryHostCount int
		// Targets lists all targets, as a relay tells it, or with a TargetsBaseDigest those
		// that changed since the list with that digest, of which RemovedTargets are gone.
		// It is nil when the digests agree.
		Targets           []model.Announcement
		RemovedTargets    []model.TargetID
		TargetsBaseDigest uint64
		TargetsDigest     uint64
		// FailedTargets lists the targets at which attempts of the answerer's hosts failed lately.
		FailedTargets []model.TargetID
		// Redirect is set in a reply that confirms nothing: Members are the control
		// hosts, of which the asker should ask one of its zone.
		Redirect bool
		// Peers are some entry hosts, told by a relay when the digests differ.
		Peers       []model.HostID
		PeersDigest uint64
	}
	// SeatStage hands a committed change to a seat. A change is accepted once a majority of seats hold it.
	SeatStage struct {
		Term    model.Term
		Newest  model.Version
		Changes []model.Committed
		// Snapshot is set when the seat is too far behind for Changes.
		Snapshot []byte
		// Offer is set in place of Snapshot when that is too long for one message. The
		// configuration offered may be older than Newest.
		Offer *SnapshotOffer
		// Round numbers the staging messages of a leader; the reply echoes it.
		Round uint64
	}
	// SeatStageReply answers SeatStage. It counts only for a short time after SeatStage was sent.
	SeatStageReply struct {
		Term        model.Term
		HeldVersion model.Version
		Incarnation model.Incarnation
		// Round is that of the SeatStage answered; it dates the acknowledgement.
		Round uint64
	}
	// SeatLearn asks another seat for its newest version after a restart.
	SeatLearn struct {
		Nonce       uint64
		HeldVersion model.Version
	}
	// SeatLearnReply answers SeatLearn. A seat that is itself relearning does not answer.
	SeatLearnReply struct {
		Nonce    uint64
		Newest   model.Version
		Snapshot []byte
		// Offer is set in place of Snapshot when that is too long for one message. The
		// configuration offered may be older than Newest.
		Offer *SnapshotOffer
		// Changes lead from the asker's version to Newest when the answerer still has them.
		Changes []model.Committed
	}
)

// Owner says who owns a shard.
type Owner struct {
	Shard model.ShardID
	Host  model.HostID
	Epoch model.Epoch
}

// Claim is a candidate's wish for a shard at an epoch.
type Claim struct {
	Shard model.ShardID
	Epoch model.Epoch
}

// Denial tells a candidate why a claim was not granted.
type Denial struct {
	Shard  model.ShardID
	Epoch  model.Epoch
	Holder model.HostID
}

// Messages of shard ownership, between candidates and seats.
type (
	// LeaseAsk asks a seat to grant or renew shards and names those given up.
	LeaseAsk struct {
		Nonce    uint64
		Claims   []Claim
		Released []Claim
	}
	// LeaseReply answers LeaseAsk.
	LeaseReply struct {
		Nonce   uint64
		Granted []Claim
		Denied  []Denial
		// PreviousGrants holds, for each granted shard, the epoch that the answerer granted before, if it knows one.
		PreviousGrants []Claim
	}
)

// Messages of rate and burst, between entry hosts and the owner of a workspace shard.
type (
	// DrawAsk draws tokens of a workspace.
	DrawAsk struct {
		Nonce     uint64
		Workspace model.WorkspaceID
		Tokens    int
	}
	// DrawReply answers DrawAsk.
	DrawReply struct {
		Nonce         uint64
		Workspace     model.WorkspaceID
		Epoch         model.Epoch
		GrantedTokens int
		// ValidFor bounds the use of the tokens, counted from when the DrawAsk was sent.
		ValidFor time.Duration
		// RetryAfter is when the next token is expected if fewer were granted than
		// asked for. With 0 the asker may ask again at once.
		RetryAfter time.Duration
		// NotOwner is set when the answerer does not own the shard.
		NotOwner bool
	}
)

// Messages of target assignment, between entry hosts and the owner of a service shard.
type (
	// SlotAsk asks for a slot on a target.
	SlotAsk struct {
		Nonce       uint64
		Service     model.ServiceName
		Workspace   model.WorkspaceID
		Request     model.RequestID
		Fingerprint model.Fingerprint
		Zone        model.ZoneName
		// Remaining is the time left until the caller's deadline.
		Remaining time.Duration
		// Exclude lists targets already tried; a non-empty list makes this a retry.
		Exclude []model.TargetID
		// AtMostOnce is set if the request must not run on another target after it may have run.
		AtMostOnce bool
		// DeclinedTargets lists targets that the asker does not want and has not tried.
		DeclinedTargets []model.TargetID
	}
	// SlotReply answers SlotAsk.
	SlotReply struct {
		Nonce  uint64
		Status SlotStatus
		// Slot names the assignment in SlotDone.
		Slot        uint64
		Target      model.TargetID
		Addr        string
		Incarnation model.Incarnation
		RetryAfter  time.Duration
		Epoch       model.Epoch
	}
	// SlotDone returns a slot with what became of the attempt.
	SlotDone struct {
		Service     model.ServiceName
		Slot        uint64
		Workspace   model.WorkspaceID
		Fingerprint model.Fingerprint
		Attempt     model.Attempt
	}
	// SlotCancel withdraws a waiting SlotAsk.
	SlotCancel struct {
		Service model.ServiceName
		Nonce   uint64
	}
	// TargetNews forwards an announcement from the entry host that took it.
	TargetNews struct{ Announcement model.Announcement }
	// ProbeResult reports a health probe made by an entry host on behalf of the owner.
	ProbeResult struct {
		Service     model.ServiceName
		Target      model.TargetID
		Incarnation model.Incarnation
		OK          bool
		Latency     time.Duration
	}
	// ViewAsk asks the owner for the targets of a service, for use while it has no owner.
	ViewAsk struct {
		Service model.ServiceName
		Digest  uint64
		// PingOnly asks whether the owner responds, and for no list.
		PingOnly bool
	}
	// ViewReply answers ViewAsk; Targets is nil when the digests agree. Digest
	// is 0 while a new owner still reconstructs its state and has no view.
	ViewReply struct {
		Service model.ServiceName
		Epoch   model.Epoch
		Digest  uint64
		Targets []TargetView
		// QuarantinedRequests comes with Targets.
		QuarantinedRequests []QuarantinedRequest
	}
)

// SlotStatus says how a SlotAsk ended.
type SlotStatus int

// Ends of a SlotAsk.
const (
	SlotAssigned SlotStatus = iota + 1
	// SlotNotOwner means the answerer does not own the service's shard.
	SlotNotOwner
	// SlotNoTarget means the service has no usable target.
	SlotNoTarget
	// SlotQueueFull means the workspace already has its share of waiting requests.
	SlotQueueFull
	// SlotTooLate means the request could not have met its deadline.
	SlotTooLate
	// SlotNoRetry means the retry budget of the service is spent.
	SlotNoRetry
	// SlotQuarantined means like requests of this workspace crashed targets.
	SlotQuarantined
)

// TargetView is what an entry host needs to know of a target while the service has no owner.
type TargetView struct {
	Target      model.TargetID
	Addr        string
	Zone        model.ZoneName
	Slots       int
	Incarnation model.Incarnation
	Ejected     bool
	// EjectionRemaining, Severity and Ejections are set with Ejected; see EjectedTarget.
	EjectionRemaining time.Duration
	Severity          float64
	Ejections         int
}

// Messages that gather evidence and service levels.
type (
	// EvidenceAsk asks an entry host what it still runs for a workspace.
	EvidenceAsk struct {
		Nonce     uint64
		Workspace model.WorkspaceID
	}
	// EvidenceReply answers EvidenceAsk.
	EvidenceReply struct {
		Nonce       uint64
		Workspace   model.WorkspaceID
		HeldVersion model.Version
		// InFlight counts the workspace's requests that have not ended on this host.
		InFlight int
		// EverAdmitted tells whether a request was ever admitted, SinceLastAdmission how long ago the last was.
		EverAdmitted       bool
		SinceLastAdmission time.Duration
		// FreshFor is how long the host may go on serving without a new confirmation.
		FreshFor time.Duration
	}
	// BurnAsk asks an entry host for its service-level counters.
	BurnAsk struct{ Nonce uint64 }
	// BurnReply answers BurnAsk with an encoded counter set of package burn.
	BurnReply struct {
		Nonce uint64
		Data  []byte
	}
	// StatusAsk asks a host for a status page section.
	StatusAsk struct{ Nonce uint64 }
	// StatusReply answers StatusAsk with JSON for the operators' tools.
	StatusReply struct {
		Nonce uint64
		Data  []byte
	}
	// QuarantineClear removes quarantined fingerprints of a workspace at the owner of a service.
	QuarantineClear struct {
		Service   model.ServiceName
		Workspace model.WorkspaceID
	}
)
