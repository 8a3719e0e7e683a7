// Package keeper decides which instance keeps a piece of shared state. The
// choice is a rendezvous hash over the members, so every instance with the
// same list names the same keeper without a message.
package keeper

import (
	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"github.com/kingcupyard/kingcupyard/internal/fleet/board"
)

// Ring is the set of members that may keep state, ready for look-ups. It is
// immutable.
type Ring struct {
	members map[string]board.Member
	table   *rendezvous.Rendezvous
}

// Option narrows or widens the set of members that may keep state.
type Option func(*filter)

type filter struct {
	dataCentre    string
	allowSuspects bool
}

// InDataCentre allows only members of one data centre.
func InDataCentre(name string) Option {
	return func(f *filter) { f.dataCentre = name }
}

// WithSuspects allows members that are listed but do not answer. The choice
// then depends on the platform's list alone and is the same on both sides of
// a partition, at the price of a keeper that may be unreachable.
func WithSuspects() Option {
	return func(f *filter) { f.allowSuspects = true }
}

// NewRing returns the ring of the members that pass the options.
func NewRing(list []board.Member, opts ...Option) *Ring {
	var f filter
	for _, opt := range opts {
		opt(&f)
	}
	r := &Ring{members: make(map[string]board.Member, len(list))}
	names := make([]string, 0, len(list))
	for _, m := range list {
		if f.allows(m) {
			r.members[m.Name] = m
			names = append(names, m.Name)
		}
	}
	r.table = rendezvous.New(names, xxhash.Sum64String)
	return r
}

func (f *filter) allows(m board.Member) bool {
	if f.dataCentre != "" && m.DataCentre != f.dataCentre {
		return false
	}
	return m.State == board.MemberAlive || f.allowSuspects && m.State == board.MemberSuspect
}

// Lookup returns the member that keeps the key, and false if there is none.
func (r *Ring) Lookup(key string) (board.Member, bool) {
	m, ok := r.members[r.table.Lookup(key)]
	return m, ok
}

// Len returns the number of members that may keep state.
func (r *Ring) Len() int { return len(r.members) }

// Lookup returns the member that keeps the key, and false if there is none. Use a
// Ring for many keys.
func Lookup(list []board.Member, key string, opts ...Option) (board.Member, bool) {
	return NewRing(list, opts...).Lookup(key)
}
