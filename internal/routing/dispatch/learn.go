package dispatch

import (
	"math"
	"time"
)

// othersFade is how long a server's statement of its load is of use.
const othersFade = 3 * time.Second

// decayed is the others' work at the server, fading with the statement's age.
func (a *account) decayed(now time.Time) float64 {
	age := now.Sub(a.othersAt)
	if age >= othersFade {
		return 0
	}
	return a.others * (1 - float64(age)/float64(othersFade))
}

// failing is a server's share of failed attempts, weighted towards the last
// ones and fading with time, so that a server that recovered is tried again.
type failing struct {
	share float64
	at    time.Time
}

const (
	// failingHalfLife is the time in which a share fades to its half.
	failingHalfLife = 3 * time.Second
	// faultyWeight, deadWeight and fineWeight are the weights of one attempt.
	faultyWeight = 0.3
	deadWeight   = 0.6
	fineWeight   = 0.25
)

func (f *failing) now(now time.Time) float64 {
	if f.share == 0 {
		return 0
	}
	return f.share * math.Exp2(-float64(now.Sub(f.at))/float64(failingHalfLife))
}

func (f *failing) observe(r Result, now time.Time) {
	share := f.now(now)
	switch r {
	case Succeeded:
		share -= share * fineWeight
	case ServerFailed:
		share += (1 - share) * faultyWeight
	case NoAnswer:
		share += (1 - share) * deadWeight
	case Inconclusive:
		return
	}
	f.share, f.at = share, now
}

// slowness is how much longer a server takes than predicted.
type slowness struct {
	log float64
}

const (
	slownessWeight = 0.15
	// slownessFloor keeps network noise on short answers out of the estimate.
	slownessFloor = 20 * time.Millisecond
	// slownessLimit bounds the factor both ways.
	slownessLimit = 8
)

func (s *slowness) factor() float64 { return math.Exp(s.log) }

func (s *slowness) observe(took, predicted time.Duration) {
	ratio := float64(took+slownessFloor) / float64(predicted+slownessFloor)
	bound := math.Log(slownessLimit)
	// The prediction holds the factor already, so the ratio corrects it.
	s.log = max(-bound, min(bound, s.log+slownessWeight*math.Log(ratio)))
}

// paces learns how long a model takes to read one token.
type paces struct {
	perToken map[string]time.Duration
}

const (
	paceWeight = 0.1
	// paceTokens is the shortest prompt that says something of the pace.
	paceTokens = 1500
)

// priorPaces are taken until a model's own pace is known, by its size: those
// of a 70B model and of models of a quarter and a tenth of its work.
var priorPaces = []time.Duration{7 * time.Microsecond, 18 * time.Microsecond, 68 * time.Microsecond}

func newPaces() paces { return paces{perToken: map[string]time.Duration{}} }

func (p paces) of(model string, size int) time.Duration {
	if pace, ok := p.perToken[model]; ok {
		return pace
	}
	return priorPaces[max(0, min(size, len(priorPaces)-1))]
}

// attentionTokens is the length of the context at which reading a token takes
// twice as long as in an empty one, for engines of the users' kind.
const attentionTokens = 30000

// length is how many tokens of an empty context the reading of so many tokens
// after those held takes as long as.
func length(held, tokens int) float64 {
	return float64(tokens) * (1 + (float64(held)+float64(tokens)/2)/attentionTokens)
}

func (p paces) work(model string, size, held, tokens int) time.Duration {
	return time.Duration(length(held, tokens) * float64(p.of(model, size)))
}

func (p paces) observe(model string, size, held, tokens int, took time.Duration) {
	if tokens < paceTokens {
		return
	}
	pace := p.of(model, size)
	p.perToken[model] = pace + time.Duration(paceWeight*(float64(took)/length(held, tokens)-float64(pace)))
}
