package ledger

import (
	"context"
	"fmt"
	"strings"
)

// KeyPrefix is where the ledger lives in the platform's store.
const KeyPrefix = "kingcupyard/Ledger/"

// Pair is one key of the store.
type Pair struct {
	Key      string
	Value    []byte
	Revision int64
}

// Condition asks that a key was last changed at a revision; 0 means that the
// key does not exist.
type Condition struct {
	Key      string
	Revision int64
}

// Span is the keys from From, inclusive, to To, exclusive.
type Span struct{ From, To string }

// Txn changes the store at once, if all conditions hold.
type Txn struct {
	If     []Condition
	Put    []Pair
	Delete []Span
	// HasClaims says that a claim waits for it.
	HasClaims bool
}

// Store is what the ledger needs of the platform's key-value service.
type Store interface {
	// Range returns up to limit pairs of a span in the order of their keys.
	Range(ctx context.Context, span Span, limit int) ([]Pair, error)
	// Commit applies the transaction if its conditions hold, and returns the
	// revision of the change. After an error it may have taken effect.
	Commit(ctx context.Context, txn Txn) (revision int64, committed bool, err error)
}

func shardPrefix(shard int) string { return fmt.Sprintf("%s%02d/", KeyPrefix, shard) }

// Keys of a shard. Chunks are the keys that end in digits alone.
func headKey(shard int) string { return shardPrefix(shard) + "Head" }

func chunkKey(shard int, sequence uint64) string {
	return fmt.Sprintf("%s%020d", shardPrefix(shard), sequence)
}

func closedKey(shard int, set string, page uint64) string {
	return fmt.Sprintf("%sPages/%s/%020d", shardPrefix(shard), set, page)
}

func claimsKey(shard int, bucket int64) string {
	return fmt.Sprintf("%sPages/Claims/%020d", shardPrefix(shard), bucket)
}

func chunkSpan(shard int, from uint64) Span {
	return Span{chunkKey(shard, from), shardPrefix(shard) + ":"}
}

func prefixSpan(prefix string) Span {
	return Span{prefix, prefix[:len(prefix)-1] + string(prefix[len(prefix)-1]+1)}
}

// IsChunkKey reports whether a key of the store holds a chunk.
func IsChunkKey(key string) bool {
	rest, ok := strings.CutPrefix(key, KeyPrefix)
	if !ok {
		return false
	}
	_, seq, ok := strings.Cut(rest, "/")
	return ok && seq != "" && strings.Trim(seq, "0123456789") == ""
}

const (
	// chunksPerRead is how many chunks one read of the store brings.
	chunksPerRead = 256
	// pagesPerRead is how many pages one read brings; a page is much larger.
	pagesPerRead = 16
)

// readAll reads a span, so many pairs at a time.
func readAll(ctx context.Context, store Store, span Span, reads int) ([]Pair, error) {
	var all []Pair
	for {
		pairs, err := store.Range(ctx, span, reads)
		if err != nil {
			return nil, err
		}
		all = append(all, pairs...)
		if len(pairs) < reads {
			return all, nil
		}
		span.From = pairs[len(pairs)-1].Key + "\x00"
	}
}
