package gateway

import (
	"context"
	"math"
	"time"

	"go.uber.org/zap"

	"github.com/kingcupyard/kingcupyard/internal/fleet/follower"
	"github.com/kingcupyard/kingcupyard/internal/fleet/revision"
)

// membership announces this instance to the others through an entry in the
// store, which a lease keeps for as long as the instance lives. It belongs to run.
type membership struct {
	gateway *Gateway
	// lease is the current lease, if any, and ttl its time to live.
	lease Lease
	ttl   time.Duration
	// revision is the store's revision of the announcement, announcedAt when it was made.
	revision    revision.Revision
	announcedAt time.Time
}

const (
	// minMembershipTTL is how long an instance of a small fleet that crashed still
	// counts as a member. Limits are divided among the members, and their shares must
	// not change with every short loss of contact.
	minMembershipTTL = 8 * time.Second
	// membershipTTLPerInstance lengthens that time with the fleet, so that the fleet's
	// renewals are no more than those of 32 instances. In larger fleets instances that
	// are gone are found by others, see absences.
	membershipTTLPerInstance = 250 * time.Millisecond
	// renewalsPerTTL lets two more renewals fit into the time to live after one is lost.
	renewalsPerTTL = 3.2
	// renewalRetryShare is the share of the time between renewals after which a failed
	// one is repeated, and renewalRetryGrowth by how much that grows with each further
	// failure: while the store turns many instances away, most of its calls are these.
	renewalRetryShare  = 0.2
	renewalRetryGrowth = 1.5
	// maxTTLGrowth is by how much the time to live that suits the fleet may exceed that
	// of the lease. Another lease costs as many calls as its rarer renewals save in about
	// ttlSettleTime.
	maxTTLGrowth  = 1.5
	ttlSettleTime = time.Minute
	// loadWait is how long an instance waits for the state of the store, from which it
	// knows the size of the fleet, before it announces itself.
	loadWait = 500 * time.Millisecond
)

// membershipTTL returns the time to live of an announcement in a fleet of the given size.
func membershipTTL(instances int) time.Duration {
	return max(minMembershipTTL, time.Duration(instances)*membershipTTLPerInstance)
}

// run keeps this instance announced until the context ends.
func (m *membership) run(ctx context.Context) {
	g := m.gateway
	changed, unsubscribe := g.follower.View.Fleet.Subscribe()
	defer unsubscribe()
	m.awaitLoad(ctx, changed)
	failures := 0
	for ctx.Err() == nil {
		g.protect("Membership", func() {
			err := m.renew(ctx)
			if err == nil {
				failures = 0
			} else if failures++; ctx.Err() == nil {
				g.Log.Warn("MembershipNotRenewed", zap.Int("Failures", failures), zap.Error(err))
			}
		})
		m.await(ctx, changed, g.Clock.After(jitter(renewalInterval(m.ttl, failures))))
	}
}

// renewalInterval returns the time to the next renewal of a lease, after a number of
// failures in a row.
func renewalInterval(ttl time.Duration, failures int) time.Duration {
	interval := float64(max(ttl, minMembershipTTL)) / renewalsPerTTL
	if failures == 0 {
		return time.Duration(interval)
	}
	return time.Duration(interval * min(1, renewalRetryShare*math.Pow(renewalRetryGrowth, float64(failures-1))))
}

// awaitLoad waits until the state of the store is known, or loadWait has passed.
func (m *membership) awaitLoad(ctx context.Context, changed <-chan struct{}) {
	timeout := m.gateway.Clock.After(loadWait)
	for !m.gateway.follower.Revision().IsKnown() {
		select {
		case <-ctx.Done():
			return
		case <-timeout:
			return
		case <-changed:
		}
	}
}

// await waits until the next renewal is due or the announcement was removed.
func (m *membership) await(ctx context.Context, changed <-chan struct{}, due <-chan time.Time) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-due:
			return
		case <-changed:
			if m.isRemoved() {
				return
			}
		}
	}
}

// isRemoved reports whether the announcement was removed although its lease may not have
// ended: another instance took this one for gone.
func (m *membership) isRemoved() bool {
	g := m.gateway
	_, announced := g.fleet().Instances[g.Settings.Instance]
	return m.lease != (Lease{}) && !announced && !g.follower.Revision().Before(m.revision)
}

// renew renews the lease, and announces the instance again if the announcement was
// removed. If there is no lease, or it has expired, or it has been much too short for the
// fleet for a while, renew grants a new one and announces the instance.
func (m *membership) renew(ctx context.Context) error {
	g := m.gateway
	m.adoptAnnouncement()
	ttl := max(membershipTTL(len(g.fleet().Instances)), g.currentSettings().MinLeaseTTL)
	tooShort := float64(ttl) >= maxTTLGrowth*float64(m.ttl) && g.Clock.Since(m.announcedAt) >= ttlSettleTime
	if m.lease != (Lease{}) && !tooShort {
		alive, err := g.Store.RenewLease(ctx, m.lease)
		if err != nil {
			return err
		}
		if alive && !m.isRemoved() {
			return nil
		}
		g.Log.Info("MembershipLapsed", zap.Int64("Lease", m.lease.ID), zap.Bool("Removed", alive))
		if alive {
			return m.announce(ctx, m.lease, m.ttl)
		}
		m.lease = Lease{}
	}
	lease, err := g.Store.GrantLease(ctx, ttl)
	if err != nil {
		return err
	}
	return m.announce(ctx, lease, ttl)
}

// adoptAnnouncement takes over the announcement as the store has it in a new era. The lease
// is that of the announcement that was made with it: a copy that the store has come back from
// and that lacks this announcement lacks the lease too, whose ID another instance may have been
// given since.
func (m *membership) adoptAnnouncement() {
	g := m.gateway
	if m.lease == (Lease{}) || g.follower.Revision().Era <= m.revision.Era {
		return
	}
	if i := g.fleet().Instances[g.Settings.Instance]; i.Revision.Number == m.revision.Number {
		m.revision, m.lease.Era = i.Revision, i.Revision.Era
		return
	}
	g.Log.Info("MembershipLost", zap.Int64("Lease", m.lease.ID), zap.Stringer("Revision", m.revision))
	m.lease = Lease{}
}

// announce announces the instance until a lease ends.
func (m *membership) announce(ctx context.Context, lease Lease, ttl time.Duration) error {
	g := m.gateway
	at, err := g.Store.Register(ctx, lease, follower.Instance{
		Name: g.Settings.Instance, DataCentre: g.Settings.DataCentre, PeerAddress: g.Settings.PeerAddress, TTL: ttl, StatesEra: true,
	})
	if err != nil {
		return err
	}
	m.lease, m.ttl, m.revision, m.announcedAt = lease, ttl, at, g.Clock.Now()
	return nil
}
