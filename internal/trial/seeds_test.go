//go:build !race

package trial

// testSeeds is the number of runs of each scenario and deployment.
const testSeeds = seeds
