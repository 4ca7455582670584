package trial

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"time"
)

// Prints what follows the loss of an owner; set TRIAL_TABLE to print it.
func TestRecoveryTable(t *testing.T) {
	if os.Getenv(tableVar) == "" {
		t.Skip("prints measurements; set " + tableVar)
	}
	for _, dep := range Deployments() {
		for _, sc := range Scenarios() {
			if !strings.Contains(sc.Name, "owner lost") {
				continue
			}
			var held, placed, wrong, bad []int
			var pause, resumed, out []time.Duration
			for _, w := range run(t, dep, sc, PolicyOwner) {
				r := &w.Result.Recovery
				held = append(held, r.MostHeld)
				placed = append(placed, r.MostPlaced)
				wrong = append(wrong, w.Result.False)
				bad = append(bad, r.AtEjected)
				pause = append(pause, r.Pause)
				resumed = append(resumed, r.Resumed...)
				out = append(out, r.Out...)
			}
			fmt.Printf("%s, %s: most requests at a target %s, found by an owner's %s, pause %s, owner assigns again %s, ejected again %s (%d times), placed there meanwhile %s, false ejections %s\n",
				dep.Name, sc.Name, spread(held), spread(placed), spread(pause), spread(resumed), spread(out), len(out), spread(bad), spread(wrong))
		}
	}
}

// spread formats the median and the worst.
func spread[T int | time.Duration](x []T) string {
	if len(x) == 0 {
		return "-"
	}
	slices.Sort(x)
	return fmt.Sprintf("%v / %v", x[len(x)/2], x[len(x)-1])
}
