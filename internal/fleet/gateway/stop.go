package gateway

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"
)

const (
	// balancerLag is how long after it turned unready an instance gets new
	// connections: two checks a second apart, and the way.
	balancerLag = 2800 * time.Millisecond
	// exitMargin is kept back from the time to SIGKILL.
	exitMargin = 300 * time.Millisecond
	// stopPoll is how often a stopping instance looks for requests.
	stopPoll = 20 * time.Millisecond
)

// stop turns unready, goes on serving until the balancer has noticed, and then
// finishes what is under way.
func (g *Gateway) stop(front *http.Server) {
	began, end := g.beginStop()
	g.Log.Info("Stopping", zap.Int64("InFlight", g.inFlight.Load()))
	front.SetKeepAlivesEnabled(false)
	for g.Clock.Now().Before(end) {
		if g.inFlight.Load() == 0 && g.Clock.Since(began) >= balancerLag {
			break
		}
		g.Clock.Sleep(stopPoll)
	}
	ctx, cancel := context.WithTimeout(context.Background(), end.Sub(g.Clock.Now()))
	defer cancel()
	if err := front.Shutdown(ctx); err != nil {
		g.Log.Warn("RequestsCutOff", zap.Int64("InFlight", g.inFlight.Load()), zap.Error(err))
	}
}

// beginStop turns the instance unready. It returns when that was and when the
// instance ends.
func (g *Gateway) beginStop() (began, end time.Time) {
	began = g.Clock.Now()
	end = began.Add(g.bounds().GracePeriod - exitMargin)
	refuse := began.Add(balancerLag)
	g.stopsAt.Store(&end)
	g.refusesAt.Store(&refuse)
	g.stopping.Store(true)
	return began, end
}

// MayFinish implements Admission.
func (g *Gateway) MayFinish(deadline time.Time) bool {
	if !g.stopping.Load() {
		return true
	}
	return g.Clock.Now().Before(*g.refusesAt.Load()) || deadline.Before(*g.stopsAt.Load())
}
