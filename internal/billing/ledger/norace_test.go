//go:build !race

package ledger

import "time"

const (
	defaultSchedules = 1000
	loadLasts        = 2 * time.Second
)
