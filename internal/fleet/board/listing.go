package board

import "time"

// InstanceList holds the instances of this system, without the backend servers, as
// of the platform's latest plausible list. It lags behind the actual set of
// instances.
type InstanceList struct {
	// Revision orders lists. It increases with each change of the platform's
	// list.
	Revision int64
	Sequence uint64
	// ListedAt is when the request was sent that last confirmed the list to be
	// the platform's.
	ListedAt time.Time
	List     []Member
}
