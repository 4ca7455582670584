package ctrl

import (
	"fmt"
	"hash/fnv"
	"slices"
	"time"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// Timing holds the intervals and timeouts of a Node.
type Timing struct {
	// Heartbeat is the interval between heartbeat rounds.
	Heartbeat time.Duration
	// ElectionMin and ElectionMax bound the random election timeout, after
	// which a host without a leader stands for election. A leader that hears
	// from no majority for ElectionMin steps down.
	ElectionMin time.Duration
	ElectionMax time.Duration
	// StageEvery is the interval at which unacknowledged staging messages are
	// sent again.
	StageEvery time.Duration
	// StageValid is how long an acknowledgement of a staging message counts,
	// from the sending of that message. It must be shorter than the time for
	// which a restarted seat stays silent, less the margin for clock drift: a
	// seat that has restarted may have relearned an older version.
	StageValid time.Duration
	// ProposeTimeout is how long a change may wait before it is answered with
	// ResultUnknown.
	ProposeTimeout time.Duration
}

// DefaultTiming returns intervals with which a change of leaders takes less
// than 2 s: an election takes at most ElectionMax and a few round trips.
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

const (
	// DefaultSnapshotThreshold is the number of applied entries after which a
	// snapshot is taken. Recovery decodes and applies at most that many entries.
	DefaultSnapshotThreshold = 1000
	// DefaultSnapshotBytes is the estimated length of applied entries after which a
	// snapshot is taken, unless the last snapshot is longer. An entry takes about
	// three times its estimated length in memory.
	DefaultSnapshotBytes = 8 << 20
)

// Option configures a Node.
type Option func(*options)

// options holds the settings of a Node.
type options struct {
	timing            Timing
	seed              uint64
	controls          []model.HostID
	seats             []model.HostID
	snapshotThreshold uint64
	snapshotBytes     int
	partSize          int
}

// WithTiming replaces DefaultTiming.
func WithTiming(t Timing) Option { return func(o *options) { o.timing = t } }

// WithSeed seeds the random source. Each start of a host needs another seed,
// since the leader notices the loss of a disk by the new random learner ID of
// the host.
func WithSeed(seed uint64) Option { return func(o *options) { o.seed = seed } }

// WithBootstrap sets the initial control hosts and seats of a new fleet. They
// are used only if every one of the control hosts started empty with the same
// lists; otherwise an empty host waits for the leader of the existing fleet.
// Once a host of the lists has been removed from the fleet, a host that starts
// empty must not be given them: if the fleet has moved to other hosts entirely,
// the initial hosts would find each other empty and create a second fleet.
func WithBootstrap(controls, seats []model.HostID) Option {
	return func(o *options) {
		o.controls = slices.Clone(controls)
		o.seats = slices.Clone(seats)
	}
}

// WithSnapshotThreshold replaces DefaultSnapshotThreshold.
func WithSnapshotThreshold(entries uint64) Option {
	return func(o *options) { o.snapshotThreshold = entries }
}

// WithSnapshotBytes replaces DefaultSnapshotBytes.
func WithSnapshotBytes(bytes int) Option {
	return func(o *options) { o.snapshotBytes = bytes }
}

// WithPartSize replaces part.Size by a smaller one, so that tests transfer
// small snapshots in parts.
func WithPartSize(bytes int) Option {
	return func(o *options) { o.partSize = bytes }
}

// validate returns model.ErrInvalid for the first option that is out of range.
func (o options) validate() error {
	t := o.timing
	switch {
	case t.Heartbeat <= 0 || t.StageEvery <= 0 || t.ProposeTimeout <= 0:
		return model.ErrInvalid{Field: "timing", Got: fmt.Sprintf("%+v", t), Want: "made of positive durations"}
	case t.ElectionMin < 2*t.Heartbeat || t.ElectionMax <= t.ElectionMin:
		return model.ErrInvalid{Field: "election timeout", Got: fmt.Sprintf("%s to %s", t.ElectionMin, t.ElectionMax), Want: "a range that starts at two heartbeats or more"}
	case t.StageValid < t.StageEvery:
		return model.ErrInvalid{Field: "stage_valid", Got: t.StageValid.String(), Want: "at least the staging interval"}
	case o.snapshotThreshold == 0 || o.snapshotBytes <= 0:
		return model.ErrInvalid{Field: "snapshot threshold", Got: fmt.Sprintf("%d entries, %d bytes", o.snapshotThreshold, o.snapshotBytes), Want: "at least 1 entry and 1 byte"}
	default:
		return nil
	}
}

// bootstrapDigest returns a hash of the initial lists, by which two hosts tell
// whether they were set up with the same ones.
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
