package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/kingcupyard/kingcupyard/internal/fleet/follower"
)

// membership announces this instance to the others, through the store, for as
// long as it lives.
type membership struct {
	gateway *Gateway
	lease   atomic.Int64
}

// current returns the lease, 0 if there is none.
func (m *membership) current() int64 { return m.lease.Load() }

const (
	// memberTTL is how long an instance that stopped without a word counts as
	// a member. Shares of limits that are dealt out among members must not
	// move with every short loss of contact.
	memberTTL = 8 * time.Second
	// keepEvery leaves two renewals for a lost call.
	keepEvery = 2500 * time.Millisecond
	// leaveTimeout bounds the last call of a stopping instance.
	leaveTimeout = 300 * time.Millisecond
)

func (m *membership) run(ctx context.Context) {
	g := m.gateway
	for ctx.Err() == nil {
		pause := keepEvery
		if err := m.renew(ctx); err != nil && ctx.Err() == nil {
			g.Log.Warn("MembershipNotRenewed", zap.Error(err))
			pause = keepEvery / 5
		}
		select {
		case <-ctx.Done():
		case <-g.Clock.After(jitter(pause)):
		}
	}
}

// renew keeps the lease, or opens a new one and announces the instance.
func (m *membership) renew(ctx context.Context) error {
	g := m.gateway
	if lease := m.current(); lease != 0 {
		alive, err := g.Store.RenewLease(ctx, lease)
		if err != nil || alive {
			return err
		}
		g.Log.Info("MembershipLapsed", zap.Int64("Lease", lease))
		m.lease.Store(0)
	}
	lease, err := g.Store.GrantLease(ctx, max(memberTTL, g.bounds().MinLeaseTTL))
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

// leave ends the lease, so that the others learn at once. It is called after
// run has been told to end; a lease that can't be ended runs out.
func (m *membership) leave() {
	lease := m.current()
	if lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := m.gateway.Store.RevokeLease(ctx, lease); err != nil {
		m.gateway.Log.Warn("MembershipNotEnded", zap.Error(err))
	}
}
