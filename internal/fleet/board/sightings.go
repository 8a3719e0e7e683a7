package board

import "time"

// Sightings is what this instance has heard from peers in heartbeats. It is
// written by membership and read by the configuration controller.
type Sightings struct {
	// LastAnswer is when a request of this instance was last answered,
	// counted from when it was sent.
	LastAnswer time.Time
	// List holds the latest sighting of each peer.
	List []Sighting
}

// Sighting is one peer's account of its configuration.
type Sighting struct {
	Name        string
	PeerAddress string
	Revision    int64
	// ListingStamp is that of the peer's instance list.
	ListingStamp int64
	// ListedAt is when the platform confirmed that list, on this instance's
	// clock.
	ListedAt time.Time
	// ConfirmedAt is when the peer's revision was last confirmed by the
	// store, on this instance's clock.
	ConfirmedAt time.Time
	// At is when the peer's latest answer was asked for, zero if the peer has
	// only sent requests of its own. A request may have waited in a buffer
	// while this process was paused, so that it proves no freshness.
	At time.Time
	// HeardAt is when anything of the peer was last processed.
	HeardAt time.Time
}
