//go:build race

package order_test

// defaultSchedules is smaller with the race detector, which slows a schedule tenfold.
const defaultSchedules = 400
