//go:build race

package ctrl

// defaultSchedules is the number of schedules that TestSchedules runs. It is
// small here because the race detector slows a schedule about thirtyfold, and
// each schedule runs in a single goroutine.
const defaultSchedules = 120
