package capacity

import (
	"context"
	"time"

	"github.com/kingcupyard/kingcupyard/internal/fleet/board"
)

// CreditRequest asks the keeper of some servers for credits. A member has one
// request to a keeper on its way at a time.
type CreditRequest struct {
	Member     string
	Generation uint64
	// Sequence orders the requests of one generation of a member.
	Sequence uint64
	Asks     []CreditAsk
}

// CreditAsk is the part of a request for one server.
type CreditAsk struct {
	Server string
	// InUse is the number of the member's requests at the server, whatever
	// they were started under.
	InUse int
	// Limit is up to how many requests it may still start work, after it
	// gave back what it has no use for.
	Limit int
	// Wanted is up to how many requests it would like to run.
	Wanted int
	// Epoch is the highest epoch that it has had for the server.
	Epoch uint64
	// Cold is set if the member's last report says that the server is cold. A
	// keeper whose report says otherwise has yet to learn of it and grants
	// nothing.
	Cold bool
}

// CreditResponse answers a CreditRequest.
type CreditResponse struct {
	Grants []CreditGrant
}

// CreditGrant allows to start work on a server while fewer than Count of the
// member's requests run there. It replaces the grant before.
type CreditGrant struct {
	Server string
	Count  int
	Epoch  uint64
	// Valid is the time for which it allows starts, from when it was asked
	// for.
	Valid time.Duration
	// Refusal says why Count is zero or less than wanted.
	Refusal GrantRefusal
}

// GrantRefusal names why a keeper granted less than wanted.
type GrantRefusal string

// The reasons of a keeper.
const (
	GrantFull         GrantRefusal = "Full"
	GrantQuiet        GrantRefusal = "Quiet"
	GrantUnknownLoad  GrantRefusal = "UnknownLoad"
	GrantKeeperBehind GrantRefusal = "KeeperBehind"
	GrantNotKeeper    GrantRefusal = "NotKeeper"
	GrantOutOfOrder   GrantRefusal = "OutOfOrder"
)

// Peers carries credit requests to other instances.
type Peers interface {
	Credit(ctx context.Context, member board.Member, req CreditRequest) (CreditResponse, error)
}
