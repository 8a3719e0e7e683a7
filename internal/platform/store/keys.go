package store

import "context"

// Entry is one key with its value and the revision that last changed it.
type Entry struct {
	Key         string
	Value       []byte
	ModRevision int64
	Lease       int64
}

// Get reads one key.
func (c *Client) Get(ctx context.Context, p Purpose, key string) (value []byte, modRevision int64, found bool, err error) {
	entries, err := c.list(ctx, p, rangeRequest{Key: []byte(key)})
	if err != nil || len(entries) == 0 {
		return nil, 0, false, err
	}
	return entries[0].Value, entries[0].ModRevision, true, nil
}

// Revision reads only the revision that last changed a key, 0 if it is absent.
func (c *Client) Revision(ctx context.Context, p Purpose, key string) (int64, error) {
	entries, err := c.list(ctx, p, rangeRequest{Key: []byte(key), KeysOnly: true})
	if err != nil || len(entries) == 0 {
		return 0, err
	}
	return entries[0].ModRevision, nil
}

// Range reads all keys with the prefix, in order of key.
func (c *Client) Range(ctx context.Context, p Purpose, prefix string) ([]Entry, error) {
	return c.list(ctx, p, rangeRequest{Key: []byte(prefix), RangeEnd: prefixEnd(prefix)})
}

func (c *Client) list(ctx context.Context, p Purpose, req rangeRequest) ([]Entry, error) {
	var resp rangeResponse
	if err := c.call(ctx, read, p, "/v3/kv/range", req, &resp); err != nil {
		return nil, err
	}
	entries := make([]Entry, len(resp.KVs))
	for i, kv := range resp.KVs {
		entries[i] = Entry{Key: string(kv.Key), Value: kv.Value, ModRevision: kv.ModRevision, Lease: kv.Lease}
	}
	return entries, nil
}

// Create writes a key that must not exist. When it exists, created is false
// and rev is the revision that last changed it.
func (c *Client) Create(ctx context.Context, p Purpose, key string, value []byte) (created bool, rev int64, err error) {
	return c.put(ctx, p, 0, putRequest{Key: []byte(key), Value: value})
}

// CreateWithLease is Create of a key that goes away with the lease.
func (c *Client) CreateWithLease(ctx context.Context, p Purpose, key string, value []byte, lease int64) (created bool, rev int64, err error) {
	return c.put(ctx, p, 0, putRequest{Key: []byte(key), Value: value, Lease: lease})
}

// CompareAndSwap writes a key that must still be at the expected revision.
// When it is not, swapped is false and rev is the revision that it is at.
func (c *Client) CompareAndSwap(ctx context.Context, p Purpose, key string, expected int64, value []byte) (swapped bool, rev int64, err error) {
	return c.put(ctx, p, expected, putRequest{Key: []byte(key), Value: value})
}

func (c *Client) put(ctx context.Context, p Purpose, expected int64, put putRequest) (bool, int64, error) {
	req := txnRequest{
		Compare: []compare{{Key: put.Key, Target: "MOD", Result: "EQUAL", ModRevision: expected}},
		Success: []requestOp{{Put: &put}},
		Failure: []requestOp{{Range: &rangeRequest{Key: put.Key, KeysOnly: true}}},
	}
	var resp txnResponse
	if err := c.call(ctx, write, p, "/v3/kv/txn", req, &resp); err != nil {
		return false, 0, err
	}
	if resp.Succeeded {
		return true, resp.Header.Revision, nil
	}
	if len(resp.Responses) > 0 && resp.Responses[0].Range != nil && len(resp.Responses[0].Range.KVs) > 0 {
		return false, resp.Responses[0].Range.KVs[0].ModRevision, nil
	}
	return false, 0, nil
}

// Delete removes a key and reports whether it existed.
func (c *Client) Delete(ctx context.Context, p Purpose, key string) (bool, error) {
	var resp deleteResponse
	err := c.call(ctx, write, p, "/v3/kv/deleterange", deleteRequest{Key: []byte(key)}, &resp)
	return resp.Deleted > 0, err
}

// prefixEnd returns the first key after all keys with the prefix.
func prefixEnd(prefix string) []byte {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0}
}
