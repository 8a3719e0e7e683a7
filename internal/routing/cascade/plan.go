package cascade

import (
	"fmt"
	"math"
	"slices"
	"time"
)

const (
	// zScore is the half-width of the confidence interval of a quality, in
	// standard errors.
	zScore = 2.0
	// exploredWeight is the total weight of the observations from which the
	// most expensive model is not explored further.
	exploredWeight = 400.0
	// knownWeight is the total weight of the observations below which every
	// plan that is cheaper than the chosen one may be explored. From it on, only
	// plans that may still meet the target are, and bestMix may use the plan.
	knownWeight = 100.0
	// mixMargin is the margin above the target that a mix keeps, so that the
	// mean over a thousand requests does not fall below the target by chance.
	mixMargin = 0.015
	// priorMean is the assumed mean of a rate for which there are no
	// observations.
	priorMean = 0.5
)

// option is a plan together with its expected cost and quality.
type option struct {
	plan    Plan
	cost    float64
	quality estimate
}

// options lists the plans for a query. The last plan asks only the most expensive
// model.
func (r rates) options(q Query, models []Candidate) []option {
	expensive := models[len(models)-1]
	var list []option
	for i, m := range models {
		last := i == len(models)-1
		direct := r.get(m.Model, Direct).estimate(priorMean, q.Now)
		if q.Judge && !last {
			list = append(list, r.judgedOption(q, m, expensive))
		}
		list = append(list, option{
			plan:    Plan{Steps: []Step{{Model: m.Model}}},
			cost:    m.Price,
			quality: direct,
		})
	}
	return list
}

// judgedOption is the plan that asks the cheap model, has its answer judged,
// and asks the expensive model if the judge rejects it. Its quality is the mean
// of the pass rates of accepted and of escalated answers, weighted by the share
// that the judge accepts.
func (r rates) judgedOption(q Query, cheap, expensive Candidate) option {
	expensiveRate := r.get(expensive.Model, Direct).estimate(priorMean, q.Now)
	acceptRate := r.get(cheap.Model, Judgement).estimate(priorMean, q.Now)
	accepted := r.get(cheap.Model, Accepted).estimate(priorMean, q.Now)
	escalated := r.get(cheap.Model, Escalated).estimate(expensiveRate.mean, q.Now)
	acceptShare := acceptRate.mean
	variance := squared(acceptShare*accepted.stdErr) + squared((1-acceptShare)*escalated.stdErr) + squared((accepted.mean-escalated.mean)*acceptRate.stdErr)
	return option{
		plan: Plan{Steps: []Step{{Model: cheap.Model, Judge: true}, {Model: expensive.Model}}},
		cost: cheap.Price + q.JudgePrice + (1-acceptShare)*expensive.Price + q.DelayPrice*q.JudgeDelay.Seconds(),
		quality: estimate{
			mean:   acceptShare*accepted.mean + (1-acceptShare)*escalated.mean,
			stdErr: math.Sqrt(variance),
			weight: accepted.weight + escalated.weight,
		},
	}
}

func squared(x float64) float64 { return x * x }

// meetsTarget reports whether the lower confidence bound of the option's quality is
// at least target times the upper bound, at most 1, of the most expensive model's
// quality.
func (o *option) meetsTarget(target float64, expensive estimate) bool {
	return o.quality.mean-zScore*o.quality.stdErr >= target*math.Min(expensive.mean+zScore*expensive.stdErr, 1)
}

// mayMeetTarget reports whether the upper confidence bound of the option's quality
// is at least target times the lower bound of the most expensive model's quality.
func (o *option) mayMeetTarget(target float64, expensive estimate) bool {
	return o.quality.mean+zScore*o.quality.stdErr >= target*(expensive.mean-zScore*expensive.stdErr)
}

// cheapestOption returns the cheapest option that meets the target, or the last
// one if none does.
func cheapestOption(options []option, target float64) option {
	chosen := options[len(options)-1]
	expensive := chosen.quality
	for _, o := range options {
		if o.cost < chosen.cost && o.meetsTarget(target, expensive) {
			chosen = o
		}
	}
	return chosen
}

// mix is a cheaper option that serves a share of requests. It spends the amount
// by which the quality of the chosen option exceeds the target.
type mix struct {
	option
	share float64
}

// bestMix returns the mix with the chosen option that saves the most. Only
// options with at least knownWeight are used. The share is zero if no mix saves
// anything.
func bestMix(options []option, chosen option, target float64) mix {
	expensive := options[len(options)-1].quality
	chosenLow := chosen.quality.mean - zScore*chosen.quality.stdErr
	slack := chosenLow - target*math.Min(expensive.mean+zScore*expensive.stdErr, 1) - mixMargin
	var best mix
	saved := 0.0
	for _, o := range options {
		loss := chosenLow - (o.quality.mean - zScore*o.quality.stdErr)
		if o.cost >= chosen.cost || o.quality.weight < knownWeight || slack <= 0 || loss <= 0 {
			continue
		}
		share := math.Min(slack/loss, 1)
		if s := share * (chosen.cost - o.cost); s > saved {
			best, saved = mix{o, share}, s
		}
	}
	return best
}

// String returns a description of the option for the reason that is recorded with a
// plan.
func (o *option) String() string {
	name := o.plan.Steps[0].Model
	if o.plan.Steps[0].Judge {
		name += " judged, then " + o.plan.Steps[1].Model
	}
	return fmt.Sprintf("%s: cost %.2f, pass rate %.3f±%.3f", name, o.cost, o.quality.mean, zScore*o.quality.stdErr)
}

// rates are the observed rates of one customer and class. They are immutable.
type rates []rate

// get returns the rate of a model and kind, with no observations if there is
// none.
func (r rates) get(model string, kind OutcomeKind) rate {
	for i := range r {
		if r[i].model == model && r[i].kind == kind {
			return r[i]
		}
	}
	return rate{model: model, kind: kind}
}

// withOutcomes returns the rates after more outcomes of one kind.
func (r rates) withOutcomes(o Outcome, passed, total float64) rates {
	next := slices.Clone(r)
	i := slices.IndexFunc(next, func(x rate) bool { return x.model == o.Model && x.kind == o.Kind })
	if i < 0 {
		next = append(next, rate{model: o.Model, kind: o.Kind})
		i = len(next) - 1
	}
	next[i].observe(passed, total, o.At)
	return next
}

// lastOutcomeAt returns the time of the latest outcome.
func (r rates) lastOutcomeAt() time.Time {
	var latest time.Time
	for i := range r {
		if r[i].lastObserved.After(latest) {
			latest = r[i].lastObserved
		}
	}
	return latest
}
