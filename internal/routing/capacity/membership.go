package capacity

import "github.com/kingcupyard/kingcupyard/internal/fleet/board"

// membership is the list of members that decides who keeps which server. It is the
// platform's list where there is one: heartbeats tell each instance something
// else in a partition, while the list is the same for all but for its lag.
type membership struct {
	members *board.Members
	listing *board.Listing
	merged  *board.Members
}

// current returns the members under the platform's list. The result is the same
// pointer until one current the sections changes.
func (r *membership) current(b *board.Board) *board.Members {
	members, listing := b.Members.Get(), b.Listing.Get()
	if members == nil || listing == nil {
		return members
	}
	if members != r.members || listing != r.listing {
		r.members, r.listing = members, listing
		r.merged = mergeListing(members, listing)
	}
	return r.merged
}

// mergeListing takes who is listed from the listing, and what is known of each from
// the members.
func mergeListing(members *board.Members, listing *board.Listing) *board.Members {
	joined := &board.Members{Self: members.Self, Epoch: members.Epoch, ListedAt: listing.At}
	for _, m := range listing.List {
		if known := members.Find(m.Name); known != nil {
			m.Generation, m.PeerAddress = known.Generation, known.PeerAddress
		}
		joined.List = append(joined.List, m)
	}
	return joined
}
