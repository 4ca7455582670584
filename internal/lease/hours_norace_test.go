//go:build !race

package lease

import "time"

const hoursWithoutControl = 3 * time.Hour
