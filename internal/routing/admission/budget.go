package admission

import (
	"math"
	"sync/atomic"
)

// RetryBudget bounds retries to a share of first attempts, so that retries
// cannot multiply an overload. It is a token bucket filled by first attempts.
type RetryBudget struct {
	share  int64
	burst  int64
	tokens atomic.Int64
}

// tokenUnit is one retry in the integer arithmetic of the bucket.
const tokenUnit = 1 << 16

// NewRetryBudget returns a budget that allows share retries for each first
// attempt and at most burst retries saved up. It starts with one retry, so that
// the first request of an instance can be repeated too.
func NewRetryBudget(share float64, burst int) *RetryBudget {
	b := &RetryBudget{share: int64(math.Floor(share * tokenUnit)), burst: int64(burst) * tokenUnit}
	b.tokens.Store(min(tokenUnit, b.burst))
	return b
}

// Deposit records a first attempt.
func (b *RetryBudget) Deposit() {
	for {
		now := b.tokens.Load()
		next := min(now+b.share, b.burst)
		if next == now || b.tokens.CompareAndSwap(now, next) {
			return
		}
	}
}

// Withdraw takes one retry from the budget. It returns false, and counts the
// retry as dropped, if there is none.
func (b *RetryBudget) Withdraw() bool {
	for {
		now := b.tokens.Load()
		if now < tokenUnit {
			counters.Add("RetryBudgetEmpty", 1)
			return false
		}
		if b.tokens.CompareAndSwap(now, now-tokenUnit) {
			counters.Add("RetryAllowed", 1)
			return true
		}
	}
}
