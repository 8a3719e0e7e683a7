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
	set     Settings
	keeping *keeper.Terms

	mu       sync.Mutex
	accounts map[string]*account
}

// NewGranter returns a bank that grants under the keeper's terms.
func NewGranter(keeping *keeper.Terms, set Settings) *Granter {
	return &Granter{set: set, keeping: keeping, accounts: map[string]*account{}}
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
	term, err := b.keeping.Term(v.Server, now)
	var no *keeper.NotKeeperError
	if errors.As(err, &no) && no.Reason != keeper.ReasonWaiting {
		delete(b.accounts, v.Server)
		return
	}
	a := b.accounts[v.Server]
	if a == nil {
		a = newAccount()
		b.accounts[v.Server] = a
	}
	if opened := latest(term.Since, v.Warmup.TurnedColdAt); opened.After(a.openAt) {
		a.open(opened, latest(term.From, v.Warmup.TurnedColdAt.Add(b.set.QuietPeriod())), v.ColdConcurrency)
	}
	a.epoch, a.cold, a.freshTo = term.Epoch, v.Warmup.Report.Cold, v.Warmup.WarmUntil
	a.ramp(v, now)
	if r := &v.Warmup.Report; !r.ReceivedAt.IsZero() {
		a.note(r.Running+r.Waiting, r.At, now, b.set)
	}
}

// Forget drops what is kept for servers that are no longer known.
func (b *Granter) Forget(known func(server string) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	maps.DeleteFunc(b.accounts, func(server string, _ *account) bool { return !known(server) || !b.keeping.Keeps(server) })
	b.keeping.Forget(known)
}

func latest(a, b time.Time) time.Time {
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
	term, err := b.keeping.Term(ask.Server, now)
	a := b.accounts[ask.Server]
	var no *keeper.NotKeeperError
	if errors.As(err, &no) && no.Reason != keeper.ReasonWaiting || a == nil || a.epoch != term.Epoch {
		return refuse(GrantNotKeeper)
	}
	if !a.report(h, sequence, ask, now, b.set) {
		return refuse(GrantOutOfOrder)
	}
	b.keeping.Raise(ask.Server, ask.Epoch)
	if term.Epoch < ask.Epoch {
		term.Epoch = ask.Epoch + 1
		a.epoch = term.Epoch
	}
	if err != nil || now.Before(a.settledAt) {
		return refuse(GrantQuiet)
	}
	if !now.Before(a.freshTo) || ask.Cold && !a.cold {
		return refuse(GrantKeeperBehind)
	}
	strangers := a.unaccounted(now, b.set)
	if strangers == unknown {
		return refuse(GrantUnknownLoad)
	}
	limit := int(a.limit)
	free := limit - strangers - a.others(h)
	count := max(0, min(ask.Wanted, free, a.share(limit, now, b.set.Timing.CreditValid)))
	out := CreditGrant{Server: ask.Server, Count: count, Epoch: term.Epoch, Valid: b.set.Timing.CreditValid}
	if count < ask.Wanted {
		out.Refusal = GrantFull
	}
	if count > 0 {
		a.grant(h, count, now.Add(b.set.Timing.CreditValid+b.set.Timing.Margin))
	}
	return out
}

// rampStep is the time between two rises of the limit, and rampGrowth the
// factor of each, as long as the server answers well.
const (
	rampStep   = time.Second
	rampGrowth = 1.25
)

// ramp moves the limit of a server that left cold start towards its full
// concurrency: not faster than the ramp, and only while requests do not wait.
// Hysteresis: it holds on the first sign of waiting and starts over on cold.
func (a *account) ramp(v ServerState, now time.Time) {
	if v.Warmup.Phase == Cold {
		a.limit = float64(v.ColdConcurrency)
		a.grown = now
		return
	}
	ceiling := float64(v.Concurrency)
	if v.Ramp > 0 && v.Warmup.Phase == Ramping {
		done := now.Sub(v.Warmup.LastColdAt).Seconds() / v.Ramp.Seconds()
		ceiling = float64(v.ColdConcurrency) + done*float64(v.Concurrency-v.ColdConcurrency)
	}
	if now.Sub(a.grown) < rampStep {
		return
	}
	a.grown = now
	if v.Warmup.Report.Waiting == 0 {
		a.limit = min(ceiling, a.limit*rampGrowth)
	}
	a.limit = max(a.limit, float64(v.ColdConcurrency))
}
