package proto

import (
	"tarragongauge.example/tarragongauge/pkg/model"
)

// Messages of order reservations, between entry hosts and journal hosts.
type (
	// ReserveAsk asks a journal host to reserve an order key for one request.
	ReserveAsk struct {
		Nonce     uint64
		Workspace model.WorkspaceID
		OrderKey  string
		BodyHash  model.BodyHash
		// Holder identifies the request that makes the reservation. No other request uses this id.
		Holder model.RequestID
		// JournalsDigest is the digest of the asker's list of journals. A journal with another list does not vote.
		JournalsDigest uint64
	}
	// ReserveReply answers ReserveAsk once the record is synced to disk.
	ReserveReply struct {
		Nonce  uint64
		Status ReserveStatus
		// Holder and BodyHash are those of the record in force.
		Holder   model.RequestID
		BodyHash model.BodyHash
		// Answer is the stored answer of the order, or nil if the journal has none.
		Answer *StoredAnswer
	}
	// ReserveFree gives up a reservation whose request did not run and never will.
	ReserveFree struct {
		Workspace model.WorkspaceID
		OrderKey  string
		Holder    model.RequestID
	}
	// AnswerSave stores the answer of a reserved order.
	AnswerSave struct {
		Workspace model.WorkspaceID
		OrderKey  string
		Holder    model.RequestID
		// BodyHash repeats that of the reservation, for a journal that did not receive the ReserveAsk.
		BodyHash model.BodyHash
		Answer   StoredAnswer
	}
	// JournalCopyAsk asks another journal host for a page of its records. A host
	// that lost its disk sends it.
	JournalCopyAsk struct {
		Nonce uint64
		// After is the Next of the last reply, or empty for the first page.
		After string
		// JournalsDigest is the digest of the asker's list of journals.
		JournalsDigest uint64
	}
	// JournalCopyReply answers JournalCopyAsk.
	JournalCopyReply struct {
		Nonce   uint64
		Records []JournalRecord
		// Next is the position after Records, in a form that only the replying journal can read.
		Next string
		// Done is set on the last page.
		Done bool
	}
)

// ReserveStatus is the result of a ReserveAsk on one journal host.
type ReserveStatus int

// Results of a ReserveAsk.
const (
	// ReserveHeld means the asker holds the reservation.
	ReserveHeld ReserveStatus = iota + 1
	// ReserveTaken means another request holds the reservation.
	ReserveTaken
	// ReserveUnavailable means the host cannot vote now: it is repairing, or its disk failed.
	ReserveUnavailable
)

// StoredAnswer is the answer to an order. It is returned when a caller sends the order again.
type StoredAnswer struct {
	Status int
	Header map[string][]string
	Body   []byte
}

// JournalRecord is one reservation in a journal, with the answer of the order
// once that is stored.
type JournalRecord struct {
	Workspace model.WorkspaceID
	OrderKey  string
	BodyHash  model.BodyHash
	Holder    model.RequestID
	// Freed is set once ReserveFree gave up the reservation.
	Freed  bool
	Answer *StoredAnswer
	// UnixMilli is the time when the record was made, from which its expiry is computed.
	UnixMilli int64
}
