package member

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/kingcupyard/kingcupyard/internal/fleet/board"
	"github.com/kingcupyard/kingcupyard/internal/fleet/peer"
)

// targets returns whom to send heartbeats in this round: the successors on the
// ring, one other member, and one that is listed and thought to have failed.
func (v *view) targets(rng *rand.Rand) []board.Member {
	var present, failed []board.Member
	for _, r := range v.members {
		if r.State != memberFailed {
			present = append(present, r.Member)
		} else if r.listed {
			failed = append(failed, r.Member)
		}
	}
	chosen, rest := v.successors(present)
	for _, group := range [][]board.Member{rest, failed} {
		if len(group) > 0 {
			sortByName(group)
			chosen = append(chosen, group[rng.IntN(len(group))])
		}
	}
	return chosen
}

// successors splits members into those next on the ring and the others.
func (v *view) successors(members []board.Member) (next, rest []board.Member) {
	own := xxhash.Sum64String(v.self.Name)
	// Distances wrap around, so that the ring needs no ends.
	slices.SortFunc(members, func(a, b board.Member) int {
		return cmp.Or(
			cmp.Compare(xxhash.Sum64String(a.Name)-own, xxhash.Sum64String(b.Name)-own),
			cmp.Compare(a.Name, b.Name),
		)
	})
	n := min(successors, len(members))
	return slices.Clone(members[:n]), members[n:]
}

func sortByName(members []board.Member) {
	slices.SortFunc(members, func(a, b board.Member) int { return cmp.Compare(a.Name, b.Name) })
}

// news returns the updates to send to a member: what it should contradict, the
// statements that were sent least often, and a sample of all.
func (v *view) news(to string, rng *rand.Rand) []*peer.Member {
	records := make([]*record, 0, len(v.members))
	for _, r := range v.members {
		records = append(records, r)
	}
	slices.SortFunc(records, func(a, b *record) int {
		return cmp.Or(cmp.Compare(b.sends, a.sends), cmp.Compare(a.Name, b.Name))
	})
	var updates []*peer.Member
	if r := v.members[to]; r != nil && r.State != board.MemberAlive {
		updates = append(updates, toMessage(r.statement))
	}
	for _, r := range records {
		if r.sends == 0 || len(updates) >= maxUpdates {
			break
		}
		r.sends--
		updates = append(updates, toMessage(r.statement))
	}
	for range min(sampleUpdates, len(records)) {
		updates = append(updates, toMessage(records[rng.IntN(len(records))].statement))
	}
	return updates
}
