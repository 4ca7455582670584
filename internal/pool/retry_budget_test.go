package pool

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// usualLoad is the number of requests per second of the loads below, for which
// fleetLoad's targets have room.
const usualLoad = 950

// newRejectingFleet returns the load of a fleet whose targets have just begun to
// reject more than half of the attempts.
func newRejectingFleet() *fleetLoad {
	l := newFleetLoad(97, 171)
	l.run(usualLoad, 3*time.Second)
	l.rejectedShare = 0.55
	return l
}

func TestQueriesThatAreWithdrawnAndSentAgainDoNotAddRetries(t *testing.T) {
	l := newRejectingFleet()
	l.withdrawnShare = 0.25
	l.run(usualLoad, 11*time.Second)
	require.LessOrEqual(t, l.mostRetried(), float64(retrySlack))
	require.Greater(t, l.mostRetried(), 0.0, "the load must use the budget")
}

func TestRequestsDoNotAddRetriesBothAtTheirHostAndAtTheOwner(t *testing.T) {
	l := newRejectingFleet()
	for range 10 {
		l.run(usualLoad, 700*time.Millisecond)
		l.ownerStopped = true
		l.run(usualLoad, 500*time.Millisecond)
		l.resumeOwner()
	}
	require.LessOrEqual(t, l.mostRetried(), float64(retrySlack))
}

func TestChangesOfOwnerDoNotAddRetries(t *testing.T) {
	l := newRejectingFleet()
	for range 8 {
		l.run(usualLoad, 1200*time.Millisecond)
		l.startOwner()
	}
	require.LessOrEqual(t, l.mostRetried(), float64(retrySlack))
}

func TestRetriesThatWaitForATargetDoNotArriveBeyondTheBudget(t *testing.T) {
	l := newFleetLoad(97, 100)
	l.run(usualLoad, 3*time.Second)
	l.rejectedShare = 0.55
	l.run(usualLoad, 3*time.Second)
	// All slots are held until the same moment, and queries wait.
	hold := 2400 * time.Millisecond
	l.latency = hold
	l.run(usualLoad, hold)
	l.latency = 240 * time.Millisecond
	l.run(usualLoad, 11*time.Second)
	require.LessOrEqual(t, l.mostRetried(), float64(retrySlack))
	require.Greater(t, l.mostRetried(), 0.0, "the load must use the budget")
}
