package ledger

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/kingcupyard/kingcupyard/internal/fleet/board"
)

// avoidDuration is how long a keeper that did not answer is passed over.
const avoidDuration = 5 * time.Second

var errNoKeeper = errors.New("no instance keeps the shard")

// keeperTable caches the ring of keepers until the members change.
type keeperTable struct {
	mu           sync.Mutex
	members      *board.Members
	avoidedUntil map[string]time.Time
	dirty        bool
	assignment   *keeperAssignment
}

func (r *keeperTable) keeperOf(shard int, section *board.Section[board.Members], now time.Time) (board.Member, bool) {
	members := section.Get()
	if members == nil {
		return board.Member{}, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, until := range r.avoidedUntil {
		if !now.Before(until) {
			delete(r.avoidedUntil, name)
			r.dirty = true
		}
	}
	if r.assignment == nil || r.dirty || r.members != members {
		avoid := map[string]bool{}
		for name := range r.avoidedUntil {
			avoid[name] = true
		}
		r.assignment, r.members, r.dirty = newKeeperAssignment(members, avoid), members, false
	}
	return r.assignment.keeperOf(shard)
}

func (r *keeperTable) avoid(name string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.avoidedUntil == nil {
		r.avoidedUntil = map[string]time.Time{}
	}
	r.avoidedUntil[name] = now.Add(avoidDuration)
	r.dirty = true
}

// sendToKeeper sends a request to the keeper of its shard. A keeper that does not
// answer is passed over for a while, so that its successor is asked next.
func (l *Ledger) sendToKeeper(req Request) ([]Outcome, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	timer := l.clock.AfterFunc(l.limits.SendTimeout, cancel)
	defer timer.Stop()
	to, ok := l.keeperTable.keeperOf(req.Shard, l.members, l.clock.Now())
	if !ok {
		return nil, errNoKeeper
	}
	resp, err := l.sendTo(ctx, to, req)
	if err != nil || len(resp.Outcomes) != len(req.Records) {
		sends.Add("PeerFailed", 1)
		l.keeperTable.avoid(to.Name, l.clock.Now())
		return nil, err
	}
	return resp.Outcomes, nil
}

func (l *Ledger) sendTo(ctx context.Context, to board.Member, req Request) (Response, error) {
	if to.Name == l.self.Instance {
		return l.keeper.Handle(ctx, req), nil
	}
	return l.peers.SendRecords(ctx, to, req)
}
