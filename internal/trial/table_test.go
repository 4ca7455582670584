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

// Environment variables of the table that docs/measurements.md quotes.
const (
	// tableVar prints the table: "owner" for the fleet's policy, "all" with the baselines.
	tableVar = "TRIAL_TABLE"
	// scenarioVar limits the table to scenarios that contain its text.
	scenarioVar = "TRIAL_SCENARIO"
)

const seeds = 5

func run(t *testing.T, dep Deployment, sc Scenario, p Policy) []*World {
	t.Helper()
	list := make([]*World, seeds)
	workers := pond.NewPool(seeds)
	defer workers.StopAndWait()
	group := workers.NewGroup()
	for i := range list {
		group.Submit(func() { list[i] = Measure(dep, sc, p, uint64(i+1)) })
	}
	require.NoError(t, group.Wait())
	return list
}

func TestTable(t *testing.T) {
	which := os.Getenv(tableVar)
	if which == "" {
		t.Skip("prints measurements; set " + tableVar)
	}
	only := os.Getenv(scenarioVar)
	out := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(out, "deployment\tscenario\tpolicy\tdetected\tmedian\tworst\tfalse\tsuccess median\tmin\tworst workspace\tp99 median\tmax\tattempts/request\trefused first\tcrashes\tviolations")
	policies := []Policy{PolicyOwner}
	if which == "all" {
		policies = append(policies, PolicyRoundRobin, PolicyHostEjection)
	}
	for _, dep := range Deployments() {
		for _, sc := range Scenarios() {
			if !strings.Contains(sc.Name, only) {
				continue
			}
			for _, p := range policies {
				printRow(out, dep, sc, p, run(t, dep, sc, p))
			}
		}
	}
	require.NoError(t, out.Flush())
}

func printRow(out *tabwriter.Writer, dep Deployment, sc Scenario, p Policy, list []*World) {
	var found, p99s []time.Duration
	var success, worst, ratio []float64
	faulty, wrong, refused, crashes, requests, violations := 0, 0, 0, 0, 0, 0
	for _, w := range list {
		r := &w.Result
		faulty += r.Faulty
		for _, d := range r.Detected {
			found = append(found, d)
		}
		wrong += r.False
		for ws, n := range r.RefusedFirst {
			if ws != sc.Exclude {
				refused += n
			}
		}
		requests += r.Requests
		crashes += r.Crashes
		violations += len(r.Violations)
		s, p99 := r.Worst(sc.Exclude)
		success = append(success, r.Success(sc.Exclude))
		worst = append(worst, s)
		p99s = append(p99s, p99)
		ratio = append(ratio, float64(r.Attempts)/float64(r.Requests))
	}
	slices.Sort(found)
	slices.Sort(success)
	slices.Sort(worst)
	slices.Sort(p99s)
	slices.Sort(ratio)
	med, max := "-", "-"
	if n := len(found); n > 0 {
		med, max = ms(found[n/2]), ms(found[n-1])
	}
	_, _ = fmt.Fprintf(out, "%s\t%s\t%s\t%d/%d\t%s\t%s\t%d\t%.3f\t%.3f\t%.3f\t%s\t%s\t%.2f\t%.3f%%\t%d\t%d\n",
		dep.Name, sc.Name, p, len(found), faulty, med, max, wrong, success[len(success)/2], success[0], worst[0],
		ms(p99s[len(p99s)/2]), ms(p99s[len(p99s)-1]), ratio[len(ratio)-1], 100*float64(refused)/float64(requests), crashes, violations)
	if os.Getenv(scenarioVar) != "" {
		fmt.Println(strings.Join(list[0].Result.Reasons, "\n"), list[0].Result.Violations, list[0].Result.Refused)
	}
	for _, w := range list {
		if p == PolicyOwner && len(w.Result.FalseReasons) > 0 {
			fmt.Println(dep.Name, sc.Name, w.Result.FalseReasons)
		}
	}
}

func ms(d time.Duration) string { return fmt.Sprintf("%d ms", d.Milliseconds()) }
