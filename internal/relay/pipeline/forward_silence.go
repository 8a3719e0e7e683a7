package pipeline

import (
	"context"
	"sync/atomic"

	"github.com/kingcupyard/kingcupyard/internal/relay/attempt"
	"github.com/kingcupyard/kingcupyard/internal/routing/dispatch"
)

// lostFactor is how many times the wait elsewhere a server that can be reached
// must have been silent before an attempt there is given up.
const lostFactor = 2

// silencePolicy decides whether an attempt whose server is silent is given up for
// another one. It runs on a timer's goroutine, which may outlast the attempt,
// and so holds what it needs of the forwardFlight as it was at the attempt's start.
type silencePolicy struct {
	*Forwarder
	call    *ForwardRequest
	service string
	// elsewhere asks for any other server.
	elsewhere PlacementRequest
	address   string
	// final says that no other attempt may follow this one.
	final bool
	// prepaid is set once the next attempt's repeat is taken.
	prepaid *atomic.Bool
}

func (p *forwardFlight) newSilencePolicy(w *dispatch.Assignment) *silencePolicy {
	elsewhere := p.ask(p.model, p.size)
	elsewhere.ExcludeServers = append([]string{w.Server.ID}, elsewhere.ExcludeServers...)
	return &silencePolicy{
		Forwarder: p.Forwarder, call: p.call, service: p.service, elsewhere: elsewhere, address: w.Server.Address,
		final: p.isLast(), prepaid: &p.prepaid,
	}
}

// mayAbandon gives a silent attempt up only if another one may start at once:
// the attempt under way may yet answer.
func (p *silencePolicy) mayAbandon(ctx context.Context, silence attempt.Stall) bool {
	if p.final || !p.fleet.IsConfirmed() || p.checkTable(p.call, p.service) != nil || !p.isLost(ctx, silence) {
		return false
	}
	if !p.fleet.TryRetry(p.service, true) {
		return false
	}
	p.prepaid.Store(true)
	return true
}

// isLost reports whether a silent attempt would better start anew elsewhere. A
// server that reads long prompts is silent towards all its callers, and a new
// attempt would make another server read them too; so a server that can be
// reached gets more time, unless the wait elsewhere is short against it.
func (p *silencePolicy) isLost(ctx context.Context, silence attempt.Stall) bool {
	forecast, err := p.fleet.Predict(p.elsewhere)
	if err != nil {
		return false
	}
	return silence.Elapsed > silence.Limit*3/2 && lostFactor*forecast.Wait < silence.Elapsed || !p.carrier.Reachable(ctx, p.address, connectLimit)
}
