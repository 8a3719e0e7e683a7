package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/kingcupyard/kingcupyard/internal/fleet/follower"
)

// membership announces this instance to the others through an entry in the
// store, which a lease keeps for as long as the instance lives.
type membership struct {
	gateway *Gateway
	lease   atomic.Int64
}

// leaseID returns the current lease, or 0 if there is none.
func (m *membership) leaseID() int64 { return m.lease.Load() }

const (
	// membershipTTL is how long an instance that crashed still counts as a
	// member. Limits are divided among the members, and their shares must not
	// change with every short loss of contact.
	membershipTTL = 8 * time.Second
	// renewInterval is short enough that two more renewals fit into
	// membershipTTL after one is lost.
	renewInterval = 2500 * time.Millisecond
	// leaveTimeout bounds the call that ends the lease of a stopping instance.
	leaveTimeout = 300 * time.Millisecond
)

// run keeps this instance announced until the context ends.
func (m *membership) run(ctx context.Context) {
	g := m.gateway
	for ctx.Err() == nil {
		interval := renewInterval
		if err := m.renew(ctx); err != nil && ctx.Err() == nil {
			g.Log.Warn("MembershipNotRenewed", zap.Error(err))
			interval = renewInterval / 5
		}
		select {
		case <-ctx.Done():
		case <-g.Clock.After(jitter(interval)):
		}
	}
}

// renew renews the lease. If there is none, or it has expired, renew grants a
// new one and announces the instance.
func (m *membership) renew(ctx context.Context) error {
	g := m.gateway
	if lease := m.leaseID(); lease != 0 {
		alive, err := g.Store.RenewLease(ctx, lease)
		if err != nil || alive {
			return err
		}
		g.Log.Info("MembershipLapsed", zap.Int64("Lease", lease))
		m.lease.Store(0)
	}
	lease, err := g.Store.GrantLease(ctx, max(membershipTTL, g.currentSettings().MinLeaseTTL))
	if err != nil {
		return err
	}
	err = g.Store.Register(ctx, lease, follower.Instance{
		Name: g.Settings.Instance, DataCentre: g.Settings.DataCentre, PeerAddress: g.Settings.PeerAddress,
	})
	if err != nil {
		return err
	}
	m.lease.Store(lease)
	return nil
}

// leave ends the lease, so that the other instances learn of the stop at once.
// It is called after run's context has ended. If the call fails, the lease
// expires by itself.
func (m *membership) leave() {
	lease := m.leaseID()
	if lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := m.gateway.Store.RevokeLease(ctx, lease); err != nil {
		m.gateway.Log.Warn("MembershipNotEnded", zap.Error(err))
	}
}
