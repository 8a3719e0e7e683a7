// Package board is the state that the controllers of one instance share, kept as
// a blackboard with one typed Section for each kind of state. Controllers don't
// call each other: each reads the sections that it needs and publishes to its
// own. A section has one writer and any number of readers. Values are immutable
// once published.
package board

import (
	"sync"
	"sync/atomic"
)

// Section holds the latest value of one kind of state. Reads take no lock.
// The zero Section is empty and ready to use.
type Section[T any] struct {
	current     atomic.Pointer[publication[T]]
	mu          sync.Mutex
	subscribers map[chan struct{}]struct{}
}

type publication[T any] struct {
	value   *T
	version uint64
}

// Get returns the latest value, or nil if nothing has been published.
func (s *Section[T]) Get() *T {
	if e := s.current.Load(); e != nil {
		return e.value
	}
	return nil
}

// Version returns the number of values published so far.
func (s *Section[T]) Version() uint64 {
	if e := s.current.Load(); e != nil {
		return e.version
	}
	return 0
}

// Publish replaces the latest value and notifies the subscribers. The caller must
// not change the value afterwards.
func (s *Section[T]) Publish(value *T) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current.Store(&publication[T]{value, s.Version() + 1})
	for ch := range s.subscribers {
		select {
		case ch <- struct{}{}:
		default:
		}
	}
}

// Subscribe returns a channel that receives after each publication and a function
// that ends the subscription. Publications are coalesced while the subscriber
// hasn't received.
func (s *Section[T]) Subscribe() (<-chan struct{}, func()) {
	ch := make(chan struct{}, 1)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.subscribers == nil {
		s.subscribers = map[chan struct{}]struct{}{}
	}
	s.subscribers[ch] = struct{}{}
	return ch, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.subscribers, ch)
	}
}
