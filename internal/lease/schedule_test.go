package lease

import (
	"fmt"
	"os"
	"strconv"
	"testing"
)

// scheduleCount returns the number of random schedules: LEASE_SCHEDULES, or a few if
// it is not set, as in CI.
func scheduleCount(t *testing.T) uint64 {
	n, err := strconv.ParseUint(os.Getenv("LEASE_SCHEDULES"), 10, 64)
	if err != nil {
		n = 5
	}
	if testing.Short() {
		n = 4
	}
	t.Logf("%d schedules", n)
	return n
}

// Guards against two owners of a shard at the same time, against hosts that admit
// keyed requests under a version for longer than FreshnessDuration after a newer one
// was accepted, and against faults from which the fleet does not recover.
func TestRandomSchedules(t *testing.T) {
	for seed := range scheduleCount(t) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			runSchedule(t, seed)
		})
	}
}
