package ctrl

import (
	"fmt"
	"hash/fnv"
	"slices"
	"time"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// Timing holds the intervals of a Node.
type Timing struct {
	// Heartbeat is the interval of heartbeat rounds.
	Heartbeat time.Duration
	// ElectionMin and ElectionMax bound the random time without a leader after
	// which a host stands for election. A leader that hears no majority for
	// ElectionMin steps down.
	ElectionMin time.Duration
	ElectionMax time.Duration
	// StageEvery is the interval at which unacknowledged staging is repeated.
	StageEvery time.Duration
	// StageValid is how long an acknowledgement of staging counts after the
	// staging was sent. It must be shorter than the silence of a restarted
	// seat, less the drift margin; see section 3.1 of the design.
	StageValid time.Duration
	// ProposeTimeout ends the wait for a change as ResultUnknown.
	ProposeTimeout time.Duration
}

// DefaultTiming keeps a change of leaders below the 2 s of section 7 of the
// design: an election takes at most ElectionMax and a few round trips.
func DefaultTiming() Timing {
	return Timing{
		Heartbeat:      100 * time.Millisecond,
		ElectionMin:    600 * time.Millisecond,
		ElectionMax:    1200 * time.Millisecond,
		StageEvery:     200 * time.Millisecond,
		StageValid:     time.Second,
		ProposeTimeout: 5 * time.Second,
	}
}

// DefaultSnapshotThreshold is how many applied entries lead to a snapshot.
// Recovery decodes and applies at most so many entries.
const DefaultSnapshotThreshold = 1000

// Option changes a Node.
type Option func(*options)

type options struct {
	timing        Timing
	seed          uint64
	controls      []model.HostID
	seats         []model.HostID
	snapshotEvery uint64
	partSize      int
}

// WithTiming replaces DefaultTiming.
func WithTiming(t Timing) Option { return func(o *options) { o.timing = t } }

// WithSeed seeds the random source. Each start of a host needs another seed,
// since a host that lost its disk is told from its earlier life by a random number.
func WithSeed(seed uint64) Option { return func(o *options) { o.seed = seed } }

// WithBootstrap sets the first control hosts and seats of a new fleet. They
// are used only if every one of the control hosts started empty with the same
// lists; otherwise an empty host waits for the leader of the existing fleet.
// Once a host of the lists has been removed from the fleet, a host that starts
// empty must not be given them: if the fleet lives on other hosts only, the
// first hosts would find each other empty and create a second fleet.
func WithBootstrap(controls, seats []model.HostID) Option {
	return func(o *options) {
		o.controls = slices.Clone(controls)
		o.seats = slices.Clone(seats)
	}
}

// WithSnapshotThreshold replaces DefaultSnapshotThreshold.
func WithSnapshotThreshold(entries uint64) Option {
	return func(o *options) { o.snapshotEvery = entries }
}

// WithPartSize replaces part.Size by a smaller one, so that tests transfer
// small snapshots in parts.
func WithPartSize(bytes int) Option {
	return func(o *options) { o.partSize = bytes }
}

func (o options) check() error {
	t := o.timing
	switch {
	case t.Heartbeat <= 0 || t.StageEvery <= 0 || t.ProposeTimeout <= 0:
		return model.ErrInvalid{Field: "timing", Got: fmt.Sprintf("%+v", t), Want: "made of positive durations"}
	case t.ElectionMin < 2*t.Heartbeat || t.ElectionMax <= t.ElectionMin:
		return model.ErrInvalid{Field: "election timeout", Got: fmt.Sprintf("%s to %s", t.ElectionMin, t.ElectionMax), Want: "a range that starts at two heartbeats or more"}
	case t.StageValid < t.StageEvery:
		return model.ErrInvalid{Field: "stage_valid", Got: t.StageValid.String(), Want: "at least the staging interval"}
	case o.snapshotEvery == 0:
		return model.ErrInvalid{Field: "snapshot interval", Got: "0", Want: "at least 1 entry"}
	default:
		return nil
	}
}

// bootstrapDigest tells whether two hosts were set up with the same lists.
func (o options) bootstrapDigest() uint64 {
	h := fnv.New64a()
	for _, list := range [][]model.HostID{o.controls, o.seats} {
		for _, id := range list {
			_, _ = fmt.Fprintf(h, "%q,", string(id))
		}
		_, _ = h.Write([]byte{';'})
	}
	return h.Sum64()
}
