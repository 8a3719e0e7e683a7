package ledger

import (
	"context"
	"time"

	"github.com/kingcupyard/kingcupyard/internal/fleet/board"
)

// housekeep settles orphaned bills and rolls the log up if this instance is the
// shard's keeper. Otherwise it unloads the shard once it has not been used for
// idleTimeout.
func (s *shard) housekeep(ctx context.Context, isKeeper bool, members *board.Members) {
	select {
	case s.busy <- struct{}{}: // do not run concurrently with a commit
	case <-s.clock.After(s.keeper.storeTimeout):
		return
	}
	defer func() { <-s.busy }()
	now := s.clock.Now()
	if !isKeeper {
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

// storeContextFrom returns a store context that also ends with parent.
func (k *Keeper) storeContextFrom(parent context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := k.storeContext()
	stop := context.AfterFunc(parent, cancel)
	return ctx, func() { stop(); cancel() }
}

// settleOrphans commits the settlements that are due and reports whether that
// succeeded.
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

// rollUp rolls the log up if the last roll-up is at least rollupInterval ago or
// the chunks exceed rollupBytes.
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

// StoreOutage returns the longest time for which the store has been failing for
// any shard that this instance writes, or zero if there is no failure.
func (k *Keeper) StoreOutage() time.Duration {
	now := k.clock.Now()
	var longest time.Duration
	for _, s := range k.shards {
		longest = max(longest, s.breaker.failingFor(now))
	}
	return longest
}
