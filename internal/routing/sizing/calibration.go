package sizing

import "sync"

// confidenceBins is how many steps confidence, 0 to 100, is counted in.
const confidenceBins = 10

// Histogram is how often each step of confidence comes, from the lowest on.
type Histogram [confidenceBins]float64

// priorWeight is how many answers the priors stand for.
const priorWeight = 60

// priorLarge is the usual shape of the confidence in good answers, priorSmall
// that of a small model, whose answers are partly too simple. They hold until
// a route's own answers are counted.
var (
	priorLarge = Histogram{0, 0, 0, 0.005, 0.035, 0.085, 0.105, 0.115, 0.095, 0.56}
	priorSmall = Histogram{0.177, 0.064, 0.065, 0.055, 0.064, 0.061, 0.066, 0.061, 0.054, 0.333}
)

// highConfidenceBin are the steps of confidence, from this one on, in which an answer
// that is too simple hardly ever is.
const highConfidenceBin = 7

// Calibration learns what a model's confidence is worth, on each route. No one
// tells whether an answer was good; but the largest model's answers are, so
// that the shape of its confidence is that of good answers. What a small
// model has beyond that shape, mostly at low confidence, are answers that are
// too simple.
type Calibration struct {
	mu     sync.Mutex
	counts map[string][]Histogram
}

// NewCalibration returns a calibration that knows the priors only.
func NewCalibration() *Calibration { return &Calibration{counts: map[string][]Histogram{}} }

// Observe counts an answer's confidence, 0 to 100; below 0 it has not said.
func (c *Calibration) Observe(route string, sizeRank, modelCount, confidence int) {
	if confidence < 0 || sizeRank >= modelCount {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.counts[route]
	if len(list) != modelCount {
		list = make([]Histogram, modelCount)
		c.counts[route] = list
	}
	list[sizeRank][binOf(confidence)]++
}

func binOf(confidence int) int { return max(0, min(confidence*confidenceBins/100, confidenceBins-1)) }

// ConfidenceProfile is what a model's confidence is worth on a route.
type ConfidenceProfile struct {
	// Distribution is how often each step of confidence comes.
	Distribution Histogram
	// GoodProbability is the probability at each step that the answer is good.
	GoodProbability Histogram
}

// Profile returns the opinion of a route's model, by its position.
func (c *Calibration) Profile(route string, sizeRank, modelCount int) ConfidenceProfile {
	c.mu.Lock()
	defer c.mu.Unlock()
	if sizeRank >= modelCount-1 {
		p := ConfidenceProfile{Distribution: priorLarge}
		for i := range p.GoodProbability {
			p.GoodProbability[i] = 1
		}
		return p
	}
	var own, largest Histogram
	if list := c.counts[route]; len(list) == modelCount {
		own, largest = list[sizeRank], list[modelCount-1]
	}
	distribution, good := withPrior(own, priorSmall), withPrior(largest, priorLarge)
	// The steps of clear confidence tell the share of good answers.
	highOwn, highGood := 0.0, 0.0
	for i := highConfidenceBin; i < confidenceBins; i++ {
		highOwn += distribution[i]
		highGood += good[i]
	}
	goodShare := min(1, highOwn/highGood)
	p := ConfidenceProfile{Distribution: distribution}
	for i := range distribution {
		if distribution[i] > 0 {
			p.GoodProbability[i] = min(1, goodShare*good[i]/distribution[i])
		}
	}
	return p
}

// withPrior adds a prior to counts and returns shares.
func withPrior(counts, prior Histogram) Histogram {
	total := float64(priorWeight)
	for _, n := range counts {
		total += n
	}
	var s Histogram
	for i := range s {
		s[i] = (counts[i] + priorWeight*prior[i]) / total
	}
	return s
}
