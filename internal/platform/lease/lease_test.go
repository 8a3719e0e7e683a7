package lease

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/kingcupyard/kingcupyard/internal/platform/store"
)

var errUnavailable = errors.New("store is unavailable")

// fakeStore stores one leased key and expires leases by a fake clock.
type fakeStore struct {
	mu     sync.Mutex
	clock  *clockwork.FakeClock
	value  []byte
	rev    int64
	holder int64
	leases map[int64]time.Time
	// unavailable makes all calls fail except GrantLease and CreateWithLease.
	unavailable bool
	// loseAnswer makes the next create take effect and return an error.
	loseAnswer bool
}

func (s *fakeStore) expire() {
	if at, ok := s.leases[s.holder]; ok && !s.clock.Now().Before(at) {
		delete(s.leases, s.holder)
		s.value = nil
	}
}

func (s *fakeStore) Get(context.Context, store.Purpose, string) ([]byte, int64, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unavailable {
		return nil, 0, false, errUnavailable
	}
	s.expire()
	return s.value, s.rev, s.value != nil, nil
}

func (s *fakeStore) GrantLease(context.Context, store.Purpose, time.Duration) (store.Lease, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := int64(len(s.leases) + int(s.rev) + 1)
	s.leases[id] = s.clock.Now().Add(TTL)
	return store.Lease{ID: id, Until: s.leases[id]}, nil
}

func (s *fakeStore) KeepAlive(_ context.Context, _ store.Purpose, id int64) (store.Lease, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unavailable {
		return store.Lease{}, false, errUnavailable
	}
	s.expire()
	if _, ok := s.leases[id]; !ok {
		return store.Lease{}, false, nil
	}
	s.leases[id] = s.clock.Now().Add(TTL)
	return store.Lease{ID: id, Until: s.leases[id]}, true, nil
}

func (s *fakeStore) Revoke(_ context.Context, _ store.Purpose, id int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unavailable {
		return errUnavailable
	}
	delete(s.leases, id)
	if s.holder == id {
		s.value = nil
	}
	return nil
}

func (s *fakeStore) CreateWithLease(_ context.Context, _ store.Purpose, _ string, value []byte, lease int64) (bool, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if s.value != nil {
		return false, s.rev, nil
	}
	s.rev++
	s.value, s.holder = value, lease
	if s.loseAnswer {
		s.loseAnswer = false
		return false, 0, &store.UnavailableError{MayHaveTakenEffect: true, Err: errUnavailable}
	}
	return true, s.rev, nil
}

func newFakeStore() *fakeStore {
	return &fakeStore{clock: clockwork.NewFakeClock(), leases: map[int64]time.Time{}}
}

func TestFenceGrowsAndHolderIsExclusive(t *testing.T) {
	is := is.New(t)
	s := newFakeStore()
	a, b := New(s, "k", "a", s.clock), New(s, "k", "b", s.clock)
	first, err := a.Acquire(context.Background())
	is.NoErr(err)
	other, err := b.tryAcquire(context.Background())
	is.NoErr(err)
	is.True(other == nil)
	first.Release()
	second, err := b.Acquire(context.Background())
	is.NoErr(err)
	is.True(second.Fence > first.Fence)
	second.Release()
}

// TestLostAnswerIsReadBack guards against giving up a lock whose create took
// effect although its answer was lost.
func TestLostAnswerIsReadBack(t *testing.T) {
	is := is.New(t)
	s := newFakeStore()
	s.loseAnswer = true
	term, err := New(s, "k", "a", s.clock).Acquire(context.Background())
	is.NoErr(err)
	is.Equal(term.Fence, int64(1))
	term.Release()
}

// TestPausedHolderLosesTerm guards against a holder that still believes it has
// the lock after its process was paused for longer than the lease. The term
// must have ended before the holder does anything else.
func TestPausedHolderLosesTerm(t *testing.T) {
	is := is.New(t)
	s := newFakeStore()
	term, err := New(s, "k", "a", s.clock).Acquire(context.Background())
	is.NoErr(err)
	is.NoErr(s.clock.BlockUntilContext(context.Background(), 1))
	s.mu.Lock()
	s.unavailable = true // a paused process doesn't reach the store
	s.mu.Unlock()
	for term.Context.Err() == nil {
		s.clock.Advance(keepAliveInterval)
	}
	s.mu.Lock()
	s.unavailable = false
	s.mu.Unlock()
	<-term.done
	s.clock.Advance(TTL)
	next, err := New(s, "k", "b", s.clock).Acquire(context.Background())
	is.NoErr(err)
	is.True(next.Fence > term.Fence)
	next.Release()
}
