package store

// Purpose says what a call is for. It decides the call's priority and is
// counted by name.
type Purpose int

// The purposes, most important first.
const (
	// Configuration reads, writes and watches the configuration document.
	Configuration Purpose = iota
	// Fence takes or keeps an exclusive duty: a lease, a fencing number.
	Fence
	// Claim records that a non-idempotent request is about to run.
	Claim
	// Ledger writes bills.
	Ledger
	// Evidence keeps what roll-outs have learnt.
	Evidence
	// Statistics is everything that may be lost.
	Statistics
	purposes
)

var purposeNames = [purposes]string{"Configuration", "Fence", "Claim", "Ledger", "Evidence", "Statistics"}

// reserves is the share of a full bucket that a purpose must leave to more
// important ones.
var reserves = [purposes]float64{0, 0, 0.1, 0.2, 0.4, 0.6}

// String returns the name under which calls are counted.
func (p Purpose) String() string {
	if p < 0 || p >= purposes {
		return "Unknown"
	}
	return purposeNames[p]
}
