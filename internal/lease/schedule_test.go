package lease

import (
	"fmt"
	"os"
	"strconv"
	"testing"
)

// schedules returns the number of random schedules: a few for CI, or what
// LEASE_SCHEDULES asks for.
func schedules(t *testing.T) uint64 {
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

// Guards against two owners of a shard, against serving a version later than
// Fresh after a newer one was accepted, and against faults without recovery.
func TestRandomSchedules(t *testing.T) {
	for seed := range schedules(t) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			schedule(t, seed)
		})
	}
}
