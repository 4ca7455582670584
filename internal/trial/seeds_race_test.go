//go:build race

package trial

// testSeeds is lower under the race detector, which makes a run several times
// slower and finds nothing in a run that has a single goroutine.
const testSeeds = 1
