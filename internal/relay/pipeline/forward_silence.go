package pipeline

import (
	"context"
	"sync/atomic"

	"github.com/kingcupyard/kingcupyard/internal/relay/attempt"
	"github.com/kingcupyard/kingcupyard/internal/routing/dispatch"
)

// reachableWaitFactor is how many times the predicted wait at another server a
// reachable server must have been silent before an attempt there is abandoned.
const reachableWaitFactor = 2

// stallPolicy decides whether an attempt whose server is silent is abandoned for
// another one. It runs on a timer's goroutine, which may outlast the attempt, so it
// holds copies of what it needs of the forwardExecution from the start of the
// attempt.
type stallPolicy struct {
	*Forwarder
	call    *ForwardRequest
	service string
	// elsewhereRequest is the placement request for any other server.
	elsewhereRequest PlacementRequest
	address          string
	// lastAttempt is set if no further attempt may follow this one.
	lastAttempt bool
	// retryReserved is set once the retry for the next attempt is taken out of the
	// budget.
	retryReserved *atomic.Bool
}

func (ex *forwardExecution) newStallPolicy(assigned *dispatch.Assignment) *stallPolicy {
	elsewhere := ex.placementRequest(ex.model, ex.sizeRank)
	elsewhere.ExcludeServers = append([]string{assigned.Server.ID}, elsewhere.ExcludeServers...)
	return &stallPolicy{
		Forwarder: ex.Forwarder, call: ex.call, service: ex.service, elsewhereRequest: elsewhere, address: assigned.Server.Address,
		lastAttempt: ex.isLastAttempt(), retryReserved: &ex.retryReserved,
	}
}

// confirmTimeout reports whether a stalled attempt is abandoned. It is only if
// another attempt may start at once, since the stalled one may still answer.
func (p *stallPolicy) confirmTimeout(ctx context.Context, stall attempt.Stall) bool {
	if p.lastAttempt || !p.fleet.IsConfirmed() || p.checkRoutingTable(p.call, p.service) != nil || !p.shouldRestartElsewhere(ctx, stall) {
		return false
	}
	if !p.fleet.TryRetry(p.service, true) {
		return false
	}
	p.retryReserved.Store(true)
	return true
}

// shouldRestartElsewhere reports whether a stalled attempt should be restarted at
// another server. A server that prefills long prompts is silent to all its callers,
// and a new attempt would make another server prefill them too. So a reachable
// server gets more time, unless the predicted wait elsewhere is short in
// comparison.
func (p *stallPolicy) shouldRestartElsewhere(ctx context.Context, stall attempt.Stall) bool {
	prediction, err := p.fleet.Predict(p.elsewhereRequest)
	if err != nil {
		return false
	}
	return stall.Elapsed > stall.Limit*3/2 && reachableWaitFactor*prediction.Wait < stall.Elapsed || !p.client.Reachable(ctx, p.address, connectTimeout)
}
