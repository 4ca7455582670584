//go:build race

package trial

// testSeeds is the number of runs of each scenario under the race detector. With
// one run, only two thirds of the scenarios run, each for one deployment: the
// detector makes a run several times slower and finds nothing in a run that has a
// single goroutine. The test without the race detector runs all scenarios.
const testSeeds = 1
