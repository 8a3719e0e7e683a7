package ledger

import (
	"errors"
	"sync"
	"time"

	"github.com/kingcupyard/kingcupyard/internal/fleet/board"
)

// avoidFor is how long a keeper that did not answer is passed over.
const avoidFor = 5 * time.Second

var errNoKeeper = errors.New("no instance keeps the shard")

// routes caches the ring of keepers until the members change.
type routes struct {
	mu      sync.Mutex
	members *board.Members
	avoided map[string]time.Time
	dirty   bool
	ring    *ring
}

func (r *routes) keeperOf(shard int, section *board.Section[board.Members], now time.Time) (board.Member, bool) {
	members := section.Get()
	if members == nil {
		return board.Member{}, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, until := range r.avoided {
		if !now.Before(until) {
			delete(r.avoided, name)
			r.dirty = true
		}
	}
	if r.ring == nil || r.dirty || r.members != members {
		avoid := map[string]bool{}
		for name := range r.avoided {
			avoid[name] = true
		}
		r.ring, r.members, r.dirty = newRing(members, avoid), members, false
	}
	return r.ring.keeperOf(shard)
}

func (r *routes) avoid(name string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.avoided == nil {
		r.avoided = map[string]time.Time{}
	}
	r.avoided[name] = now.Add(avoidFor)
	r.dirty = true
}
