package ledger

import (
	"context"

	"github.com/kingcupyard/kingcupyard/internal/platform/store"
)

// platformStore implements Store with a client of the platform's store.
type platformStore struct{ client *store.Client }

// NewPlatformStore returns a Store on the platform's store. When the
// client's write rate limit is nearly used up, transactions that commit a claim
// take priority.
func NewPlatformStore(client *store.Client) Store { return platformStore{client} }

func (p platformStore) Range(ctx context.Context, span Span, limit int) ([]Pair, error) {
	entries, err := p.client.RangeSpan(ctx, store.Claim, store.Span{From: span.From, To: span.To}, limit)
	if err != nil {
		return nil, err
	}
	pairs := make([]Pair, len(entries))
	for i, e := range entries {
		pairs[i] = Pair{Key: e.Key, Value: e.Value, Revision: e.ModRevision}
	}
	return pairs, nil
}

func (p platformStore) Commit(ctx context.Context, txn Txn) (int64, bool, error) {
	var t store.Txn
	for _, c := range txn.If {
		t.If = append(t.If, store.Condition{Key: c.Key, Revision: c.Revision})
	}
	for _, put := range txn.Put {
		t.Put = append(t.Put, store.Put{Key: put.Key, Value: put.Value})
	}
	for _, s := range txn.Delete {
		t.Delete = append(t.Delete, store.Span{From: s.From, To: s.To})
	}
	purpose := store.Ledger
	if txn.HasClaims {
		purpose = store.Claim
	}
	committed, revision, err := p.client.Commit(ctx, purpose, t)
	return revision, committed, err
}
