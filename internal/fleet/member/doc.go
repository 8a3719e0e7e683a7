// Package member keeps the list of instances of the system. It joins two
// sources that are both wrong at times: the platform's instance list, which
// lags, and heartbeats between the instances themselves.
//
// Each instance exchanges heartbeats with a bounded number of others: its
// successors on a hash ring, and one at random. News of members rides on
// heartbeats, so that the work of an instance does not grow with the fleet.
//
// Membership is a hint about who is there. What must be exclusive is fenced in
// the platform's store.
package member

import (
	"context"
	"expvar"
	"time"

	"github.com/kingcupyard/kingcupyard/internal/fleet/peer"
)

// Times and numbers of membership.
const (
	heartbeatInterval = time.Second
	heartbeatTimeout  = 700 * time.Millisecond
	// successors is how many members after it on the ring an instance
	// watches; as many watch it.
	successors = 2
	// suspectAfter is how many heartbeats in a row must stay unanswered.
	suspectAfter = 3
	// failAfter is how long a suspected member has to contradict.
	failAfter = 4 * time.Second
	// cutOffAfter is how long without any answer means that this instance,
	// and not the others, is cut off.
	cutOffAfter = 2500 * time.Millisecond
	// pausedAfter is the gap between two rounds that means that this process
	// was paused.
	pausedAfter = 3 * time.Second
	// maxUpdates bounds the news in one heartbeat.
	maxUpdates = 8
	// sampleUpdates is how many members are sent besides the news, so that
	// views that differ grow together.
	sampleUpdates = 1
	// leaveTargets is how many members are told at once of a planned stop.
	leaveTargets = 16
	// sightingAge is how long what a peer said is kept.
	sightingAge = 10 * time.Second
	// forgetAfter is how long a failed member is remembered.
	forgetAfter = 10 * time.Minute
)

var counts = expvar.NewMap("Membership")

// Peers sends heartbeats.
type Peers interface {
	Heartbeat(ctx context.Context, address string, req *peer.HeartbeatRequest) (*peer.HeartbeatResponse, error)
}
