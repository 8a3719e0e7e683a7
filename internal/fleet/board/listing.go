package board

import "time"

// Listing is the latest plausible instance list of the platform, with this
// system's own instances only. It lags behind.
type Listing struct {
	// Stamp orders lists; it grows with each change that the platform shows.
	Stamp    int64
	Sequence uint64
	// At is when the list was last known to be the platform's, counted from
	// when it was asked for.
	At   time.Time
	List []Member
}
