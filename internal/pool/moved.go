package pool

import (
	"time"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// The address of a target that has ended may be given to another process, which
// refuses requests for the target. A host that is cut off from control keeps its
// list of targets meanwhile, and refused requests end within milliseconds, so that
// such addresses would draw the requests of the host for as long as it is cut off.

const (
	// movedRetention is how long a host without an owner sends a target nothing after
	// another process answered at its address. It is bounded, since the answer may
	// have been wrong; a later run of the target gets requests at once.
	movedRetention = 30 * time.Second
	// movedPause is how long an owner assigns such a target nothing. Its
	// announcements, which the owner hears, tell more than the answer.
	movedPause = time.Second
)

// recordMoved pauses a target at whose address another process answered.
func (t *target) recordMoved(now model.Instant, a model.Attempt) {
	if a.Notice.Moved && a.Incarnation == t.incarnation {
		t.pausedUntil = max(t.pausedUntil, now.Add(movedPause))
	}
}
