//go:build !race

package order_test

// defaultSchedules is the number of random schedules unless ORDER_SCHEDULES is set.
const defaultSchedules = 3000
