package capacity

import (
	"errors"
	"maps"
	"sync"
	"time"

	"github.com/kingcupyard/kingcupyard/internal/fleet/keeper"
)

// Granter is the keeper's side of credits. It hands out no more than a server
// bears, less all work that may run there already.
type Granter struct {
	settings Settings
	terms    *keeper.Terms

	mu      sync.Mutex
	servers map[string]*allocations
}

// NewGranter returns a bank that grants under the keeper's terms.
func NewGranter(keeping *keeper.Terms, set Settings) *Granter {
	return &Granter{settings: set, terms: keeping, servers: map[string]*allocations{}}
}

// ServerState is what the keeper knows of a server.
type ServerState struct {
	Server string
	Warmup WarmupState
	// Concurrency and ColdConcurrency are what it bears warm and cold.
	Concurrency     int
	ColdConcurrency int
	Ramp            time.Duration
}

// Update takes in the keeper's view of a server. Call it at each tick for every
// server that this instance keeps, so that terms begin before the first request
// for credits.
func (b *Granter) Update(v ServerState, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	term, err := b.terms.Term(v.Server, now)
	var no *keeper.NotKeeperError
	if errors.As(err, &no) && no.Reason != keeper.ReasonWaiting {
		delete(b.servers, v.Server)
		return
	}
	a := b.servers[v.Server]
	if a == nil {
		a = newAllocations()
		b.servers[v.Server] = a
	}
	if opened := later(term.Since, v.Warmup.TurnedColdAt); opened.After(a.resetAt) {
		a.reset(opened, later(term.From, v.Warmup.TurnedColdAt.Add(b.settings.QuietPeriod())), v.ColdConcurrency)
	}
	a.epoch, a.cold, a.reportExpiry = term.Epoch, v.Warmup.Report.Cold, v.Warmup.WarmUntil
	a.adjustLimit(v, now)
	if r := &v.Warmup.Report; !r.ReceivedAt.IsZero() {
		a.recordReport(r.Running+r.Waiting, r.At, now, b.settings)
	}
}

// Forget drops what is kept for servers that are no longer known.
func (b *Granter) Forget(known func(server string) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	maps.DeleteFunc(b.servers, func(server string, _ *allocations) bool { return !known(server) || !b.terms.Keeps(server) })
	b.terms.Forget(known)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Grant answers a member's request. What the member says of its work in use
// is taken in even when nothing can be granted.
func (b *Granter) Grant(req CreditRequest, now time.Time) CreditResponse {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := holder{req.Member, req.Generation}
	var resp CreditResponse
	for _, ask := range req.Asks {
		g := b.grant(h, req.Sequence, ask, now)
		if g.Refusal != "" {
			counters.Add("Grant"+string(g.Refusal), 1)
		}
		resp.Grants = append(resp.Grants, g)
	}
	return resp
}

func (b *Granter) grant(h holder, sequence uint64, ask CreditAsk, now time.Time) CreditGrant {
	refuse := func(r GrantRefusal) CreditGrant {
		return CreditGrant{Server: ask.Server, Epoch: ask.Epoch, Refusal: r}
	}
	term, err := b.terms.Term(ask.Server, now)
	a := b.servers[ask.Server]
	var no *keeper.NotKeeperError
	if errors.As(err, &no) && no.Reason != keeper.ReasonWaiting || a == nil || a.epoch != term.Epoch {
		return refuse(GrantNotKeeper)
	}
	if !a.recordAsk(h, sequence, ask, now, b.settings) {
		return refuse(GrantOutOfOrder)
	}
	b.terms.Raise(ask.Server, ask.Epoch)
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
	strangers := a.maxUntracked(now, b.settings)
	if strangers == unknownLoad {
		return refuse(GrantUnknownLoad)
	}
	limit := int(a.limit)
	free := limit - strangers - a.heldByOthers(h)
	count := max(0, min(ask.Wanted, free, a.fairShare(limit, now, b.settings.Timing.CreditValid)))
	out := CreditGrant{Server: ask.Server, Count: count, Epoch: term.Epoch, Valid: b.settings.Timing.CreditValid}
	if count < ask.Wanted {
		out.Refusal = GrantFull
	}
	if count > 0 {
		a.recordGrant(h, count, now.Add(b.settings.Timing.CreditValid+b.settings.Timing.Margin))
	}
	return out
}

// rampStep is the time between two rises of the limit, and rampGrowth the
// factor of each, as long as the server answers well.
const (
	rampStep   = time.Second
	rampGrowth = 1.25
)

// adjustLimit moves the limit of a server that left cold start towards its full
// concurrency: not faster than the adjustLimit, and only while requests do not wait.
// Hysteresis: it holds on the first sign of waiting and starts over on cold.
func (a *allocations) adjustLimit(v ServerState, now time.Time) {
	if v.Warmup.Phase == Cold {
		a.limit = float64(v.ColdConcurrency)
		a.limitRaisedAt = now
		return
	}
	ceiling := float64(v.Concurrency)
	if v.Ramp > 0 && v.Warmup.Phase == Ramping {
		done := now.Sub(v.Warmup.LastColdAt).Seconds() / v.Ramp.Seconds()
		ceiling = float64(v.ColdConcurrency) + done*float64(v.Concurrency-v.ColdConcurrency)
	}
	if now.Sub(a.limitRaisedAt) < rampStep {
		return
	}
	a.limitRaisedAt = now
	if v.Warmup.Report.Waiting == 0 {
		a.limit = min(ceiling, a.limit*rampGrowth)
	}
	a.limit = max(a.limit, float64(v.ColdConcurrency))
}
