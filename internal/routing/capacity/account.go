package capacity

import (
	"math"
	"time"
)

// holder is one run of one member.
type holder struct {
	member     string
	generation uint64
}

// holding is what a keeper must assume of one holder at one server.
type holding struct {
	sequence uint64
	// bound is the most requests that the holder can have running.
	bound int
	// until is when the last grant has surely expired at the holder.
	until time.Time
	// askedAt is when it last wanted more than it has in use.
	askedAt time.Time
}

// account is a keeper's account of one server: who may have how much running
// there.
type account struct {
	// epoch and openAt identify the term and the cold start of the account.
	epoch  uint64
	openAt time.Time
	// settledAt is when all work outside the account has surely started.
	settledAt time.Time
	// cold is set if the keeper's last report says that the server is cold.
	cold bool
	// freshTo is when that report is stale.
	freshTo time.Time
	limit   float64
	grown   time.Time
	// strangers bounds the work started outside this account: while the
	// server was believed warm, or under an earlier keeper.
	strangers int
	holdings  map[holder]*holding
}

// unknown is the bound on strangers before a report allows a lower one.
const unknown = math.MaxInt32

func newAccount() *account {
	return &account{holdings: map[holder]*holding{}, strangers: unknown}
}

// open begins a new account of strangers. Holdings stay: they bound work that
// may still run.
func (a *account) open(at, settledAt time.Time, cold int) {
	a.openAt = at
	a.settledAt = settledAt
	a.limit = float64(cold)
	a.grown = at
	a.strangers = unknown
}

// note takes in a report of running work made at the server's time made. Work
// outside the account can only become less, so the lowest count bounds it.
func (a *account) note(running int, made, now time.Time, set Settings) {
	settled := func(since time.Time) bool {
		return made.Add(-set.MaxClockSkew).After(since.Add(set.MaxTransit))
	}
	if settled(a.settledAt) {
		a.strangers = min(a.strangers, running)
	}
	for h, g := range a.holdings {
		if settled(g.until) {
			g.bound = min(g.bound, running)
		}
		idle := g.bound == 0 && !now.Before(g.until) && now.Sub(g.askedAt) >= set.Timing.CreditValid
		if idle || now.After(g.until.Add(set.MaxRequestDuration)) {
			delete(a.holdings, h)
		}
	}
}

// unaccounted is the most work of strangers that can run now.
func (a *account) unaccounted(now time.Time, set Settings) int {
	if now.After(a.settledAt.Add(set.MaxRequestDuration)) {
		return 0
	}
	return a.strangers
}

// others is the most work that holders other than h can have running.
func (a *account) others(h holder) int {
	sum := 0
	for other, g := range a.holdings {
		if other != h {
			sum += g.bound
		}
	}
	return sum
}

// share is an equal part of the limit for each holder that asked lately.
func (a *account) share(limit int, now time.Time, within time.Duration) int {
	n := 0
	for _, g := range a.holdings {
		if now.Sub(g.askedAt) < within {
			n++
		}
	}
	return max(1, (limit+n-1)/max(n, 1))
}

// report takes in what a holder says of itself. It returns false if a later
// request of the holder was seen before.
func (a *account) report(h holder, sequence uint64, ask CreditAsk, now time.Time, set Settings) bool {
	g := a.holdings[h]
	if g == nil {
		g = &holding{}
		a.holdings[h] = g
	}
	if sequence <= g.sequence {
		return false
	}
	g.sequence = sequence
	// The holder has taken back every right that it does not list: its
	// requests are at most those in use, or as many as it may still start.
	g.bound = max(ask.InUse, ask.Limit, 0)
	g.until = latest(g.until, now)
	if ask.Limit > 0 {
		g.until = latest(g.until, now.Add(set.Timing.CreditValid+set.Timing.Margin))
	}
	if ask.Wanted > ask.InUse {
		g.askedAt = now
	}
	return true
}

// grant records that the holder may have count requests until the time given.
func (a *account) grant(h holder, count int, until time.Time) {
	g := a.holdings[h]
	g.bound = max(g.bound, count)
	g.until = latest(g.until, until)
}
