package ledger

import (
	"slices"
	"time"
)

// numberSet is the set of record numbers received from one origin: all numbers
// up to Low and those in Above. It stays small as long as most records arrive.
type numberSet struct {
	Origin Origin
	Low    uint64
	Above  []uint64 `json:",omitempty"`
	// At is the time of the latest chunk that contains a record of the origin.
	At time.Time
}

func (n *numberSet) contains(number uint64) bool {
	if number <= n.Low {
		return true
	}
	_, found := slices.BinarySearch(n.Above, number)
	return found
}

func (n *numberSet) add(number uint64) {
	if n.contains(number) {
		return
	}
	i, _ := slices.BinarySearch(n.Above, number)
	n.Above = slices.Insert(n.Above, i, number)
	k := 0
	for k < len(n.Above) && n.Above[k] == n.Low+1 {
		n.Low++
		k++
	}
	n.Above = slices.Delete(n.Above, 0, k)
}
