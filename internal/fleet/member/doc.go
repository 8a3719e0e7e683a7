// Package member maintains the list of running instances. It merges two sources,
// neither of which is always right: the platform's instance list, which lags, and
// heartbeats between the instances.
//
// Each instance sends heartbeats to a bounded number of others: its successors on
// a hash ring, one other member at random, and one listed member that is believed
// to have failed. Changes of members are gossiped in the heartbeats, so the work
// of an instance does not grow with the fleet.
//
// Membership is only a hint. Operations that must be exclusive are fenced in the
// platform's store.
package member

import (
	"context"
	"expvar"
	"time"

	"github.com/kingcupyard/kingcupyard/internal/fleet/peer"
)

// Parameters of heartbeats, failure detection and gossip.
const (
	heartbeatInterval = time.Second
	heartbeatTimeout  = 700 * time.Millisecond
	// successorCount is the number of members that an instance monitors, which are
	// the ones that follow it on the ring. As many members monitor the instance.
	successorCount = 2
	// suspicionThreshold is the number of consecutive unanswered heartbeats after
	// which a member is suspected.
	suspicionThreshold = 3
	// suspicionTimeout is the time that a suspected member has to refute the
	// suspicion before it is marked failed.
	suspicionTimeout = 4 * time.Second
	// isolatedAfter is the time without any answer after which this instance
	// assumes that it is isolated itself, rather than that the others failed.
	isolatedAfter = 2500 * time.Millisecond
	// pauseThreshold is the gap between two rounds from which on this process is
	// assumed to have been paused.
	pauseThreshold = 3 * time.Second
	// maxUpdates is the maximum number of changed statements in one heartbeat.
	maxUpdates = 8
	// randomUpdates is the number of random members sent in addition, so that
	// views that differ converge.
	randomUpdates = 1
	// maxLeaveTargets is the maximum number of members that are notified directly
	// of a graceful stop.
	maxLeaveTargets = 16
	// peerStatusTTL is the time after which a peer's status is dropped.
	peerStatusTTL = 10 * time.Second
	// failedRetention is the time after which a failed member that the platform
	// does not list is removed from the view.
	failedRetention = 10 * time.Minute
)

var counts = expvar.NewMap("Membership")

// Peers sends heartbeats to other instances.
type Peers interface {
	Heartbeat(ctx context.Context, address string, req *peer.HeartbeatRequest) (*peer.HeartbeatResponse, error)
}
