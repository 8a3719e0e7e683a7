// Package placement chooses the backend server for each attempt by predicted time to
// first token. It also explains why servers are ruled out, and rechecks a chosen
// server right before the attempt is sent. Choosing reads an immutable index; it takes
// no lock and does not allocate.
package placement

import (
	"time"

	"github.com/kingcupyard/kingcupyard/internal/fleet/board"
)

// Query describes what an attempt needs.
type Query struct {
	Service string
	Model   string
	Version string
	// DataCentre is this instance's data centre.
	DataCentre string
	// Prefix holds the hashes of the prompt's prefixes, one for each block of the
	// prompt, shortest first.
	Prefix []uint64
	// ExcludeServers lists servers that must not be chosen.
	ExcludeServers []string
	// AvoidDataCentres lists data centres that are chosen only if no server
	// elsewhere can take the attempt.
	AvoidDataCentres []string
	// Plain marks a call of a plain service. Model and Version are then unused.
	Plain bool
}

// Load reports this instance's own load on the servers, and their limits.
type Load interface {
	// InFlight returns the number of this instance's requests at the server.
	InFlight(server string) int
	// Startable reports whether this instance may start another request at the
	// server now.
	Startable(server string, now time.Time) bool
	// Ejected reports whether the server is ejected as an outlier, after failures.
	Ejected(server string, now time.Time) bool
}

// Rand is a source of random numbers.
type Rand interface {
	Uint64() uint64
}

// RuleOutCounts counts the servers that a choice examined, and those ruled out, by
// reason.
type RuleOutCounts struct {
	Examined int
	Excluded int
	Ejected  int
	// Limited counts servers that cannot take another request now, which are mostly
	// cold ones.
	Limited int
}

// Choice is the server chosen for an attempt.
type Choice struct {
	// Server points into an immutable snapshot.
	Server *board.Server
	// Predicted is the predicted time to first token.
	Predicted time.Duration
	// RuledOut counts the servers examined and ruled out.
	RuledOut RuleOutCounts
}
