package pool

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// fleetLoad is the number of requests per second of the loads below, for which
// retryLoad's targets have room.
const fleetLoad = 950

// newRejectingFleet returns the load of a fleet whose targets have just begun to
// reject more than half of the attempts.
func newRejectingFleet() *retryLoad {
	l := newRetryLoad(97, 171)
	l.run(fleetLoad, 3*time.Second)
	l.rejectedShare = 0.55
	return l
}

func TestQueriesThatAreWithdrawnAndSentAgainDoNotAddRetries(t *testing.T) {
	l := newRejectingFleet()
	l.withdrawnShare = 0.25
	l.run(fleetLoad, 11*time.Second)
	require.LessOrEqual(t, l.mostRetried(), float64(retrySlack))
	require.Greater(t, l.mostRetried(), 0.0, "the load must use the budget")
}

func TestRequestsDoNotAddRetriesBothAtTheirHostAndAtTheOwner(t *testing.T) {
	l := newRejectingFleet()
	for range 10 {
		l.run(fleetLoad, 700*time.Millisecond)
		l.ownerStopped = true
		l.run(fleetLoad, 500*time.Millisecond)
		l.resumeOwner()
	}
	require.LessOrEqual(t, l.mostRetried(), float64(retrySlack))
}

func TestChangesOfOwnerDoNotAddRetries(t *testing.T) {
	l := newRejectingFleet()
	for range 8 {
		l.run(fleetLoad, 1200*time.Millisecond)
		l.startOwner()
	}
	require.LessOrEqual(t, l.mostRetried(), float64(retrySlack))
}

func TestRetriesThatWaitForATargetDoNotArriveBeyondTheBudget(t *testing.T) {
	l := newRetryLoad(97, 100)
	l.run(fleetLoad, 3*time.Second)
	l.rejectedShare = 0.55
	l.run(fleetLoad, 3*time.Second)
	// All slots are held until the same moment, and queries wait.
	hold := 2400 * time.Millisecond
	l.latency = hold
	l.run(fleetLoad, hold)
	l.latency = 240 * time.Millisecond
	l.run(fleetLoad, 11*time.Second)
	require.LessOrEqual(t, l.mostRetried(), float64(retrySlack))
	require.Greater(t, l.mostRetried(), 0.0, "the load must use the budget")
}
