package store

import (
	"context"
	"time"
)

// Lease is a grant that lapses unless it is kept alive.
type Lease struct {
	ID int64
	// Until is when the lease may lapse, on this instance's clock, counted
	// from before the service was asked.
	Until time.Time
}

// GrantLease asks for a lease of about this length; the service counts whole
// seconds.
func (c *Client) GrantLease(ctx context.Context, p Purpose, ttl time.Duration) (Lease, error) {
	asked := c.clock.Now()
	req := leaseGrantRequest{TTL: max(1, int64(ttl/time.Second))}
	var resp leaseGrantResponse
	if err := c.call(ctx, write, p, "/v3/lease/grant", req, &resp); err != nil {
		return Lease{}, err
	}
	return Lease{ID: resp.ID, Until: asked.Add(time.Duration(resp.TTL) * time.Second)}, nil
}

// KeepAlive extends a lease. When alive is false the lease has lapsed.
func (c *Client) KeepAlive(ctx context.Context, p Purpose, id int64) (lease Lease, alive bool, err error) {
	asked := c.clock.Now()
	var resp keepAliveResponse
	if err := c.call(ctx, write, p, "/v3/lease/keepalive", leaseRequest{ID: id}, &resp); err != nil {
		return Lease{}, false, err
	}
	if resp.Result.TTL <= 0 {
		return Lease{}, false, nil
	}
	return Lease{ID: id, Until: asked.Add(time.Duration(resp.Result.TTL) * time.Second)}, true, nil
}

// Revoke ends a lease and deletes its keys.
func (c *Client) Revoke(ctx context.Context, p Purpose, id int64) error {
	var resp struct{}
	return c.call(ctx, write, p, "/v3/lease/revoke", leaseRequest{ID: id}, &resp)
}
