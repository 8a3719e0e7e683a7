package gateway

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/kingcupyard/kingcupyard/internal/fleet/follower"
	"github.com/kingcupyard/kingcupyard/internal/fleet/revision"
)

// driving is what an instance knows of its own part in driving the rollouts. It belongs to
// rollouts.run.
type driving struct {
	// missingSince is when this instance first saw that a driver was needed and missing,
	// or last tried to become the driver.
	missingSince time.Time
	// lease keeps this instance the driver, if there is one. It is renewed at
	// renewalAt. entry is the driver's entry that this instance wrote last.
	lease     Lease
	renewalAt time.Time
	entry     follower.Driver
}

const (
	// candidacyDelay is how much longer than the candidate before it an instance waits
	// before it tries to become the driver.
	candidacyDelay = 600 * time.Millisecond
	// driverTTL is how long an instance that crashed stays the driver. It is renewed
	// every driverRenewalInterval, so that two more renewals fit in after one is lost.
	driverTTL             = 8 * time.Second
	driverRenewalInterval = 2500 * time.Millisecond
)

// tryBecomeDriver tries to become the driver when there is none. Candidates wait in an
// order that mixes data centres, so that normally one of them makes the calls, and soon
// also after the loss of a data centre whose instances still count as members.
func (r *rollouts) tryBecomeDriver(ctx context.Context) {
	g := r.gateway
	now := g.Clock.Now()
	if r.driving.missingSince.IsZero() {
		r.driving.missingSince = now
	}
	delay := time.Duration(candidateRank(g.Settings.Instance, g.instanceNames())) * candidacyDelay
	if now.Sub(r.driving.missingSince) < delay || !g.IsReady() {
		return
	}
	r.driving.missingSince = now
	r.takeDrive(ctx, revision.Revision{})
}

// candidateRank returns the position of self among the candidates, from 0.
func candidateRank(self string, names []string) int {
	names = slices.SortedFunc(slices.Values(names), func(a, b string) int {
		return compareByHash(follower.Instance{Name: a}, follower.Instance{Name: b})
	})
	return slices.Index(names, self)
}

// keepDriving renews the lease of the driver, this instance, when that is due. If it has
// none, as after a restart, or it has ended, the entry is written again. keepDriving
// reports whether the entry is as it was.
func (r *rollouts) keepDriving(ctx context.Context, driver follower.Driver) bool {
	g := r.gateway
	now := g.Clock.Now()
	if r.driving.lease != (Lease{}) && r.driving.entry.Revision.Before(driver.Revision) {
		r.adoptEntry(driver)
	}
	if now.Before(r.driving.renewalAt) {
		return true
	}
	r.driving.renewalAt = now.Add(jitter(driverRenewalInterval))
	if r.driving.lease != (Lease{}) {
		alive, err := g.Store.RenewLease(ctx, r.driving.lease)
		if err != nil {
			g.Log.Warn("DriverNotRenewed", zap.Error(err))
		}
		if err != nil || alive {
			return true
		}
		r.driving.lease = Lease{}
	}
	r.takeDrive(ctx, driver.Revision)
	return false
}

// adoptEntry takes over the driver's entry as the store has it now. The lease is that of the
// entry that was written with it: a copy that the store has come back from and that lacks
// this entry lacks the lease too, whose ID another instance may have been given since.
func (r *rollouts) adoptEntry(driver follower.Driver) {
	if r.driving.entry.Revision.Number == driver.Revision.Number {
		r.driving.entry, r.driving.lease.Era = driver, driver.Revision.Era
		return
	}
	r.driving.lease, r.driving.renewalAt = Lease{}, time.Time{}
}

// takeDrive makes this instance the driver under a new lease if the driver's entry is at
// the revision, unknown for none.
func (r *rollouts) takeDrive(ctx context.Context, at revision.Revision) {
	g := r.gateway
	lease, err := g.Store.GrantLease(ctx, max(driverTTL, g.currentSettings().MinLeaseTTL))
	became := false
	if err == nil {
		at, became, err = g.Store.BecomeDriver(ctx, lease, g.Settings.Instance, at)
	}
	g.Log.Info("DriverSought", zap.Bool("Taken", became), zap.Error(err))
	if became {
		r.driving.lease, r.driving.renewalAt = lease, g.Clock.Now().Add(jitter(driverRenewalInterval))
		r.driving.entry = follower.Driver{Instance: g.Settings.Instance, Revision: at}
	}
}
