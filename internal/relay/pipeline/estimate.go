package pipeline

import (
	"sync/atomic"
	"time"
)

// movingAverage is a moving average that many goroutines update.
type movingAverage struct {
	value atomic.Int64
}

// inverseWeight is the inverse weight of one observation.
const inverseWeight = 16

// observe takes one observation in; the first one is the average.
func (e *movingAverage) observe(x int64) {
	old := e.value.Load()
	next := old + (x-old)/inverseWeight
	if old == 0 {
		next = x
	}
	e.value.CompareAndSwap(old, next)
}

// estimates is what the cascade's prices are computed from.
type estimates struct {
	// tokens is the length of an answer.
	tokens movingAverage
	// judgedLatency is how long a judgedLatency answer keeps its caller waiting, in
	// nanoseconds.
	judgedLatency movingAverage
}

// defaultAnswerTokens stands for the length of an answer before the first one.
const defaultAnswerTokens = 256

// answerPrice returns what an answer costs at a price for 1,000 tokens.
func (e *estimates) answerPrice(price float64) float64 {
	tokens := e.tokens.value.Load()
	if tokens == 0 {
		tokens = defaultAnswerTokens
	}
	return price * float64(tokens) / tokensPerPriceUnit
}

func (e *estimates) judgeDelay() time.Duration { return time.Duration(e.judgedLatency.value.Load()) }
