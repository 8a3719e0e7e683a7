package ledger

import "expvar"

// Counters of the ledger.
var (
	// commits counts groups by what became of their write.
	commits = expvar.NewMap("LedgerCommits")
	// outcomes counts records by their outcome.
	outcomes = expvar.NewMap("LedgerOutcomes")
	// rollups counts roll-ups.
	rollups = expvar.NewMap("LedgerRollups")
	// sends counts requests to keepers, by result.
	sends = expvar.NewMap("LedgerSends")
	// copies counts the copies left with and held for peers.
	copies = expvar.NewMap("LedgerCopies")
	// claims counts claims by their result.
	claims = expvar.NewMap("LedgerClaims")
)
