package store

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"
)

// Budget is what one instance may ask of the service, in calls a second.
type Budget struct {
	Reads float64
	// DutyWrites are writes of duties that few instances hold at a time.
	DutyWrites float64
	// OtherWrites are writes that every instance makes.
	OtherWrites float64
}

// Limits are the rates of the service that the whole fleet shares.
type Limits struct {
	ReadsPerSecond  float64
	WritesPerSecond float64
	// DutyShare is the share of the writes that is kept for duties, 0 to 1.
	DutyShare float64
	// Writers bounds how many instances hold duties that write all the time,
	// such as ledger shards; the writes for duties are shared among so many.
	Writers int
	// Unevenness is how many times its even share of the duties one instance
	// may hold, since they are spread by hashing. The duties themselves keep
	// to a pace that does not depend on who holds them.
	Unevenness float64
}

// DefaultLimits leave room for bursts below what the platform's service takes.
var DefaultLimits = Limits{ReadsPerSecond: 1000, WritesPerSecond: 280, DutyShare: 0.85, Writers: 12, Unevenness: 3}

// Sizes of the buckets.
const (
	readBurstSeconds = 4
	dutyBurstSeconds = 0.5
	// minBurst lets an instance start without waiting, in calls.
	minBurst = 4
)

// ShareOf returns one instance's budget in a fleet of so many members.
func (l Limits) ShareOf(members int) Budget {
	members = max(members, 1)
	writers := members
	if l.Writers > 0 {
		writers = min(members, l.Writers)
	}
	return Budget{
		Reads:       l.ReadsPerSecond / float64(members),
		DutyWrites:  l.WritesPerSecond * l.DutyShare * max(l.Unevenness, 1) / float64(writers),
		OtherWrites: l.WritesPerSecond * (1 - l.DutyShare) / float64(members),
	}
}

// isDuty reports whether writes of this purpose come from a duty.
func (p Purpose) isDuty() bool { return p < Evidence }

// budget is the buckets of one instance.
type budget struct {
	reads  *bucket
	duties *bucket
	others *bucket
}

// newBudget returns buckets of which those for duties and reads are full. The
// one for other writes holds a random part of a call, so that instances that
// start together do not write together.
func newBudget(share Budget, clock clockwork.Clock, rng *rand.Rand) *budget {
	b := &budget{
		reads:  newBucket(share.Reads, burst(share.Reads, readBurstSeconds), clock),
		duties: newBucket(share.DutyWrites, burst(share.DutyWrites, dutyBurstSeconds), clock),
		others: newBucket(share.OtherWrites, 1, clock),
	}
	if share.OtherWrites > 0 {
		age := time.Duration(rng.Float64() / share.OtherWrites * float64(time.Second))
		b.others.limiter.AllowN(clock.Now().Add(-age), 1)
	}
	return b
}

func (b *budget) set(share Budget) {
	b.reads.set(share.Reads, burst(share.Reads, readBurstSeconds))
	b.duties.set(share.DutyWrites, burst(share.DutyWrites, dutyBurstSeconds))
	b.others.set(share.OtherWrites, 1)
}

// of returns the bucket that a call draws from. A waiting watch counts as a
// read.
func (b *budget) of(k kind, p Purpose) *bucket {
	switch {
	case k != write:
		return b.reads
	case p.isDuty():
		return b.duties
	}
	return b.others
}

func burst(perSecond, seconds float64) int {
	return max(minBurst, int(perSecond*seconds))
}

// bucket is a token bucket that keeps a reserve for important purposes.
type bucket struct {
	limiter *rate.Limiter
	clock   clockwork.Clock
}

func newBucket(perSecond float64, burst int, clock clockwork.Clock) *bucket {
	return &bucket{limiter: rate.NewLimiter(rate.Limit(perSecond), burst), clock: clock}
}

func (b *bucket) set(perSecond float64, burst int) {
	now := b.clock.Now()
	b.limiter.SetLimitAt(now, rate.Limit(perSecond))
	b.limiter.SetBurstAt(now, burst)
}

// take draws one token, or returns how long until it may be tried again.
func (b *bucket) take(p Purpose) (wait time.Duration, ok bool) {
	now := b.clock.Now()
	need := 1 + reserves[p]*float64(b.limiter.Burst()-1)
	have := b.limiter.TokensAt(now)
	if have >= need && b.limiter.AllowN(now, 1) {
		return 0, true
	}
	seconds := (need - have) / float64(b.limiter.Limit())
	return max(time.Duration(seconds*float64(time.Second)), time.Millisecond), false
}

// wait draws one token, waiting for it until the context ends.
func (b *bucket) wait(ctx context.Context, p Purpose) bool {
	for {
		d, ok := b.take(p)
		if ok {
			return true
		}
		if deadline, has := ctx.Deadline(); has && b.clock.Now().Add(d).After(deadline) {
			return false
		}
		select {
		case <-ctx.Done():
			return false
		case <-b.clock.After(d):
		}
	}
}
