// Package distribution spreads the configuration document. A few watchers in
// each data centre learn of it from the store; all others get it from peers,
// by push on change and by exchange of revisions on heartbeats.
//
// The controller writes the board's Configuration and Confirmation sections.
// It never applies a lower revision than the one in force here. The Editor
// makes changes.
package distribution

import (
	"context"
	"expvar"
	"time"

	"github.com/kingcupyard/kingcupyard/internal/fleet/peer"
	"github.com/kingcupyard/kingcupyard/internal/platform/store"
)

// Key is the store's key of the document.
const Key = "kingcupyard/Configuration"

// Times and numbers of the spread.
const (
	// MaxApplyDelay is the time within which an accepted change is in force;
	// an instance that heard nothing for so long takes no new work.
	MaxApplyDelay = 4 * time.Second
	// watchersPerDataCentre is how many instances of a data centre watch.
	watchersPerDataCentre = 2
	pollInterval          = time.Second
	tickInterval          = 250 * time.Millisecond
	pushRetryInterval     = 300 * time.Millisecond
	pushTimeout           = 500 * time.Millisecond
	pushAttempts          = 5
	pushConcurrency       = 8
	// pushFanOut is how many members an instance that does not watch pushes
	// a new document to.
	pushFanOut = 2
	// joinPeers is how many peers a joining instance asks at least, if there
	// are so many.
	joinPeers = 3
)

var counts = expvar.NewMap("Configuration")

// Store is what the spread needs of the platform's service.
type Store interface {
	Get(ctx context.Context, p store.Purpose, key string) (value []byte, modRevision int64, found bool, err error)
	Revision(ctx context.Context, p store.Purpose, key string) (int64, error)
	Watch(ctx context.Context, p store.Purpose, key string, from int64) (<-chan store.Event, error)
}

// Peers is what the spread needs of other instances.
type Peers interface {
	Configuration(ctx context.Context, address string, req *peer.ConfigurationRequest) (*peer.ConfigurationResponse, error)
}
