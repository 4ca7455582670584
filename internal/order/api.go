// Package order prevents a non-idempotent request with an order key from
// running more than once. Before the request runs, its entry host reserves the
// order key on a majority of the journal hosts. A reservation is written once,
// and no leader is needed. Reserver (on an entry host) and Journal (on a disk
// host) are pure state machines: they take events and return effects, and the
// runtime does the I/O.
package order

import (
	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// Event is an input of a Reserver or a Journal. It is a sealed interface.
type Event interface{ isEvent() }

type (
	// Tick triggers timeouts and resends. The runtime sends one every 20 ms.
	Tick struct{}
	// Received delivers a message from another host.
	Received struct {
		From model.HostID
		Msg  proto.Message
	}
	// Requested asks a Reserver to reserve the order key of a request before the
	// request runs. A Deadline of 0 means that the request has none.
	Requested struct {
		Request   model.RequestID
		Workspace model.WorkspaceID
		OrderKey  string
		Body      model.BodyHash
		Deadline  model.Instant
	}
	// Finished tells a Reserver that a request has ended. An Answer is stored, so
	// that a resend of the request gets it. NotRun frees the reservation. With
	// neither, the order may have run, and its reservation stays until it expires.
	Finished struct {
		Request model.RequestID
		NotRun  bool
		Answer  *proto.StoredAnswer
	}
	// Persisted tells a Journal that the Persist effect with number Seq is synced.
	// Positions holds the position of each of its records, in order, except for
	// records without a workspace, which have none.
	Persisted struct {
		Seq       uint64
		Positions []Position
	}
	// ReadDone returns the record of the Read effect with the same ID. If the read
	// fails, the runtime sends DiskFailed instead.
	ReadDone struct {
		ID     uint64
		Record proto.JournalRecord
	}
	// ReadPageDone returns the records of the ReadPage effect with the same ID.
	// Next is the cursor after the records. Done is set if no synced record follows.
	ReadPageDone struct {
		ID      uint64
		Records []proto.JournalRecord
		Next    string
		Done    bool
	}
	// DiskFailed tells a Journal that a read, write or sync failed. The Journal
	// does not vote again.
	DiskFailed struct{}
)

// Effect is an output of a Reserver or a Journal. It is a sealed interface.
type Effect interface{ isEffect() }

type (
	// Send sends a message. The message may be lost.
	Send struct {
		To  model.HostID
		Msg proto.Message
	}
	// Persist writes records and syncs them, in order. A record without a
	// workspace replaces the earlier one with the same order key and never expires.
	Persist struct {
		Seq     uint64
		Records []proto.JournalRecord
	}
	// Read reads the record at a position of the disk.
	Read struct {
		ID uint64
		At Position
	}
	// ReadPage reads synced records in the order in which they were written. After
	// is the cursor of the previous page, or "" to start at the oldest record.
	// Bytes is the approximate size of the page.
	ReadPage struct {
		ID    uint64
		After string
		Bytes int
	}
	// DropSegments deletes the records of Segment and of all earlier segments.
	DropSegments struct{ Segment uint32 }
	// JournalListMismatch reports that host From has another list of journals in its settings.
	JournalListMismatch struct{ From model.HostID }
	// Reserved reports that the request holds the order key and may run once.
	Reserved struct{ Request model.RequestID }
	// Replayed ends the request with the stored answer of an earlier request that
	// had the same order key and body.
	Replayed struct {
		Request model.RequestID
		Answer  proto.StoredAnswer
	}
	// Stopped ends the request without running it.
	Stopped struct {
		Request model.RequestID
		Reason  StopReason
	}
)

// StopReason is the reason why a request was stopped without running.
type StopReason int

// Values of StopReason.
const (
	// StopInFlight means that an earlier request with this order key may have run
	// or may still run, so the outcome of the order is unknown.
	StopInFlight StopReason = iota + 1
	// StopBodyDiffers means that the order key was used before with another body.
	StopBodyDiffers
	// StopNoMajority means that no majority of journal hosts granted the
	// reservation in time. The reservation is freed.
	StopNoMajority
)

// Core is a Reserver or a Journal. Step advances it by one event at the given time.
type Core interface {
	Step(now model.Instant, ev Event) []Effect
}

func (Tick) isEvent()         {}
func (Received) isEvent()     {}
func (Requested) isEvent()    {}
func (Finished) isEvent()     {}
func (Persisted) isEvent()    {}
func (DiskFailed) isEvent()   {}
func (ReadDone) isEvent()     {}
func (ReadPageDone) isEvent() {}

func (Send) isEffect()                {}
func (Persist) isEffect()             {}
func (Read) isEffect()                {}
func (ReadPage) isEffect()            {}
func (DropSegments) isEffect()        {}
func (JournalListMismatch) isEffect() {}
func (Reserved) isEffect()            {}
func (Replayed) isEffect()            {}
func (Stopped) isEffect()             {}
