package board

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Rank returns the k names with the highest rendezvous hash for a key, highest
// first, or all names if there are fewer. Removing a name changes only the
// rankings in which it was.
func Rank(key string, names []string, k int) []string {
	type scored struct {
		name  string
		score uint64
	}
	list := make([]scored, len(names))
	for i, name := range names {
		list[i] = scored{name, score(key, name)}
	}
	slices.SortFunc(list, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.name, b.name))
	})
	ranked := make([]string, 0, min(k, len(list)))
	for _, s := range list[:min(k, len(list))] {
		ranked = append(ranked, s.name)
	}
	return ranked
}

func score(key, name string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(name)
	return d.Sum64()
}

// Find returns the member with the given name, or nil.
func (m *Members) Find(name string) *Member {
	if m == nil {
		return nil
	}
	for i := range m.List {
		if m.List[i].Name == name {
			return &m.List[i]
		}
	}
	return nil
}

// InDataCentre returns the members of a data centre that are not leaving.
func (m *Members) InDataCentre(dataCentre string) []Member {
	if m == nil {
		return nil
	}
	var found []Member
	for _, member := range m.List {
		if member.DataCentre == dataCentre && member.State != MemberLeaving {
			found = append(found, member)
		}
	}
	return found
}

// Names returns the members' names in the same order.
func Names(members []Member) []string {
	names := make([]string, len(members))
	for i, m := range members {
		names[i] = m.Name
	}
	return names
}
