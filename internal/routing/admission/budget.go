package admission

import (
	"math"
	"sync/atomic"
)

// RetryBudget limits retries to a fraction of first attempts, so that retries
// cannot amplify an overload. It is a token bucket that first attempts fill. It
// is safe for concurrent use.
type RetryBudget struct {
	deposit int64
	burst   int64
	tokens  atomic.Int64
}

// tokensPerRetry is the number of tokens that one retry takes. Tokens are
// integers so that the bucket can be updated atomically.
const tokensPerRetry = 1 << 16

// NewRetryBudget returns a budget that allows ratio retries per first attempt
// and saves up at most burst retries. It starts with one retry, so that the first
// request of an instance can be retried.
func NewRetryBudget(ratio float64, burst int) *RetryBudget {
	b := &RetryBudget{deposit: int64(math.Floor(ratio * tokensPerRetry)), burst: int64(burst) * tokensPerRetry}
	b.tokens.Store(min(tokensPerRetry, b.burst))
	return b
}

// Deposit adds the tokens of one first attempt.
func (b *RetryBudget) Deposit() {
	for {
		current := b.tokens.Load()
		next := min(current+b.deposit, b.burst)
		if next == current || b.tokens.CompareAndSwap(current, next) {
			return
		}
	}
}

// Withdraw takes one retry from the budget. It returns false, and counts the
// retry as dropped, if the budget is empty.
func (b *RetryBudget) Withdraw() bool {
	for {
		current := b.tokens.Load()
		if current < tokensPerRetry {
			counters.Add("RetryBudgetEmpty", 1)
			return false
		}
		if b.tokens.CompareAndSwap(current, current-tokensPerRetry) {
			counters.Add("RetryAllowed", 1)
			return true
		}
	}
}
