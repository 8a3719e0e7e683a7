package dispatch

import (
	"math"
	"sync"
	"time"
)

// otherLoadTTL is the age at which a load that a server stated no longer counts.
const otherLoadTTL = 3 * time.Second

// decayedOtherLoad returns otherLoad, decreasing linearly to 0 with its age.
func (st *serverState) decayedOtherLoad(now time.Time) float64 {
	age := now.Sub(st.otherLoadAt)
	if age >= otherLoadTTL {
		return 0
	}
	return st.otherLoad * (1 - float64(age)/float64(otherLoadTTL))
}

// failureRate is an exponentially weighted rate of a server's failed attempts. It
// also decays with time, so that a server that has recovered is tried again.
type failureRate struct {
	rate float64
	at   time.Time
}

const (
	// failureHalfLife is the time in which the rate decays to half.
	failureHalfLife = 3 * time.Second
	// serverFailedWeight, noAnswerWeight and succeededWeight are the weights of a
	// single attempt, by its result.
	serverFailedWeight = 0.3
	noAnswerWeight     = 0.6
	succeededWeight    = 0.25
)

// rateAt returns the rate, decayed to the given time.
func (f *failureRate) rateAt(now time.Time) float64 {
	if f.rate == 0 {
		return 0
	}
	return f.rate * math.Exp2(-float64(now.Sub(f.at))/float64(failureHalfLife))
}

func (f *failureRate) observe(r Result, now time.Time) {
	rate := f.rateAt(now)
	switch r {
	case Succeeded:
		rate -= rate * succeededWeight
	case ServerFailed:
		rate += (1 - rate) * serverFailedWeight
	case NoAnswer:
		rate += (1 - rate) * noAnswerWeight
	case Inconclusive:
		return
	}
	f.rate, f.at = rate, now
}

// slowness estimates the factor by which a server takes longer than predicted.
type slowness struct {
	logFactor float64
}

const (
	// slownessWeight is the weight of one observation in the moving average of the
	// factor's logarithm.
	slownessWeight = 0.15
	// slownessOffset is added to both times so that network noise on short answers
	// does not distort the estimate.
	slownessOffset = 20 * time.Millisecond
	// slownessLimit bounds the factor: at most 8, at least 1/8.
	slownessLimit = 8
)

func (s *slowness) factor() float64 { return math.Exp(s.logFactor) }

func (s *slowness) observe(took, predicted time.Duration) {
	ratio := float64(took+slownessOffset) / float64(predicted+slownessOffset)
	bound := math.Log(slownessLimit)
	// The prediction already includes the factor, so the ratio is a correction to it.
	s.logFactor = max(-bound, min(bound, s.logFactor+slownessWeight*math.Log(ratio)))
}

// prefillModel estimates how long a model takes to process a prompt. It learns the
// time per token of each model.
type prefillModel struct {
	mu       sync.RWMutex
	perToken map[string]time.Duration
}

const (
	// prefillWeight is the weight of one observation in the moving average of the
	// time per token.
	prefillWeight = 0.1
	// minPrefillSample is the number of uncached tokens below which a prompt says
	// too little about the time per token.
	minPrefillSample = 1500
)

// defaultTokenTimes holds the time per token by size rank, used until a model has
// been observed: the last is that of a 70B model, the others are those of models
// that take a tenth and a quarter of its work.
var defaultTokenTimes = []time.Duration{7 * time.Microsecond, 18 * time.Microsecond, 68 * time.Microsecond}

func newPrefillModel() *prefillModel { return &prefillModel{perToken: map[string]time.Duration{}} }

// tokenTime returns the time that the model takes for one token of a short prompt.
func (p *prefillModel) tokenTime(model string, size int) time.Duration {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return p.currentTokenTime(model, size)
}

// currentTokenTime is tokenTime for a caller that holds mu.
func (p *prefillModel) currentTokenTime(model string, size int) time.Duration {
	if current, ok := p.perToken[model]; ok {
		return current
	}
	return defaultTokenTimes[max(0, min(size, len(defaultTokenTimes)-1))]
}

// attentionTokens is the context length at which processing a token takes twice as
// long as in an empty context, on engines of the kind that the users run.
const attentionTokens = 30000

// effectiveTokens returns the number of tokens in an empty context that take as
// long to process as the given tokens after the cached ones.
func effectiveTokens(cached, tokens int) float64 {
	return float64(tokens) * (1 + (float64(cached)+float64(tokens)/2)/attentionTokens)
}

// prefillTime returns the predicted time to process tokens after the cached ones.
func prefillTime(tokenTime time.Duration, cached, tokens int) time.Duration {
	return time.Duration(effectiveTokens(cached, tokens) * float64(tokenTime))
}

// observe updates the model's time per token with the time that a prompt took on
// an idle server.
func (p *prefillModel) observe(model string, size, cached, tokens int, took time.Duration) {
	if tokens < minPrefillSample {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	current := p.currentTokenTime(model, size)
	p.perToken[model] = current + time.Duration(prefillWeight*(float64(took)/effectiveTokens(cached, tokens)-float64(current)))
}

// callTimes estimates how long a server takes for a call to a service without models.
type callTimes struct {
	mu        sync.RWMutex
	byService map[string]time.Duration
}

const (
	// initialCallTime is the time that is assumed until a service has answered.
	initialCallTime = 50 * time.Millisecond
	// callTimeWeight is the weight of one observation in the moving average.
	callTimeWeight = 0.1
)

func newCallTimes() *callTimes { return &callTimes{byService: map[string]time.Duration{}} }

func (c *callTimes) of(service string) time.Duration {
	c.mu.RLock()
	defer c.mu.RUnlock()
	if d, ok := c.byService[service]; ok {
		return d
	}
	return initialCallTime
}

// observe updates a service's time with that of a call that found a slot free.
func (c *callTimes) observe(service string, took time.Duration) {
	current := c.of(service)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.byService[service] = max(time.Millisecond, current+time.Duration(callTimeWeight*float64(took-current)))
}
