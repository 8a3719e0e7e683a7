package ledger

import (
	"strconv"

	"github.com/kingcupyard/kingcupyard/internal/fleet/board"
	"github.com/kingcupyard/kingcupyard/internal/fleet/keeper"
)

// keeperAssignment maps each shard to its keeper by rendezvous hashing. Only
// members that are Alive and that this instance does not avoid after a failed
// request may be keepers, so that all instances that cannot reach a keeper agree
// on the same successor.
type keeperAssignment struct {
	keepers    [ShardCount]board.Member
	hasKeepers bool
}

func newKeeperAssignment(members *board.Members, avoid map[string]bool) *keeperAssignment {
	list := make([]board.Member, 0, len(members.List))
	for _, m := range members.List {
		if !avoid[m.Name] {
			list = append(list, m)
		}
	}
	selector := keeper.NewSelector(list)
	a := &keeperAssignment{hasKeepers: selector.Len() > 0}
	for i := range a.keepers {
		if a.hasKeepers {
			a.keepers[i], _ = selector.Lookup("Ledger/" + strconv.Itoa(i))
		}
	}
	return a
}

func (a *keeperAssignment) keeperOf(shard int) (board.Member, bool) {
	return a.keepers[shard], a.hasKeepers
}
