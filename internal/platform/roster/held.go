package roster

import (
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/kingcupyard/kingcupyard/internal/fleet/peer"
)

// keptChanges is how many recent changes of the list are kept for peers.
const keptChanges = 64

// change leads from the list with the stamp from to the one with the stamp to.
type change struct {
	from     int64
	to       int64
	sequence uint64
	changed  []listed
	removed  []string
	// full is set when changed holds the whole list.
	full bool
}

// held is the instance list that an instance holds, with its recent changes.
type held struct {
	stamp    int64
	sequence uint64
	entries  map[string]listed
	changes  []change
}

// stampOf orders a list of the platform: by its time, else by its sequence.
func stampOf(sequence uint64, at time.Time) int64 {
	if at.IsZero() {
		return int64(sequence)
	}
	return at.UnixMilli()
}

// read compares a list of the platform with the one held, and applies the
// difference. It returns nil if there is none.
func (h *held) read(sequence uint64, at time.Time, list []listed) *change {
	c := change{from: h.stamp, to: max(stampOf(sequence, at), h.stamp+1), sequence: sequence, full: h.stamp == 0}
	names := make(map[string]struct{}, len(list))
	for _, l := range list {
		names[l.Name] = struct{}{}
		if old, ok := h.entries[l.Name]; !ok || old != l {
			c.changed = append(c.changed, l)
		}
	}
	for name := range h.entries {
		if _, ok := names[name]; !ok {
			c.removed = append(c.removed, name)
		}
	}
	if len(c.changed) == 0 && len(c.removed) == 0 {
		return nil
	}
	slices.Sort(c.removed)
	h.apply(c)
	return &c
}

// apply takes over a change that leads on from the list held, and reports
// whether it does.
func (h *held) apply(c change) bool {
	if c.to <= h.stamp || !c.full && c.from != h.stamp {
		return false
	}
	if h.entries == nil || c.full {
		h.entries = make(map[string]listed, len(c.changed))
		h.changes = nil
	}
	for _, l := range c.changed {
		h.entries[l.Name] = l
	}
	for _, name := range c.removed {
		delete(h.entries, name)
	}
	if !c.full {
		h.changes = append(h.changes, c)
		h.changes = h.changes[max(0, len(h.changes)-keptChanges):]
	}
	h.stamp, h.sequence = c.to, c.sequence
	return true
}

// since returns one change from a list with this stamp to the one held: the
// recent changes joined, or the whole list when they do not reach back.
func (h *held) since(stamp int64) change {
	joined := change{from: stamp, to: h.stamp, sequence: h.sequence}
	first := slices.IndexFunc(h.changes, func(c change) bool { return c.from == stamp })
	if first < 0 {
		joined.full = true
		joined.changed = lo.Values(h.entries)
		return joined
	}
	touched := map[string]struct{}{}
	for _, c := range h.changes[first:] {
		for _, l := range c.changed {
			touched[l.Name] = struct{}{}
		}
		for _, name := range c.removed {
			touched[name] = struct{}{}
		}
	}
	for name := range touched {
		if l, ok := h.entries[name]; ok {
			joined.changed = append(joined.changed, l)
		} else {
			joined.removed = append(joined.removed, name)
		}
	}
	return joined
}

func changeToMessage(c change) *peer.ListingChange {
	return &peer.ListingChange{
		From: c.from, To: c.to, Sequence: c.sequence, Removed: c.removed, Full: c.full,
		Changed: lo.Map(c.changed, func(l listed, _ int) *peer.ListedInstance {
			return &peer.ListedInstance{
				Name: l.Name, Address: l.Address, PeerAddress: l.PeerAddress, Service: l.Service,
				DataCentre: l.DataCentre, Region: l.Region, State: l.State, Generation: l.Generation,
			}
		}),
	}
}

func changeFromMessage(m *peer.ListingChange) change {
	return change{
		from: m.From, to: m.To, sequence: m.Sequence, removed: m.Removed, full: m.Full,
		changed: lo.Map(m.Changed, func(l *peer.ListedInstance, _ int) listed {
			return listed{
				Name: l.Name, Address: l.Address, PeerAddress: l.PeerAddress, Service: l.Service,
				DataCentre: l.DataCentre, Region: l.Region, State: l.State, Generation: l.Generation,
			}
		}),
	}
}
