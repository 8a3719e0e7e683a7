package ledger

import "expvar"

// Counters of the ledger. Their names and keys are public.
var (
	// commits counts batches by the result of their write.
	commits = expvar.NewMap("LedgerCommits")
	// outcomes counts records by outcome.
	outcomes = expvar.NewMap("LedgerOutcomes")
	// rollups counts roll-ups by result.
	rollups = expvar.NewMap("LedgerRollups")
	// sends counts requests to keepers by result.
	sends = expvar.NewMap("LedgerSends")
	// copies counts the copies placed with and held for peers.
	copies = expvar.NewMap("LedgerCopies")
	// claims counts claims by result.
	claims = expvar.NewMap("LedgerClaims")
)
