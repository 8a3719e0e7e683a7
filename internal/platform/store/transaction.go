package store

import "context"

// Condition asks that a key was last changed at a revision; 0 means that the
// key does not exist.
type Condition struct {
	Key         string
	ModRevision int64
}

// Span is the keys from From, inclusive, to To, exclusive.
type Span struct{ From, To string }

// Transaction changes several keys at once, if all conditions hold.
type Transaction struct {
	If     []Condition
	Put    []Entry
	Delete []Span
}

// Commit applies a transaction. It returns the revision of the change, or
// false if a condition did not hold.
func (c *Client) Commit(ctx context.Context, p Purpose, t Transaction) (committed bool, rev int64, err error) {
	var req txnRequest
	for _, cond := range t.If {
		req.Compare = append(req.Compare, compare{
			Key: []byte(cond.Key), Target: "MOD", Result: "EQUAL", ModRevision: cond.ModRevision,
		})
	}
	for _, e := range t.Put {
		req.Success = append(req.Success, requestOp{Put: &putRequest{Key: []byte(e.Key), Value: e.Value, Lease: e.Lease}})
	}
	for _, s := range t.Delete {
		req.Success = append(req.Success, requestOp{Delete: &deleteRequest{Key: []byte(s.From), RangeEnd: []byte(s.To)}})
	}
	var resp txnResponse
	if err := c.call(ctx, write, p, "/v3/kv/txn", req, &resp); err != nil {
		return false, 0, err
	}
	if !resp.Succeeded {
		return false, 0, nil
	}
	return true, resp.Header.Revision, nil
}

// RangeSpan returns up to limit entries of a span in the order of their keys.
func (c *Client) RangeSpan(ctx context.Context, p Purpose, s Span, limit int) ([]Entry, error) {
	return c.list(ctx, p, rangeRequest{Key: []byte(s.From), RangeEnd: []byte(s.To), Limit: int64(limit)})
}
