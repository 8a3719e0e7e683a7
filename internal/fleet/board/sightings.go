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
	// ConfirmedAt is when the peer's revision was last confirmed by the
	// store, on this instance's clock.
	ConfirmedAt time.Time
	At          time.Time
}
