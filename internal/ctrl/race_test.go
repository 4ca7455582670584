//go:build race

package ctrl

// defaultSchedules is small under the race detector, which slows a schedule
// about thirtyfold; the schedules have one goroutine each.
const defaultSchedules = 120
