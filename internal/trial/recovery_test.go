package trial

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"time"
)

// Prints the measurements of recovery after the loss of an owner. It runs only if
// TRIAL_TABLE is set.
func TestRecoveryTable(t *testing.T) {
	if os.Getenv(tableVar) == "" {
		t.Skip("prints measurements; set " + tableVar)
	}
	for _, dep := range Deployments() {
		for _, sc := range Scenarios() {
			if !strings.Contains(sc.Name, "owner lost") {
				continue
			}
			var maxHeld, maxHeldAtPlacement, falseEjections, placedAtEjected []int
			var gaps, resumed, reejected []time.Duration
			for _, w := range runScenario(t, dep, sc, PolicyOwner) {
				r := &w.Result.Recovery
				maxHeld = append(maxHeld, r.MaxHeld)
				maxHeldAtPlacement = append(maxHeldAtPlacement, r.MaxHeldAtPlacement)
				falseEjections = append(falseEjections, w.Result.FalseEjections)
				placedAtEjected = append(placedAtEjected, r.PlacedAtEjected)
				gaps = append(gaps, r.MaxAssignmentGap)
				resumed = append(resumed, r.ResumeTimes...)
				reejected = append(reejected, r.ReejectionTimes...)
			}
			fmt.Printf("%s, %s: most requests at a target %s, found by an owner's %s, pause %s, owner assigns again %s, ejected again %s (%d times), placed there meanwhile %s, false ejections %s\n",
				dep.Name, sc.Name, spread(maxHeld), spread(maxHeldAtPlacement), spread(gaps), spread(resumed), spread(reejected), len(reejected), spread(placedAtEjected), spread(falseEjections))
		}
	}
}

// spread formats the median and the maximum of x, and sorts x.
func spread[T int | time.Duration](x []T) string {
	if len(x) == 0 {
		return "-"
	}
	slices.Sort(x)
	return fmt.Sprintf("%v / %v", x[len(x)/2], x[len(x)-1])
}
