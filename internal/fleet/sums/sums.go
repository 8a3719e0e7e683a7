// Package sums keeps what other instances report of themselves and adds it up. An instance of
// a large fleet reports to its reader, readers exchange the sums of their groups, and report
// the sum over the fleet to their members, so that what an instance sends and gets doesn't grow
// with the fleet. Reports may be lost, repeated or overtaken: the newest one of a source holds.
package sums

import (
	"sync"
	"time"
)

// Value is something that other values of its kind can be added to in place.
type Value[V any] interface{ Add(other V) }

// Sources holds the latest report of each source: an instance, a group of instances, or one
// that has added up all others. It is safe for concurrent use.
type Sources[V Value[V]] struct {
	ttl time.Duration

	mu      sync.Mutex
	reports map[string]*report[V]
	// total is the latest report of the sum over all others, by totalSource.
	total       *report[V]
	totalSource string
}

// report is one report. run and sequence order those of one source.
type report[V any] struct {
	run, sequence int64
	at            time.Time
	value         V
}

func (r *report[V]) isOlderThan(run, sequence int64) bool {
	return r == nil || run > r.run || run == r.run && sequence > r.sequence
}

// New returns Sources without reports. A report counts for ttl.
func New[V Value[V]](ttl time.Duration) *Sources[V] {
	return &Sources[V]{ttl: ttl, reports: map[string]*report[V]{}}
}

// Update stores a report, unless the stored one of that source is as new or newer.
func (s *Sources[V]) Update(name string, run, sequence int64, value V, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reports[name].isOlderThan(run, sequence) {
		s.reports[name] = &report[V]{run, sequence, now, value}
	}
}

// UpdateTotal stores the report of a source that has added up the values of all other
// instances, unless a report of the same source that still counts is as new or newer.
func (s *Sources[V]) UpdateTotal(name string, run, sequence int64, value V, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.totalSource != name || !s.counts(s.total, now) || s.total.isOlderThan(run, sequence) {
		s.totalSource, s.total = name, &report[V]{run, sequence, now, value}
	}
}

// AddNamed adds the reports of the named sources to sum.
func (s *Sources[V]) AddNamed(sum V, names []string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, name := range names {
		if r := s.reports[name]; s.counts(r, now) {
			sum.Add(r.value)
		}
	}
}

// AddAll adds what is known of all other instances to sum: a total if there is one, else the
// reports of all sources. It drops what no longer counts.
func (s *Sources[V]) AddAll(sum V, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, r := range s.reports {
		if !s.counts(r, now) {
			delete(s.reports, name)
		}
	}
	if s.counts(s.total, now) {
		sum.Add(s.total.value)
		return
	}
	for _, r := range s.reports {
		sum.Add(r.value)
	}
}

func (s *Sources[V]) counts(r *report[V], now time.Time) bool {
	return r != nil && now.Sub(r.at) < s.ttl
}
