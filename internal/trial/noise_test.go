package trial

import (
	"fmt"
	"os"
	"testing"
	"time"
)

// noiseVar is the environment variable with the virtual time of the noise run, a
// duration such as 1h.
const noiseVar = "TRIAL_NOISE"

// Prints how often healthy targets are ejected over a long run with changing load.
// It runs only if TRIAL_NOISE is set.
func TestNoise(t *testing.T) {
	d, err := time.ParseDuration(os.Getenv(noiseVar))
	if err != nil {
		t.Skip("prints measurements; set " + noiseVar + " to a duration of virtual time")
	}
	list := Deployments()
	heavy := Deployments()[0]
	heavy.Name += " with 1 % of requests 15 times as long"
	for i := range heavy.Services {
		heavy.Services[i].HeavyShare, heavy.Services[i].HeavyFactor = 0.01, 15
	}
	for _, dep := range append(list, heavy) {
		sc := Scenario{Name: "noise", ExcludedWorkspace: -1, Load: normalLoad, Duration: d, setup: varyLoad}
		runs := runScenario(t, dep, sc, PolicyOwner)
		ejections, targets := 0, 0
		for _, s := range runs[0].services {
			targets += len(s.targets)
		}
		for _, w := range runs {
			ejections += w.Result.FalseEjections
			for _, line := range w.Result.FalseEjectionReasons {
				fmt.Println(line)
			}
		}
		hours := d.Hours() * float64(targets*len(runs))
		fmt.Printf("%s: %d false ejections in %.0f target-hours\n", dep.Name, ejections, hours)
	}
}

// varyLoad sets the load every 20 s to a random share of the capacity between a
// fifth and nine tenths. With a chance of one in four it also slows one service.
func varyLoad(w *World) {
	var step func()
	step = func() {
		w.scaleLoad(0.4 + 1.4*w.rng.Float64())
		s := w.services[w.rng.IntN(len(w.services))]
		s.slowdown = 1
		if w.rng.IntN(4) == 0 {
			s.slowdown = 1 + w.rng.Float64()
		}
		w.after(20*time.Second, step)
	}
	step()
}
