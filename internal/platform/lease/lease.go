// Package lease keeps a duty exclusive by a leased key in the platform's
// store. Each tenure has a fencing number, the revision of the key's creation,
// which is higher than those of all tenures before.
package lease

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/kingcupyard/kingcupyard/internal/platform/store"
)

// Store is what a duty needs of the platform's service.
type Store interface {
	Get(ctx context.Context, p store.Purpose, key string) (value []byte, modRevision int64, found bool, err error)
	GrantLease(ctx context.Context, p store.Purpose, ttl time.Duration) (store.Lease, error)
	KeepAlive(ctx context.Context, p store.Purpose, id int64) (lease store.Lease, alive bool, err error)
	Revoke(ctx context.Context, p store.Purpose, id int64) error
	CreateWithLease(ctx context.Context, p store.Purpose, key string, value []byte, lease int64) (created bool, rev int64, err error)
}

const (
	// TTL is the length of a lease; a lost holder is replaced after it.
	TTL = 10 * time.Second
	// retryInterval is the time between two looks at a key that another holds.
	retryInterval = 3 * time.Second
	// keepAliveInterval is the time between two renewals.
	keepAliveInterval = 3 * time.Second
	// margin is how long before its lapse a tenure ends, so that calls under
	// way end before another holder begins.
	margin = 2 * time.Second
)

// Lock is one key that at most one instance holds.
type Lock struct {
	store  Store
	key    string
	holder string
	clock  clockwork.Clock
}

// New returns the duty under a key for a holder; the holder's name must be
// different in each run.
func New(s Store, key, holder string, clock clockwork.Clock) *Lock {
	return &Lock{s, key, holder, clock}
}

// Term is one stretch of time in which this holder has the duty.
type Term struct {
	Fence int64
	// Context ends when the tenure does. It ends by this process's own clock,
	// also if the store can't be asked.
	Context context.Context
	release context.CancelFunc
	done    chan struct{}
}

// Release gives the duty back.
func (t *Term) Release() {
	t.release()
	<-t.done
}

// Acquire waits until the holder has the duty and keeps it until Release, a
// lapse, or the end of ctx.
func (d *Lock) Acquire(ctx context.Context) (*Term, error) {
	for {
		t, err := d.try(ctx)
		if t != nil || err != nil {
			return t, err
		}
		select {
		case <-d.clock.After(retryInterval):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// try creates the key under a new lease; it returns nil if another holds it.
func (d *Lock) try(ctx context.Context) (*Term, error) {
	_, _, taken, err := d.store.Get(ctx, store.Fence, d.key)
	if err != nil {
		return nil, fmt.Errorf("duty %s: %w", d.key, err)
	}
	if taken {
		return nil, nil
	}
	lease, err := d.store.GrantLease(ctx, store.Fence, TTL)
	if err != nil {
		return nil, fmt.Errorf("duty %s: %w", d.key, err)
	}
	nonce := fmt.Sprintf("%s/%d", d.holder, lease.ID)
	created, fence, err := d.store.CreateWithLease(ctx, store.Fence, d.key, []byte(nonce), lease.ID)
	var lost *store.UnavailableError
	if errors.As(err, &lost) && lost.MayHaveTakenEffect {
		created, fence, err = d.readBack(ctx, nonce)
	}
	if err != nil || !created {
		d.revoke(lease.ID)
		if err != nil {
			err = fmt.Errorf("duty %s: %w", d.key, err)
		}
		return nil, err
	}
	return d.begin(ctx, lease, fence), nil
}

// readBack settles a create whose answer was lost.
func (d *Lock) readBack(ctx context.Context, nonce string) (bool, int64, error) {
	value, rev, found, err := d.store.Get(ctx, store.Fence, d.key)
	return found && string(value) == nonce, rev, err
}

func (d *Lock) begin(ctx context.Context, lease store.Lease, fence int64) *Term {
	held, cancel := context.WithCancel(ctx)
	t := &Term{Fence: fence, Context: held, release: cancel, done: make(chan struct{})}
	go func() {
		defer close(t.done)
		defer cancel()
		d.keep(held, lease)
		d.revoke(lease.ID)
	}()
	return t
}

// keep renews the lease until it lapses or the tenure ends. Time that passes
// while this process is paused counts against the lease, since Until is a time
// and not a countdown.
func (d *Lock) keep(held context.Context, lease store.Lease) {
	for {
		left := lease.Until.Add(-margin).Sub(d.clock.Now())
		if left <= 0 {
			return
		}
		select {
		case <-held.Done():
			return
		case <-d.clock.After(min(left, keepAliveInterval)):
		}
		ctx, cancel := d.until(held, lease.Until.Add(-margin))
		next, alive, err := d.store.KeepAlive(ctx, store.Fence, lease.ID)
		cancel()
		if err == nil && !alive {
			return
		}
		if err == nil {
			lease = next
		}
	}
}

// until bounds a call by the end of the tenure.
func (d *Lock) until(ctx context.Context, end time.Time) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	timer := d.clock.AfterFunc(end.Sub(d.clock.Now()), cancel)
	return ctx, func() {
		timer.Stop()
		cancel()
	}
}

// revoke gives the lease back; if that fails it lapses by itself.
func (d *Lock) revoke(id int64) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = d.store.Revoke(ctx, store.Fence, id)
}
