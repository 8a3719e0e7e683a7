// Package verdict decides how a canary rollout continues: which share of the
// sessions the new version gets, and whether the rollout is reverted.
//
// It is built to catch a new version that fails part of its answers or is
// several times slower, from the start or some seconds later, under load, and
// possibly on one route only.
package verdict

import (
	"math"
	"time"
)

// Counts holds the outcomes of one version on one route.
type Counts struct {
	Answers int
	// Failed counts failures of the backend server itself. Slow counts answers
	// that took several times as long as they should to begin, also those that have
	// yet to.
	Failed int
	Slow   int
	// Paced counts answers whose time between events is known, SlowPaced those of them
	// in which it is several times the usual one.
	Paced     int
	SlowPaced int
}

func (c *Counts) add(o Counts) {
	c.Answers += o.Answers
	c.Failed += o.Failed
	c.Slow += o.Slow
	c.Paced += o.Paced
	c.SlowPaced += o.SlowPaced
}

// Comparison holds the counts of the old and the new version.
type Comparison struct{ Old, New Counts }

// Evidence maps each route to the counts of both versions on it.
type Evidence map[string]Comparison

// Add adds the evidence of another instance to e.
func (e Evidence) Add(o Evidence) {
	for route, pair := range o {
		sum := e[route]
		sum.Old.add(pair.Old)
		sum.New.add(pair.New)
		e[route] = sum
	}
}

// newAnswers returns the number of answers of the new version.
func (e Evidence) newAnswers() int {
	n := 0
	for _, pair := range e {
		n += pair.New.Answers
	}
	return n
}

const (
	// minBad is the number of bad answers below which a rate is not evaluated.
	// A single crashing server causes two or three bad answers.
	minBad = 4
	// minSuspect is the number of bad answers below which a version isn't suspect.
	minSuspect = 3
	// zScore is the width of the confidence bounds in standard deviations. The
	// one-sided error probability is about 1 in 100.
	zScore = 2.3
	// minSignificant is the number of bad answers from which a difference that is
	// certainSigma standard deviations wide counts as certain, however small the margin.
	// suspectSigma makes a version suspect.
	minSignificant = 8
	certainSigma   = 3.5
	suspectSigma   = 2
	// minDifference is the difference of rates below which it doesn't matter.
	minDifference = 0.05
	// failedMargin, slowMargin and paceMargin are the tolerated differences between
	// the rates of the two versions. slowMargin is larger because load also makes
	// answers begin late; it hardly changes their pace.
	failedMargin = 0.05
	slowMargin   = 0.15
	paceMargin   = 0.1
)

// IsRegression reports whether the new version is worse than the old one on any
// route or over all routes together.
func IsRegression(e Evidence) bool { return e.anyWorse(exceeds) }

// isSuspect reports whether the new version looks worse than the old one on any route or
// over all routes together, with less certainty than IsRegression.
func isSuspect(e Evidence) bool { return e.anyWorse(isHigher) }

// anyWorse reports whether the new version is worse on any route or over all routes
// together. compare compares two rates.
func (e Evidence) anyWorse(compare rateComparison) bool {
	var all Comparison
	for _, pair := range e {
		all.Old.add(pair.Old)
		all.New.add(pair.New)
		if pair.isWorse(compare) {
			return true
		}
	}
	return all.isWorse(compare)
}

// rateComparison reports whether the rate bad/n is more than margin above oldBad/oldN.
type rateComparison func(bad, n, oldBad, oldN int, margin float64) bool

// isWorse reports whether the new version fails more often, begins late more often or
// makes its events more slowly.
func (p Comparison) isWorse(compare rateComparison) bool {
	return compare(p.New.Failed, p.New.Answers, p.Old.Failed, p.Old.Answers, failedMargin) ||
		compare(p.New.Slow, p.New.Answers, p.Old.Slow, p.Old.Answers, slowMargin) ||
		compare(p.New.SlowPaced, p.New.Paced, p.Old.SlowPaced, p.Old.Paced, paceMargin)
}

// isHigher compares the rates as they are.
func isHigher(bad, n, oldBad, oldN int, margin float64) bool {
	if bad < minSuspect {
		return false
	}
	return float64(bad)/float64(n) > float64(oldBad)/float64(max(1, oldN))+margin || isSignificant(bad, n, oldBad, oldN, suspectSigma)
}

// isSignificant reports whether the rate bad/n is above oldBad/oldN by minDifference and by
// a number of standard deviations of two samples of the same rate.
func isSignificant(bad, n, oldBad, oldN int, sigma float64) bool {
	if oldN == 0 {
		return false
	}
	difference := float64(bad)/float64(n) - float64(oldBad)/float64(oldN)
	common := float64(bad+oldBad) / float64(n+oldN)
	deviation := math.Sqrt(common * (1 - common) * (1/float64(n) + 1/float64(oldN)))
	return difference > minDifference && difference > sigma*deviation
}

// exceeds reports whether the lower confidence bound of the rate bad/n is more
// than margin above the rate oldBad/oldN, or the difference is certain without a
// margin. Without data on the old version its rate is taken as 0.
func exceeds(bad, n, oldBad, oldN int, margin float64) bool {
	if bad < minBad {
		return false
	}
	old := 0.0
	if oldN > 0 {
		old = float64(oldBad) / float64(oldN)
	}
	return lowerBound(bad, n) > old+margin || bad >= minSignificant && isSignificant(bad, n, oldBad, oldN, certainSigma)
}

// lowerBound returns the lower end of the Wilson score interval of the rate
// bad/n.
func lowerBound(bad, n int) float64 {
	const z = zScore
	p, m := float64(bad)/float64(n), float64(n)
	centre := (p + z*z/(2*m)) / (1 + z*z/m)
	width := z * math.Sqrt(p*(1-p)/m+z*z/(4*m*m)) / (1 + z*z/m)
	return max(0, centre-width)
}

// Stage gives the new version a share of the sessions from a given fraction of
// the rollout's duration on, once there are enough answers of the new version, or
// from a later fraction on without them: a service with few requests exposes few.
type Stage struct {
	From    float64
	Share   float64
	Answers int
	Latest  float64
}

// stages moves the traffic in the second half of the duration, because sessions
// must not change to the new version earlier. The time after the last stage is
// reserved for a driver that is late.
var stages = []Stage{{0.52, 0.3, 12, 0.66}, {0.58, 0.6, 24, 0.71}, {0.64, 1, 30, 0.76}}

// secondTrialFrom is the fraction of the duration from which on sessions in progress
// take part in the trial.
const secondTrialFrom = 0.52

// completeAt is the fraction of the duration at which a rollout is complete. By
// then the answers that the old version had begun at the last stage have ended
// or continue on the new version.
const completeAt = 0.82

// trialExposureShare is the fraction of the exposure limit that the trial
// before the first stage uses. The rest is left for the later stages, in which
// a version may still turn bad.
const trialExposureShare = 0.5

// Decision tells how a rollout continues.
type Decision struct {
	Share    float64
	Complete bool
	Revert   bool
}

// DecisionInput is the state of a rollout on which Decide bases its decision.
type DecisionInput struct {
	Elapsed  time.Duration
	Duration time.Duration
	// MaxExposure limits the share of all requests that a bad version may get.
	MaxExposure float64
	Evidence    Evidence
	// Ready is the number of servers of the new version that accept work.
	Ready int
	// Share is the current share of the new version.
	Share float64
}

// Decide returns how the rollout continues. It reverts on evidence of a
// regression. Otherwise the share never shrinks, and the rollout completes on
// time. While no server of the new version is ready, or the new version looks worse
// without certainty, the share stays as it is. Once the new version has all traffic,
// the old one's answers are of another load, and only certainty counts.
func Decide(in DecisionInput) Decision {
	if IsRegression(in.Evidence) {
		return Decision{Revert: true}
	}
	if in.Ready == 0 || in.Share < 1 && isSuspect(in.Evidence) {
		return Decision{Share: in.Share}
	}
	progress := 1.0
	if in.Duration > 0 {
		progress = float64(in.Elapsed) / float64(in.Duration)
	}
	share := trialExposureShare * in.MaxExposure
	if progress >= secondTrialFrom {
		share = in.MaxExposure
	}
	answers := in.Evidence.newAnswers()
	for _, s := range stages {
		if progress >= s.From && answers >= s.Answers || progress >= s.Latest {
			share = s.Share
		}
	}
	return Decision{Share: max(share, in.Share), Complete: progress >= completeAt && in.Share >= 1}
}
