//go:build race

package order_test

// defaultSchedules is the number of random schedules unless ORDER_SCHEDULES is set. It is
// smaller with the race detector, which makes a schedule ten times as slow.
const defaultSchedules = 400
