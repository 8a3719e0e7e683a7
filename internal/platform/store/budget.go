package store

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"
)

// Budget is what this instance may ask of the service.
type Budget struct {
	ReadsPerSecond  float64
	WritesPerSecond float64
	// BurstSeconds is how many seconds of unused budget may be saved up.
	BurstSeconds float64
}

// Limits are the rates of the service that the whole fleet shares.
type Limits struct {
	ReadsPerSecond  float64
	WritesPerSecond float64
	// Writers bounds how many instances hold duties that write all the time,
	// such as ledger shards; the write rate is shared among so many at most.
	Writers int
}

// DefaultLimits stays at half of what the platform's service takes.
var DefaultLimits = Limits{ReadsPerSecond: 1000, WritesPerSecond: 200, Writers: 8}

// defaultBurstSeconds lets an instance start without waiting.
const defaultBurstSeconds = 4

// minBurst is the smallest bucket, in calls.
const minBurst = 4

// ShareOf returns one instance's budget in a fleet of so many members.
func (l Limits) ShareOf(members int) Budget {
	members = max(members, 1)
	writers := members
	if l.Writers > 0 {
		writers = min(members, l.Writers)
	}
	return Budget{
		ReadsPerSecond:  l.ReadsPerSecond / float64(members),
		WritesPerSecond: l.WritesPerSecond / float64(writers),
		BurstSeconds:    defaultBurstSeconds,
	}
}

// bucket is a token bucket that keeps a reserve for important purposes.
type bucket struct {
	limiter *rate.Limiter
	clock   clockwork.Clock
}

func newBucket(perSecond, burstSeconds float64, clock clockwork.Clock) *bucket {
	return &bucket{limiter: rate.NewLimiter(rate.Limit(perSecond), burst(perSecond, burstSeconds)), clock: clock}
}

func burst(perSecond, burstSeconds float64) int {
	return max(minBurst, int(perSecond*burstSeconds))
}

func (b *bucket) set(perSecond, burstSeconds float64) {
	now := b.clock.Now()
	b.limiter.SetLimitAt(now, rate.Limit(perSecond))
	b.limiter.SetBurstAt(now, burst(perSecond, burstSeconds))
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
