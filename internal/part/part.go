// Package part transfers snapshots that are too long for one message. A Sender
// offers a snapshot and answers requests for its parts; a Receiver requests
// the parts one at a time and verifies the whole. Both are pure state
// machines, which the cores of control hosts, seats and entry hosts embed.
package part

import (
	"time"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

const (
	// Size is the length of a part in bytes; only the last one is shorter. A
	// heartbeat on the same link waits for one part at most, 2 ms at 1 Gbit/s.
	Size = 256 << 10
	// MaxSnapshotSize is the longest snapshot that a receiver reserves memory for.
	// 320,000 workspaces take 25 MB.
	MaxSnapshotSize = 256 << 20
	// RetainFor is how long after the last request a sender holds a snapshot.
	RetainFor = 10 * time.Second
)

const (
	// repeatEvery is the interval after which an unanswered request is sent
	// again, to the next sender if there is one. It doubles twice, so that a
	// link on which a part takes longer is not filled with repeated parts.
	repeatEvery = 300 * time.Millisecond
	// maxDoublings bounds that growth to 1.2 s.
	maxDoublings = 2
	// startOverAfter ends a transfer that nobody answers while another snapshot
	// is on offer. It exceeds one interval, because a lost message alone must
	// not discard what was received.
	startOverAfter = 3 * time.Second
	// maxSources bounds the hosts that a receiver keeps offers of: 7 control hosts and 7 seats.
	maxSources = 14
)

// Request is a request that a Receiver wants sent.
type Request struct {
	To  model.HostID
	Msg proto.PartAsk
}
