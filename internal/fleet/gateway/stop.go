package gateway

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"
)

const (
	// loadBalancerLag is how long an instance still gets new connections after it
	// has become unready: two checks a second apart, and the network delay.
	loadBalancerLag = 2800 * time.Millisecond
	// exitMargin is reserved before SIGKILL for the last steps of the shutdown.
	exitMargin = 300 * time.Millisecond
	// stopPollInterval is the time between a stopping instance's checks for
	// requests in flight.
	stopPollInterval = 20 * time.Millisecond
)

// stop makes the instance unready, keeps serving until the load balancer has
// noticed, and then waits for the requests in flight until the grace period is
// nearly over.
func (g *Gateway) stop(server *http.Server) {
	startedAt, end := g.beginStop()
	g.Log.Info("Stopping", zap.Int64("InFlight", g.inFlight.Load()))
	server.SetKeepAlivesEnabled(false)
	for g.Clock.Now().Before(end) {
		if g.inFlight.Load() == 0 && g.Clock.Since(startedAt) >= loadBalancerLag {
			break
		}
		g.Clock.Sleep(stopPollInterval)
	}
	ctx, cancel := context.WithTimeout(context.Background(), end.Sub(g.Clock.Now()))
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		g.Log.Warn("RequestsCutOff", zap.Int64("InFlight", g.inFlight.Load()), zap.Error(err))
	}
}

// beginStop makes the instance unready. It returns when that was and when the
// instance exits.
func (g *Gateway) beginStop() (startedAt, end time.Time) {
	startedAt = g.Clock.Now()
	end = startedAt.Add(g.currentSettings().GracePeriod - exitMargin)
	refuseFrom := startedAt.Add(loadBalancerLag)
	g.exitAt.Store(&end)
	g.refuseFrom.Store(&refuseFrom)
	g.stopping.Store(true)
	return startedAt, end
}

// MayFinish implements Admission.
func (g *Gateway) MayFinish(deadline time.Time) bool {
	if !g.stopping.Load() {
		return true
	}
	return g.Clock.Now().Before(*g.refuseFrom.Load()) || deadline.Before(*g.exitAt.Load())
}
