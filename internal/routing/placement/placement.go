// Package placement chooses the backend server of an attempt by predicted
// time to first token and cost. Choosing works on an immutable index, takes no
// lock and allocates nothing.
package placement

import (
	"time"

	"github.com/kingcupyard/kingcupyard/internal/fleet/board"
)

// Query says what an attempt needs.
type Query struct {
	Service string
	Model   string
	Version string
	// DataCentre is where this instance runs.
	DataCentre string
	// Prefix holds the hashes of the prompt's leading blocks, longest last.
	Prefix []uint64
	// ExcludeServers lists servers that must not be chosen.
	ExcludeServers []string
	// AvoidDataCentres lists data centres chosen only if nothing else is left.
	AvoidDataCentres []string
	// Plain marks a call of a plain service; Model and Version are unused.
	Plain bool
}

// Load is what this instance knows of its own load on the servers.
type Load interface {
	// InFlight returns the number of its requests at the server.
	InFlight(server string) int
	// Startable reports whether another one may start there now.
	Startable(server string, now time.Time) bool
	// Ejected reports whether the server is out of use after failures.
	Ejected(server string, now time.Time) bool
}

// Rand is a source of random numbers.
type Rand interface {
	Uint64() uint64
}

// RuleOutCounts says how many of the examined servers were ruled out, by reason.
type RuleOutCounts struct {
	Examined int
	Excluded int
	Ejected  int
	// Limited counts servers that bear no more now, cold ones above all.
	Limited int
}

// Choice is the server of an attempt.
type Choice struct {
	// Server points into an immutable snapshot.
	Server *board.Server
	// Predicted is the predicted time to first token.
	Predicted time.Duration
	RuledOut  RuleOutCounts
}
