// Package follower keeps an instance's view of what lies in the platform's
// store: the routing table in force, the backend servers, the other instances,
// the data centres taken out and the roll-outs under way.
package follower

import (
	"context"
	"fmt"
	"time"
)

// Change is one change of the store, decoded. Subject is one of the types
// below; nil is an entry that could not be read and names nothing.
type Change struct {
	// Key is the entry's key in the store.
	Key      string
	Revision int64
	Subject  any
}

// The subjects of changes, beside *route.Table and backend.Server.
type (
	// ServerRemoved ends a backend server's announcement.
	ServerRemoved struct{ ID string }
	// DataCentreClosure takes a data centre out of service, or back if Ended is set.
	DataCentreClosure struct {
		DataCentre string
		Ended      bool
	}
	// RolloutOrder asks for a service's traffic to be moved to a version.
	RolloutOrder struct {
		Service string
		Target  string
		// Duration is how long the move may take.
		Duration time.Duration
		// Revision identifies the order.
		Revision int64
		Ended    bool
	}
	// RolloutProgress is how far a roll-out has come, as its driver recorded it.
	RolloutProgress struct {
		Service string
		// Order is the revision of the order that the stage belongs to.
		Order  int64
		Target string
		State  RolloutState
		// Share is the new version's share of the service's sessions, 0 to 1.
		Share float64
		// Elapsed is how long the roll-out had gone on when this was recorded.
		Elapsed time.Duration
		// Revision is the store's revision of the record.
		Revision int64
		Ended    bool
	}
	// Instance is one instance of the system.
	Instance struct {
		Name        string
		DataCentre  string
		PeerAddress string
		Ended       bool
	}
	// Ignored is an entry that belongs to no view. Feeds leave it out.
	Ignored struct{}
	// Driver names the instance that decides on roll-outs.
	Driver struct {
		Instance string
		Revision int64
		Ended    bool
	}
)

// RolloutState is the state of a roll-out.
type RolloutState string

// The states of a roll-out.
const (
	RolloutActive   RolloutState = "Active"
	RolloutComplete RolloutState = "Complete"
	RolloutReverted RolloutState = "Reverted"
)

// HistoryLostError reports that the store no longer holds the changes after a
// revision, so that everything has to be read again.
type HistoryLostError struct{ After int64 }

func (e *HistoryLostError) Error() string {
	return fmt.Sprintf("the store's history after revision %d is gone", e.After)
}

// Store reads the platform's store.
type Store interface {
	// Load reads everything. Changes up to the revision are included; later
	// ones may be.
	Load(ctx context.Context) (items []Item, revision int64, err error)
	// Watch returns the changes after a revision, waiting for the first one
	// at most as long as given. The error may be a *HistoryLostError.
	Watch(ctx context.Context, after int64, wait time.Duration) (items []Item, revision int64, err error)
	// Confirm reads the routing table's entry linearizably, and the store's
	// revision. The item's revision is 0 if there is no table.
	Confirm(ctx context.Context) (table Item, revision int64, err error)
}
