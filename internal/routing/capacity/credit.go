package capacity

import (
	"context"
	"time"

	"github.com/kingcupyard/kingcupyard/internal/fleet/board"
)

// CreditRequest asks the keeper of some servers for credits. A member has at
// most one request to each keeper in flight.
type CreditRequest struct {
	Member     string
	Generation uint64
	// Sequence orders the requests of one generation of a member.
	Sequence uint64
	Asks     []CreditAsk
}

// CreditAsk is the part of a CreditRequest that concerns one server.
type CreditAsk struct {
	Server string
	// InUse is the number of the member's requests at the server, under
	// whichever credit they were started.
	InUse int
	// Limit is the number of requests up to which the member may still start
	// work, after it has given up the credits that it does not need.
	Limit int
	// Wanted is the number of requests that the member would like to run.
	Wanted int
	// Epoch is the highest epoch of a grant that the member has received for
	// the server.
	Epoch uint64
	// Cold is set if the member's last report says that the server is cold. A
	// keeper whose own report says otherwise is behind and grants nothing.
	Cold bool
}

// CreditResponse answers a CreditRequest.
type CreditResponse struct {
	Grants []CreditGrant
}

// CreditGrant allows a member to start work on a server while fewer than Count
// of its requests run there. It replaces the previous grant.
type CreditGrant struct {
	Server string
	Count  int
	Epoch  uint64
	// Valid is how long the grant allows starts, counted from the time of the
	// request.
	Valid time.Duration
	// Refusal says why Count is lower than wanted, and is empty otherwise.
	Refusal GrantRefusal
}

// GrantRefusal names why a keeper granted less than wanted.
type GrantRefusal string

// The reasons for which a keeper grants less than wanted.
const (
	// GrantFull means that the limit leaves less room than wanted.
	GrantFull GrantRefusal = "Full"
	// GrantQuiet means that the keeper still waits, after the start of its term
	// or of the server's cold start.
	GrantQuiet GrantRefusal = "Quiet"
	// GrantUnknownLoad means that no report bounds the untracked work yet.
	GrantUnknownLoad GrantRefusal = "UnknownLoad"
	// GrantKeeperBehind means that the keeper's report is stale, or does not
	// show the cold start that the member has seen.
	GrantKeeperBehind GrantRefusal = "KeeperBehind"
	// GrantNotKeeper means that the asked instance is not the keeper, or has
	// not taken up its term.
	GrantNotKeeper GrantRefusal = "NotKeeper"
	// GrantOutOfOrder means that the keeper has seen this or a later request of
	// the member.
	GrantOutOfOrder GrantRefusal = "OutOfOrder"
)

// Peers sends credit requests to other instances.
type Peers interface {
	Credit(ctx context.Context, member board.Member, req CreditRequest) (CreditResponse, error)
}
