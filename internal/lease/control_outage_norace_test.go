//go:build !race

package lease

import "time"

// hoursWithoutControl is the duration of the outage in virtual time.
const hoursWithoutControl = 3 * time.Hour
