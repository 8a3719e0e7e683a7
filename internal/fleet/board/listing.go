package board

import "time"

// Listing is the latest plausible instance list of the platform, with this
// system's own instances only. It lags behind.
type Listing struct {
	Sequence uint64
	At       time.Time
	List     []Member
}
