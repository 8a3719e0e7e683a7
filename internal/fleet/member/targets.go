package member

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/kingcupyard/kingcupyard/internal/fleet/board"
	"github.com/kingcupyard/kingcupyard/internal/fleet/peer"
)

// targets returns the members to send heartbeats to in this round: the successors
// on the ring, one random other member, and one random member that has failed but
// is still listed by the platform.
func (v *view) targets(rng *rand.Rand) []board.Member {
	var current, failed []board.Member
	for _, r := range v.members {
		if r.State != memberFailed {
			current = append(current, r.Member)
		} else if r.listed {
			failed = append(failed, r.Member)
		}
	}
	chosen, rest := v.successors(current)
	for _, group := range [][]board.Member{rest, failed} {
		if len(group) > 0 {
			sortByName(group)
			chosen = append(chosen, group[rng.IntN(len(group))])
		}
	}
	return chosen
}

// successors splits members into the next ones on the ring and the others. It sorts
// members in place.
func (v *view) successors(members []board.Member) (next, rest []board.Member) {
	selfHash := xxhash.Sum64String(v.self.Name)
	// The unsigned differences wrap around, as the ring does.
	slices.SortFunc(members, func(a, b board.Member) int {
		return cmp.Or(
			cmp.Compare(xxhash.Sum64String(a.Name)-selfHash, xxhash.Sum64String(b.Name)-selfHash),
			cmp.Compare(a.Name, b.Name),
		)
	})
	n := min(successorCount, len(members))
	return slices.Clone(members[:n]), members[n:]
}

// sortByName sorts members in place, so that random choices do not depend on the
// order of a map.
func sortByName(members []board.Member) {
	slices.SortFunc(members, func(a, b board.Member) int { return cmp.Compare(a.Name, b.Name) })
}

// selectUpdates returns the statements to send to a member: first the one about the
// member itself if it is not alive, so that the member can refute it, then the
// pending statements that were sent least often, then a random sample of all.
func (v *view) selectUpdates(to string, rng *rand.Rand) []*peer.Member {
	records := make([]*record, 0, len(v.members))
	for _, r := range v.members {
		records = append(records, r)
	}
	slices.SortFunc(records, func(a, b *record) int {
		return cmp.Or(cmp.Compare(b.sendsLeft, a.sendsLeft), cmp.Compare(a.Name, b.Name))
	})
	var updates []*peer.Member
	if r := v.members[to]; r != nil && r.State != board.MemberAlive {
		updates = append(updates, toMessage(r.statement))
	}
	for _, r := range records {
		if r.sendsLeft == 0 || len(updates) >= maxUpdates {
			break
		}
		r.sendsLeft--
		updates = append(updates, toMessage(r.statement))
	}
	for range min(randomUpdates, len(records)) {
		updates = append(updates, toMessage(records[rng.IntN(len(records))].statement))
	}
	return updates
}
