//go:build race

package trial

// testSeeds is lower under the race detector, and two thirds of the scenarios
// run, each for one deployment: the detector makes a run several times slower
// and finds nothing in a run that has a single goroutine. The test without it
// runs all.
const testSeeds = 1
