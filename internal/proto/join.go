package proto

import "tarragongauge.example/tarragongauge/pkg/model"

// JoinAsk asks the leader to make Member a control host. A host that does not
// lead forwards it to the leader.
type JoinAsk struct {
	Member Member
	// Forwarded is set by the host that forwards the message, so that it is forwarded only once.
	Forwarded bool
}

// LeaveNotice tells the leader that a control host is stopping, so that a host that
// asks to join may take its place at once.
type LeaveNotice struct{ Host model.HostID }
