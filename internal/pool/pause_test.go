package pool

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// newPausingTargets returns the load of a small service whose targets reject a part
// of the attempts and ask the hosts to pause.
func newPausingTargets() *fleetLoad {
	l := newFleetLoad(12, 8)
	l.run(60, 3*time.Second)
	l.rejectedShare, l.pause = 0.3, 2*time.Second
	return l
}

func TestHostsSendNothingToTargetsThatAskedThemToPause(t *testing.T) {
	l := newPausingTargets()
	l.run(60, 10*time.Second)
	require.Empty(t, l.arrivedInPause, "with an owner")
	l.owner = nil
	l.run(60, 5*time.Second)
	require.Empty(t, l.arrivedInPause, "without an owner")
	for range 5 {
		l.startOwner()
		l.run(60, 800*time.Millisecond)
	}
	require.Empty(t, l.arrivedInPause, "with new owners")
	require.NotEmpty(t, l.pausedFrom)
}

func TestRequestsAreRefusedAtOnceWhileAllTargetsAskForAPause(t *testing.T) {
	for _, withOwner := range []bool{true, false} {
		l := newPausingTargets()
		l.objective, l.rejectedShare, l.pause = time.Second, 1, 20*time.Second
		l.run(60, 6*time.Second)
		if !withOwner {
			l.owner = nil
			l.run(60, time.Second)
		}
		l.waits = nil
		l.run(60, 5*time.Second)
		require.Empty(t, l.arrivedInPause)
		require.Greater(t, len(l.waits), 250, "with owner: %v", withOwner)
		require.LessOrEqual(t, slices.Max(l.waits), 2*loadTick, "with owner: %v", withOwner)
	}
}
