// Package order keeps a non-idempotent request with an order key from running
// more than once: a write-once reservation on a majority of journal hosts,
// without a leader. The reserver of an entry host and the journal of a disk
// host are pure state machines.
package order

import (
	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// Event is an input of the cores of this package. It is a sealed interface.
type Event interface{ isEvent() }

type (
	// Tick lets a core act on elapsed time; the runtime sends one every 20 ms.
	Tick struct{}
	// Received delivers a message of order reservations.
	Received struct {
		From model.HostID
		Msg  proto.Message
	}
	// Requested asks the reserver to reserve an order before it runs.
	Requested struct {
		Request   model.RequestID
		Workspace model.WorkspaceID
		OrderKey  string
		Body      model.BodyHash
		Deadline  model.Instant
	}
	// Finished ends a reserved order. NotRun frees the reservation; an answer is stored for resends.
	Finished struct {
		Request model.RequestID
		NotRun  bool
		Answer  *proto.StoredAnswer
	}
	// Persisted tells the journal that the Persist effect with this number is
	// synced. At holds the positions of its records without those that have no workspace.
	Persisted struct {
		Seq       uint64
		Positions []Position
	}
	// ReadDone answers Read. A read that fails is a DiskFailed.
	ReadDone struct {
		ID     uint64
		Record proto.JournalRecord
	}
	// ReadPageDone answers ReadPage. Next is the place after the records; Done is set if nothing synced follows.
	ReadPageDone struct {
		ID      uint64
		Records []proto.JournalRecord
		Next    string
		Done    bool
	}
	// DiskFailed tells the journal that a write or sync failed; it does not vote again.
	DiskFailed struct{}
)

// Effect is an output of the cores of this package. It is a sealed interface.
type Effect interface{ isEffect() }

type (
	// Send sends a message; loss is allowed.
	Send struct {
		To  model.HostID
		Msg proto.Message
	}
	// Persist makes journal records durable, in order. Those without a workspace
	// replace earlier ones with the same key and are kept whatever their age.
	Persist struct {
		Seq     uint64
		Records []proto.JournalRecord
	}
	// Read reads a record from the disk.
	Read struct {
		ID uint64
		At Position
	}
	// ReadPage reads about so many bytes of synced records, in the order in which
	// they were written, from a place on; the first one is "".
	ReadPage struct {
		ID    uint64
		After string
		Bytes int
	}
	// DropSegments deletes the records of this segment and of all earlier ones.
	DropSegments struct{ Segment uint32 }
	// JournalListMismatch reports an asker with another list of journals in its settings.
	JournalListMismatch struct{ From model.HostID }
	// Reserved lets the order run, once.
	Reserved struct{ Request model.RequestID }
	// Replayed ends the request with the stored answer of an earlier run.
	Replayed struct {
		Request model.RequestID
		Answer  proto.StoredAnswer
	}
	// Stopped ends the request without running it here.
	Stopped struct {
		Request model.RequestID
		Reason  StopReason
	}
)

// StopReason says why an order was not run by this request.
type StopReason int

// Reasons of Stopped.
const (
	// StopInFlight means an earlier request with this order key may have run or may still run: the outcome is unknown.
	StopInFlight StopReason = iota + 1
	// StopBodyDiffers means the order key was used with another body: not run.
	StopBodyDiffers
	// StopNoMajority means no majority of journal hosts answered in time: not run, and the reservation is freed.
	StopNoMajority
)

// Core is the reserver of an entry host or the journal of a disk host.
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
