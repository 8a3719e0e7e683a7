package rollout

import "math"

// proportion counts the bad outcomes among n outcomes.
type proportion struct {
	bad uint64
	n   uint64
}

func (p proportion) rate() float64 {
	if p.n == 0 {
		return 0
	}
	return float64(p.bad) / float64(p.n)
}

// oddsRatio is one alternative hypothesis: the odds of a bad outcome are ratio
// times those of the old version. The weights of all alternatives add up to 1.
type oddsRatio struct {
	ratio  float64
	weight float64
}

// alternatives is the discrete mixture that the null hypothesis is compared
// with. Most weight is on a moderate fault, which takes the most evidence to
// detect. A complete failure is detected at once even at a low weight.
var alternatives = []oddsRatio{{2, 0.2}, {3, 0.5}, {6, 0.2}, {100, 0.1}}

const (
	// priorBad and priorGood are the prior pseudo-counts for the old version's
	// rate.
	priorBad  = 0.5
	priorGood = 4.5
	// gridPoints and gridWidth define the integration grid over the posterior
	// of the old version's rate. The width is in standard deviations on the
	// logit scale.
	gridPoints = 17
	gridWidth  = 4.0
)

// logBayesFactor returns the logarithm of the Bayes factor for a higher rate of
// bad outcomes in the new version against a rate equal to the old version's, or
// to the floor if that is higher. The alternative is a discrete mixture of odds
// ratios, and the old version's data are the prior of the common rate.
//
// Under the null hypothesis the Bayes factor is a nonnegative martingale with
// mean 1, so the probability that it ever exceeds 1/alpha is at most alpha,
// however often it is evaluated (Ville 1939; Robbins 1970, "Statistical methods
// related to the law of the iterated logarithm"; for Bayes factors under
// optional stopping, de Heide and Grünwald 2021, "Why optional stopping can be
// a problem for Bayesians").
func logBayesFactor(old, new proportion, floor float64) float64 {
	if new.rate() <= max(old.rate(), floor) {
		return 0 // the data do not favour any alternative
	}
	a := priorBad + float64(old.bad)
	b := priorGood + float64(old.n-old.bad)
	centre := math.Log(a / b)
	width := gridWidth * math.Sqrt(1/a+1/b)
	var null, alternative logSumExp
	for i := range gridPoints {
		logit := centre + width*(2*float64(i)/(gridPoints-1)-1)
		// The Jacobian p(1-p) of the logit transform is part of the density.
		density := logLikelihood(logit, a, a+b)
		logit = math.Max(logit, math.Log(floor/(1-floor)))
		null.add(density + logLikelihood(logit, float64(new.bad), float64(new.n)))
		for _, alt := range alternatives {
			l := logLikelihood(logit+math.Log(alt.ratio), float64(new.bad), float64(new.n))
			alternative.add(math.Log(alt.weight) + density + l)
		}
	}
	return alternative.value() - null.value()
}

// logLikelihood returns bad*log(p) + (n-bad)*log(1-p) for the p whose logit is
// given.
func logLikelihood(logit, bad, n float64) float64 {
	return bad*logit - n*softplus(logit)
}

// softplus returns log(1+exp(x)) without overflow.
func softplus(x float64) float64 {
	if x > 0 {
		return x + math.Log1p(math.Exp(-x))
	}
	return math.Log1p(math.Exp(x))
}

// logSumExp accumulates a sum of numbers that are given by their logarithms.
type logSumExp struct {
	maxLog float64
	sum    float64
}

func (s *logSumExp) add(l float64) {
	switch {
	case s.sum == 0:
		s.maxLog, s.sum = l, 1
	case l > s.maxLog:
		s.sum = s.sum*math.Exp(s.maxLog-l) + 1
		s.maxLog = l
	default:
		s.sum += math.Exp(l - s.maxLog)
	}
}

func (s *logSumExp) value() float64 { return s.maxLog + math.Log(s.sum) }
