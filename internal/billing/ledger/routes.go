package ledger

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/kingcupyard/kingcupyard/internal/fleet/board"
)

// avoidDuration is how long a keeper whose last request failed is left out of the
// assignment.
const avoidDuration = 5 * time.Second

var errNoKeeper = errors.New("no instance keeps the shard")

// keeperTable caches the assignment of shards to keepers until the members or
// the avoided keepers change.
type keeperTable struct {
	mu           sync.Mutex
	members      *board.Members
	avoidedUntil map[string]time.Time
	dirty        bool
	assignment   *keeperAssignment
}

func (t *keeperTable) keeperOf(shard int, section *board.Section[board.Members], now time.Time) (board.Member, bool) {
	members := section.Get()
	if members == nil {
		return board.Member{}, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, until := range t.avoidedUntil {
		if !now.Before(until) {
			delete(t.avoidedUntil, name)
			t.dirty = true
		}
	}
	if t.assignment == nil || t.dirty || t.members != members {
		avoid := map[string]bool{}
		for name := range t.avoidedUntil {
			avoid[name] = true
		}
		t.assignment, t.members, t.dirty = newKeeperAssignment(members, avoid), members, false
	}
	return t.assignment.keeperOf(shard)
}

func (t *keeperTable) avoid(name string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.avoidedUntil == nil {
		t.avoidedUntil = map[string]time.Time{}
	}
	t.avoidedUntil[name] = now.Add(avoidDuration)
	t.dirty = true
}

// sendToKeeper sends a request to the keeper of its shard. A keeper that returns
// an error or the wrong number of outcomes is avoided for avoidDuration, so that
// the next request goes to its successor. If only the number of outcomes is wrong,
// both results are nil.
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
