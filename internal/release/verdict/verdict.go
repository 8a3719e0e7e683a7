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
	// that took several times as long as they should to begin, or without events to end,
	// also those that have yet to.
	Failed int
	Slow   int
	// Paced counts answers whose time between events is known, SlowPaced those of them
	// in which it is several times the usual one.
	Paced     int
	SlowPaced int
}

// IsSound reports whether the counts are possible: no more bad answers than answers, and
// none less than 0.
func (c Counts) IsSound() bool {
	return min(c.Answers, c.Failed, c.Slow, c.Paced, c.SlowPaced) >= 0 && c.Answers <= math.MaxInt32 &&
		c.Failed+c.Slow <= c.Answers && c.Paced <= c.Answers && c.SlowPaced <= c.Paced
}

// Add adds other counts to c.
func (c *Counts) Add(o Counts) {
	c.Answers += o.Answers
	c.Failed += o.Failed
	c.Slow += o.Slow
	c.Paced += o.Paced
	c.SlowPaced += o.SlowPaced
}

// bad returns the number of answers that failed or were slow.
func (c Counts) bad() int { return min(c.Answers, c.Failed+c.Slow) }

// Comparison holds the counts of the old and the new version.
type Comparison struct{ Old, New Counts }

// Evidence maps each route to the counts of both versions on it.
type Evidence map[string]Comparison

// Add adds the evidence of another instance to e.
func (e Evidence) Add(o Evidence) {
	for route, pair := range o {
		sum := e[route]
		sum.Old.Add(pair.Old)
		sum.New.Add(pair.New)
		e[route] = sum
	}
}

// Traffic returns the number of answers of each version.
func (e Evidence) Traffic() Traffic {
	var t Traffic
	for _, pair := range e {
		t.Add(Traffic{pair.Old.Answers, pair.New.Answers})
	}
	return t
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
	// minSuspect is the number of bad answers below which a version isn't suspect, minUnlikely
	// that below which no chance is computed.
	minSuspect  = 3
	minUnlikely = 2
	// zScore is the width of the confidence bounds in standard deviations. The
	// one-sided error probability is about 1 in 100.
	zScore = 2.3
	// minSignificant is the number of bad answers from which a difference that is
	// certainSigma standard deviations wide counts as certain, however small the margin.
	// suspectSigma makes a version suspect.
	minSignificant = 12
	certainSigma   = 3.5
	suspectSigma   = 2
	// minDifference is the difference of rates below which it doesn't matter,
	// minFailedDifference that for failures.
	minDifference       = 0.05
	minFailedDifference = 0.01
	// certainChance, doubtChance and suspectChance are the chances of equal versions below
	// which a difference is certain, doubtful or suspect.
	// significantChance is that of many bad answers of any kind.
	certainChance     = 0.00005
	significantChance = 0.002
	doubtChance       = 0.0025
	suspectChance     = 0.005
	// marginChance is the chance of equal versions below which a difference beyond a margin is
	// certain. It counts that the old version's rate is an estimate too.
	marginChance = 0.003
	// failedMargin, slowMargin and paceMargin are the tolerated differences between
	// the rates of the two versions. slowMargin is larger because load also makes
	// answers begin late; it hardly changes their pace.
	failedMargin = 0.05
	slowMargin   = 0.15
	paceMargin   = 0.1
)

// IsRegression reports whether the new version is worse than the old one on any
// route or over all routes together.
func IsRegression(e Evidence) bool {
	return e.anyWorse(criterion{
		failed: func(bad, n, oldBad, oldN int, margin float64) bool {
			return exceeds(bad, n, oldBad, oldN, margin) || bad >= minBad && isUnlikely(bad, n, oldBad, oldN, certainChance)
		},
		slow:         exceeds,
		minFailed:    minBad,
		failedChance: certainChance,
	})
}

// isSuspect reports whether the new version looks worse than the old one on any route or
// over all routes together, with less certainty than IsRegression.
func isSuspect(e Evidence) bool {
	return e.anyWorse(criterion{
		failed: func(bad, n, oldBad, oldN int, margin float64) bool {
			return isHigher(bad, n, oldBad, oldN, margin) || isUnlikely(bad, n, oldBad, oldN, suspectChance)
		},
		slow:         isHigher,
		minFailed:    minUnlikely,
		failedChance: suspectChance,
		slowChance:   suspectChance,
	})
}

// isDoubtful reports whether the new version is rather worse than equal, by what is known
// at the last moment. Few answers may be slow by chance; failures are rare.
func isDoubtful(e Evidence) bool {
	return e.anyWorse(criterion{
		failed: func(bad, n, oldBad, oldN int, _ float64) bool {
			return isUnlikely(bad, n, oldBad, oldN, doubtChance)
		},
		slow: func(bad, n, oldBad, oldN int, _ float64) bool {
			return bad >= minSuspect && float64(bad)/float64(n)-float64(oldBad)/float64(max(1, oldN)) > minDifference && isUnlikely(bad, n, oldBad, oldN, doubtChance)
		},
		minFailed:    minUnlikely,
		failedChance: doubtChance,
		slowChance:   doubtChance,
	})
}

// criterion holds what compares the rates of failures, and those of slow answers.
type criterion struct {
	failed, slow rateComparison
	// minFailed is the number of failures, and failedChance and slowChance are the chances of
	// equal versions, from which and below which an excess over all routes together is worse.
	// A chance of 0 tests none.
	minFailed                int
	failedChance, slowChance float64
}

// anyWorse reports whether the new version is worse on any route or over all routes
// together.
func (e Evidence) anyWorse(c criterion) bool {
	var all Comparison
	var failed, slow, slowPaced excess
	for _, pair := range e {
		if pair.isWorse(c) {
			return true
		}
		all.Old.Add(pair.Old)
		all.New.Add(pair.New)
		failed.add(pair.New.Failed, pair.New.Answers, pair.Old.Failed, pair.Old.Answers)
		slow.add(pair.New.Slow, pair.New.Answers, pair.Old.Slow, pair.Old.Answers)
		slowPaced.add(pair.New.SlowPaced, pair.New.Paced, pair.Old.SlowPaced, pair.Old.Paced)
	}
	return all.isWorse(c) ||
		failed.isUnlikely(c.minFailed, minFailedDifference, c.failedChance) ||
		slow.isUnlikely(minSuspect, minDifference, c.slowChance) ||
		slowPaced.isUnlikely(minSuspect, minDifference, c.slowChance)
}

// rateComparison reports whether the rate bad/n is more than margin above oldBad/oldN.
type rateComparison func(bad, n, oldBad, oldN int, margin float64) bool

// isWorse reports whether the new version fails more often, begins late more often or
// makes its events more slowly.
func (p Comparison) isWorse(c criterion) bool {
	return c.failed(p.New.Failed, p.New.Answers, p.Old.Failed, p.Old.Answers, failedMargin) ||
		c.slow(p.New.Slow, p.New.Answers, p.Old.Slow, p.Old.Answers, slowMargin) ||
		c.slow(p.New.SlowPaced, p.New.Paced, p.Old.SlowPaced, p.Old.Paced, paceMargin)
}

// isUnlikely reports whether two versions of the same rate would show at least so many bad
// answers of the new one, out of those of both, with less than the given chance. It is
// exact for small numbers. One bad answer says nothing.
func isUnlikely(bad, n, oldBad, oldN int, chance float64) bool {
	if bad < minUnlikely || oldN == 0 || float64(bad)/float64(n)-float64(oldBad)/float64(oldN) < minFailedDifference {
		return false
	}
	share := float64(n) / float64(n+oldN)
	total := bad + oldBad
	// Each of the terms of the binomial distribution is less than the one before.
	term := math.Exp(logChoose(total, bad) + float64(bad)*math.Log(share) + float64(oldBad)*math.Log(1-share))
	sum := 0.0
	for k := bad; k <= total && term > 1e-9; k++ {
		sum += term
		term *= float64(total-k) / float64(k+1) * share / (1 - share)
	}
	return sum < chance
}

// logChoose returns the logarithm of the number of ways to choose k of n.
func logChoose(n, k int) float64 {
	a, _ := math.Lgamma(float64(n + 1))
	b, _ := math.Lgamma(float64(k + 1))
	c, _ := math.Lgamma(float64(n - k + 1))
	return a - b - c
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
	if oldN > 0 && !isUnlikely(bad, n, oldBad, oldN, marginChance) {
		return false
	}
	return lowerBound(bad, n) > old+margin || bad >= minSignificant && isSignificant(bad, n, oldBad, oldN, certainSigma) && isUnlikely(bad, n, oldBad, oldN, significantChance)
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

// Traffic counts the requests that the fleet sent to each version since the order,
// answered or not, repeats included.
type Traffic struct{ Old, New int }

// Add adds the requests of another instance to t.
func (t *Traffic) Add(o Traffic) {
	t.Old += o.Old
	t.New += o.New
}

const (
	// secondTrialFrom is the fraction of the duration from which on sessions in progress
	// take part in the trial. They must not change to the new version earlier.
	secondTrialFrom = 0.52
	// rampShare is the share of the new version between the trial and the whole traffic,
	// which for rampFraction of the duration warms its caches.
	rampShare    = 0.4
	rampFraction = 0.04
	// maxTrialShare bounds the share of a trial in a service of few servers.
	maxTrialShare = 0.3
	// latestRamp is the fraction of the duration from which on the share rises although the
	// limit doesn't bear it. The trial's part of the limit is planned for it.
	latestRamp = 0.89
	// completeAt is the fraction of the duration at which a rollout is complete. The answers
	// that the old version has begun and not ended continue on the new version. The rest is
	// left for writing that down.
	completeAt = 0.93
	// minTrialAnswers is the number of answers below which a trial says nothing.
	minTrialAnswers = 12
	// budgetShare is the fraction of the exposure limit that is planned with. The rest
	// covers what comes until the deadline: more requests than expected, and repeats of those
	// that fail.
	budgetShare = 0.75
	// minTrialShare is the fraction of the budget that is the trial's also if less is
	// left beside the ramp and the requests after it, firstTrialShare the fraction of that for
	// the first half of the rollout.
	minTrialShare   = 0.15
	firstTrialShare = 0.5
	// minShareStep is the factor by which the share of a trial rises at least, as each rise
	// is written to the store.
	minShareStep = 1.25
	// minRateTime is the time after which the rate of requests is known.
	minRateTime = 2 * time.Second
)

// IsTrial reports whether a version with the share is on trial.
func IsTrial(share float64) bool { return share < rampShare }

// IsSecondTrial reports whether sessions in progress take part in the trial.
func IsSecondTrial(elapsed, duration time.Duration) bool {
	return elapsed.Seconds() >= secondTrialFrom*duration.Seconds()
}

// IsEnding reports whether a rollout has come to its ramp, after which it is complete.
func IsEnding(elapsed, duration time.Duration) bool {
	return elapsed.Seconds() >= latestRamp*duration.Seconds()
}

// TrialServers returns the number of servers among which the trial's requests are
// divided, so that a server of the new version has the load of one of the old: a version
// may be bad only under load.
func TrialServers(share float64, oldServers int) int {
	return max(1, int(math.Round(share*float64(oldServers))))
}

// Decision tells how a rollout continues.
type Decision struct {
	Share    float64
	Complete bool
	Revert   bool
	// Retrial is set if the trial takes place on other servers than at first, as the first
	// ones may be at fault and not their version.
	Retrial bool
}

// DecisionInput is the state of a rollout on which Decide bases its decision.
type DecisionInput struct {
	Elapsed  time.Duration
	Duration time.Duration
	// MaxExposure limits the share of all requests until the deadline that a bad version
	// may get. It may get BaseExposure requests more.
	MaxExposure  float64
	BaseExposure float64
	Evidence     Evidence
	// Servers holds the new version's counts by server, over all routes that are telling. It
	// is empty if the answers of servers can't be compared.
	Servers map[string]Counts
	Sent    Traffic
	// PerSecond is the rate of requests to expect, rather too high than too low.
	PerSecond float64
	// Ready is the number of servers of the new version that accept work, OldServers
	// that of other versions.
	Ready      int
	OldServers int
	// Share is the current share of the new version. Retrial is as in Decision.
	Share   float64
	Retrial bool
}

// Decide returns how the rollout continues. It reverts on evidence of a regression.
// Otherwise the share never shrinks, and the rollout completes on time. The share rises
// above that of the trial only when the exposure limit bears all requests from then to the
// deadline, so that a version whose faults don't show in time, or only under the whole
// load, stays within it. While no server of the new version is ready, or the new version
// looks worse without certainty, the share stays as it is; when the deadline requires the
// switch, one that is rather worse than equal is reverted. Once the new version has all
// traffic, the old one's answers are of another load, and only certainty counts. A version
// that looks worse is tried on other servers if the first ones may be at fault.
//
// The load that it answers is a version that is bad from some load on, or in few answers,
// before some tens to some thousands of requests a second.
func Decide(in DecisionInput) Decision {
	progress := in.progress()
	if IsRegression(in.Evidence) || isSuspect(in.Evidence) {
		switch fault := FindFault(in.Evidence, in.Servers, in.Ready); {
		case fault == ServerFault:
			in.Evidence = withoutServer(in.Evidence, in.Servers)
		case fault == UnknownFault && IsTrial(in.Share) && progress < latestRamp:
			return Decision{Share: in.Share, Retrial: true}
		}
	}
	if IsRegression(in.Evidence) {
		return Decision{Revert: true}
	}
	if in.Share < 1 && progress >= latestRamp && isDoubtful(in.Evidence) {
		return Decision{Revert: true}
	}
	if in.Ready == 0 || in.Share < 1 && progress < latestRamp && isSuspect(in.Evidence) {
		return Decision{Share: in.Share, Retrial: in.Retrial}
	}
	// After the deadline there is no hurry.
	return Decision{Share: max(in.nextShare(), in.Share), Complete: progress >= completeAt && (in.Share >= 1 || progress < 1), Retrial: in.Retrial}
}

// nextShare returns the share of a version that looks good.
func (in *DecisionInput) nextShare() float64 {
	progress := in.progress()
	mayRise := progress >= secondTrialFrom && in.Evidence.newAnswers() >= minTrialAnswers
	switch {
	case progress >= completeAt:
		return 1
	case progress >= latestRamp:
		return rampShare // another stage wouldn't be in force before the rollout is complete
	case mayRise && in.Share >= rampShare && in.bears(0):
		return 1
	case mayRise && in.bears((1-rampShare)*rampFraction):
		return rampShare
	case IsTrial(in.Share):
		return in.trialShare()
	}
	return in.Share
}

// progress returns the elapsed fraction of the duration.
func (in *DecisionInput) progress() float64 {
	if in.Duration <= 0 {
		return 1
	}
	return float64(in.Elapsed) / float64(in.Duration)
}

// limit returns the number of requests that a bad version may get until the deadline,
// before which the given number is to come.
func (in *DecisionInput) limit(coming float64) float64 {
	return in.MaxExposure*(float64(in.Sent.Old+in.Sent.New)+coming) + in.BaseExposure
}

// requests returns the number of requests to expect in a fraction of the duration.
func (in *DecisionInput) requests(fraction float64) float64 {
	return in.PerSecond * in.Duration.Seconds() * max(0, fraction)
}

// bears reports whether the exposure limit bears it if the new version gets all requests
// from now to the deadline but those of the given fraction of the duration.
func (in *DecisionInput) bears(spared float64) bool {
	coming := in.requests(1 - in.progress())
	return float64(in.Sent.New)+coming-in.requests(spared) <= budgetShare*in.limit(coming)
}

// trialBudget returns the number of requests that the new version may get before the ramp:
// what the latest ramp and the requests after the completion leave of the exposure limit.
func (in *DecisionInput) trialBudget() float64 {
	budget := budgetShare * in.limit(in.requests(1-in.progress()))
	return max(minTrialShare*budget, budget-in.requests(rampShare*rampFraction+1-completeAt))
}

// trialShare returns the share of the trial. In the first half of the rollout few requests
// take part. Then as many servers of the new version as possible get the usual load of a
// server. If the trial's budget doesn't last until the ramp for one, as in a service of few
// servers, that one gets what the budget bears.
func (in *DecisionInput) trialShare() float64 {
	if in.Elapsed < minRateTime || in.OldServers == 0 {
		return in.Share
	}
	one := min(maxTrialShare, 1/float64(in.OldServers))
	budget := in.trialBudget()
	if in.progress() < secondTrialFrom {
		if in.Share > 0 {
			return in.Share
		}
		coming := in.requests(secondTrialFrom - in.progress())
		return min(one, in.MaxExposure, firstTrialShare*budget/max(1, coming))
	}
	servers := max(1, math.Floor(maxTrialShare*float64(in.OldServers)))
	affordable := (budget - float64(in.Sent.New)) / max(1, in.requests(latestRamp-in.progress()))
	if affordable >= one {
		return one * min(servers, math.Floor(affordable/one))
	}
	if affordable < minShareStep*in.Share {
		return in.Share
	}
	return affordable
}

// Rate estimates the rate of a service's requests. It belongs to one goroutine.
type Rate struct{ samples []rateSample }

type rateSample struct {
	at    time.Duration
	total int
}

// rateWindow is the time whose requests count as recent.
const rateWindow = 2 * time.Second

// Observe records the number of requests since the order at an elapsed time.
func (r *Rate) Observe(elapsed time.Duration, total int) {
	r.samples = append(r.samples, rateSample{elapsed, total})
	for len(r.samples) > 2 && elapsed-r.samples[1].at >= rateWindow {
		r.samples = r.samples[1:]
	}
}

// PerSecond returns the mean rate since the order or the recent one, whichever is higher.
func (r *Rate) PerSecond() float64 {
	if len(r.samples) == 0 {
		return 0
	}
	first, last := r.samples[0], r.samples[len(r.samples)-1]
	mean := float64(last.total) / max(1, last.at.Seconds())
	return max(mean, float64(last.total-first.total)/max(1, (last.at-first.at).Seconds()))
}
