package cascade

import (
	"math"
	"time"
)

const (
	// maxWeight caps the total weight of a rate's observations. Beyond it older
	// ones are scaled down, so that the rate tracks changes.
	maxWeight = 1000.0
	// stalenessGrace is how long a rate keeps its weight without new
	// observations. After that the weight halves with each halfLife.
	stalenessGrace = time.Minute
	halfLife       = 10 * time.Minute
	// weightAfterModelChange is the weight that a rate keeps when the model
	// gets a new version.
	weightAfterModelChange = 10.0
	// priorWeight is the weight of the prior mean, as a number of observations.
	priorWeight = 2.0
)

// rate holds the decayed counts of the passes and of all outcomes of one kind
// for one model.
type rate struct {
	model        string
	kind         OutcomeKind
	passed       float64
	total        float64
	lastObserved time.Time
}

// observe adds outcomes. Earlier ones are scaled down so that the total weight is
// at most maxWeight.
func (r *rate) observe(passed, total float64, at time.Time) {
	if total > maxWeight {
		passed, total = passed*maxWeight/total, maxWeight
	}
	*r = r.capped(maxWeight - total)
	r.passed += passed
	r.total += total
	if at.After(r.lastObserved) {
		r.lastObserved = at
	}
}

// capped returns the rate with at most this weight and the same mean.
func (r rate) capped(weight float64) rate {
	if r.total > weight {
		r.passed *= weight / r.total
		r.total = weight
	}
	return r
}

// estimate is a rate with its standard error and the weight of its
// observations.
type estimate struct {
	mean   float64
	stdErr float64
	weight float64
}

// estimate returns the rate as of now, starting from a prior mean. A stale rate
// keeps its mean and loses weight, so that its standard error grows.
func (r rate) estimate(prior float64, now time.Time) estimate {
	if age := now.Sub(r.lastObserved) - stalenessGrace; age > 0 {
		r = r.capped(r.total * math.Exp2(-float64(age)/float64(halfLife)))
	}
	n := r.total + priorWeight
	mean := (r.passed + prior*priorWeight) / n
	// One extra pass and one extra failure keep the standard error of a rate of
	// 0 or 1 above zero (Agresti and Coull 1998).
	p := (r.passed + prior*priorWeight + 1) / (n + 2)
	return estimate{mean, math.Sqrt(p * (1 - p) / (n + 2)), r.total}
}
