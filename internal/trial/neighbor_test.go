package trial

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/stretchr/testify/require"
)

const (
	// neighborSeeds runs of neighborDuration give the smallest workspace about
	// 18,000 requests. With five runs of 6 s its p99 varies by a tenth.
	neighborSeeds    = 20
	neighborDuration = time.Minute
)

// Prints the p99 latency of each workspace with and without another workspace that
// sends 8 times its usual rate. It runs only if TRIAL_TABLE is set.
func TestNeighborTable(t *testing.T) {
	if os.Getenv(tableVar) == "" {
		t.Skip("prints measurements; set " + tableVar)
	}
	for _, dep := range Deployments() {
		var alone [workspaces]time.Duration
		for _, name := range []string{"quiet", "one workspace x8"} {
			worst, all, pooled := neighborRuns(t, dep, name)
			fmt.Printf("%s, %s: worst-served workspace by run %s, all %v", dep.Name, name, spread(worst), all.Round(time.Millisecond/10))
			for ws, p := range pooled {
				if ws != noisyWorkspace {
					fmt.Printf(", w%d %v", ws, p.Round(time.Millisecond/10))
				}
				if ws != noisyWorkspace && alone[ws] != 0 {
					fmt.Printf(" (%+.1f %%)", 100*(float64(p)/float64(alone[ws])-1))
				}
			}
			fmt.Println()
			alone = pooled
		}
	}
}

// neighborRuns returns the p99 latency of the worst-served workspace of each run,
// of all requests, and of each workspace over all runs. The noisy workspace is left
// out.
func neighborRuns(t *testing.T, dep Deployment, name string) (worst []time.Duration, all time.Duration, pooled [workspaces]time.Duration) {
	workers := pond.NewPool(seeds)
	defer workers.StopAndWait()
	group := workers.NewGroup()
	runs := make([]*World, neighborSeeds)
	for _, sc := range Scenarios() {
		if sc.Name != name {
			continue
		}
		sc.Duration = faultAt + neighborDuration
		for i := range runs {
			group.Submit(func() { runs[i] = Measure(dep, sc, PolicyOwner, uint64(i+1)) })
		}
	}
	require.NoError(t, group.Wait())
	var latencies []time.Duration
	var byWorkspace [workspaces][]time.Duration
	for _, w := range runs {
		_, p99 := w.Result.WorstWorkspace(noisyWorkspace)
		worst = append(worst, p99)
		for ws := range workspaces {
			if ws != noisyWorkspace {
				byWorkspace[ws] = append(byWorkspace[ws], w.Result.byWorkspace[ws].latencies...)
				latencies = append(latencies, w.Result.byWorkspace[ws].latencies...)
			}
		}
	}
	for ws := range workspaces {
		pooled[ws] = percentile99(byWorkspace[ws])
	}
	return worst, percentile99(latencies), pooled
}
