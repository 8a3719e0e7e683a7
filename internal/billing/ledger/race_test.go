//go:build race

package ledger

import "time"

// The race detector makes the tests about ten times slower, so less is run. The
// full amount runs without it.
const (
	defaultSchedules = 60
	loadDuration     = time.Second
)
