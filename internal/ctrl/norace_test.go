//go:build !race

package ctrl

// defaultSchedules is the number of schedules that TestSchedules runs.
const defaultSchedules = 2000
