//go:build race

package ledger

import "time"

// Under the race detector, which is ten times as slow, less is run; the whole
// runs without it.
const (
	defaultSchedules = 60
	loadDuration     = time.Second
)
