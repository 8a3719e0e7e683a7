package ledger

import (
	"context"
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

// ask sends a request to the keeper of its shard. A keeper that does not
// answer is passed over for a while, so that its successor is asked next.
func (l *Ledger) ask(req Request) ([]Outcome, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	timer := l.clock.AfterFunc(l.limits.SendTimeout, cancel)
	defer timer.Stop()
	to, ok := l.routes.keeperOf(req.Shard, l.members, l.clock.Now())
	if !ok {
		return nil, errNoKeeper
	}
	resp, err := l.askMember(ctx, to, req)
	if err != nil || len(resp.Outcomes) != len(req.Records) {
		sends.Add("PeerFailed", 1)
		l.routes.avoid(to.Name, l.clock.Now())
		return nil, err
	}
	return resp.Outcomes, nil
}

func (l *Ledger) askMember(ctx context.Context, to board.Member, req Request) (Response, error) {
	if to.Name == l.self.Instance {
		return l.keeper.Handle(ctx, req), nil
	}
	return l.peers.SendRecords(ctx, to, req)
}
