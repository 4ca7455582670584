package node

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// Guards against a relay that passes a failure on after the target may be used
// again, and against one that forgets it while other hosts have not heard of it.
func TestRelayPassesFailuresOnWhileTheyAreRecent(t *testing.T) {
	f := newFailedTargets()
	now := model.Instant(time.Hour)
	f.note(now, "b", "a")
	require.Equal(t, []model.TargetID{"a", "b"}, f.recent(now))
	require.Equal(t, []model.TargetID{"a", "b"}, f.recent(now.Add(time.Second)), "several hosts ask the same relay")
	f.note(now.Add(time.Second), "b")
	require.Equal(t, []model.TargetID{"b"}, f.recent(now.Add(2*time.Second)), "a failed longer ago than hosts doubt it")
	require.Empty(t, f.recent(now.Add(4*time.Second)))
}

// Guards against failures that an entry host tells with each ask, which would
// keep a target in doubt for good, and against messages without a bound.
func TestFailuresAreToldOnceAndInBoundedNumber(t *testing.T) {
	f := newFailedTargets()
	now := model.Instant(time.Hour)
	for i := range 3 * maxFailed {
		f.note(now, model.TargetID(fmt.Sprintf("t%03d", i)))
	}
	require.Len(t, f.take(), maxFailed)
	require.Empty(t, f.take())
}
