//go:build !race

package ledger

import "time"

const (
	defaultSchedules = 1000
	loadDuration     = 2 * time.Second
)
