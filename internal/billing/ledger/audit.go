package ledger

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"
)

// Audit is a report on everything that the store holds of the ledger.
type Audit struct {
	Totals []Total
	Shards []ShardAudit
}

// ShardAudit is the part of an Audit that covers one shard.
type ShardAudit struct {
	Shard int
	// Through is the sequence of the last chunk that is rolled up into the
	// head, Last that of the last chunk written.
	Through  uint64
	Last     uint64
	RolledAt time.Time
	Chunks   int
	Bytes    int
	Bills    int
	Open     int
	// OldestOpen is the time at which the oldest open bill was opened.
	OldestOpen time.Time
	Settled    int
	Claims     int
	Origins    int
	// Faults lists inconsistencies in the stored data. It is empty unless there
	// is a bug.
	Faults []string
}

// ReadAudit reads every shard from the store, adds up the bills by customer,
// model, version and service, and checks each shard's log for inconsistencies.
func ReadAudit(ctx context.Context, store Store, retention Retention) (Audit, error) {
	var out Audit
	totals := map[totalKey]*Total{}
	for shard := range ShardCount {
		l, err := loadLog(ctx, store, shard, retention)
		if err != nil {
			return Audit{}, fmt.Errorf("audit: %w", err)
		}
		a, err := l.audit(ctx, store, shard)
		if err != nil {
			return Audit{}, fmt.Errorf("audit: %w", err)
		}
		out.Shards = append(out.Shards, a)
		for k, t := range l.state.totals {
			if totals[k] == nil {
				totals[k] = new(Total)
			}
			totals[k].merge(*t)
		}
	}
	for _, t := range totals {
		out.Totals = append(out.Totals, *t)
	}
	slices.SortFunc(out.Totals, func(a, b Total) int {
		return cmp.Or(cmp.Compare(a.Customer, b.Customer), cmp.Compare(a.Model, b.Model),
			cmp.Compare(a.Version, b.Version), cmp.Compare(a.Service, b.Service))
	})
	return out, nil
}

func (l *shardLog) audit(ctx context.Context, store Store, shard int) (ShardAudit, error) {
	s := l.state
	a := ShardAudit{
		Shard: shard, Last: s.nextSequence - 1, Through: s.nextSequence - 1 - uint64(l.chunks), RolledAt: l.headAt, Chunks: l.chunks,
		Open: len(s.open), Settled: len(s.settled), Claims: len(s.claims) + len(s.packed.byDigest), Origins: len(s.origins),
	}
	for _, t := range s.totals {
		a.Bills += t.Bills
	}
	for _, b := range s.open {
		if a.OldestOpen.IsZero() || b.OpenedAt.Before(a.OldestOpen) {
			a.OldestOpen = b.OpenedAt
		}
	}
	pairs, err := readAll(ctx, store, prefixSpan(shardPrefix(shard)), pagesPerRead)
	if err != nil {
		return ShardAudit{}, err
	}
	closed := map[string]uint64{}
	for _, p := range pairs {
		a.Bytes += len(p.Key) + len(p.Value)
		if IsChunkKey(p.Key) {
			a.check(p, closed)
		}
	}
	return a, nil
}

// check looks for bills that are closed more than once and for chunks that are
// stored under the wrong key.
func (a *ShardAudit) check(p Pair, closed map[string]uint64) {
	c, err := DecodeChunk(p.Value)
	if err != nil {
		a.Faults = append(a.Faults, fmt.Sprintf("%s: %v", p.Key, err))
		return
	}
	if c.Shard != a.Shard || chunkKey(c.Shard, c.Sequence) != p.Key {
		a.Faults = append(a.Faults, fmt.Sprintf("%s holds chunk %d of shard %d", p.Key, c.Sequence, c.Shard))
	}
	for i := range c.Records {
		r := &c.Records[i]
		if r.Kind != KindClose {
			continue
		}
		if first, twice := closed[r.key()]; twice {
			a.Faults = append(a.Faults, fmt.Sprintf("bill %s is closed in chunks %d and %d", r.ID(), first, c.Sequence))
		}
		closed[r.key()] = c.Sequence
	}
}
