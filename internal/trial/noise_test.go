package trial

import (
	"fmt"
	"os"
	"testing"
	"time"
)

// noiseVar sets the seconds of virtual time of the noise run, such as 3600.
const noiseVar = "TRIAL_NOISE"

// Prints how often healthy targets are ejected over a long run at changing load.
func TestNoise(t *testing.T) {
	d, err := time.ParseDuration(os.Getenv(noiseVar))
	if err != nil {
		t.Skip("prints measurements; set " + noiseVar + " to a duration of virtual time")
	}
	list := Deployments()
	heavy := Deployments()[0]
	heavy.Name += " with 1 % of requests 15 times as long"
	for i := range heavy.Services {
		heavy.Services[i].Heavy, heavy.Services[i].HeavyFactor = 0.01, 15
	}
	for _, dep := range append(list, heavy) {
		sc := Scenario{Name: "noise", Exclude: -1, Load: normalLoad, Until: d, setup: noise}
		runs := run(t, dep, sc, PolicyOwner)
		ejections, targets := 0, 0
		for _, s := range runs[0].services {
			targets += len(s.targets)
		}
		for _, w := range runs {
			ejections += w.Result.False
			for _, line := range w.Result.FalseReasons {
				fmt.Println(line)
			}
		}
		hours := d.Hours() * float64(targets*len(runs))
		fmt.Printf("%s: %d false ejections in %.0f target-hours\n", dep.Name, ejections, hours)
	}
}

// noise changes the load every 20 s between a fifth and nine tenths of the
// capacity and slows a whole service now and then.
func noise(w *World) {
	var step func()
	step = func() {
		w.scale(0.4 + 1.4*w.rng.Float64())
		s := w.services[w.rng.IntN(len(w.services))]
		s.slow = 1
		if w.rng.IntN(4) == 0 {
			s.slow = 1 + w.rng.Float64()
		}
		w.after(20*time.Second, step)
	}
	step()
}
