// Package part transfers snapshots that are too long for one message. A Sender
// offers a snapshot and answers requests for its parts; a Receiver requests
// the parts one at a time and verifies the whole. Both are state machines
// without I/O; those of control hosts, seats and entry hosts embed them.
package part

import (
	"time"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

const (
	// Size is the length of a part in bytes; only the last part of a snapshot
	// is shorter. A heartbeat on the same link waits for at most one part,
	// which takes 2 ms at 1 Gbit/s.
	Size = 256 << 10
	// MaxSnapshotSize is the length in bytes of the longest snapshot that a
	// receiver allocates memory for. 320,000 workspaces take 25 MB.
	MaxSnapshotSize = 256 << 20
	// RetainFor is how long a sender holds a snapshot after the last request for it.
	RetainFor = 10 * time.Second
)

const (
	// minRetryInterval is the time after which an unanswered request is sent
	// again, to the next sender if there is one. It doubles up to maxDoublings
	// times, so that a link on which a part takes longer is not filled with
	// repeated parts.
	minRetryInterval = 300 * time.Millisecond
	// maxDoublings limits the retry interval to 1.2 s.
	maxDoublings = 2
	// restartTimeout is how long a transfer may go without a new part before the
	// receiver gives it up for another snapshot on offer. It exceeds one retry
	// interval, because a single lost message must not discard the parts received.
	restartTimeout = 3 * time.Second
	// maxSources limits the hosts whose offers a receiver keeps: 7 control hosts and 7 seats.
	maxSources = 14
)

// Request is a message that a Receiver wants sent to the host To.
type Request struct {
	To  model.HostID
	Msg proto.PartAsk
}
