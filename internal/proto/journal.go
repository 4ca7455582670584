package proto

import (
	"tarragongauge.example/tarragongauge/pkg/model"
)

// Messages of order reservations, between entry hosts and journal hosts.
type (
	// ReserveAsk reserves an order key for one attempt.
	ReserveAsk struct {
		Nonce     uint64
		Workspace model.WorkspaceID
		OrderKey  string
		BodyHash  model.BodyHash
		// Holder identifies the reserving request; it is never used again.
		Holder model.RequestID
		// JournalsDigest is the digest of the asker's list of journals; a journal with another list does not vote.
		JournalsDigest uint64
	}
	// ReserveReply answers ReserveAsk once the record is synced.
	ReserveReply struct {
		Nonce  uint64
		Status ReserveStatus
		// Holder and Body are those of the record that stands.
		Holder   model.RequestID
		BodyHash model.BodyHash
		// Answer is the stored answer, if known.
		Answer *StoredAnswer
	}
	// ReserveFree gives up a reservation whose holder has not run and never will.
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
		// BodyHash is that of the reservation, for a journal that missed it.
		BodyHash model.BodyHash
		Answer   StoredAnswer
	}
	// JournalCopyAsk asks another journal host for its records after the loss of
	// a disk. After is the Next of the last reply, or empty.
	JournalCopyAsk struct {
		Nonce uint64
		After string
		// JournalsDigest is the digest of the asker's list of journals.
		JournalsDigest uint64
	}
	// JournalCopyReply answers JournalCopyAsk; Done is set on the last page.
	JournalCopyReply struct {
		Nonce   uint64
		Records []JournalRecord
		// Next is the place after Records, in a form that only the replying journal knows.
		Next string
		Done bool
	}
)

// ReserveStatus says how a ReserveAsk ended on one journal host.
type ReserveStatus int

// Ends of a ReserveAsk.
const (
	// ReserveHeld means the asker's record stands.
	ReserveHeld ReserveStatus = iota + 1
	// ReserveTaken means the record of another holder stands.
	ReserveTaken
	// ReserveUnavailable means the host cannot vote now: it is repairing, or its disk failed.
	ReserveUnavailable
)

// StoredAnswer is the answer to an order, kept for resends.
type StoredAnswer struct {
	Status int
	Header map[string][]string
	Body   []byte
}

// JournalRecord is one reservation.
type JournalRecord struct {
	Workspace model.WorkspaceID
	OrderKey  string
	BodyHash  model.BodyHash
	Holder    model.RequestID
	Freed     bool
	Answer    *StoredAnswer
	// UnixMilli is when the record was made, for expiry.
	UnixMilli int64
}
