package site

import (
	"maps"
	"slices"
	"strconv"
	"time"
)

// Copy is what a copy of the store holds.
type Copy struct {
	revision   int64
	items      map[string]item
	history    []item
	lostBefore int64
	leases     map[int64]time.Duration
	nextLease  int64
}

// Copy returns a copy of the store.
func (s *Store) Copy() *Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &Copy{
		revision: s.revision, items: maps.Clone(s.items), history: slices.Clone(s.history), lostBefore: s.lostBefore,
		leases: map[int64]time.Duration{}, nextLease: s.nextLease,
	}
	for id, l := range s.leases {
		c.leases[id] = l.ttl
	}
	return c
}

// Restore makes the store come back from a copy. What was written since the copy is gone,
// the revisions and leases since are given out again, and a new era begins. The leases that
// the copy has run anew.
func (s *Store) Restore(c *Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision, s.items, s.history, s.lostBefore = c.revision, maps.Clone(c.items), slices.Clone(c.history), c.lostBefore
	s.nextLease = c.nextLease
	for _, l := range s.leases {
		l.timer.Stop()
	}
	clear(s.leases)
	for id, ttl := range c.leases {
		s.open(id, ttl)
	}
	s.era++
	s.wake()
}

// WriteAgain writes what the operator and the backend servers wrote that the store lacks.
func (s *Store) WriteAgain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, key := range slices.Sorted(maps.Keys(s.sources)) {
		switch value := s.sources[key]; {
		case value == nil:
			s.remove(key)
		case s.items[key].Value != *value:
			s.put(key, *value, 0)
		}
	}
}

// StateEra makes the store state an era in its answers that isn't its own; with an empty one
// it states none.
func (s *Store) StateEra(era string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.statedEra = &era
}

// eraHeader returns the era to be stated in an answer. The caller holds mu.
func (s *Store) eraHeader() string {
	if s.statedEra != nil {
		return *s.statedEra
	}
	return strconv.Itoa(s.era)
}
