package pipeline

import (
	"sync/atomic"
	"time"
)

// movingAverage is an exponential moving average. It is safe for concurrent use;
// an observation that races with another one may be lost.
type movingAverage struct {
	value atomic.Int64
}

// inverseWeight is the inverse of the weight of one observation.
const inverseWeight = 16

// observe adds an observation. The first one becomes the average.
func (e *movingAverage) observe(x int64) {
	old := e.value.Load()
	next := old + (x-old)/inverseWeight
	if old == 0 {
		next = x
	}
	e.value.CompareAndSwap(old, next)
}

// estimates holds the averages that the cascade's prices are computed from.
type estimates struct {
	// tokens is the length of an answer in tokens.
	tokens movingAverage
	// judgedLatency is how long the caller waits for an answer that is judged,
	// in nanoseconds.
	judgedLatency movingAverage
}

// defaultAnswerTokens is the assumed length of an answer before the first one
// has been observed.
const defaultAnswerTokens = 256

// answerPrice returns the expected cost of an answer, given the price of 1,000
// tokens.
func (e *estimates) answerPrice(price float64) float64 {
	tokens := e.tokens.value.Load()
	if tokens == 0 {
		tokens = defaultAnswerTokens
	}
	return price * float64(tokens) / tokensPerPriceUnit
}

func (e *estimates) judgeDelay() time.Duration { return time.Duration(e.judgedLatency.value.Load()) }
