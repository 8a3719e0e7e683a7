// Package verdict decides how a roll-out under traffic goes on: which share of
// the sessions the new version gets, and whether it is taken back.
//
// Load pattern that it answers: a new version that fails part of its answers,
// or is several times slower, at once or only on one route, under load or some
// seconds after its start.
package verdict

import (
	"math"
	"time"
)

// Counts is how one version answered on one route.
type Counts struct {
	Answers int
	// Failed are the server's own failures, Slow the answers that took
	// several times as long as predicted.
	Failed int
	Slow   int
}

func (c *Counts) add(o Counts) {
	c.Answers += o.Answers
	c.Failed += o.Failed
	c.Slow += o.Slow
}

// Comparison sets the new version beside the old one.
type Comparison struct{ Old, New Counts }

// Evidence is how both versions answered, by route.
type Evidence map[string]Comparison

// Add merges evidence of another instance.
func (e Evidence) Add(o Evidence) {
	for route, pair := range o {
		sum := e[route]
		sum.Old.add(pair.Old)
		sum.New.add(pair.New)
		e[route] = sum
	}
}

const (
	// minBad is how many bad answers there must be before they count: one
	// server that crashes leaves two or three.
	minBad = 4
	// zScore is the width of the confidence bounds, about 1 in 100.
	zScore = 2.3
	// failedMargin and slowMargin are the differences of the rates that don't
	// matter. Slowness also comes from load.
	failedMargin = 0.05
	slowMargin   = 0.15
)

// IsRegression reports whether the new version answers worse than the old one on any
// route or over all.
func IsRegression(e Evidence) bool {
	var all Comparison
	for _, pair := range e {
		all.Old.add(pair.Old)
		all.New.add(pair.New)
		if isWorse(pair) {
			return true
		}
	}
	return isWorse(all)
}

func isWorse(p Comparison) bool {
	return exceeds(p.New.Failed, p.New.Answers, p.Old.Failed, p.Old.Answers, failedMargin) ||
		exceeds(p.New.Slow, p.New.Answers, p.Old.Slow, p.Old.Answers, slowMargin)
}

// exceeds reports whether one rate is above the other by more than the margin,
// beyond what chance explains.
func exceeds(bad, n, oldBad, oldN int, margin float64) bool {
	if bad < minBad {
		return false
	}
	old := 0.0
	if oldN > 0 {
		old = float64(oldBad) / float64(oldN)
	}
	return lowerBound(bad, n) > old+margin
}

// lowerBound is the lower end of Wilson's confidence interval of a rate.
func lowerBound(bad, n int) float64 {
	const z = zScore
	p, m := float64(bad)/float64(n), float64(n)
	centre := (p + z*z/(2*m)) / (1 + z*z/m)
	width := z * math.Sqrt(p*(1-p)/m+z*z/(4*m*m)) / (1 + z*z/m)
	return max(0, centre-width)
}

// Stage is a stage of a roll-out: from a part of its time on, the new version
// gets a share of the sessions.
type Stage struct {
	From  float64
	Share float64
}

// stages moves the traffic in the second half: sessions must not change to the
// new version before. The last part of the time is left for a late driver.
var stages = []Stage{{0.52, 0.3}, {0.58, 0.6}, {0.64, 1}}

// completeAt is the part of a roll-out's time at which it is complete. Answers
// that the old version had begun by the last shift have ended then, or go on
// at the new one.
const completeAt = 0.82

// trialExposureShare is the part of the bound on exposure that the trial uses; the
// rest is left for the shifts, during which a version may still turn bad.
const trialExposureShare = 0.5

// Decision is how a roll-out goes on.
type Decision struct {
	Share    float64
	Complete bool
	Revert   bool
}

// DecisionInput is the state of a roll-out.
type DecisionInput struct {
	Elapsed  time.Duration
	Duration time.Duration
	// MaxExposure bounds the share of all requests that a bad version may get.
	MaxExposure float64
	Evidence    Evidence
	// Ready is how many servers of the new version take work.
	Ready int
	// Share is the present share.
	Share float64
}

// Decide says how a roll-out goes on. Without evidence of a fault it is
// complete in time.
func Decide(q DecisionInput) Decision {
	if IsRegression(q.Evidence) {
		return Decision{Revert: true}
	}
	if q.Ready == 0 {
		return Decision{Share: q.Share}
	}
	progress := 1.0
	if q.Duration > 0 {
		progress = float64(q.Elapsed) / float64(q.Duration)
	}
	share := trialExposureShare * q.MaxExposure
	for _, s := range stages {
		if progress >= s.From {
			share = s.Share
		}
	}
	return Decision{Share: max(share, q.Share), Complete: progress >= completeAt && q.Share >= 1}
}
