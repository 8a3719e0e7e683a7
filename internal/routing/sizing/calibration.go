package sizing

import "sync"

// confidenceBins is the number of equal bins for a confidence of 0 to 100.
const confidenceBins = 10

// Histogram has one value per confidence bin, from low to high.
type Histogram [confidenceBins]float64

// priorWeight is the number of answers that a prior counts for.
const priorWeight = 60

// priorLarge is the usual distribution of confidence in good answers. priorSmall
// is that of a small model, some of whose answers are too simple. They apply
// until enough answers of the route have been observed.
var (
	priorLarge = Histogram{0, 0, 0, 0.005, 0.035, 0.085, 0.105, 0.115, 0.095, 0.56}
	priorSmall = Histogram{0.177, 0.064, 0.065, 0.055, 0.064, 0.061, 0.066, 0.061, 0.054, 0.333}
)

// highConfidenceBin is the first bin of high confidence. From it on, answers are
// hardly ever too simple.
const highConfidenceBin = 7

// Calibration estimates, for each route, how likely an answer is to be good given
// the confidence that the model reports. Nothing tells whether an answer was
// good. Calibration therefore assumes that all answers of the largest model are
// good and takes the distribution of its confidence as that of good answers. The
// excess of a smaller model over this distribution, mostly at low confidence, is
// attributed to answers that are too simple. It is safe for concurrent use.
type Calibration struct {
	mu     sync.Mutex
	counts map[string][]Histogram
}

// NewCalibration returns a Calibration that contains only the priors.
func NewCalibration() *Calibration { return &Calibration{counts: map[string][]Histogram{}} }

// Observe records the confidence, 0 to 100, that the route's model at position
// sizeRank, 0 being the smallest, reported for an answer. A negative confidence
// means that the model reported none; it is ignored.
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

// ConfidenceProfile describes the confidence that a model reports on a route.
type ConfidenceProfile struct {
	// Distribution is the fraction of answers in each confidence bin.
	Distribution Histogram
	// GoodProbability is the probability for each bin that an answer is good.
	GoodProbability Histogram
}

// Profile returns the profile of the route's model at position sizeRank, 0 being
// the smallest. The answers of the largest model are taken as good.
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
	// In the high bins nearly all answers are good, so the ratio of the two
	// distributions there is the share of good answers.
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

// withPrior adds a prior to counts and returns the fraction of each bin.
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
