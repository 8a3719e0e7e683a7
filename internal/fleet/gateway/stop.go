package gateway

import (
	"context"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/kingcupyard/kingcupyard/internal/relay/pipeline"
)

const (
	// loadBalancerLag is how long an instance still gets new connections after it
	// has become unready: two checks a second apart, and the network delay.
	loadBalancerLag = 2800 * time.Millisecond
	// exitMargin is reserved before SIGKILL for the last steps of the shutdown, and
	// lastCallTimeout bounds the last calls to the store, which are made side by side.
	exitMargin      = 300 * time.Millisecond
	lastCallTimeout = 200 * time.Millisecond
	// answerMargin is reserved before that for the answers to the calls that are still in
	// flight: these are told that they were given up, instead of being cut off.
	answerMargin = 200 * time.Millisecond
	// stopPollInterval is the time between a stopping instance's checks for
	// requests in flight.
	stopPollInterval = 20 * time.Millisecond
)

// stop makes the instance unready, keeps serving until the load balancer has
// noticed, and then waits for the requests in flight until the grace period is
// nearly over. Those that are left then get an answer that says whether they may have
// run; only streams that have begun are cut off.
func (g *Gateway) stop(server *http.Server) {
	startedAt, giveUpAt := g.beginStop()
	g.Log.Info("Stopping", zap.Int64("InFlight", g.inFlight.Load()))
	server.SetKeepAlivesEnabled(false)
	for g.Clock.Now().Before(giveUpAt) {
		if g.inFlight.Load() == 0 && g.Clock.Since(startedAt) >= loadBalancerLag {
			break
		}
		g.Clock.Sleep(stopPollInterval)
	}
	if inFlight := g.inFlight.Load(); inFlight > 0 {
		g.Log.Warn("RequestsGivenUp", zap.Int64("InFlight", inFlight))
	}
	g.giveUpCalls(pipeline.ErrStopping)
	ctx, cancel := context.WithTimeout(context.Background(), giveUpAt.Add(answerMargin).Sub(g.Clock.Now()))
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		g.Log.Warn("RequestsCutOff", zap.Int64("InFlight", g.inFlight.Load()), zap.Error(err))
	}
}

// beginStop makes the instance unready. It returns when that was and when the calls that
// are still in flight are given up.
func (g *Gateway) beginStop() (startedAt, giveUpAt time.Time) {
	startedAt = g.Clock.Now()
	giveUpAt = startedAt.Add(g.currentSettings().GracePeriod - exitMargin - answerMargin)
	refuseFrom := startedAt.Add(loadBalancerLag)
	g.giveUpAt.Store(&giveUpAt)
	g.refuseFrom.Store(&refuseFrom)
	g.stopping.Store(true)
	return startedAt, giveUpAt
}

// takeLeave makes the last calls to the store: it ends this instance's leases, so that the
// others learn of the stop at once, and writes its tally. It is called once the background
// tasks have returned.
func (g *Gateway) takeLeave() {
	ctx, cancel := context.WithTimeout(context.Background(), lastCallTimeout)
	defer cancel()
	var group sync.WaitGroup
	g.membership.adoptAnnouncement()
	for _, lease := range []Lease{g.membership.lease, g.rollouts.driving.lease} {
		if lease != (Lease{}) {
			group.Go(func() { g.endLease(ctx, lease) })
		}
	}
	group.Go(func() { g.billing.flush(ctx) })
	group.Wait()
}

// endLease ends a lease. If the call fails, the lease expires by itself.
func (g *Gateway) endLease(ctx context.Context, lease Lease) {
	if err := g.Store.RevokeLease(ctx, lease); err != nil {
		g.Log.Warn("MembershipNotEnded", zap.Int64("Lease", lease.ID), zap.Error(err))
	}
}

// MayFinish implements Admission.
func (g *Gateway) MayFinish(deadline time.Time) bool {
	if !g.stopping.Load() {
		return true
	}
	return g.Clock.Now().Before(*g.refuseFrom.Load()) || deadline.Before(*g.giveUpAt.Load())
}
