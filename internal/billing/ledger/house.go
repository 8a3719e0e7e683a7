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
	case <-s.clock.After(s.keeper.storeLimit):
		return
	}
	defer func() { <-s.busy }()
	now := s.clock.Now()
	if !kept {
		if now.Sub(s.used) > idleLimit {
			s.loaded = nil
		}
		return
	}
	if !s.out.tryNow(now) {
		return
	}
	s.stale = s.stale || s.out.outFor(now) > 0
	ctx, cancel := s.keeper.boundedBy(ctx)
	defer cancel()
	if err := s.ensureLoaded(ctx); err != nil {
		s.out.began(now)
		return
	}
	s.out.ended()
	if s.settleOrphans(ctx, members) {
		s.rollUp(ctx)
	}
}

func (k *Keeper) boundedBy(parent context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := k.bounded()
	stop := context.AfterFunc(parent, cancel)
	return ctx, func() { stop(); cancel() }
}

// settleOrphans writes the settlements that are due; false if that failed.
func (s *shard) settleOrphans(ctx context.Context, members *board.Members) bool {
	alive := map[string]bool{}
	for _, m := range members.List {
		alive[m.Name] = true
	}
	b := &batch{records: s.loaded.state.orphans(s.clock.Now(), func(name string) bool { return alive[name] })}
	if len(b.records) == 0 {
		return true
	}
	b.records = b.records[:min(len(b.records), chunkRecords)]
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
	due := s.loaded.chunks > 0 && now.Sub(s.rolled) >= s.keeper.rollupEvery
	if !due && s.loaded.bytes < s.keeper.rollupBytes {
		return
	}
	s.rolled = now
	r, err := s.loaded.prepare(s.number, now)
	if err != nil {
		s.loaded = nil
		return
	}
	revision, err := r.commit(ctx, s.keeper.store)
	if err != nil {
		rollups.Add("Failed", 1)
		s.loaded = nil
		return
	}
	rollups.Add("Committed", 1)
	s.loaded.rolledUp(r, revision)
}

// StoreOutage returns the longest time for which the store has failed a shard
// that this instance writes, zero if it works.
func (k *Keeper) StoreOutage() time.Duration {
	now := k.clock.Now()
	var longest time.Duration
	for _, s := range k.shards {
		longest = max(longest, s.out.outFor(now))
	}
	return longest
}
