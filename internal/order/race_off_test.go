//go:build !race

package order_test

const defaultSchedules = 3000
