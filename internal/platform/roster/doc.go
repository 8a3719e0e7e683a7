// Package roster learns which instances and backend servers there are, and how
// loaded the servers are. It reads the platform's instance list, asks the
// servers that this instance is chosen to poll for their load, and exchanges
// both with the other instances, so that neither the number of polls nor that of
// reads of the list grows with the product of instances and servers.
//
// The controller writes the board's Listing and Servers sections.
package roster

import (
	"context"
	"expvar"
	"time"

	"github.com/kingcupyard/kingcupyard/internal/fleet/peer"
)

// OwnService is the service name of this system's own instances.
const OwnService = "kingcupyard"

// Times and numbers of the roster.
const (
	minListInterval = time.Second
	// listEntryInterval stretches the interval with the number of entries:
	// at 200 bytes an entry, reading costs 4 KB a second.
	listEntryInterval = 50 * time.Millisecond
	// confirmInterval is how often the time of the list is published.
	confirmInterval = 250 * time.Millisecond
	// listFanOut is how many members a change of the list is passed on to.
	listFanOut      = 4
	listTimeout     = time.Second
	pollConcurrency = 16
	publishInterval = 200 * time.Millisecond
	// smallFleet is the number of members up to which everyone exchanges
	// reports with everyone, at short intervals.
	smallFleet          = 16
	smallPollInterval   = 500 * time.Millisecond
	smallSpreadInterval = 500 * time.Millisecond
	pollInterval        = time.Second
	// spreadPerReceiver stretches the interval between two batches of reports
	// with the number of receivers, so that an instance sends the same number
	// of messages a second at any size.
	spreadPerReceiver = 200 * time.Millisecond
	sendConcurrency   = 8
	// pollers is how many instances may poll one server: the first, and each
	// next one when reports have stayed away for longer.
	pollers     = 3
	minTakeOver = time.Second
	// maxAhead is how far a server's clock may be ahead.
	maxAhead = 5 * time.Second
	// minKeptShare is the share of the last list that must be left, else a
	// list is taken for wrong until it has stayed so for implausibleFor.
	minKeptShare   = 0.5
	implausibleFor = 30 * time.Second
)

var counts = expvar.NewMap("Roster")

// Getter asks for JSON documents over HTTP.
type Getter interface {
	Get(ctx context.Context, url string, out any) error
}

// Peers exchanges reports and changes of the list with other instances.
type Peers interface {
	Reports(ctx context.Context, address string, req *peer.ReportsRequest) (*peer.ReportsResponse, error)
	Listing(ctx context.Context, address string, req *peer.ListingRequest) (*peer.ListingResponse, error)
}
