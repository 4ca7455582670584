// Package link keeps WebSocket links to the other processes of the fleet. At
// most one link to a host is in use; either side may open it. Sending never
// blocks: a message is dropped when the host is unknown or its queue is full.
package link

import (
	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// ProtocolVersion is the version of the message set. Hosts with different versions refuse each other.
const ProtocolVersion = 2

// Path is where a process serves Mesh.Handler on its fleet address.
const Path = "/v1/link"

// Handler takes every message that arrives, starting with the Hello of each
// link. It is called from several goroutines and must not block.
type Handler func(from model.HostID, m proto.Message)

// Sender sends messages to hosts and learns where hosts are. Mesh implements it.
type Sender interface {
	// Send queues a message; it reports whether the message was queued. The
	// message and what it refers to must not be changed afterwards.
	Send(to model.HostID, m proto.Message) bool
	// SendVia queues a message for a host with another one that passes it on.
	SendVia(via, to model.HostID, m proto.Message) bool
	// SendDirect queues a message that no other host passes on.
	SendDirect(to model.HostID, m proto.Message) bool
	// UpdateMembers adds or moves hosts; links to them are opened when first needed.
	UpdateMembers(members []proto.Member)
}
