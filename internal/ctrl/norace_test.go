//go:build !race

package ctrl

const defaultSchedules = 2000
