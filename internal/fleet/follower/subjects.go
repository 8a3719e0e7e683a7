// Package follower keeps an instance's copy of the state in the platform's
// store: the current routing table, the backend servers, the other instances,
// the data centres taken out of service and the rollouts in progress.
//
// A Follower reads the store itself, or the feed of another instance that does.
// It regularly confirms that its routing table is still the store's current
// one, and publishes every change in its View.
package follower

import (
	"context"
	"fmt"
	"time"

	"github.com/kingcupyard/kingcupyard/internal/fleet/revision"
)

// Change is one decoded change of the store. Subject is a *route.Table, a
// backend.Server or one of the types below, or nil if the entry couldn't be
// decoded.
type Change struct {
	// Key is the entry's key in the store.
	Key      string
	Revision revision.Revision
	Subject  any
	// Err says which field of the entry is wrong, if it couldn't be decoded for that.
	Err error
}

// The types of Change.Subject, besides *route.Table and backend.Server. Their
// field names appear in logs, which print them with %+v.
type (
	// ServerRemoved is the end of a backend server's entry.
	ServerRemoved struct{ ID string }
	// DataCentreClosure takes a data centre out of service, or puts it back into
	// service if Ended is set.
	DataCentreClosure struct {
		DataCentre string
		Ended      bool
	}
	// RolloutOrder is an operator's order to move a service's traffic to a version.
	RolloutOrder struct {
		Service string
		Target  string
		// Duration is the longest time that the rollout may take.
		Duration time.Duration
		// Revision is the store's revision of the order. Its number identifies the order.
		Revision revision.Revision
		Ended    bool
	}
	// RolloutProgress is the progress of a rollout as its driver recorded it.
	RolloutProgress struct {
		Service string
		// Order is the revision's number of the RolloutOrder that the rollout executes.
		Order  int64
		Target string
		State  RolloutState
		// Share is the new version's share of the service's sessions, 0 to 1.
		Share float64
		// Retrial is set if the trial takes place on other servers than at first.
		Retrial bool
		// Elapsed is the time from the start of the rollout to this record.
		Elapsed time.Duration
		// SentOld and SentNew are the numbers of requests that the fleet had sent to other
		// versions and to the target.
		SentOld, SentNew int
		// Revision is the store's revision of the record.
		Revision revision.Revision
		Ended    bool
		// Lost is set if the store has come back from a copy that lacks this record. The
		// driver writes it again; Revision is that of the record in its place, if any.
		Lost bool
	}
	// Instance is one instance of the system.
	Instance struct {
		Name        string
		DataCentre  string
		PeerAddress string
		// TTL is how long the announcement outlasts the instance, 0 if unknown.
		TTL time.Duration
		// StatesEra is set if the instance's feed states the eras of its revisions.
		StatesEra bool
		// Revision is the store's revision of the announcement.
		Revision revision.Revision
		Ended    bool
	}
	// QuarantinedPart keeps prompts with a part away from the servers, until Ended.
	QuarantinedPart struct {
		Part  string
		Ended bool
	}
	// Ignored is an entry that followers don't use. Feeds leave it out.
	Ignored struct{}
	// Driver names the instance that makes the rollout decisions.
	Driver struct {
		Instance string
		Revision revision.Revision
		Ended    bool
	}
)

// RolloutState is the state of a rollout.
type RolloutState string

// The states of a rollout.
const (
	RolloutActive   RolloutState = "Active"
	RolloutComplete RolloutState = "Complete"
	RolloutReverted RolloutState = "Reverted"
)

// HistoryLostError reports that the store no longer has the changes after a
// revision, so that the complete state must be loaded again.
type HistoryLostError struct{ After revision.Revision }

func (e *HistoryLostError) Error() string {
	return fmt.Sprintf("store no longer has the changes after revision %v", e.After)
}

// Store reads the platform's store.
type Store interface {
	// Load reads the complete state, with or without the routing table. It includes all
	// changes up to a revision and may include later ones.
	Load(ctx context.Context, table bool) (items []Item, at revision.Revision, err error)
	// Watch returns the changes after a revision. It waits up to wait for the
	// first one. The error may be a *HistoryLostError, as it is if the store has come
	// back from a copy since that revision.
	Watch(ctx context.Context, after revision.Revision, wait time.Duration) (items []Item, at revision.Revision, err error)
	// Confirm reads the routing table's entry linearizably, and the store's
	// revision. The item's revision is 0 if there is no table.
	Confirm(ctx context.Context) (table Item, at revision.Revision, err error)
	// Revision reads the store's revision linearizably.
	Revision(ctx context.Context) (revision.Revision, error)
}
