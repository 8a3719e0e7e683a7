package rollout

import (
	"context"
	"fmt"
	"time"

	"github.com/kingcupyard/kingcupyard/internal/catalogue/configuration"
)

// Term is one stretch of time in which an instance holds the driver's lease.
type Term struct {
	// Fence is the fencing number; each tenure has a higher one than all before.
	Fence int64
	// Context ends when the lease lapses or is released.
	Context context.Context
	// Release gives the lease back.
	Release func()
}

// Lease is the right to drive roll-outs, kept in the platform's store.
type Lease interface {
	// Acquire waits until this instance holds the lease, and keeps it alive.
	Acquire(ctx context.Context) (*Term, error)
}

// Editor commits edits of the configuration by compare-and-swap.
type Editor interface {
	// Change runs edit on a copy of the newest document and commits the result,
	// again from the start if another change came between. An edit whose ID is
	// among the document's changes has taken effect and is not made again.
	Change(ctx context.Context, id, summary string, edit func(*configuration.Document) error) (revision int64, err error)
}

// OrderKind is what an engine is told to do.
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
	// Send returns a *FencedError if the engine has seen a higher fence.
	Send(ctx context.Context, order Order) error
}

// WeightStore asks the weight store, whose rate is limited, before a load.
type WeightStore interface {
	// Permit returns a *RateLimitError if the store can't serve the version now.
	Permit(ctx context.Context, model, version string) error
}

// FencedError reports that a driver with a higher fencing number has taken over.
type FencedError struct {
	Fence  int64
	Newest int64
}

func (e *FencedError) Error() string {
	return fmt.Sprintf("fencing number %d is out of date: %d has been seen", e.Fence, e.Newest)
}

// StaleError reports a decision on a state of the roll-out that has passed.
type StaleError struct {
	Rollout string
	Decided string
	Found   string
}

func (e *StaleError) Error() string {
	return fmt.Sprintf("roll-out %s: decided on %s, found %s", e.Rollout, e.Decided, e.Found)
}

// RateLimitError reports that the weight store refuses to serve for a while.
type RateLimitError struct {
	RetryAfter time.Duration
}

func (e *RateLimitError) Error() string {
	return fmt.Sprintf("the weight store's rate limit is reached; retry after %s", e.RetryAfter)
}
