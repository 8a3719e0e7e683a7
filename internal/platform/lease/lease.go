// Package lease implements an exclusive lock on a leased key in the platform's
// store. Each term, the period in which one holder has the lock, has a fencing
// token: the revision at which the key was created, which is higher than the
// token of every earlier term.
package lease

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/kingcupyard/kingcupyard/internal/platform/store"
)

// Store is the part of the platform's store that a lock uses.
type Store interface {
	Get(ctx context.Context, p store.Purpose, key string) (value []byte, modRevision int64, found bool, err error)
	GrantLease(ctx context.Context, p store.Purpose, ttl time.Duration) (store.Lease, error)
	KeepAlive(ctx context.Context, p store.Purpose, id int64) (lease store.Lease, alive bool, err error)
	Revoke(ctx context.Context, p store.Purpose, id int64) error
	CreateWithLease(ctx context.Context, p store.Purpose, key string, value []byte, lease int64) (created bool, rev int64, err error)
}

const (
	// TTL is the lifetime of a lease that is not renewed. If a holder fails,
	// another instance can acquire the lock after this time.
	TTL = 10 * time.Second
	// retryInterval is the time between two attempts to acquire a lock that
	// another holder has.
	retryInterval = 3 * time.Second
	// keepAliveInterval is the time between two renewals of a lease.
	keepAliveInterval = 3 * time.Second
	// expiryMargin is how long before its lease expires a term ends, so that
	// calls in flight end before another holder's term begins.
	expiryMargin = 2 * time.Second
)

// Lock is a key in the store that at most one instance holds at a time.
type Lock struct {
	store  Store
	key    string
	holder string
	clock  clockwork.Clock
}

// New returns a lock on key for holder. The holder's name must be different in
// each run of the process.
func New(s Store, key, holder string, clock clockwork.Clock) *Lock {
	return &Lock{s, key, holder, clock}
}

// Term is a period in which this holder has the lock.
type Term struct {
	// Fence is the fencing token. It is higher than that of every earlier term.
	Fence int64
	// Context is cancelled when the term ends. It is cancelled by this
	// process's own clock, even if the store is unreachable.
	Context context.Context
	release context.CancelFunc
	done    chan struct{}
}

// Release ends the term and waits until the lease has been revoked or the
// attempt to revoke it has failed.
func (t *Term) Release() {
	t.release()
	<-t.done
}

// Acquire waits until the holder has the lock. The term lasts until Release
// is called, the lease is about to expire or gone, or ctx is cancelled. Acquire returns an error if
// ctx is cancelled first or a request to the store fails.
func (l *Lock) Acquire(ctx context.Context) (*Term, error) {
	for {
		t, err := l.tryAcquire(ctx)
		if t != nil || err != nil {
			return t, err
		}
		select {
		case <-l.clock.After(retryInterval):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// tryAcquire creates the key under a new lease. It returns nil if another
// holder has the lock.
func (l *Lock) tryAcquire(ctx context.Context) (*Term, error) {
	_, _, held, err := l.store.Get(ctx, store.Fence, l.key)
	if err != nil {
		return nil, fmt.Errorf("acquire lock %s: %w", l.key, err)
	}
	if held {
		return nil, nil
	}
	lease, err := l.store.GrantLease(ctx, store.Fence, TTL)
	if err != nil {
		return nil, fmt.Errorf("acquire lock %s: %w", l.key, err)
	}
	owner := fmt.Sprintf("%s/%d", l.holder, lease.ID)
	created, fence, err := l.store.CreateWithLease(ctx, store.Fence, l.key, []byte(owner), lease.ID)
	var unavailable *store.UnavailableError
	if errors.As(err, &unavailable) && unavailable.MayHaveTakenEffect {
		created, fence, err = l.readBack(ctx, owner)
	}
	if err != nil || !created {
		l.revoke(lease.ID)
		if err != nil {
			err = fmt.Errorf("acquire lock %s: %w", l.key, err)
		}
		return nil, err
	}
	return l.startTerm(ctx, lease, fence), nil
}

// readBack reports whether a create whose answer was lost took effect, and the
// revision of the key.
func (l *Lock) readBack(ctx context.Context, owner string) (bool, int64, error) {
	value, rev, found, err := l.store.Get(ctx, store.Fence, l.key)
	return found && string(value) == owner, rev, err
}

// startTerm starts the renewal of the lease and returns the term.
func (l *Lock) startTerm(ctx context.Context, lease store.Lease, fence int64) *Term {
	termCtx, cancel := context.WithCancel(ctx)
	t := &Term{Fence: fence, Context: termCtx, release: cancel, done: make(chan struct{})}
	go func() {
		defer close(t.done)
		defer cancel()
		l.renewUntilEnd(termCtx, lease)
		l.revoke(lease.ID)
	}()
	return t
}

// renewUntilEnd renews the lease until it is about to expire, it no longer
// exists in the store or the term's context is cancelled. Time during which
// this process is paused counts against the lease, because Until is a point in
// time and not a remaining duration.
func (l *Lock) renewUntilEnd(termCtx context.Context, lease store.Lease) {
	for {
		remaining := lease.Until.Add(-expiryMargin).Sub(l.clock.Now())
		if remaining <= 0 {
			return
		}
		select {
		case <-termCtx.Done():
			return
		case <-l.clock.After(min(remaining, keepAliveInterval)):
		}
		ctx, cancel := l.withDeadline(termCtx, lease.Until.Add(-expiryMargin))
		renewed, alive, err := l.store.KeepAlive(ctx, store.Fence, lease.ID)
		cancel()
		if err == nil && !alive {
			return
		}
		if err == nil {
			lease = renewed
		}
	}
}

// withDeadline returns a context that is cancelled at end by the lock's clock.
func (l *Lock) withDeadline(ctx context.Context, end time.Time) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	timer := l.clock.AfterFunc(end.Sub(l.clock.Now()), cancel)
	return ctx, func() {
		timer.Stop()
		cancel()
	}
}

// revoke revokes the lease. An error is ignored, because the lease then expires
// by itself.
func (l *Lock) revoke(id int64) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = l.store.Revoke(ctx, store.Fence, id)
}
