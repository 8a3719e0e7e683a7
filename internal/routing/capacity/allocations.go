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

// allocation is what a keeper must assume of one holder at one server.
type allocation struct {
	sequence uint64
	// maxRunning is the most requests that the holder can have running.
	maxRunning int
	// expiry is when the last grant has surely expired at the holder.
	expiry time.Time
	// lastDemandAt is when it last wanted more than it has in use.
	lastDemandAt time.Time
}

// allocations is a keeper's allocations of one server: who may have how much running
// there.
type allocations struct {
	// epoch and openAt identify the term and the cold start of the account.
	epoch   uint64
	resetAt time.Time
	// settledAt is when all work outside the account has surely started.
	settledAt time.Time
	// cold is set if the keeper's last report says that the server is cold.
	cold bool
	// reportExpiry is when that report is stale.
	reportExpiry  time.Time
	limit         float64
	limitRaisedAt time.Time
	// untracked bounds the work started outside this account: while the
	// server was believed warm, or under an earlier keeper.
	untracked int
	held      map[holder]*allocation
}

// unknownLoad is the bound on strangers before a report allows a lower one.
const unknownLoad = math.MaxInt32

func newAllocations() *allocations {
	return &allocations{held: map[holder]*allocation{}, untracked: unknownLoad}
}

// reset begins a new account of strangers. Holdings stay: they bound work that
// may still run.
func (a *allocations) reset(at, settledAt time.Time, cold int) {
	a.resetAt = at
	a.settledAt = settledAt
	a.limit = float64(cold)
	a.limitRaisedAt = at
	a.untracked = unknownLoad
}

// recordReport takes in a report of running work made at the server's time made. Work
// outside the account can only become less, so the lowest count bounds it.
func (a *allocations) recordReport(running int, made, now time.Time, set Settings) {
	settled := func(since time.Time) bool {
		return made.Add(-set.MaxClockSkew).After(since.Add(set.MaxTransit))
	}
	if settled(a.settledAt) {
		a.untracked = min(a.untracked, running)
	}
	for h, g := range a.held {
		if settled(g.expiry) {
			g.maxRunning = min(g.maxRunning, running)
		}
		idle := g.maxRunning == 0 && !now.Before(g.expiry) && now.Sub(g.lastDemandAt) >= set.Timing.CreditValid
		if idle || now.After(g.expiry.Add(set.MaxRequestDuration)) {
			delete(a.held, h)
		}
	}
}

// maxUntracked is the most work of strangers that can run now.
func (a *allocations) maxUntracked(now time.Time, set Settings) int {
	if now.After(a.settledAt.Add(set.MaxRequestDuration)) {
		return 0
	}
	return a.untracked
}

// heldByOthers is the most work that holders other than h can have running.
func (a *allocations) heldByOthers(h holder) int {
	sum := 0
	for other, g := range a.held {
		if other != h {
			sum += g.maxRunning
		}
	}
	return sum
}

// fairShare is an equal part of the limit for each holder that asked lately.
func (a *allocations) fairShare(limit int, now time.Time, within time.Duration) int {
	n := 0
	for _, g := range a.held {
		if now.Sub(g.lastDemandAt) < within {
			n++
		}
	}
	return max(1, (limit+n-1)/max(n, 1))
}

// recordAsk takes in what a holder says of itself. It returns false if a later
// request of the holder was seen before.
func (a *allocations) recordAsk(h holder, sequence uint64, ask CreditAsk, now time.Time, set Settings) bool {
	g := a.held[h]
	if g == nil {
		g = &allocation{}
		a.held[h] = g
	}
	if sequence <= g.sequence {
		return false
	}
	g.sequence = sequence
	// The holder has taken back every right that it does not list: its
	// requests are at most those in use, or as many as it may still start.
	g.maxRunning = max(ask.InUse, ask.Limit, 0)
	g.expiry = later(g.expiry, now)
	if ask.Limit > 0 {
		g.expiry = later(g.expiry, now.Add(set.Timing.CreditValid+set.Timing.Margin))
	}
	if ask.Wanted > ask.InUse {
		g.lastDemandAt = now
	}
	return true
}

// recordGrant records that the holder may have count requests until the time given.
func (a *allocations) recordGrant(h holder, count int, until time.Time) {
	g := a.held[h]
	g.maxRunning = max(g.maxRunning, count)
	g.expiry = later(g.expiry, until)
}
