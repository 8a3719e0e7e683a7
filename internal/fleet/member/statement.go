package member

import (
	"cmp"

	"github.com/kingcupyard/kingcupyard/internal/fleet/board"
	"github.com/kingcupyard/kingcupyard/internal/fleet/peer"
)

// memberFailed is the state of a member that has failed. Failed members are kept in
// the view but not published.
const memberFailed board.MemberState = "Failed"

// severity orders the states within one incarnation. The more severe state takes
// precedence until the member refutes it with a higher incarnation.
var severity = map[board.MemberState]int{
	board.MemberAlive:   0,
	board.MemberSuspect: 1,
	board.MemberLeaving: 2,
	memberFailed:        3,
}

// statement is a claim about the state of one run of a member, as exchanged in
// heartbeats. The member increases its incarnation to refute a claim.
type statement struct {
	board.Member
	incarnation uint64
}

// compare compares two statements about the same member by generation, then by
// incarnation, then by severity. The greater statement takes precedence.
func (s statement) compare(other statement) int {
	return cmp.Or(
		cmp.Compare(s.Generation, other.Generation),
		cmp.Compare(s.incarnation, other.incarnation),
		cmp.Compare(severity[s.State], severity[other.State]),
	)
}

// toMessage converts a statement to its message.
func toMessage(s statement) *peer.Member {
	return &peer.Member{
		Name: s.Name, PeerAddress: s.PeerAddress, DataCentre: s.DataCentre, Region: s.Region,
		Generation: s.Generation, State: string(s.State), Incarnation: s.incarnation,
	}
}

// fromMessage converts a message to a statement. ok is false if the state is
// unknown or the name or the address is missing.
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
