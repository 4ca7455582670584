package node

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// Guards against a relay that reports a failure after the target's cooldown has
// ended, and against one that drops it before the other hosts have asked.
func TestRelayReportsFailuresWhileRecent(t *testing.T) {
	f := newFailedTargets()
	now := model.Instant(time.Hour)
	f.record(now, "b", "a")
	require.Equal(t, []model.TargetID{"a", "b"}, f.recent(now))
	require.Equal(t, []model.TargetID{"a", "b"}, f.recent(now.Add(time.Second)), "several hosts ask the same relay")
	f.record(now.Add(time.Second), "b")
	require.Equal(t, []model.TargetID{"b"}, f.recent(now.Add(2*time.Second)), "the cooldown of a has ended")
	require.Empty(t, f.recent(now.Add(4*time.Second)))
}

// Guards against an entry host that reports the same failure with each ask, which
// would extend the target's cooldown forever, and against messages of unbounded
// size.
func TestFailedTargetsAreSentOnceAndBounded(t *testing.T) {
	f := newFailedTargets()
	now := model.Instant(time.Hour)
	for i := range 3 * maxFailedTargets {
		f.record(now, model.TargetID(fmt.Sprintf("t%03d", i)))
	}
	require.Len(t, f.take(), maxFailedTargets)
	require.Empty(t, f.take())
}
