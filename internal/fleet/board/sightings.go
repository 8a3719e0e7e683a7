package board

import "time"

// PeerStatuses holds what the heartbeats of the peers have reported. It is written
// by the membership controller and read by the configuration controller.
type PeerStatuses struct {
	// LastAnswer is when this instance sent the latest request that any peer
	// answered.
	LastAnswer time.Time
	// List holds the latest status of each peer.
	List []PeerStatus
}

// PeerStatus is the configuration and instance list that a peer reported.
type PeerStatus struct {
	Name        string
	PeerAddress string
	Revision    int64
	// InstanceListRevision is the revision of the peer's instance list.
	InstanceListRevision int64
	// ListedAt is when the platform confirmed that list, on this instance's
	// clock.
	ListedAt time.Time
	// ConfirmedAt is when the peer's revision was last confirmed by the
	// store, on this instance's clock.
	ConfirmedAt time.Time
	// RequestedAt is when this instance sent the request that the peer last
	// answered, zero if the peer has only sent requests of its own. Such a
	// request may have waited in a buffer while this process was paused, so it
	// doesn't prove that the status is recent.
	RequestedAt time.Time
	// HeardAt is when a request or answer of the peer was last processed.
	HeardAt time.Time
}
