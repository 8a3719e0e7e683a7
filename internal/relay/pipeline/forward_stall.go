package pipeline

import (
	"context"
	"sync/atomic"

	"github.com/kingcupyard/kingcupyard/internal/relay/attempt"
	"github.com/kingcupyard/kingcupyard/internal/routing/dispatch"
)

// reachableWaitFactor is how many times the wait elsewhere a server that can be reached
// must have been silent before an attempt there is given up.
const reachableWaitFactor = 2

// stallPolicy decides whether an attempt whose server is silent is given up for
// another one. It runs on a timer's goroutine, which may outlast the attempt,
// and so holds what it needs of the forwardFlight as it was at the attempt's start.
type stallPolicy struct {
	*Forwarder
	call    *ForwardRequest
	service string
	// elsewhereRequest asks for any other server.
	elsewhereRequest PlacementRequest
	address          string
	// lastAttempt says that no other attempt may follow this one.
	lastAttempt bool
	// retryPrepaid is set once the next attempt's repeat is taken.
	retryPrepaid *atomic.Bool
}

func (p *forwardExecution) newStallPolicy(w *dispatch.Assignment) *stallPolicy {
	elsewhere := p.placementRequest(p.model, p.sizeRank)
	elsewhere.ExcludeServers = append([]string{w.Server.ID}, elsewhere.ExcludeServers...)
	return &stallPolicy{
		Forwarder: p.Forwarder, call: p.call, service: p.service, elsewhereRequest: elsewhere, address: w.Server.Address,
		lastAttempt: p.isLastAttempt(), retryPrepaid: &p.retryPrepaid,
	}
}

// confirmTimeout gives a silent attempt up only if another one may start at once:
// the attempt under way may yet answer.
func (p *stallPolicy) confirmTimeout(ctx context.Context, silence attempt.Stall) bool {
	if p.lastAttempt || !p.fleet.IsConfirmed() || p.checkRoutingTable(p.call, p.service) != nil || !p.shouldRestartElsewhere(ctx, silence) {
		return false
	}
	if !p.fleet.TryRetry(p.service, true) {
		return false
	}
	p.retryPrepaid.Store(true)
	return true
}

// shouldRestartElsewhere reports whether a silent attempt would better start anew elsewhere. A
// server that reads long prompts is silent towards all its callers, and a new
// attempt would make another server read them too; so a server that can be
// reached gets more time, unless the wait elsewhere is short against it.
func (p *stallPolicy) shouldRestartElsewhere(ctx context.Context, silence attempt.Stall) bool {
	forecast, err := p.fleet.Predict(p.elsewhereRequest)
	if err != nil {
		return false
	}
	return silence.Elapsed > silence.Limit*3/2 && reachableWaitFactor*forecast.Wait < silence.Elapsed || !p.client.Reachable(ctx, p.address, connectTimeout)
}
