package store

import "context"

// Condition asks that a key was last changed at a revision; 0 means that the
// key does not exist.
type Condition struct {
	Key      string
	Revision int64
}

// Put writes one key in a transaction.
type Put struct {
	Key   string
	Value []byte
}

// Span is the keys from From, inclusive, to To, exclusive.
type Span struct {
	From string
	To   string
}

// Txn changes several keys at once, if all conditions hold.
type Txn struct {
	If     []Condition
	Put    []Put
	Delete []Span
}

// RangeSpan reads up to limit keys of a span, in order of key.
func (c *Client) RangeSpan(ctx context.Context, p Purpose, s Span, limit int) ([]Entry, error) {
	return c.list(ctx, p, rangeRequest{Key: []byte(s.From), RangeEnd: []byte(s.To), Limit: int64(limit)})
}

// Commit applies the transaction if its conditions hold, and returns the
// revision of the change.
func (c *Client) Commit(ctx context.Context, p Purpose, t Txn) (committed bool, rev int64, err error) {
	req := txnRequest{Compare: []compare{}, Success: []requestOp{}, Failure: []requestOp{}}
	for _, cond := range t.If {
		req.Compare = append(req.Compare, compare{Key: []byte(cond.Key), Target: "MOD", Result: "EQUAL", ModRevision: cond.Revision})
	}
	for _, put := range t.Put {
		req.Success = append(req.Success, requestOp{Put: &putRequest{Key: []byte(put.Key), Value: put.Value}})
	}
	for _, s := range t.Delete {
		req.Success = append(req.Success, requestOp{Delete: &deleteRequest{Key: []byte(s.From), RangeEnd: []byte(s.To)}})
	}
	var resp txnResponse
	if err := c.call(ctx, write, p, "/v3/kv/txn", req, &resp); err != nil {
		return false, 0, err
	}
	return resp.Succeeded, resp.Header.Revision, nil
}
