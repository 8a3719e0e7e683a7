package capacity

import (
	"errors"
	"maps"
	"sync"
	"time"

	"github.com/kingcupyard/kingcupyard/internal/fleet/keeper"
)

// Granter is the keeper's side of the credit protocol. For each server that
// this instance keeps, it hands out rights to start work there, so that the sum
// over all instances, including work that may already be running, stays within
// the server's limit.
type Granter struct {
	settings Settings
	terms    *keeper.Terms

	mu      sync.Mutex
	servers map[string]*allocations
}

// NewGranter returns a Granter that grants credits only while terms says that
// this instance is the keeper of a server.
func NewGranter(terms *keeper.Terms, settings Settings) *Granter {
	return &Granter{settings: settings, terms: terms, servers: map[string]*allocations{}}
}

// ServerState is what the keeper knows of one backend server.
type ServerState struct {
	Server string
	Warmup WarmupState
	// Concurrency and ColdConcurrency are the numbers of requests that the
	// server runs at the same time when warm and in cold start.
	Concurrency     int
	ColdConcurrency int
	Ramp            time.Duration
}

// Update records the state of a server. Call it at each tick for every server
// that this instance keeps, so that a term begins, and with it the waiting time
// of a new keeper, before the first request for credits arrives.
func (g *Granter) Update(state ServerState, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	term, err := g.terms.Term(state.Server, now)
	var notKeeper *keeper.NotKeeperError
	if errors.As(err, &notKeeper) && notKeeper.Reason != keeper.ReasonWaiting {
		delete(g.servers, state.Server)
		return
	}
	a := g.servers[state.Server]
	if a == nil {
		a = newAllocations()
		g.servers[state.Server] = a
	}
	if start := later(term.StartedAt, state.Warmup.TurnedColdAt); start.After(a.resetAt) {
		a.reset(start, later(term.GrantsFrom, state.Warmup.TurnedColdAt.Add(g.settings.QuietPeriod())), state.ColdConcurrency)
	}
	a.epoch, a.cold, a.reportExpiry = term.Epoch, state.Warmup.Report.Cold, state.Warmup.WarmUntil
	a.adjustLimit(state, now)
	if r := &state.Warmup.Report; !r.ReceivedAt.IsZero() {
		a.recordReport(r.Running+r.Waiting, r.ReportedAt, now, g.settings)
	}
}

// Forget drops the state of servers that are unknown or that this instance no
// longer keeps.
func (g *Granter) Forget(known func(server string) bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	maps.DeleteFunc(g.servers, func(server string, _ *allocations) bool { return !known(server) || !g.terms.IsKeeper(server) })
	g.terms.Prune(known)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Grant answers a member's request for credits. The member's statement of its
// work in use is recorded even if nothing can be granted.
func (g *Granter) Grant(req CreditRequest, now time.Time) CreditResponse {
	g.mu.Lock()
	defer g.mu.Unlock()
	h := holder{req.Member, req.Generation}
	var resp CreditResponse
	for _, ask := range req.Asks {
		granted := g.grant(h, req.Sequence, ask, now)
		if granted.Refusal != "" {
			counters.Add("Grant"+string(granted.Refusal), 1)
		}
		resp.Grants = append(resp.Grants, granted)
	}
	return resp
}

func (g *Granter) grant(h holder, sequence uint64, ask CreditAsk, now time.Time) CreditGrant {
	refuse := func(reason GrantRefusal) CreditGrant {
		return CreditGrant{Server: ask.Server, Epoch: ask.Epoch, Refusal: reason}
	}
	term, err := g.terms.Term(ask.Server, now)
	a := g.servers[ask.Server]
	var notKeeper *keeper.NotKeeperError
	if errors.As(err, &notKeeper) && notKeeper.Reason != keeper.ReasonWaiting || a == nil || a.epoch != term.Epoch {
		return refuse(GrantNotKeeper)
	}
	if !a.recordAsk(h, sequence, ask, now, g.settings) {
		return refuse(GrantOutOfOrder)
	}
	g.terms.RaiseEpoch(ask.Server, ask.Epoch)
	if term.Epoch < ask.Epoch {
		term.Epoch = ask.Epoch + 1
		a.epoch = term.Epoch
	}
	if err != nil || now.Before(a.settledAt) {
		return refuse(GrantQuiet)
	}
	if !now.Before(a.reportExpiry) || ask.Cold && !a.cold {
		return refuse(GrantKeeperBehind)
	}
	untracked := a.maxUntracked(now, g.settings)
	if untracked == unknownLoad {
		return refuse(GrantUnknownLoad)
	}
	limit := int(a.limit)
	free := limit - untracked - a.heldByOthers(h)
	count := max(0, min(ask.Wanted, free, a.fairShare(limit, now, g.settings.Timing.CreditTTL)))
	result := CreditGrant{Server: ask.Server, Count: count, Epoch: term.Epoch, Valid: g.settings.Timing.CreditTTL}
	if count < ask.Wanted {
		result.Refusal = GrantFull
	}
	if count > 0 {
		a.recordGrant(h, count, now.Add(g.settings.Timing.CreditTTL+g.settings.Timing.ClockMargin))
	}
	return result
}

// The limit of a warming server is raised at most once per rampStep, by the
// factor rampGrowth, as long as no request waits at the server.
const (
	rampStep   = time.Second
	rampGrowth = 1.25
)

// adjustLimit raises the limit of a server that has left cold start towards its
// full concurrency, no faster than the ramp. The limit holds while the server
// reports waiting requests, and falls back to the cold concurrency when the
// server turns cold.
func (a *allocations) adjustLimit(state ServerState, now time.Time) {
	if state.Warmup.Phase == Cold {
		a.limit = float64(state.ColdConcurrency)
		a.limitRaisedAt = now
		return
	}
	ceiling := float64(state.Concurrency)
	if state.Ramp > 0 && state.Warmup.Phase == Ramping {
		progress := now.Sub(state.Warmup.LastColdAt).Seconds() / state.Ramp.Seconds()
		ceiling = float64(state.ColdConcurrency) + progress*float64(state.Concurrency-state.ColdConcurrency)
	}
	if now.Sub(a.limitRaisedAt) < rampStep {
		return
	}
	a.limitRaisedAt = now
	if state.Warmup.Report.Waiting == 0 {
		a.limit = min(ceiling, a.limit*rampGrowth)
	}
	a.limit = max(a.limit, float64(state.ColdConcurrency))
}
