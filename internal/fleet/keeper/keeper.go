// Package keeper determines which instance is the keeper of a key, that is, owns
// the shared state under it. The choice is a rendezvous hash over the members, so
// instances with the same member list choose the same keeper without exchanging
// messages. Terms tracks since when this instance has been a key's keeper.
package keeper

import (
	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"github.com/kingcupyard/kingcupyard/internal/fleet/board"
)

// Selector chooses the keeper of a key from a set of members by rendezvous
// hashing. It is immutable.
type Selector struct {
	members map[string]board.Member
	table   *rendezvous.Rendezvous
}

// Option restricts or extends the set of members that may be keepers.
type Option func(*filter)

type filter struct {
	dataCentre    string
	allowSuspects bool
}

// InDataCentre restricts the choice to the members of one data centre.
func InDataCentre(name string) Option {
	return func(f *filter) { f.dataCentre = name }
}

// WithSuspects includes members in state Suspect, which are listed but don't
// answer. The choice then depends only on the platform's list and is the same on
// both sides of a partition, but the keeper may be unreachable.
func WithSuspects() Option {
	return func(f *filter) { f.allowSuspects = true }
}

// NewSelector returns a Selector for the members that the options allow, by
// default those in state Alive.
func NewSelector(list []board.Member, opts ...Option) *Selector {
	var f filter
	for _, opt := range opts {
		opt(&f)
	}
	s := &Selector{members: make(map[string]board.Member, len(list))}
	names := make([]string, 0, len(list))
	for _, m := range list {
		if f.allows(m) {
			s.members[m.Name] = m
			names = append(names, m.Name)
		}
	}
	s.table = rendezvous.New(names, xxhash.Sum64String)
	return s
}

func (f *filter) allows(m board.Member) bool {
	if f.dataCentre != "" && m.DataCentre != f.dataCentre {
		return false
	}
	return m.State == board.MemberAlive || f.allowSuspects && m.State == board.MemberSuspect
}

// Lookup returns the key's keeper, and false if no member may be a keeper.
func (s *Selector) Lookup(key string) (board.Member, bool) {
	m, ok := s.members[s.table.Lookup(key)]
	return m, ok
}

// Len returns the number of members that may be keepers.
func (s *Selector) Len() int { return len(s.members) }

// Lookup returns the key's keeper among the members, and false if the options
// allow none of them. It builds a Selector for every call; keep one to look up
// many keys.
func Lookup(list []board.Member, key string, opts ...Option) (board.Member, bool) {
	return NewSelector(list, opts...).Lookup(key)
}
