package ledger

import (
	"context"
	"fmt"
	"strings"
)

// KeyPrefix is the prefix of all the ledger's keys in the platform's store.
const KeyPrefix = "kingcupyard/Ledger/"

// Pair is a key of the store with its value and the revision of its last
// change.
type Pair struct {
	Key      string
	Value    []byte
	Revision int64
}

// Condition requires that the last change of a key was at the given revision.
// Revision 0 requires that the key does not exist.
type Condition struct {
	Key      string
	Revision int64
}

// Span is the range of keys from From, inclusive, to To, exclusive.
type Span struct{ From, To string }

// Txn is a transaction, which takes effect only if all its conditions hold.
type Txn struct {
	If     []Condition
	Put    []Pair
	Delete []Span
	// HasClaims reports whether the transaction commits a claim, for which a
	// caller is waiting.
	HasClaims bool
}

// Store is the part of the platform's key-value store that the ledger uses.
type Store interface {
	// Range returns up to limit pairs of a span in key order.
	Range(ctx context.Context, span Span, limit int) ([]Pair, error)
	// Commit applies the transaction if its conditions hold, and returns
	// whether it did and the revision of the change. After an error the
	// transaction may still have taken effect.
	Commit(ctx context.Context, txn Txn) (revision int64, committed bool, err error)
}

func shardPrefix(shard int) string { return fmt.Sprintf("%s%02d/", KeyPrefix, shard) }

// The following functions return the keys of a shard. The key of a chunk has
// only digits after the shard's prefix.
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

// chunkSpan returns the keys of the chunks with at least the given sequence.
func chunkSpan(shard int, from uint64) Span {
	return Span{chunkKey(shard, from), shardPrefix(shard) + ":"}
}

// prefixSpan returns the keys that begin with the prefix.
func prefixSpan(prefix string) Span {
	return Span{prefix, prefix[:len(prefix)-1] + string(prefix[len(prefix)-1]+1)}
}

// IsChunkKey reports whether a key is that of a chunk.
func IsChunkKey(key string) bool {
	rest, ok := strings.CutPrefix(key, KeyPrefix)
	if !ok {
		return false
	}
	_, seq, ok := strings.Cut(rest, "/")
	return ok && seq != "" && strings.Trim(seq, "0123456789") == ""
}

const (
	// chunksPerRead is the number of chunks requested in one read.
	chunksPerRead = 256
	// pagesPerRead is the number of pages requested in one read. It is lower
	// than chunksPerRead because pages are much larger than chunks.
	pagesPerRead = 16
)

// readAll reads all pairs of a span, limit pairs at a time.
func readAll(ctx context.Context, store Store, span Span, limit int) ([]Pair, error) {
	var all []Pair
	for {
		pairs, err := store.Range(ctx, span, limit)
		if err != nil {
			return nil, err
		}
		all = append(all, pairs...)
		if len(pairs) < limit {
			return all, nil
		}
		span.From = pairs[len(pairs)-1].Key + "\x00"
	}
}
