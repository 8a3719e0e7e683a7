package board

import "time"

// PeerStatuses is what this instance has heard from peers in heartbeats. It is
// written by membership and read by the configuration controller.
type PeerStatuses struct {
	// LastAnswer is when a request of this instance was last answered,
	// counted from when it was sent.
	LastAnswer time.Time
	// List holds the latest sighting of each peer.
	List []PeerStatus
}

// PeerStatus is one peer's account of its configuration.
type PeerStatus struct {
	Name        string
	PeerAddress string
	Revision    int64
	// InstanceListRevision is that of the peer's instance list.
	InstanceListRevision int64
	// ListedAt is when the platform confirmed that list, on this instance's
	// clock.
	ListedAt time.Time
	// ConfirmedAt is when the peer's revision was last confirmed by the
	// store, on this instance's clock.
	ConfirmedAt time.Time
	// RequestedAt is when the peer's latest answer was asked for, zero if the peer has
	// only sent requests of its own. A request may have waited in a buffer
	// while this process was paused, so that it proves no freshness.
	RequestedAt time.Time
	// HeardAt is when anything of the peer was last processed.
	HeardAt time.Time
}
