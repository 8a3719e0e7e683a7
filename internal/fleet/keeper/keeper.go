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

// Ring is the set of members that may be keepers, prepared for lookups. It is
// immutable.
type Ring struct {
	members map[string]board.Member
	table   *rendezvous.Rendezvous
}

// Option restricts or extends the set of members that may be keepers.
type Option func(*filter)

type filter struct {
	dataCentre    string
	allowSuspects bool
}

// InDataCentre restricts the ring to the members of one data centre.
func InDataCentre(name string) Option {
	return func(f *filter) { f.dataCentre = name }
}

// WithSuspects includes members in state Suspect, which are listed but don't
// answer. The choice then depends only on the platform's list and is the same on
// both sides of a partition, but the keeper may be unreachable.
func WithSuspects() Option {
	return func(f *filter) { f.allowSuspects = true }
}

// NewRing returns the ring of the members that the options allow, by default
// those in state Alive.
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

// Lookup returns the key's keeper, and false if the ring has no members.
func (r *Ring) Lookup(key string) (board.Member, bool) {
	m, ok := r.members[r.table.Lookup(key)]
	return m, ok
}

// Len returns the number of members that may be keepers.
func (r *Ring) Len() int { return len(r.members) }

// Lookup returns the key's keeper among the members, and false if the options
// allow none of them. It builds a Ring for every call; keep one to look up many
// keys.
func Lookup(list []board.Member, key string, opts ...Option) (board.Member, bool) {
	return NewRing(list, opts...).Lookup(key)
}
