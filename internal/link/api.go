// Package link keeps WebSocket links to the other processes of the fleet. At
// most one link to a host is in use; either side may open it. Sending never
// blocks: a message is dropped when the host is unknown or its queue is full.
package link

import (
	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// Handler takes every message that arrives. It must not block.
type Handler func(from model.HostID, m proto.Message)

// Mesh sends messages to hosts and learns where hosts are.
type Mesh interface {
	// Send queues a message; it reports whether the message was queued.
	Send(to model.HostID, m proto.Message) bool
	// Learn adds or moves hosts; links to them are opened when first needed.
	Learn(members []proto.Member)
}
