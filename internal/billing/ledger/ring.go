package ledger

import (
	"strconv"

	"github.com/kingcupyard/kingcupyard/internal/fleet/board"
	"github.com/kingcupyard/kingcupyard/internal/fleet/keeper"
)

// keeperAssignment names the keeper of each shard. Members that this instance could not
// reach lately are left out, so that all who miss the same keeper agree on the
// same successor.
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
	hash := keeper.NewRing(list)
	r := &keeperAssignment{hasKeepers: hash.Len() > 0}
	for i := range r.keepers {
		if r.hasKeepers {
			r.keepers[i], _ = hash.Lookup("Ledger/" + strconv.Itoa(i))
		}
	}
	return r
}

func (r *keeperAssignment) keeperOf(shard int) (board.Member, bool) {
	return r.keepers[shard], r.hasKeepers
}
