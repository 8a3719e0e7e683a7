package ledger

import (
	"context"
	"time"

	"github.com/kingcupyard/kingcupyard/internal/fleet/board"
)

// housekeep settles orphans and rolls up, if this instance keeps the shard,
// and otherwise drops the shard once nobody asks for it.
func (s *shard) housekeep(ctx context.Context, kept bool, members *board.Members) {
	select {
	case s.busy <- struct{}{}: // in turn with the commits
	case <-s.clock.After(s.keeper.storeTimeout):
		return
	}
	defer func() { <-s.busy }()
	now := s.clock.Now()
	if !kept {
		if now.Sub(s.lastUsed) > idleTimeout {
			s.log = nil
		}
		return
	}
	if !s.breaker.allow(now) {
		return
	}
	s.stale = s.stale || s.breaker.failingFor(now) > 0
	ctx, cancel := s.keeper.storeContextFrom(ctx)
	defer cancel()
	if err := s.ensureLoaded(ctx); err != nil {
		s.breaker.recordFailure(now)
		return
	}
	s.breaker.recordSuccess()
	if s.settleOrphans(ctx, members) {
		s.rollUp(ctx)
	}
}

func (k *Keeper) storeContextFrom(parent context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := k.storeContext()
	stop := context.AfterFunc(parent, cancel)
	return ctx, func() { stop(); cancel() }
}

// settleOrphans writes the settlements that are due; false if that failed.
func (s *shard) settleOrphans(ctx context.Context, members *board.Members) bool {
	alive := map[string]bool{}
	for _, m := range members.List {
		alive[m.Name] = true
	}
	b := &batch{records: s.log.state.orphanSettlements(s.clock.Now(), func(name string) bool { return alive[name] })}
	if len(b.records) == 0 {
		return true
	}
	b.records = b.records[:min(len(b.records), maxChunkRecords)]
	if err := s.write(ctx, b); err != nil {
		return false
	}
	outcomes.Add("SettledOrphans", int64(len(b.records)))
	return true
}

// rollUp folds the chunks into the head when there are enough of them, or
// they are old enough.
func (s *shard) rollUp(ctx context.Context) {
	now := s.clock.Now()
	due := s.log.chunks > 0 && now.Sub(s.lastRollup) >= s.keeper.rollupInterval
	if !due && s.log.bytes < s.keeper.rollupBytes {
		return
	}
	s.lastRollup = now
	r, err := s.log.prepareRollup(s.number, now)
	if err != nil {
		s.log = nil
		return
	}
	revision, err := r.commit(ctx, s.keeper.store)
	if err != nil {
		rollups.Add("Failed", 1)
		s.log = nil
		return
	}
	rollups.Add("Committed", 1)
	s.log.finishRollup(r, revision)
}

// StoreOutage returns the longest time for which the store has failed a shard
// that this instance writes, zero if it works.
func (k *Keeper) StoreOutage() time.Duration {
	now := k.clock.Now()
	var longest time.Duration
	for _, s := range k.shards {
		longest = max(longest, s.breaker.failingFor(now))
	}
	return longest
}
