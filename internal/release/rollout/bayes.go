package rollout

import "math"

// proportion is how many of n outcomes were bad.
type proportion struct {
	bad uint64
	n   uint64
}

func (s proportion) rate() float64 {
	if s.n == 0 {
		return 0
	}
	return float64(s.bad) / float64(s.n)
}

// oddsRatio is one alternative: the odds of a bad outcome are ratio times the
// old version's. The weights add up to 1.
type oddsRatio struct {
	ratio  float64
	weight float64
}

// alternatives put most weight on a moderate fault, which takes the most
// evidence to find; an outright failure is found at once even at a low weight.
var alternatives = []oddsRatio{{2, 0.2}, {3, 0.5}, {6, 0.2}, {100, 0.1}}

const (
	// priorBad and priorGood are the prior counts for the old version's rate.
	priorBad  = 0.5
	priorGood = 4.5
	// gridPoints and gridWidth span the posterior of the old version's rate on
	// the logit scale, in standard deviations.
	gridPoints = 17
	gridWidth  = 4.0
)

// logBayesFactor weighs how much better the outcomes of the new version are
// explained by a higher rate of bad outcomes than by the old version's rate,
// or by the floor if that is higher. It is the logarithm of a Bayes factor with
// a discrete mixture of alternatives and the old version's data as the prior of
// the common rate.
//
// Under the null it is a nonnegative martingale with mean 1, so the chance that
// it ever exceeds 1/alpha is at most alpha, however often it is looked at
// (Ville 1939; Robbins 1970, "Statistical methods related to the law of the
// iterated logarithm"; for Bayes factors under optional stopping, de Heide and
// Grünwald 2021, "Why optional stopping can be a problem for Bayesians").
func logBayesFactor(old, new proportion, floor float64) float64 {
	if new.rate() <= max(old.rate(), floor) {
		return 0 // no alternative explains it better
	}
	a := priorBad + float64(old.bad)
	b := priorGood + float64(old.n-old.bad)
	centre := math.Log(a / b)
	width := gridWidth * math.Sqrt(1/a+1/b)
	var null, alternative logSumExp
	for i := range gridPoints {
		logit := centre + width*(2*float64(i)/(gridPoints-1)-1)
		// The density on the logit scale has the Jacobian p(1-p) in it.
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

// logLikelihood is bad*log(p) + (n-bad)*log(1-p) at logit(p).
func logLikelihood(logit, bad, n float64) float64 {
	return bad*logit - n*softplus(logit)
}

// softplus is log(1+exp(x)).
func softplus(x float64) float64 {
	if x > 0 {
		return x + math.Log1p(math.Exp(-x))
	}
	return math.Log1p(math.Exp(x))
}

// logSumExp adds numbers that are given by their logarithms.
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
