// Package link keeps WebSocket links to the other processes of the fleet and
// sends messages over them. At most one link to a host is in use, which either
// side may open. Sending never blocks: a message is dropped if the host is
// unknown or its queue is full.
package link

import (
	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// ProtocolVersion is the version of the message set. Hosts with different versions refuse links to each other.
const ProtocolVersion = 2

// Path is the URL path at which a process serves Mesh.Handler on its fleet address.
const Path = "/v1/link"

// Handler is called with every message that arrives. The first message of each
// link is the Hello of its host. A Handler is called from several goroutines and must
// not block.
type Handler func(from model.HostID, m proto.Message)

// Sender sends messages to hosts. Mesh implements it.
type Sender interface {
	// Send queues a message and reports whether it was queued. The message and
	// everything that it refers to must not be changed afterwards. If the last
	// message from host to arrived through a third host, the message is sent back
	// through that host.
	Send(to model.HostID, m proto.Message) bool
	// SendVia queues a message that the host via forwards to the host to.
	SendVia(via, to model.HostID, m proto.Message) bool
	// SendDirect queues a message that is sent on the link to the host itself.
	SendDirect(to model.HostID, m proto.Message) bool
	// UpdateMembers adds hosts or updates their addresses and zones. Links to them
	// are opened when first needed.
	UpdateMembers(members []proto.Member)
}
