package ledger

import (
	"context"
	"fmt"
	"maps"
	"time"
)

// Names of the two closedSets in the keys of their pages: Keyed for bills whose
// ID a caller supplied, Closed for all others.
const (
	closedSetName = "Closed"
	keyedSetName  = "Keyed"
)

// rollup is the transaction that folds a shard's chunks into its head and
// pages, together with the changes to make in memory once it is committed.
type rollup struct {
	txn         Txn
	closed      *closedPage
	keyed       *closedPage
	keptBuckets map[int64]bool
}

// prepareRollup builds the roll-up of all loaded chunks. It is conditional on
// the loaded head, so a late commit of a paused keeper has no effect.
func (l *shardLog) prepareRollup(shard int, now time.Time) (*rollup, error) {
	l.state.expire(now)
	maps.Copy(l.changedBuckets, l.state.packClaims(now))
	r := &rollup{
		txn:         Txn{If: []Condition{{Key: headKey(shard), Revision: l.revision}}},
		keptBuckets: map[int64]bool{},
	}
	var err error
	if r.closed, err = r.putClosedPage(shard, closedSetName, l.state.closed, now); err != nil {
		return nil, err
	}
	if r.keyed, err = r.putClosedPage(shard, keyedSetName, l.state.keyed, now); err != nil {
		return nil, err
	}
	if err := l.putClaimsPages(r, shard, now); err != nil {
		return nil, err
	}
	h := l.state.head(now)
	if r.closed != nil {
		h.ClosedNext = r.closed.Number + 1
	}
	if r.keyed != nil {
		h.KeyedNext = r.keyed.Number + 1
	}
	if err := r.put(headKey(shard), h); err != nil {
		return nil, err
	}
	r.deleteSpan(chunkKey(shard, 0), chunkKey(shard, l.state.nextSequence))
	r.deleteSpan(closedKey(shard, closedSetName, 0), closedKey(shard, closedSetName, h.ClosedFrom))
	r.deleteSpan(closedKey(shard, keyedSetName, 0), closedKey(shard, keyedSetName, h.KeyedFrom))
	return r, nil
}

func (r *rollup) deleteSpan(from, to string) {
	if from < to {
		r.txn.Delete = append(r.txn.Delete, Span{from, to})
	}
}

func (r *rollup) put(key string, v any) error {
	value, err := encodeValue(v)
	if err != nil {
		return fmt.Errorf("encode %s: %w", key, err)
	}
	r.txn.Put = append(r.txn.Put, Pair{Key: key, Value: value})
	return nil
}

func (r *rollup) putClosedPage(shard int, name string, set *closedSet, now time.Time) (*closedPage, error) {
	page, ok := set.nextPage(now)
	if !ok {
		return nil, nil
	}
	return &page, r.put(closedKey(shard, name, page.Number), page)
}

// putClaimsPages writes the buckets that have changed and deletes those that
// have expired.
func (l *shardLog) putClaimsPages(r *rollup, shard int, now time.Time) error {
	oldest := bucketOf(now.Add(-l.state.retention.Claims-l.state.retention.MaxClockSkew)) - 1
	changed := map[int64]bool{}
	for b := range l.changedBuckets {
		if b > oldest {
			changed[b] = true
		}
	}
	for b := range l.storedBuckets {
		if b > oldest {
			r.keptBuckets[b] = true
		}
	}
	for _, page := range l.state.claimsPages(changed) {
		r.keptBuckets[page.Bucket] = true
		if err := r.put(claimsKey(shard, page.Bucket), page); err != nil {
			return err
		}
	}
	r.deleteSpan(claimsKey(shard, 0), claimsKey(shard, oldest+1))
	return nil
}

// finishRollup updates the loaded log after a roll-up was committed at the
// given revision.
func (l *shardLog) finishRollup(r *rollup, revision int64) {
	l.revision, l.chunks, l.bytes = revision, 0, 0
	if r.closed != nil {
		l.state.closed.markSaved(*r.closed)
	}
	if r.keyed != nil {
		l.state.keyed.markSaved(*r.keyed)
	}
	l.storedBuckets, l.changedBuckets = r.keptBuckets, map[int64]bool{}
}

// commit commits the roll-up. After an error the shard must be loaded again.
func (r *rollup) commit(ctx context.Context, store Store) (int64, error) {
	revision, committed, err := store.Commit(ctx, r.txn)
	if err != nil {
		return 0, err
	}
	if !committed {
		return 0, errFenced
	}
	return revision, nil
}
