// Package proto holds the messages between the processes of the fleet. Messages
// are plain values without encoding tags; package wire maps them to CBOR by hand.
// Every message may be lost, delayed, repeated or reordered.
package proto

import (
	"time"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// Message is implemented by every type that one process sends another. It is
// sealed: only types of this package implement it.
type Message interface{ isMessage() }

// Envelope carries one message over a link.
type Envelope struct {
	From model.HostID
	To   model.HostID
	Body Message
}

// Role is the kind of a process in the fleet.
type Role int

// Roles of processes.
const (
	// RoleControl replicates the configuration log.
	RoleControl Role = iota + 1
	// RoleEntry takes the traffic of callers.
	RoleEntry
	// RoleJournal stores the reservations and answers of orders.
	RoleJournal
	// RoleSeat confirms versions and grants leases, but takes no traffic.
	RoleSeat
)

// Hello is the first message on a link in each direction.
type Hello struct {
	Member Member
	// Fleet is the name of the sender's fleet. Links between different fleets are refused.
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
	// Draining is set while the member takes no further shards.
	Draining bool
}

// Messages of the replicated configuration log, between control hosts.
type (
	// VoteAsk asks for a vote in an election. With PreVote it only asks whether
	// the vote would be granted.
	VoteAsk struct {
		Term      model.Term
		LastIndex uint64
		LastTerm  model.Term
		PreVote   bool
		// Nonce is set by a host without state, which asks whether the fleet already exists. The reply echoes it.
		Nonce uint64
		// BootstrapDigest identifies the initial host lists of the asker. It is set together with Nonce.
		BootstrapDigest uint64
	}
	// VoteReply answers VoteAsk. A host whose log is empty after the loss of its disk does not vote.
	VoteReply struct {
		Term    model.Term
		Granted bool
		PreVote bool
		Nonce   uint64
		// LogEmpty is set when the answerer has no log entry and the same initial host lists as the asker.
		LogEmpty bool
	}
	// Append replicates log entries. With or without entries it is also the leader's heartbeat.
	Append struct {
		Term        model.Term
		PrevIndex   uint64
		PrevTerm    model.Term
		Entries     []LogEntry
		CommitIndex uint64
		// Round is the number of the heartbeat round. A round that a majority acknowledged
		// proves that the sender was the leader when the round began.
		Round uint64
		// AdmittedLearnerID echoes the LearnerID of a follower that may vote and counts
		// in majorities again.
		AdmittedLearnerID uint64
	}
	// AppendReply answers Append.
	AppendReply struct {
		Term model.Term
		OK   bool
		// MatchIndex is the last index up to which the follower's log is synced to disk
		// and known to equal the leader's.
		MatchIndex uint64
		Round      uint64
		// LearnerID is a random number that a host draws when it starts without state.
		// While it is not 0, the answerer counts in no majority.
		LearnerID uint64
	}
	// InstallSnapshot replaces a follower's log up to LastIndex by an encoded state.
	InstallSnapshot struct {
		Term      model.Term
		LastIndex uint64
		LastTerm  model.Term
		Data      []byte
		Round     uint64
		// Offer names the state in place of Data when that is too long for one message.
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

// LogEntry is one entry of the replicated log. An entry without a proposal
// starts a term, or lets a host that started without state count in majorities
// again.
type LogEntry struct {
	Index    uint64
	Term     model.Term
	Proposal *model.Proposal
	// SeatsInForce is set in an entry without a proposal once the seats of the
	// last SetSeats hold that change, so that the previous seats are no longer needed.
	SeatsInForce bool
}

// Messages that confirm and distribute configuration versions and fleet lists.
type (
	// FreshAsk asks a seat, the leader of the control hosts or a relay to confirm
	// that HeldVersion is the newest version. It is also the heartbeat of the member.
	FreshAsk struct {
		Nonce       uint64
		HeldVersion model.Version
		Member      Member
		// MembersDigest and OwnersDigest identify the lists that the asker holds. A reply carries
		// a list only when it differs.
		MembersDigest uint64
		OwnersDigest  uint64
		// TargetsDigest identifies the list of targets that the asker holds.
		TargetsDigest uint64
		// FailedTargets lists the targets at which attempts of the asker failed since its last FreshAsk.
		FailedTargets []model.TargetID
		// PeersDigest identifies the other entry hosts that the asker knows.
		PeersDigest uint64
		// LastReplyNonce is the nonce of the newest reply that the asker received from this relay, or 0.
		LastReplyNonce uint64
		// Starting is set while the asker knows no configuration and no control host of its
		// zone. A relay of another zone then replies with Redirect, if it knows a control host
		// of that zone.
		Starting bool
	}
	// PeerAsk asks another host whether it reaches the owners.
	PeerAsk struct{ Nonce uint64 }
	// PeerReply answers PeerAsk. It is sent only by a host that reaches the owners.
	PeerReply struct{ Nonce uint64 }
	// FreshReply answers FreshAsk.
	FreshReply struct {
		Nonce uint64
		// Newest is the newest accepted version that the answerer knows.
		Newest model.Version
		// FromControl is set when the leader of the control hosts confirmed the version while
		// it had a live quorum, so that this reply alone is sufficient for the whole fleet.
		FromControl bool
		// Age is the maximum time between the instant at which the confirmation held and the reply.
		Age time.Duration
		// Changes lead from the asker's version to Newest. They are absent if the answerer no
		// longer holds all of them.
		Changes []model.Committed
		// Snapshot is an encoded configuration, sent if Changes cannot be.
		Snapshot []byte
		// Offer names a configuration in place of Snapshot when that is too long for one
		// message. The offered configuration may be older than Newest.
		Offer *SnapshotOffer
		// Members and Owners are nil when the digests agree. The leader of the control hosts
		// lists the seats of version Newest that have sent it a message, without Owners.
		Members       []Member
		MembersDigest uint64
		// MembersBaseDigest is 0 when Members is the whole list. Otherwise it is the digest of
		// the list to which Members are added, or in which they replace members of the same
		// host, and from which RemovedMembers are removed.
		MembersBaseDigest uint64
		RemovedMembers    []model.HostID
		Owners            []Owner
		OwnersDigest      uint64
		// SeatsSettled is set when the answerer knows that no host with a list of seats other
		// than that of Newest may still serve.
		SeatsSettled bool
		// EntryHostCount is the number of live entry hosts, or 0 if the answerer does not report it.
		EntryHostCount int
		// Targets is set by a relay and nil when the digests agree. It lists all targets if
		// TargetsBaseDigest is 0. Otherwise it lists those that were added or changed since
		// the list with that digest, and RemovedTargets lists those that were removed.
		Targets           []model.Announcement
		RemovedTargets    []model.TargetID
		TargetsBaseDigest uint64
		TargetsDigest     uint64
		// FailedTargets lists the targets at which attempts failed recently, as reported to the
		// answerer in FreshAsk messages.
		FailedTargets []model.TargetID
		// Redirect is set in a reply that confirms nothing. Members are then control hosts, and
		// the asker should ask one in its own zone.
		Redirect bool
		// Peers are some entry hosts. A relay sets them when the digests differ.
		Peers       []model.HostID
		PeersDigest uint64
	}
	// SeatStage sends a seat the committed changes that it lacks. A change is accepted once
	// a majority of the seats hold it.
	SeatStage struct {
		Term    model.Term
		Newest  model.Version
		Changes []model.Committed
		// Snapshot is set when the seat is too far behind for Changes.
		Snapshot []byte
		// Offer names a configuration in place of Snapshot when that is too long for one
		// message. The offered configuration may be older than Newest.
		Offer *SnapshotOffer
		// Round is the number of this message among those of the leader. The reply echoes it.
		Round uint64
	}
	// SeatStageReply answers SeatStage. The leader counts it only for a short time after
	// it sent the SeatStage.
	SeatStageReply struct {
		Term        model.Term
		HeldVersion model.Version
		Incarnation model.Incarnation
		// Round echoes that of SeatStage, from which the leader knows when it sent the request.
		Round uint64
	}
	// SeatLearn is sent by a seat after a restart, to ask another seat for its newest version.
	SeatLearn struct {
		Nonce       uint64
		HeldVersion model.Version
	}
	// SeatLearnReply answers SeatLearn. A seat that is itself recovering from a restart does not answer.
	SeatLearnReply struct {
		Nonce    uint64
		Newest   model.Version
		Snapshot []byte
		// Offer names a configuration in place of Snapshot when that is too long for one
		// message. The offered configuration may be older than Newest.
		Offer *SnapshotOffer
		// Changes lead from the asker's version to Newest. They are absent if the answerer no
		// longer holds all of them.
		Changes []model.Committed
	}
)

// Owner is the host that owns a shard, with the epoch of its lease.
type Owner struct {
	Shard model.ShardID
	Host  model.HostID
	Epoch model.Epoch
}

// Claim names the shard and epoch of a lease that a candidate requests,
// releases or is granted.
type Claim struct {
	Shard model.ShardID
	Epoch model.Epoch
}

// Denial tells a candidate that a claim was not granted. Holder and Epoch are
// those of the seat's newest grant of the shard.
type Denial struct {
	Shard  model.ShardID
	Epoch  model.Epoch
	Holder model.HostID
}

// Messages of shard ownership, between candidates and seats.
type (
	// LeaseAsk asks a seat to grant or renew the leases in Claims, and gives up those in Released.
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
		// PreviousGrants holds, for each granted shard, the epoch of the answerer's previous
		// grant, if it knows one.
		PreviousGrants []Claim
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
		// Objective is the time left until the latency objective of the request's route,
		// negative once it has passed, or 0 without an objective.
		Objective time.Duration
		// Exclude lists the targets that the request was already sent to. A non-empty list makes this a retry.
		Exclude []model.TargetID
		// AtMostOnce is set if the request must not run on another target after it may have run.
		AtMostOnce bool
		// DeclinedTargets lists targets whose slots the asker returned without an attempt.
		// Unlike Exclude, they do not make this a retry.
		DeclinedTargets []model.TargetID
		// Counted is set if an earlier query, or the asker itself, has counted the
		// request towards the retry budget.
		Counted bool
		// Rank is the urgency of the request. Class tells kinds of requests apart that
		// usually take the same time.
		Rank  model.Rank
		Class model.RequestClass
	}
	// SlotReply answers SlotAsk.
	SlotReply struct {
		Nonce  uint64
		Status SlotStatus
		// Slot identifies the assignment; SlotDone repeats it.
		Slot        uint64
		Target      model.TargetID
		Addr        string
		Incarnation model.Incarnation
		RetryAfter  time.Duration
		Epoch       model.Epoch
		// NamedRates holds the rates that targets of the service name, if
		// ListsRates is set. It is, when they have changed and from time to time.
		ListsRates bool
		NamedRates []NamedRate
		// ConfigVersion is the version of the owner's configuration if the target's
		// zone was evacuated and has returned, otherwise 0.
		ConfigVersion model.Version
	}
	// SlotDone returns a slot and reports how the attempt ended. With slot 0 it only
	// reports what the target says of itself.
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
	// TargetNews forwards an announcement from the host that received it, or an entry
	// of a control host's list of targets.
	TargetNews struct {
		Announcement model.Announcement
		// Listed is set for an entry of a list, which holds no remaining cold time. Age
		// is then the time since the list first heard of the run.
		Listed bool
		Age    time.Duration
		// Silent is set if the sender, a control host, hears the target no longer and asks
		// whether another one does. The message is then no sign of life.
		Silent bool
	}
	// TargetsStored tells the other control hosts which runs of targets the sender's
	// disk holds, each in the given state or a later one.
	TargetsStored struct{ Runs []model.TargetRun }
	// ProbeResult reports the result of a health probe that an entry host made for the owner.
	ProbeResult struct {
		Service     model.ServiceName
		Target      model.TargetID
		Incarnation model.Incarnation
		OK          bool
		Latency     time.Duration
		// ReportsCold and ColdRemaining are those of model.TargetNotice.
		ReportsCold   bool
		ColdRemaining time.Duration
	}
	// ViewAsk asks the owner for the targets of a service, which entry hosts use
	// while the service has no owner.
	ViewAsk struct {
		Service model.ServiceName
		Digest  uint64
		// PingOnly is set to ask only whether the owner responds. The reply then has no lists.
		PingOnly bool
	}
	// ViewReply answers ViewAsk; Targets is nil when the digests agree. Digest
	// is 0 while a new owner still reconstructs its state and has no view.
	ViewReply struct {
		Service model.ServiceName
		Epoch   model.Epoch
		Digest  uint64
		Targets []TargetView
		// QuarantinedRequests is set together with Targets.
		QuarantinedRequests []QuarantinedRequest
	}
)

// SlotStatus is the result of a SlotAsk.
type SlotStatus int

// Results of a SlotAsk.
const (
	// SlotAssigned means the reply carries a slot on a target.
	SlotAssigned SlotStatus = iota + 1
	// SlotNotOwner means the answerer does not own the service's shard.
	SlotNotOwner
	// SlotNoTarget means the service has no usable target outside Exclude.
	SlotNoTarget
	// SlotQueueFull means the workspace already has as many waiting requests as its share allows.
	SlotQueueFull
	// SlotTooLate means the request is not expected to be answered before its deadline.
	SlotTooLate
	// SlotNoRetry means the retry budget of the service is spent.
	SlotNoRetry
	// SlotQuarantined means requests of this workspace with the same fingerprint crashed targets.
	SlotQuarantined
	// SlotDisplaced means the request waited and gave way to one of a higher rank.
	SlotDisplaced
)

// TargetView is the state of a target that an entry host needs while the
// service has no owner.
type TargetView struct {
	Target      model.TargetID
	Addr        string
	Zone        model.ZoneName
	Slots       int
	Incarnation model.Incarnation
	Ejected     bool
	// EjectionRemaining, Severity and Ejections are set only with Ejected, and
	// correspond to the fields Remaining, Severity and Ejections of EjectedTarget.
	EjectionRemaining time.Duration
	Severity          float64
	Ejections         int
	// ColdRemaining is how much longer the target is cold, as of the ViewReply.
	ColdRemaining time.Duration
}

// Messages that collect the evidence of withdrawals, service levels and
// statuses, and clear quarantines.
type (
	// EvidenceAsk asks an entry host for its requests in flight and admissions of a workspace.
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
		// EndsWithin is the time within which the requests in flight end at the latest.
		EndsWithin time.Duration
		// EverAdmitted is set if this host ever admitted a request of the workspace.
		// SinceLastAdmission is then the time since the last such admission.
		EverAdmitted       bool
		SinceLastAdmission time.Duration
		// FreshFor is how long the host may continue to serve without a new confirmation.
		FreshFor time.Duration
	}
	// BurnAsk asks an entry host for its service-level counters.
	BurnAsk struct{ Nonce uint64 }
	// BurnReply answers BurnAsk. Data is an encoded counter set of package burn.
	BurnReply struct {
		Nonce uint64
		Data  []byte
	}
	// StatusAsk asks a host for its section of the status page.
	StatusAsk struct{ Nonce uint64 }
	// StatusReply answers StatusAsk. Data is JSON for the operators' tools.
	StatusReply struct {
		Nonce uint64
		Data  []byte
	}
	// QuarantineClear asks the owner of a service to remove the quarantined fingerprints of a workspace.
	QuarantineClear struct {
		Service   model.ServiceName
		Workspace model.WorkspaceID
	}
)
