package capacity

import "github.com/kingcupyard/kingcupyard/internal/fleet/board"

// membership provides the list of members that decides which of them keeps
// which server. The platform's list of instances is authoritative if there is
// one: in a partition, heartbeats give each instance a different picture, while
// the platform's list is the same for all but for its delay.
type membership struct {
	members *board.Members
	listing *board.InstanceList
	merged  *board.Members
}

// current returns the members according to the platform's list. The result is
// the same pointer until the members or the list change.
func (m *membership) current(b *board.Board) *board.Members {
	members, listing := b.Members.Get(), b.InstanceList.Get()
	if members == nil || listing == nil {
		return members
	}
	if members != m.members || listing != m.listing {
		m.members, m.listing = members, listing
		m.merged = mergeListing(members, listing)
	}
	return m.merged
}

// mergeListing takes the set of members from the listing, and the details of
// each from members.
func mergeListing(members *board.Members, listing *board.InstanceList) *board.Members {
	merged := &board.Members{Self: members.Self, Epoch: members.Epoch, ListedAt: listing.ListedAt}
	for _, member := range listing.List {
		if known := members.Find(member.Name); known != nil {
			member.Generation, member.PeerAddress = known.Generation, known.PeerAddress
		}
		merged.List = append(merged.List, member)
	}
	return merged
}
