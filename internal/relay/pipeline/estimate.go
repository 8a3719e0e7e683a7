package pipeline

import (
	"sync/atomic"
	"time"
)

// estimate is a moving average that many goroutines update.
type estimate struct {
	value atomic.Int64
}

// estimateWeight is the inverse weight of one observation.
const estimateWeight = 16

// observe takes one observation in; the first one is the average.
func (e *estimate) observe(x int64) {
	old := e.value.Load()
	next := old + (x-old)/estimateWeight
	if old == 0 {
		next = x
	}
	e.value.CompareAndSwap(old, next)
}

// estimates is what the cascade's prices are computed from.
type estimates struct {
	// tokens is the length of an answer.
	tokens estimate
	// judged is how long a judged answer keeps its caller waiting, in
	// nanoseconds.
	judged estimate
}

// defaultTokens stands for the length of an answer before the first one.
const defaultTokens = 256

// answerPrice returns what an answer costs at a price for 1,000 tokens.
func (e *estimates) answerPrice(price float64) float64 {
	tokens := e.tokens.value.Load()
	if tokens == 0 {
		tokens = defaultTokens
	}
	return price * float64(tokens) / tokensPerPrice
}

func (e *estimates) judgeDelay() time.Duration { return time.Duration(e.judged.value.Load()) }
