package cascade

import (
	"math"
	"time"
)

const (
	// memory is the number of observations that a belief rests on at most;
	// older ones fade, so that it follows a drift.
	memory = 1000.0
	// freshFor is how long a belief without new observations stays as certain as
	// it is; after that its weight halves with each halfLife.
	freshFor = time.Minute
	halfLife = 10 * time.Minute
	// afterChange is the weight that remains of a belief on a model whose
	// version has changed.
	afterChange = 10.0
	// priorWeight is the weight of the prior mean of a belief.
	priorWeight = 2.0
)

// belief is what is known of one rate: faded counts of passes and of all.
type belief struct {
	model string
	kind  OutcomeKind
	good  float64
	total float64
	at    time.Time
}

// observe adds outcomes; what is known already fades to make room for them.
func (b *belief) observe(good, total float64, at time.Time) {
	if total > memory {
		good, total = good*memory/total, memory
	}
	*b = b.weakened(memory - total)
	b.good += good
	b.total += total
	if at.After(b.at) {
		b.at = at
	}
}

// weakened returns the belief with at most this weight.
func (b belief) weakened(weight float64) belief {
	if b.total > weight {
		b.good *= weight / b.total
		b.total = weight
	}
	return b
}

// estimate is a rate with its standard error.
type estimate struct {
	mean   float64
	sd     float64
	weight float64
}

// estimate returns the rate as it is known now, with a prior mean for want of
// observations. A stale belief keeps its mean and loses certainty.
func (b belief) estimate(prior float64, now time.Time) estimate {
	if age := now.Sub(b.at) - freshFor; age > 0 {
		b = b.weakened(b.total * math.Exp2(-float64(age)/float64(halfLife)))
	}
	n := b.total + priorWeight
	mean := (b.good + prior*priorWeight) / n
	// One more pass and one more failure keep the error of a rate of 0 or 1
	// from vanishing (Agresti and Coull 1998).
	p := (b.good + prior*priorWeight + 1) / (n + 2)
	return estimate{mean, math.Sqrt(p * (1 - p) / (n + 2)), b.total}
}
