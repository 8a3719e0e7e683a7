package cascade

import (
	"math"
	"time"
)

const (
	// maxWeight is the number of observations that a belief rests on at most;
	// older ones fade, so that it follows a drift.
	maxWeight = 1000.0
	// stalenessGrace is how long a belief without new observations stays as certain as
	// it is; after that its weight halves with each halfLife.
	stalenessGrace = time.Minute
	halfLife       = 10 * time.Minute
	// weightAfterModelChange is the weight that remains of a belief on a model whose
	// version has changed.
	weightAfterModelChange = 10.0
	// priorWeight is the weight of the prior mean of a belief.
	priorWeight = 2.0
)

// rate is what is known of one rate: faded counts of passes and of all.
type rate struct {
	model        string
	kind         OutcomeKind
	passed       float64
	total        float64
	lastObserved time.Time
}

// observe adds outcomes; what is known already fades to make room for them.
func (b *rate) observe(good, total float64, at time.Time) {
	if total > maxWeight {
		good, total = good*maxWeight/total, maxWeight
	}
	*b = b.capped(maxWeight - total)
	b.passed += good
	b.total += total
	if at.After(b.lastObserved) {
		b.lastObserved = at
	}
}

// capped returns the belief with at most this weight.
func (b rate) capped(weight float64) rate {
	if b.total > weight {
		b.passed *= weight / b.total
		b.total = weight
	}
	return b
}

// estimate is a rate with its standard error.
type estimate struct {
	mean   float64
	stdErr float64
	weight float64
}

// estimate returns the rate as it is known now, with a prior mean for want of
// observations. A stale belief keeps its mean and loses certainty.
func (b rate) estimate(prior float64, now time.Time) estimate {
	if age := now.Sub(b.lastObserved) - stalenessGrace; age > 0 {
		b = b.capped(b.total * math.Exp2(-float64(age)/float64(halfLife)))
	}
	n := b.total + priorWeight
	mean := (b.passed + prior*priorWeight) / n
	// One more pass and one more failure keep the error of a rate of 0 or 1
	// from vanishing (Agresti and Coull 1998).
	p := (b.passed + prior*priorWeight + 1) / (n + 2)
	return estimate{mean, math.Sqrt(p * (1 - p) / (n + 2)), b.total}
}
