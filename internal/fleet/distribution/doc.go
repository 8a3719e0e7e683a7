// Package distribution distributes the configuration document to all
// instances of the fleet. A few watchers in each data centre read it from the
// store. All other instances get it from their peers: instances push a new
// document when they apply it, and heartbeats carry revisions, so that an
// instance with a lower revision pulls the document it lacks.
//
// The Controller publishes the Configuration and Confirmation sections of the
// board. It never applies a document with a lower revision than the one it has
// applied before. The Editor commits changes to the store.
package distribution

import (
	"context"
	"expvar"
	"time"

	"github.com/kingcupyard/kingcupyard/internal/fleet/peer"
	"github.com/kingcupyard/kingcupyard/internal/platform/store"
)

// Key is the key under which the store holds the document.
const Key = "kingcupyard/Configuration"

// Time limits and fan-outs of the distribution.
const (
	// MaxApplyDelay is the time within which every instance applies an
	// accepted change. An instance that has had no answer from the store or a
	// peer for this long takes no new work.
	MaxApplyDelay = 4 * time.Second
	// watchersPerDataCentre is the number of instances in each data centre
	// that watch the store.
	watchersPerDataCentre = 2
	pollInterval          = time.Second
	tickInterval          = 250 * time.Millisecond
	pushRetryInterval     = 300 * time.Millisecond
	pushTimeout           = 500 * time.Millisecond
	pushAttempts          = 5
	pushConcurrency       = 8
	// pushFanOut is the number of members to which an instance that is not a
	// watcher pushes a new document.
	pushFanOut = 2
	// joinPeers is the number of peers that must answer a joining instance, or
	// all peers if there are fewer.
	joinPeers = 3
)

var counts = expvar.NewMap("Configuration")

// Store is the part of the platform's store that the Controller uses.
type Store interface {
	Get(ctx context.Context, p store.Purpose, key string) (value []byte, modRevision int64, found bool, err error)
	Revision(ctx context.Context, p store.Purpose, key string) (int64, error)
	Watch(ctx context.Context, p store.Purpose, key string, from int64) (<-chan store.Event, error)
}

// Peers sends configuration requests to other instances.
type Peers interface {
	Configuration(ctx context.Context, address string, req *peer.ConfigurationRequest) (*peer.ConfigurationResponse, error)
}
