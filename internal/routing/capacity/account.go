package capacity

import (
	"math"
	"time"
)

// holder identifies one generation, that is one run, of a member.
type holder struct {
	member     string
	generation uint64
}

// allocation is what a keeper must assume of one holder at one server.
type allocation struct {
	sequence uint64
	// maxRunning is the most requests that the holder can have running.
	maxRunning int
	// expiry is when the holder's last grant has certainly expired at the
	// holder.
	expiry time.Time
	// lastDemandAt is when the holder last wanted more than it had in use.
	lastDemandAt time.Time
}

// allocations is a keeper's record of one server: which holder may have how
// much work running there.
type allocations struct {
	// epoch is that of the keeper's term, and resetAt the start of the term or
	// of the server's cold start, whichever is later.
	epoch   uint64
	resetAt time.Time
	// settledAt is when all work outside this record has certainly been
	// started.
	settledAt time.Time
	// cold is set if the keeper's last report says that the server is cold.
	cold bool
	// reportExpiry is when that report becomes stale.
	reportExpiry  time.Time
	limit         float64
	limitRaisedAt time.Time
	// untracked bounds the work that was started outside this record: while the
	// server was believed to be warm, or under an earlier keeper.
	untracked int
	held      map[holder]*allocation
}

// unknownLoad is the bound on untracked work until a report allows a lower one.
const unknownLoad = math.MaxInt32

func newAllocations() *allocations {
	return &allocations{held: map[holder]*allocation{}, untracked: unknownLoad}
}

// reset starts the bound on untracked work afresh. The allocations of holders
// stay, because the work that they bound may still be running.
func (a *allocations) reset(at, settledAt time.Time, cold int) {
	a.resetAt = at
	a.settledAt = settledAt
	a.limit = float64(cold)
	a.limitRaisedAt = at
	a.untracked = unknownLoad
}

// recordReport records a report of running work, which the server made at
// reportedAt. Work that was started outside the record can only decrease, so
// the lowest count bounds it.
func (a *allocations) recordReport(running int, reportedAt, now time.Time, settings Settings) {
	settled := func(startedBy time.Time) bool {
		return reportedAt.Add(-settings.MaxClockSkew).After(startedBy.Add(settings.MaxTransit))
	}
	if settled(a.settledAt) {
		a.untracked = min(a.untracked, running)
	}
	for h, alloc := range a.held {
		if settled(alloc.expiry) {
			alloc.maxRunning = min(alloc.maxRunning, running)
		}
		idle := alloc.maxRunning == 0 && !now.Before(alloc.expiry) && now.Sub(alloc.lastDemandAt) >= settings.Timing.CreditTTL
		if idle || now.After(alloc.expiry.Add(settings.MaxRequestDuration)) {
			delete(a.held, h)
		}
	}
}

// maxUntracked returns the most untracked work that can be running now.
func (a *allocations) maxUntracked(now time.Time, settings Settings) int {
	if now.After(a.settledAt.Add(settings.MaxRequestDuration)) {
		return 0
	}
	return a.untracked
}

// heldByOthers returns the most work that holders other than h can have
// running.
func (a *allocations) heldByOthers(h holder) int {
	sum := 0
	for otherHolder, alloc := range a.held {
		if otherHolder != h {
			sum += alloc.maxRunning
		}
	}
	return sum
}

// fairShare divides the limit equally among the holders that had demand within
// the given time and returns the share of one, at least 1.
func (a *allocations) fairShare(limit int, now time.Time, window time.Duration) int {
	n := 0
	for _, alloc := range a.held {
		if now.Sub(alloc.lastDemandAt) < window {
			n++
		}
	}
	return max(1, (limit+n-1)/max(n, 1))
}

// recordAsk records what a holder says of its own work. It returns false if it
// has already seen this or a later request of the holder.
func (a *allocations) recordAsk(h holder, sequence uint64, ask CreditAsk, now time.Time, settings Settings) bool {
	alloc := a.held[h]
	if alloc == nil {
		alloc = &allocation{}
		a.held[h] = alloc
	}
	if sequence <= alloc.sequence {
		return false
	}
	alloc.sequence = sequence
	// The holder has given up every right that it does not list, so it runs at
	// most as many requests as are in use, or as many as it may still start.
	alloc.maxRunning = max(ask.InUse, ask.Limit, 0)
	alloc.expiry = later(alloc.expiry, now)
	if ask.Limit > 0 {
		alloc.expiry = later(alloc.expiry, now.Add(settings.Timing.CreditTTL+settings.Timing.ClockMargin))
	}
	if ask.Wanted > ask.InUse {
		alloc.lastDemandAt = now
	}
	return true
}

// recordGrant records that the holder may have count requests running until the
// given time.
func (a *allocations) recordGrant(h holder, count int, until time.Time) {
	alloc := a.held[h]
	alloc.maxRunning = max(alloc.maxRunning, count)
	alloc.expiry = later(alloc.expiry, until)
}
