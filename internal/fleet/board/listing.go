package board

import "time"

// InstanceList is the latest plausible instance list of the platform, with this
// system's own instances only. It lags behind.
type InstanceList struct {
	// Revision orders lists; it grows with each change that the platform shows.
	Revision int64
	Sequence uint64
	// ListedAt is when the list was last known to be the platform's, counted from
	// when it was asked for.
	ListedAt time.Time
	List     []Member
}
