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
	// Started asks the reserver to reserve an order before it runs.
	Started struct {
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
	// Persisted tells the journal that the Persist effect with this number is synced.
	Persisted struct{ Seq uint64 }
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
	// Persist makes journal records durable, in order.
	Persist struct {
		Seq     uint64
		Records []proto.JournalRecord
	}
	// Reserved lets the order run, once.
	Reserved struct{ Request model.RequestID }
	// Known ends the request with the stored answer of an earlier run.
	Known struct {
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

func (Tick) isEvent()       {}
func (Received) isEvent()   {}
func (Started) isEvent()    {}
func (Finished) isEvent()   {}
func (Persisted) isEvent()  {}
func (DiskFailed) isEvent() {}

func (Send) isEffect()     {}
func (Persist) isEffect()  {}
func (Reserved) isEffect() {}
func (Known) isEffect()    {}
func (Stopped) isEffect()  {}
