package trial

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"text/tabwriter"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/stretchr/testify/require"
)

// Environment variables of the tests that print tables of measurements, which
// docs/measurements.md quotes.
const (
	// tableVar prints the table: with the value "owner" for the policy of the fleet,
	// with "all" also for the baseline policies.
	tableVar = "TRIAL_TABLE"
	// scenarioVar limits the table to scenarios whose name contains its value.
	scenarioVar = "TRIAL_SCENARIO"
)

// seeds is the number of runs of each scenario, deployment and policy.
const seeds = 5

// runScenario measures a scenario once for each seed.
func runScenario(t *testing.T, dep Deployment, sc Scenario, p Policy) []*World {
	t.Helper()
	runs := make([]*World, seeds)
	workers := pond.NewPool(seeds)
	defer workers.StopAndWait()
	group := workers.NewGroup()
	for i := range runs {
		group.Submit(func() { runs[i] = Measure(dep, sc, p, uint64(i+1)) })
	}
	require.NoError(t, group.Wait())
	return runs
}

// Prints the measurements of all scenarios. It runs only if TRIAL_TABLE is set.
func TestTable(t *testing.T) {
	selection := os.Getenv(tableVar)
	if selection == "" {
		t.Skip("prints measurements; set " + tableVar)
	}
	nameFilter := os.Getenv(scenarioVar)
	out := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(out, "deployment\tscenario\tpolicy\tdetected\tmedian\tworst\tfalse\tsuccess median\tmin\tworst workspace\tp99 median\tmax\tattempts/request\trefused first\tcrashes\tviolations")
	policies := []Policy{PolicyOwner}
	if selection == "all" {
		policies = append(policies, PolicyRoundRobin, PolicyHostEjection)
	}
	for _, dep := range Deployments() {
		for _, sc := range Scenarios() {
			if !strings.Contains(sc.Name, nameFilter) {
				continue
			}
			for _, p := range policies {
				printRow(out, dep, sc, p, runScenario(t, dep, sc, p))
			}
		}
	}
	require.NoError(t, out.Flush())
}

// printRow prints the row of one deployment, scenario and policy.
func printRow(out *tabwriter.Writer, dep Deployment, sc Scenario, p Policy, runs []*World) {
	var detected, p99s []time.Duration
	var success, worst, ratio []float64
	faulty, falseEjections, refused, crashes, requests, violations := 0, 0, 0, 0, 0, 0
	for _, w := range runs {
		r := &w.Result
		faulty += r.FaultyTargets
		for _, d := range r.DetectionTimes {
			detected = append(detected, d)
		}
		falseEjections += r.FalseEjections
		for ws, n := range r.RefusedWithoutAttempt {
			if ws != sc.ExcludedWorkspace {
				refused += n
			}
		}
		requests += r.Requests
		crashes += r.Crashes
		violations += len(r.Violations)
		s, p99 := r.WorstWorkspace(sc.ExcludedWorkspace)
		success = append(success, r.SuccessShare(sc.ExcludedWorkspace))
		worst = append(worst, s)
		p99s = append(p99s, p99)
		ratio = append(ratio, float64(r.Attempts)/float64(r.Requests))
	}
	slices.Sort(detected)
	slices.Sort(success)
	slices.Sort(worst)
	slices.Sort(p99s)
	slices.Sort(ratio)
	med, max := "-", "-"
	if n := len(detected); n > 0 {
		med, max = ms(detected[n/2]), ms(detected[n-1])
	}
	_, _ = fmt.Fprintf(out, "%s\t%s\t%s\t%d/%d\t%s\t%s\t%d\t%.3f\t%.3f\t%.3f\t%s\t%s\t%.2f\t%.3f%%\t%d\t%d\n",
		dep.Name, sc.Name, p, len(detected), faulty, med, max, falseEjections, success[len(success)/2], success[0], worst[0],
		ms(p99s[len(p99s)/2]), ms(p99s[len(p99s)-1]), ratio[len(ratio)-1], 100*float64(refused)/float64(requests), crashes, violations)
	if os.Getenv(scenarioVar) != "" {
		fmt.Println(strings.Join(runs[0].Result.EjectionReasons, "\n"), runs[0].Result.Violations, runs[0].Result.Refusals)
	}
	for _, w := range runs {
		if p == PolicyOwner && len(w.Result.FalseEjectionReasons) > 0 {
			fmt.Println(dep.Name, sc.Name, w.Result.FalseEjectionReasons)
		}
	}
}

func ms(d time.Duration) string { return fmt.Sprintf("%d ms", d.Milliseconds()) }
