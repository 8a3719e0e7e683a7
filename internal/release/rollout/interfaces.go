package rollout

import (
	"context"
	"fmt"
	"time"

	"github.com/kingcupyard/kingcupyard/internal/catalogue/configuration"
)

// Term is a period in which an instance holds the driver's lease.
type Term struct {
	// Fence is the fencing token. It is higher than that of every earlier term.
	Fence int64
	// Context ends when the lease expires or is released.
	Context context.Context
	// Release gives up the lease.
	Release func()
}

// Lease is the exclusive right to drive rollouts, kept in the platform's store.
type Lease interface {
	// Acquire waits until this instance holds the lease and keeps it renewed.
	Acquire(ctx context.Context) (*Term, error)
}

// Editor commits edits of the configuration by compare-and-swap.
type Editor interface {
	// Change runs edit on a copy of the newest document and commits the result.
	// If another change was committed in between it starts again. An edit whose
	// ID is among the document's changes has already taken effect and is not
	// repeated.
	Change(ctx context.Context, id, summary string, edit func(*configuration.Document) error) (revision int64, err error)
}

// OrderKind is what an order tells an engine to do.
type OrderKind string

// The kinds of order.
const (
	OrderLoad   OrderKind = "Load"
	OrderUnload OrderKind = "Unload"
)

// Order tells the engine of one backend server to load or unload a version.
// Orders are idempotent.
type Order struct {
	Server  string
	Address string
	Kind    OrderKind
	Model   string
	Version string
	Fence   int64
}

// OrderSender sends orders to engines.
type OrderSender interface {
	// Send returns a *FencedError if the engine has seen a higher fencing
	// token.
	Send(ctx context.Context, order Order) error
}

// WeightStore is asked for permission before a load, because the rate of the
// weight store is limited.
type WeightStore interface {
	// Permit returns a *RateLimitError if the store can't serve the version
	// now.
	Permit(ctx context.Context, model, version string) error
}

// FencedError reports that a driver with a higher fencing token has taken over.
type FencedError struct {
	Fence  int64
	Newest int64
}

func (e *FencedError) Error() string {
	return fmt.Sprintf("fencing token %d is stale: token %d has been seen", e.Fence, e.Newest)
}

// StaleError reports that the rollout is no longer in the state that a decision
// was based on.
type StaleError struct {
	Rollout string
	Decided string
	Found   string
}

func (e *StaleError) Error() string {
	return fmt.Sprintf("rollout %s has changed: decision based on %s, found %s", e.Rollout, e.Decided, e.Found)
}

// RateLimitError reports that the weight store's rate limit is reached.
type RateLimitError struct {
	RetryAfter time.Duration
}

func (e *RateLimitError) Error() string {
	return fmt.Sprintf("weight store rate limit reached; retry after %s", e.RetryAfter)
}
