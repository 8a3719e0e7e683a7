// Package board is the blackboard of one instance: typed sections that
// controllers read and write. Controllers never call each other; each reads
// sections, decides, and writes its own. A section has one writer and any
// number of readers. Values are immutable once published.
package board

import (
	"sync"
	"sync/atomic"
)

// Section holds the latest value of one kind of state. Reads take no lock.
// The zero Section is empty and ready to use.
type Section[T any] struct {
	current atomic.Pointer[publication[T]]
	mu      sync.Mutex
	subs    map[chan struct{}]struct{}
}

type publication[T any] struct {
	value   *T
	version uint64
}

// Get returns the latest value, or nil if nothing was published.
func (s *Section[T]) Get() *T {
	if e := s.current.Load(); e != nil {
		return e.value
	}
	return nil
}

// Version counts the publications of the section.
func (s *Section[T]) Version() uint64 {
	if e := s.current.Load(); e != nil {
		return e.version
	}
	return 0
}

// Publish makes value the latest. The caller must not change it afterwards.
func (s *Section[T]) Publish(value *T) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current.Store(&publication[T]{value, s.Version() + 1})
	for ch := range s.subs {
		select {
		case ch <- struct{}{}:
		default:
		}
	}
}

// Subscribe returns a channel that receives after publications, coalesced,
// and a function that ends the subscription.
func (s *Section[T]) Subscribe() (<-chan struct{}, func()) {
	ch := make(chan struct{}, 1)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.subs == nil {
		s.subs = map[chan struct{}]struct{}{}
	}
	s.subs[ch] = struct{}{}
	return ch, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.subs, ch)
	}
}
