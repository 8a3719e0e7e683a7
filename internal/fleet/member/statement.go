package member

import (
	"cmp"

	"github.com/kingcupyard/kingcupyard/internal/fleet/board"
	"github.com/kingcupyard/kingcupyard/internal/fleet/peer"
)

// memberFailed marks a member that is no longer in the list.
const memberFailed board.MemberState = "Failed"

// severity orders the states within one incarnation: bad news wins until the
// member itself contradicts with a higher incarnation.
var severity = map[board.MemberState]int{
	board.MemberAlive:   0,
	board.MemberSuspect: 1,
	board.MemberLeaving: 2,
	memberFailed:        3,
}

// statement is what is said about one run of a member.
type statement struct {
	board.Member
	incarnation uint64
}

// compare orders statements about the same member: later runs first, then
// later incarnations, then worse states.
func (s statement) compare(other statement) int {
	return cmp.Or(
		cmp.Compare(s.Generation, other.Generation),
		cmp.Compare(s.incarnation, other.incarnation),
		cmp.Compare(severity[s.State], severity[other.State]),
	)
}

func toMessage(s statement) *peer.Member {
	return &peer.Member{
		Name: s.Name, PeerAddress: s.PeerAddress, DataCentre: s.DataCentre, Region: s.Region,
		Generation: s.Generation, State: string(s.State), Incarnation: s.incarnation,
	}
}

// fromMessage reads a statement; ok is false if it makes no sense.
func fromMessage(m *peer.Member) (s statement, ok bool) {
	state := board.MemberState(m.GetState())
	if _, known := severity[state]; !known || m.GetName() == "" || m.GetPeerAddress() == "" {
		return statement{}, false
	}
	return statement{
		Member: board.Member{
			Name: m.Name, PeerAddress: m.PeerAddress, DataCentre: m.DataCentre, Region: m.Region,
			Generation: m.Generation, State: state,
		},
		incarnation: m.Incarnation,
	}, true
}
